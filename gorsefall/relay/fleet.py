"""The replicas that an entry may send to, from the records that they write."""

import functools
import time

from gorsefall import directory
from gorsefall import logs
from gorsefall.policy import acceptance
from gorsefall.policy import entrystatus
from gorsefall.policy import freshness
from gorsefall.policy import softwareversions
from gorsefall.relay import replicas
from gorsefall.relay import topic

REWRITE_GRACE_S = 2.2
"""Time after the store's return until replicas whose records lapsed have
written them again, s; the store's operators state 2 s."""

LAPSE_S = 2 * topic.HEARTBEAT_S
"""Shortest time after which a record lapses when the store is lost, s: the
first of the three heartbeats was due just before."""

MAX_EXIT_REPORTS = 32
"""Most exits in a status message."""

MAX_DESCRIBED_REFUSALS = 6
"""Replicas that an error message lists at most."""

MAX_RETAINED_ACCEPTANCES = 4096
"""Incarnations of replicas whose announcements are retained at most: twice the
replicas planned in two years."""


class Fleet(directory.Directory):
    """All replicas by id.

    Attributes:
        replicas: ``id -> replicas.Replica``.
        versions: The ``softwareversions.VersionHistory`` of their software.
        routes: The ``softwareversions.RouteHistory`` of the services.
        observation: The ``softwareversions.Observation`` of these versions.
        on_version_added: Called with the ``softwareversions.Origin`` of a
            version that serves and has not served of late.
        on_warm_up: Called with a ``replicas.Replica`` and the time, s
            (monotonic), when it was found to warm up.
        paths: The ``paths.Paths`` to them; None to connect from here alone.
        brittle: The ``brittlereplicas.BrittleTracker``; None to use all places.
        confirmation: The ``freshness.Confirmation`` of the records.
    """

    def __init__(self, loop, on_change=lambda: None):
        """Creates a directory without replicas.

        Args:
            loop: The ``reactor.Reactor``.
            on_change: Called when the requests in flight at a replica changed.
        """
        super().__init__()
        self._loop = loop
        self._on_change = on_change
        self.versions = softwareversions.VersionHistory()
        self.routes = softwareversions.RouteHistory()
        self.observation = softwareversions.Observation(freshness.clock)
        self.on_version_added = lambda origin: None
        self.on_warm_up = lambda replica, now: None
        self.paths = None
        self.brittle = None
        self._records = {}
        self._replaced_ids = set()
        self._exited_replicas = {}
        self._acceptances = {}
        self._services = {}
        self._store_lost = False
        self._grace_until = float('-inf')
        self.confirmation = freshness.Confirmation(float('inf'))
        self._trouble_since = None
        self._log = logs.get('fleet')

    def set_services(self, services):
        """Sets the ``name -> model.Service`` of a new configuration."""
        self._services = services
        for record in self._records.values():
            self._refresh(record)

    def put(self, record):
        """Adds or updates a replica by its record."""
        old = self._records.get(record.id)
        rep = self.replicas.get(record.id)
        if old is None and rep is not None:
            # Its record has lapsed, and may be written by a new incarnation.
            old = rep.record
        if old is not None and not old.same_incarnation(record):
            if record.started_at_ms < old.started_at_ms:
                self._log.warning('record_of_an_earlier_start',
                                  replica=record.id,
                                  born=record.started_at_ms,
                                  known=old.started_at_ms)
                return
            self._drop_old_incarnation(record.id)
        self._records[record.id] = record
        self._refresh(record)
        if old is None or old.status is not record.status:
            self._log.info('replica_seen',
                           replica=record.id,
                           service=record.service,
                           software=record.software,
                           zone=record.zone,
                           status=record.status.value)

    def _drop_old_incarnation(self, replica_id):
        """Drops all state of a replica's earlier incarnation.

        The new one has none of its cached prompts, KV backups, counts and
        load. If they were kept, the new incarnation would be avoided for
        failures of the old one and receive requests for prompts that it has
        to prefill again. Runs of the old incarnation end when their
        connections break, with unknown outcome as after any crash; runs sent
        to the new one before its record arrived continue.
        """
        self._replaced_ids.discard(replica_id)
        if replica_id in self.replicas:
            self._drop(replica_id, 'a new incarnation started')

    def _refresh(self, record):
        rep = self.replicas.get(record.id)
        if rep is not None:
            if rep.record.software != record.software:
                self._remove_version(rep.record)
                self._add_version(record)
            rep.record = record
            rep.record_lapsed = rep.record_malformed = False
            rep.on_record_written(time.monotonic())
        elif (record.service in self._services and
              record.id not in self._replaced_ids):
            self.replicas[record.id] = replicas.Replica(
                self._loop, record, self._services[record.service],
                self._on_change, self._acceptance_of(record))
            self.replicas[record.id].on_connect = self._record_connect
            self._add_version(record)
        if record.id in self.replicas:
            self._record_warm_up(self.replicas[record.id])

    def _record_warm_up(self, replica):
        record, warm_up = replica.record, replica.acceptance.warm_up
        if record.service in self._services:
            warm_up.per_s = self._services[record.service].warm_up_per_s
        now = time.monotonic()
        if warm_up.record(record.warm_up_s, record.number, now):
            self.on_warm_up(replica, now)

    def _add_version(self, record):
        before = self.versions.served(record.service, time.monotonic())
        self.versions.add(record.service, record.software)
        if record.software not in before:
            self.on_version_added(
                softwareversions.Origin(record.service, record.software))

    def _remove_version(self, record):
        self.versions.remove(record.service, record.software, time.monotonic())

    def _record_connect(self, replica, established):
        if self.paths is not None:
            self.paths.record_connect(replica, established)

    def _refusal(self, replica, now, *, urgent=True):
        """Returns the ``acceptance.Refusal`` of a request now, or None."""
        if self.brittle is not None and not self.brittle.allows(replica):
            return acceptance.Refusal.BRITTLE
        return replica.refusal(now, urgent=urgent)

    def _has_room(self, replica):
        """Returns whether a connection to a replica is left."""
        if not replica.pool.is_full():
            return True
        return self.paths is not None and self.paths.has_room(replica)

    def _acceptance_of(self, record):
        """Returns the ``acceptance.Acceptance`` of a record's incarnation.

        It is retained when the replica is dropped. If its record only lapsed
        and is written again, or an older one is read, the same incarnation
        would otherwise receive requests that it has refused.
        """
        key = record.id, record.started_at_ms, record.addr
        found = self._acceptances.pop(key, None) or acceptance.Acceptance()
        self._acceptances[key] = found
        if len(self._acceptances) > MAX_RETAINED_ACCEPTANCES:
            del self._acceptances[next(iter(self._acceptances))]
        return found

    def remove(self, replica_id, now):
        """Removes a replica whose record was dropped from the store.

        While the store is unreachable no replica can write, and the records of
        live replicas lapse. Dropping these replicas at once would leave none
        to send to, and requests would be refused just after an outage. The
        replicas remain candidates of last resort until they have had time to
        write again. One whose record was dropped sooner than records lapse has
        left.
        """
        rep = self.replicas.get(replica_id)
        self._records.pop(replica_id, None)
        self._replaced_ids.discard(replica_id)
        if rep is None:
            return
        if self._may_have_lapsed(now):
            rep.record_lapsed = True
            self._log.info('replica_doubtful', replica=replica_id)
            return
        self._drop(replica_id, 'record dropped')

    def _may_have_lapsed(self, now):
        """Returns whether a record that is gone may have lapsed."""
        return ((self._store_lost or now < self._grace_until) and
                freshness.clock() - self._trouble_since >= LAPSE_S)

    def record_exit(self, replica, at, *, reported=False):
        """Records that a ``replicas.Replica`` was found to have crashed.

        Its record remains for some heartbeats. Without a report of the
        exit, each of many entries would detect it by a request of its own,
        which is refused if another replica already uses the address.

        Args:
            replica: The replica.
            at: When it was found, s (monotonic).
            reported: Whether another entry found it.
        """
        if at <= replica.alive_at:
            return
        if replica.exited_at is None:
            replica.exited_at = at
            if not reported:
                self._exited_replicas[replica.record.id] = replica
            self._log.info('replica_ended',
                           replica=replica.record.id,
                           reported=reported)

    def recent_exits(self, now):
        """Returns the ``entrystatus.ReplicaExit`` objects for a status.

        Only exits that this entry found itself are included, so that a message
        does not grow with the number of entries.
        """
        self._exited_replicas = {
            name: rep
            for name, rep in self._exited_replicas.items()
            if rep.exited_at is not None and now -
            rep.exited_at < entrystatus.REPORT_WINDOW_S
        }
        return tuple(
            entrystatus.ReplicaExit(name, rep.record.started_at_ms,
                                    max(0, int((now - rep.exited_at) * 1000)))
            for name, rep in list(self._exited_replicas.items())
            [:MAX_EXIT_REPORTS])

    def handle_status(self, status, now):
        """Handles the ``entrystatus.Status`` of another entry."""
        for report in status.replica_exits:
            rep = self.find(report)
            if rep is not None:
                self.record_exit(rep, now - report.age_ms / 1000, reported=True)

    def find(self, report):
        """Returns the ``replicas.Replica`` of another entry's report.

        Args:
            report: Has a ``replica`` id and the ``started_at_ms`` of its
                incarnation.

        Returns:
            The replica; None if it is not known, or restarted in between.
        """
        rep = self.replicas.get(report.replica)
        if rep is None or rep.record.started_at_ms != report.started_at_ms:
            return None
        return rep

    def drop_replaced(self, replica_id):
        """Drops a replica at whose address another one responds.

        Its record remains for some heartbeats after its exit. If the replica
        were kept, all requests sent to its address in this time would be
        refused: for three seconds after a replica was restarted in place.
        """
        self._replaced_ids.add(replica_id)
        if replica_id in self.replicas:
            self._drop(replica_id, 'another replica has its address')

    def is_listed(self, replica):
        """Returns whether the list still has a replica for new requests.

        Args:
            replica: The ``replicas.Replica`` that was chosen before.
        """
        return (self.replicas.get(replica.record.id) is replica and
                not replica.is_leaving and not replica.record_malformed)

    def is_replaced(self, replica):
        """Returns whether another process has a replica's id or address."""
        record = replica.record
        known = self.replicas.get(record.id, replica)
        return (known is not replica or record.id in self._replaced_ids or
                any(other.addr == record.addr and other.id != record.id
                    for other in self._records.values()))

    def mark_malformed(self, replica_id):
        """Records that a replica's newest record cannot be decoded.

        The replica may have left or moved, so it receives no new requests. Its
        state is kept in case it writes a valid record again.
        """
        rep = self.replicas.get(replica_id)
        if rep is not None:
            rep.record_malformed = True

    def on_confirmed(self, sent_at):
        """Called when all records as of ``sent_at`` were read.

        Args:
            sent_at: Time, s (``freshness.clock``).
        """
        self.confirmation.record_read(sent_at)
        # Without services no replica is kept.
        if self._services:
            self.observation.record(sent_at)

    def keep_only(self, names, now):
        """Removes all replicas but ``names``, the keys of a new snapshot."""
        for replica_id in set(self._records) - names:
            self.remove(replica_id, now)

    @property
    def store_lost(self):
        """Whether the store does not respond, so that records are outdated."""
        return self._store_lost

    def on_store_lost(self):
        """Called when the store does not respond."""
        self._store_lost = True
        if self._trouble_since is None:
            self._trouble_since = self.confirmation.sent_at

    def on_store_regained(self, now):
        """Called when the store responds again."""
        if self._store_lost:
            self._store_lost = False
            self._begin_grace(now)

    def on_store_restored(self, now):
        """Called when the store came back from an older copy.

        The copy lacks replicas that have started since and live.
        """
        self._trouble_since = float('-inf')
        self._begin_grace(now)

    def _begin_grace(self, now):
        self._grace_until = now + REWRITE_GRACE_S
        self._loop.call_later(
            REWRITE_GRACE_S,
            functools.partial(self._drop_lapsed, self._grace_until))

    def _drop_lapsed(self, grace_until):
        if self._store_lost or grace_until != self._grace_until:
            return
        self._trouble_since = None
        for replica_id, rep in list(self.replicas.items()):
            if rep.record_lapsed:
                self._drop(replica_id,
                           'record not written again after an outage')

    def _drop(self, replica_id, reason):
        rep = self.replicas.pop(replica_id)
        rep.pool.close()
        self._remove_version(rep.record)
        self._log.info('replica_gone', replica=replica_id, reason=reason)

    def service(self, name):
        """Returns the ``model.Service`` of that name, or None."""
        return self._services.get(name)

    def of_service(self, service):
        """Returns every replica of a service, a list."""
        return [
            r for r in self.replicas.values() if r.record.service == service
        ]

    def with_other_software(self, service, software):
        """Returns the ids of a service's replicas of other versions, a set."""
        return {
            r.record.id
            for r in self.of_service(service)
            if r.record.software != software
        }

    def accepts_in_s(self, service):
        """Returns the time until a replica of a service accepts requests, s.

        Returns:
            0 if one accepts them now, or if that time is not known.
        """
        now = time.monotonic()
        waits_s = [
            r.acceptance.accepts_in_s(now)
            for r in self.of_service(service)
            if not r.record_malformed and not r.is_leaving
        ]
        return min((s for s in waits_s if s is not None), default=0.0)

    def describe_refusals(self, service):
        """Returns which replicas of a service accept no requests, str."""
        now = time.monotonic()
        reasons = [
            f'{r.record.id} {refusal.value}' for r in self.of_service(service)
            if (refusal := self._refusal(r, now)) is not None
        ]
        return ', '.join(reasons[:MAX_DESCRIBED_REFUSALS])

    def candidates(self, service, exclude, *, urgent=True):
        """See ``directory.Directory``.

        Args:
            service: See there.
            exclude: See there.
            urgent: Whether no request of the service is more urgent. Replicas
                that announce a limit serve the most urgent requests first.
        """
        now = time.monotonic()
        live = [
            r for r in self.of_service(service)
            if r.record.id not in exclude and self._has_room(r) and
            self._refusal(r, now, urgent=urgent) is None
        ]
        return [r for r in live if not r.is_doubtful(now)] or live
