"""The replicas an entry may send to, from the replicas' own records."""

import contextlib
import time

from gorsefall import directory
from gorsefall import logs
from gorsefall.net import outbound
from gorsefall.policy import announced_limits
from gorsefall.policy import knowledge
from gorsefall.policy import membership
from gorsefall.policy import prompts
from gorsefall.relay import model

CONNECT_TIMEOUT_S = 0.25
"""Longest time to connect to a replica, s; a way there and back takes 2 ms,
and the shortest callers wait 600 ms in all."""

CONNECTION_SHARE = 1 / 6
"""Part of a replica's connections that one entry may hold; there are 6 to 7
entries, which are rarely at their cap at once."""

REWRITE_GRACE_S = 2.2
"""Time after the store's return in which replicas whose records lapsed
meanwhile write them again, s; the store's operators name 2 s."""

EXIT_RECORD_LAG_S = 3.0
"""Time after which a record shows that a replica lives that was found to have
ended, s: one written before its end is read by then."""

EXIT_REPORT_WINDOW_S = 6.0
"""Time for which a message tells of such an end, s: twice and more to each of
hundreds of entries."""

MAX_EXIT_REPORTS = 32
"""Ends told of in a message."""


class Replica:
    """A replica, its connections and what placement knows of it.

    Attributes:
        record: Its newest ``model.ReplicaRecord``.
        target: Its ``knowledge.ReplicaView``.
        pool: Its ``outbound.Pool``.
        doubtful: Its record lapsed while the store was away: it may have
            left, or may just not have been able to write.
        spoilt: Its newest record cannot be read: nothing is known of it.
        limit: The ``announced_limits.AnnouncedLimit`` that it takes.
        ended_at: When it was found to have crashed, s (monotonic); None while
            it is believed to run.
    """

    def __init__(self, loop, record, service, on_change):
        self.record = record
        self._changed = on_change
        self.record_lapsed = False
        self.record_malformed = False
        self.exited_at = None
        self.limit = announced_limits.AnnouncedLimit()
        self.view = knowledge.ReplicaView(name=record.id,
                                          zone=record.zone,
                                          slots=record.slots,
                                          engine=service.engine,
                                          prompt_cache=prompts.PromptCache(
                                              service.kv_tokens))
        cap = max(2, int(service.max_connections * CONNECTION_SHARE))
        self.pool = outbound.Pool(loop,
                                  record.addr,
                                  max_size=cap,
                                  connect_timeout_s=CONNECT_TIMEOUT_S)

    def on_record_written(self, now):
        """Notes that its record was written anew."""
        if (self.exited_at is not None and
                now - self.exited_at > EXIT_RECORD_LAG_S):
            self.exited_at = None

    @contextlib.contextmanager
    def in_flight(self, tokens, *, decode_heavy=False):
        """Counts one request in flight; ``tokens`` of prompt are to be read.

        Yields:
            A function to call when the first event came: the prompt is read.
        """
        unread = [tokens]

        def prompt_read():
            if unread:
                self.view.record_prefilled(unread.pop())
                self._changed()

        self.view.record_sent(tokens, decode_heavy=decode_heavy)
        self._changed()
        try:
            yield prompt_read
        finally:
            prompt_read()
            self.view.record_end(decode_heavy=decode_heavy)
            self._changed()


