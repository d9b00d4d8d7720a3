"""One send of a request to one replica."""

import contextlib
import time

from gorsefall import digests
from gorsefall.net import outbound
from gorsefall.policy import stalls


class Attempt(outbound.Call):
    """One send of an exchange's request to one replica.

    The ``placement.Choice`` tells what is expected there.
    """

    def __init__(self, exchange, replica, order, choice, *, writes):
        req = exchange.req
        fields = exchange.node.codec.encode_request(req, order)
        super().__init__(req.method, req.target, fields, req.body)
        self._exchange = exchange
        self._priority = order.priority
        self._answer = None
        self.replica = replica
        self.sent_at = time.monotonic()
        self.first_at = None
        self._pulse = stalls.StreamMonitor(replica.view)
        self._choice = choice
        self.conn = None
        self.occupancy = contextlib.ExitStack()
        self.prefill_done = self.occupancy.enter_context(
            replica.in_flight(choice.prefill_tokens, decode_heavy=writes))

    @property
    def response_started(self):
        """Whether the first of its answer has come."""
        return self.first_at is not None

    def log_sent(self, service, number):
        """Logs what decided the send; it is that ``number`` of its request."""
        choice, target, node = (self._choice, self.replica.view,
                                self._exchange.node)
        self._exchange.log.info(
            'sent',
            digest=digests.abbreviate(self._exchange.digest),
            replica=self.replica.record.id,
            service=service,
            attempt=number,
            priority=self._priority,
            outstanding=target.outstanding,
            others=target.others_requests,
            queue_ms=round(choice.queue_ms, 1),
            tokens=choice.prefill_tokens,
            ahead=round(choice.prefill_tokens_ahead),
            source=choice.fetch_source.name if choice.fetch_source else None,
            limit_per_s=self.replica.limit.per_s,
            version=node.table.version,
            proof_age_s=node.confirmation.logged_age_s())

    def record_response_start(self, known):
        """Tells its service's ``pace.ServiceSpeed`` when its answer began."""
        known.record_start(
            (time.monotonic() - self.sent_at) * 1000,
            self._choice.prefill_tokens_ahead + self._choice.prefill_tokens,
            self._choice.slowness)

    def record_duration(self, known):
        """Tells the ``pace.ServiceSpeed`` of its service how long it stayed."""
        known.residence.record((time.monotonic() - self.sent_at) * 1000)

    def record_events(self, count):
        """Notes that events of its stream came together."""
        self._pulse.record_events(count, time.monotonic())

    @property
    def longest_pause_s(self):
        """Longest pause between events of its stream, s."""
        return self._pulse.longest_pause_s

    def pause(self):
        """Reads no more until its caller has taken what came."""
        self._pulse.record_pause()
        self.conn.pause()

    def matches_response(self, status, fields):
        """See ``outbound.Call``."""
        self._answer = self._exchange.node.codec.decode_response(status, fields)
        return self._answer.request_id in (None, self._exchange.req.id)

    def on_head(self, status, fields):
        """See ``outbound.Call``; ``matches_response`` has decoded it."""
        load = self._answer.load
        if load is not None:
            self._exchange.node.record_load(self.replica, load)
        if not self._answer.misdirected:
            self._exchange.node.limit_tracker.record_response(
                self.replica, self._answer.limit_per_s)
        self._exchange.on_response_head(self._answer)

    def on_data(self, data):
        """See ``outbound.Call``."""
        self._exchange.on_response_data(self, data)

    def on_end(self):
        """See ``outbound.Call``."""
        self._exchange.on_response_end(self, self._answer)

    def on_fail(self, failure):
        """See ``outbound.Call``."""
        self._exchange.on_attempt_failed(self, failure)
