"""One replica as an entry uses it."""

import contextlib

from gorsefall.net import outbound
from gorsefall.policy import acceptance
from gorsefall.policy import knowledge
from gorsefall.policy import prompts
from gorsefall.relay import model

CONNECT_TIMEOUT_S = 0.25
"""Longest time to connect to a replica, s: a round trip takes 2 ms, and the
shortest caller timeout is 600 ms."""

CONNECTION_SHARE = 1 / 6
"""Part of a replica's connections that one entry may open. There are 6 to 7
entries, which rarely reach their limits at the same time."""

EXIT_RECORD_LAG_S = 3.0
"""Time after a replica's exit from which a newly read record shows that the
replica is alive, s: one written before the exit has been read by then."""


class Replica:
    """A replica, its connections and what placement knows about it.

    Attributes:
        record: Its newest ``model.ReplicaRecord``.
        view: Its ``knowledge.ReplicaView``.
        pool: Its ``outbound.Pool``.
        record_lapsed: Whether its record lapsed while the store was
            unreachable: it may have left, or may have been unable to write.
        record_malformed: Whether its newest record cannot be decoded, so that
            its state is unknown.
        acceptance: The ``acceptance.Acceptance`` that it has announced.
        reported_leaving_until: Time until which it is taken to be leaving, as
            other entries reported, s (monotonic).
        on_connect: Called with this replica and whether a new connection to it
            was established.
        exited_at: When it was found to have crashed, s (monotonic); None while
            it is assumed to run.
    """

    def __init__(self, loop, record, service, on_change, accepts):
        self.record = record
        self._on_change = on_change
        self.record_lapsed = False
        self.record_malformed = False
        self.exited_at = None
        self.alive_at = float('-inf')
        self.acceptance = accepts
        self.on_connect = lambda replica, established: None
        self.reported_leaving_until = float('-inf')
        self.view = knowledge.ReplicaView(name=record.id,
                                          zone=record.zone,
                                          slots=record.slots,
                                          engine=service.engine,
                                          prompt_cache=prompts.PromptCache(
                                              service.kv_tokens))
        max_size = max(2, int(service.max_connections * CONNECTION_SHARE))
        self.pool = outbound.Pool(
            loop,
            record.addr,
            max_size=max_size,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            on_connect=lambda established: self.on_connect(self, established))

    @property
    def limit(self):
        """The ``announced_limits.AnnouncedLimit`` of ``acceptance``."""
        return self.acceptance.limit

    @property
    def is_leaving(self):
        """Whether its record or one of its responses announced an exit."""
        return (self.acceptance.leaving or
                self.record.status is model.ReplicaStatus.DRAINING)

    def refusal(self, now, *, urgent=True):
        """Returns why it may not receive a request now.

        Args:
            now: Time, s (monotonic).
            urgent: See ``fleet.Fleet.candidates``.

        Returns:
            An ``acceptance.Refusal``, or None if it may receive one.
        """
        if self.is_leaving:
            return acceptance.Refusal.LEAVING
        if self.record_malformed:
            # It may say that the replica leaves.
            return acceptance.Refusal.UNREADABLE
        return self.acceptance.refusal(now, urgent=urgent)

    def record_alive(self, now):
        """Records that a response of it was completed."""
        self.alive_at = now
        self.exited_at = None

    def is_reported_leaving(self, now):
        """Returns whether other entries reported that it is leaving."""
        return now < self.reported_leaving_until

    def is_doubtful(self, now):
        """Returns whether it may be gone, and is used as a last resort."""
        return (self.record_lapsed or self.exited_at is not None or
                self.is_reported_leaving(now))

    def on_record_written(self, now):
        """Called when its record was written again."""
        if (self.exited_at is not None and
                now - self.exited_at > EXIT_RECORD_LAG_S):
            self.exited_at = None

    @contextlib.contextmanager
    def in_flight(self, tokens, *, decode_heavy=False):
        """Counts one request in flight; ``tokens`` of its prompt need prefill.

        Yields:
            A function to call at the first event: prefill is complete.
        """
        pending = [tokens]

        def prefill_done():
            if pending:
                self.view.record_prefilled(pending.pop())
                self._on_change()

        self.view.record_sent(tokens, decode_heavy=decode_heavy)
        self._on_change()
        try:
            yield prefill_done
        finally:
            prefill_done()
            self.view.record_end(decode_heavy=decode_heavy)
            self._on_change()