class Fleet(directory.Directory):
    """All replicas by id.

    Attributes:
        replicas: ``id -> Replica``.
    """

    def __init__(self, loop, on_change=lambda: None):
        """Creates a directory without replicas.

        Args:
            loop: The ``reactor.Reactor``.
            on_change: Called when the work under way at a replica changed.
        """
        super().__init__()
        self._loop = loop
        self._changed = on_change
        self._records = {}
        self._replaced = set()
        self._ended = {}
        self._services = {}
        self._away = False
        self._doubt_until = float('-inf')
        self._log = logs.get('fleet')

    def set_services(self, services):
        """Adopts the ``name -> model.Service`` of a new configuration."""
        self._services = services
        for record in self._records.values():
            self._refresh(record)

    def put(self, record):
        """Adopts a replica's record."""
        old = self._records.get(record.id)
        if old is not None and not old.same_incarnation(record):
            if record.started_at_ms < old.started_at_ms:
                self._log.warning('record_of_an_earlier_start',
                                  replica=record.id,
                                  born=record.started_at_ms,
                                  known=old.started_at_ms)
                return
            self._started_again(record.id)
        self._records[record.id] = record
        self._refresh(record)
        if old is None or old.status is not record.status:
            self._log.info('replica_seen',
                           replica=record.id,
                           service=record.service,
                           zone=record.zone,
                           status=record.status.value)

    def _started_again(self, replica_id):
        """Forgets all that is believed of a replica's earlier start.

        It holds nothing of before: cached prompts, copies, counts and load.
        Without this its new start is judged by failures of the old one, and
        requests are kept for prompts that it would have to read anew. Runs of
        the old start end with their own channels, in doubt as after any
        crash; those sent to the new one before its record came live on.
        """
        self._replaced.discard(replica_id)
        if replica_id in self.replicas:
            self._drop(replica_id, 'it started again')

    def _refresh(self, record):
        rep = self.replicas.get(record.id)
        if rep is not None:
            rep.record = record
            rep.record_lapsed = rep.record_malformed = False
            rep.on_record_written(time.monotonic())
        elif (record.service in self._services and
              record.id not in self._replaced):
            self.replicas[record.id] = Replica(self._loop, record,
                                               self._services[record.service],
                                               self._changed)

    def remove(self, replica_id, now):
        """Drops a replica whose record is gone.

        While the store was away no replica could write, and records lapsed
        of replicas that live on. Dropping those at once would leave no
        replica to send to (noticed as refusals just after an outage), so
        they stay as a last resort until they had time to write again.
        """
        rep = self.replicas.get(replica_id)
        self._records.pop(replica_id, None)
        self._replaced.discard(replica_id)
        if rep is None:
            return
        if self._away or now < self._doubt_until:
            rep.record_lapsed = True
            self._log.info('replica_doubtful', replica=replica_id)
            return
        self._drop(replica_id, 'record gone')

    def record_exit(self, replica, at):
        """Notes that a ``Replica`` was found to have ended, unannounced.

        Its record stays for some heartbeats. Without this each of many
        entries finds out by a request of its own, and where the replica is
        back at its address as another one, that request is refused.
        """
        if replica.exited_at is None:
            replica.exited_at = at
            self._ended[replica.record.id] = replica
            self._log.info('replica_ended', replica=replica.record.id)

    def recent_exits(self, now):
        """Returns the ``membership.ReplicaExit`` objects for a status."""
        self._ended = {
            name: rep
            for name, rep in self._ended.items()
            if rep.exited_at is not None and now -
            rep.exited_at < EXIT_REPORT_WINDOW_S
        }
        return tuple(
            membership.ReplicaExit(name, rep.record.started_at_ms,
                                   max(0, int((now - rep.exited_at) * 1000)))
            for name, rep in list(self._ended.items())[:MAX_EXIT_REPORTS])

    def handle_status(self, status, now):
        """Takes in what the ``membership.Status`` of another entry tells."""
        for end in status.replica_exits:
            rep = self.replicas.get(end.replica)
            if (rep is not None and
                    rep.record.started_at_ms == end.started_at_ms):
                self.record_exit(rep, now - end.age_ms / 1000)

    def drop_replaced(self, replica_id):
        """Drops a replica whose address another one answers at.

        Its record stays for some heartbeats after its end. Without this every
        request of that time which is sent there is refused (noticed as
        refusals for three seconds after a replica was restarted in place).
        """
        self._replaced.add(replica_id)
        if replica_id in self.replicas:
            self._drop(replica_id, 'another replica has its address')

    def mark_malformed(self, replica_id):
        """Notes that a replica's newest record cannot be read.

        It may have left or moved, so it gets no new work, and what is known
        of it is kept for when it has written again.
        """
        rep = self.replicas.get(replica_id)
        if rep is not None:
            rep.record_malformed = True

    def keep_only(self, names, now):
        """Drops all replicas but ``names``, the keys of a new listing."""
        for replica_id in set(self._records) - names:
            self.remove(replica_id, now)

    def on_store_lost(self):
        """Notes that the store does not answer."""
        self._away = True

    def on_store_regained(self, now):
        """Notes that the store answers again."""
        if self._away:
            self._away = False
            self._doubt_until = now + REWRITE_GRACE_S
            self._loop.call_later(REWRITE_GRACE_S, self._settle)

    def _settle(self):
        if self._away:
            return
        for replica_id, rep in list(self.replicas.items()):
            if rep.record_lapsed:
                self._drop(replica_id, 'record not back after an outage')

    def _drop(self, replica_id, reason):
        rep = self.replicas.pop(replica_id)
        rep.pool.close()
        self._log.info('replica_gone', replica=replica_id, reason=reason)

    def service(self, name):
        """Returns the ``model.Service`` of that name, or None."""
        return self._services.get(name)

    def of_service(self, service):
        """Returns every replica of a service, a list."""
        return [
            r for r in self.replicas.values() if r.record.service == service
        ]

    def candidates(self, service, exclude, *, urgent=True):
        """See ``directory.Directory``.

        Args:
            service: See there.
            exclude: See there.
            urgent: Whether no other request is more urgent at the service: of
                replicas that announce a limit it has the first claim.
        """
        now = time.monotonic()
        live = [
            r for r in self.of_service(service)
            if r.record.id not in exclude and not r.record_malformed and
            r.record.status is model.ReplicaStatus.READY and
            not r.pool.is_full() and r.limit.allows(now, urgent=urgent)
        ]
        return [r for r in live if not r.record_lapsed and r.exited_at is None
               ] or live
