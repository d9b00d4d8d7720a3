"""Stores which software versions and services may have begun streams.

Entries tell each other which versions serve, and forget it with their process.
What is stored proves that no other version has begun a stream: whoever begins
one at a version, or through a route, has seen its record before. So an entry
that has just started learns from the store which versions the streams have that
it is to go on with. Versions that no replica has any more are dropped. The
services that each route has led to of late are stored likewise.
No time is stored: clocks differ, and each entry measures the time by its own.

One entry by hash, the keeper, writes what all see and drops what none does. The
others write what it has not written in time, at once if a stream waits for it.
"""

import random

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import rendezvous
from gorsefall.policy import softwareversions
from gorsefall.relay import eraproof
from gorsefall.relay import missingrecords
from gorsefall.relay import recorddrops
from gorsefall.relay import recordwaits
from gorsefall.relay import routerecord
from gorsefall.relay import snapshots
from gorsefall.relay import syncschedule
from gorsefall.relay import topic
from gorsefall.relay import versionrecords

START_SPREAD_S = 0.3
"""Range of the delay of the first read, s: many entries may start at once."""

STARTING_S = 2.0
"""Time after which an entry knows the others and so whether it is the keeper,
s."""

FOLLOW_RANGE_S = (0.05, 0.3)
"""Range of the time after which others read what the keeper writes at once,
s."""

WRITE_DELAY_RANGE_S = (0.3, 1.0)
"""Range of the time after which entries write that are not the keeper, s,
should it be gone."""

URGENT_SPREAD_S = 0.0001
"""Range of the delay of an urgent read for each entry there is, s: all may have
streams that wait for the same record, which one of them writes."""

MAX_WRITE_BYTES = 1 << 16
"""Most data of one write, bytes."""

RETRY_RANGE_S = (0.5, 1.5)
"""Range of the pause after a failed call, s."""

UPKEEP_PERIOD_S = 10.0
"""Period in which the keeper reads what is stored, s: a late or repeated call
may have changed it."""

DROP_UPKEEPS = 3
"""Upkeeps after which a keeper drops versions: others tell it every 10 s of
those that run without records."""

ROUTES_DELAY_S = 0.5
"""Time for which changes of routes are collected, s: configurations may come in
quick succession."""

READ_TIMEOUT_S = 0.1
"""Longest wait of a stream that is taken up for the store, s: the same as for
other entries."""


class VersionStore:
    """Writes and reads the versions.

    Attributes:
        reader_names: Returns the names of all live entries that read the store.
        witnesses: The ``versionwitnesses.VersionWitnesses``; None without any.
    """

    def __init__(self, loop, source, fleet, name, rng=random):
        """Creates a store of which nothing is known.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``topic.Source``.
            fleet: The ``fleet.Fleet``.
            name: Name of this entry.
            rng: A ``random.Random``.
        """
        self._loop = loop
        self._source = source
        self._reader = snapshots.SnapshotReader(loop, source)
        self._fleet = fleet
        self._name = name
        self._rng = rng
        self._missing = missingrecords.MissingRecords()
        self._waits = recordwaits.RecordWaits(loop, self._on_silent)
        self._drops = recorddrops.RecordDrops()
        self._schedule = syncschedule.SyncSchedule(
            loop, rng, lambda: self._read(self._sync))
        self._read_at = float('-inf')
        self._has_started = self._routes_changed = False
        self._is_silent = False
        self._proof = eraproof.EraProof(loop)
        self._upkeeps = 0
        self._log = logs.get('versions')
        self.reader_names = lambda: [name]
        self.witnesses = None
        fleet.routes.on_changed = self._on_routes_changed
        loop.call_later(STARTING_S, self._upkeep)

    # -- what is stored --------------------------------------------------------

    def unrecorded(self, service):
        """Returns versions of a service that are not known to be stored."""
        return self._missing.versions(service)

    def admit(self, beginning, retry):
        """Returns whether a stream may begin now.

        While the store does not answer, streams begin at what is not stored:
        otherwise none would be served.

        Args:
            beginning: The ``missingrecords.Beginning``.
            retry: Called later if not.
        """
        if (self._is_silent or self._fleet.store_lost or
                not self._bars(beginning)):
            return True
        self._waits.add(beginning, retry)
        self._hasten()
        return False

    def on_stream_begun(self, beginning):
        """Called when a caller gets events of a stream."""
        if self._missing.bars(beginning):
            self._hasten()

    def _bars(self, beginning):
        return not self._is_current() or self._missing.bars(beginning)

    def _is_current(self):
        """Whether all versions were seen that have come since the last read.

        Otherwise one may have been dropped and come back meanwhile.
        """
        age_s = self._loop.now - self._read_at
        return age_s <= (self._fleet.observation.age_s +
                         softwareversions.MAX_GAP_S)

    def _on_silent(self):
        self._is_silent = True
        self._waits.give_up()

    def read(self, done):
        """Reads which versions may have begun streams.

        Args:
            done: Called with the ``versionrecords.StoredVersions``, or None if
                the store does not show any in time.
        """
        waiting = [done]

        def finish(found):
            if waiting:
                timer.cancel()
                proven = found is not None and found.proven
                metrics.VERSION_READS.labels(
                    'proven' if proven else 'unproven').inc()
                waiting.pop()(found)

        def on_read(stored, exc):
            finish(stored if exc is None else None)

        timer = self._loop.call_later(READ_TIMEOUT_S, lambda: finish(None))
        self._read(on_read)

    def _read(self, done):
        asked_at = self._loop.now

        def on_snapshot(snapshot, exc):
            stored = None
            if exc is None:
                stored = self._proof.check_first(
                    versionrecords.decode(snapshot))
                self._record_read(stored, asked_at)
            done(stored, exc)

        self._reader.read(on_snapshot)

    def _record_read(self, stored, asked_at):
        routes = self._fleet.routes
        if self._proof.record_era(stored.era):
            self._missing.add_routes(routes.current())
        self._read_at = asked_at
        self._schedule.failed = self._is_silent = False
        self._missing.update(stored, self._lacking(stored), routes)
        self._waits.release(self._bars)
        if self._missing.origins:
            self._schedule.begin_within(FOLLOW_RANGE_S)

    # -- writing ---------------------------------------------------------------

    def on_version_added(self, origin):
        """Has a version stored that was added.

        Args:
            origin: Its ``softwareversions.Origin``.
        """
        served = self._fleet.versions.served(origin.service, self._loop.now)
        self._log.info('version_seen',
                       service=origin.service,
                       version=origin.software,
                       served=sorted(served),
                       keeper=self.keeper())
        self._missing.add_origins({origin})
        if self._proof.era is None:
            self._schedule.begin_within((0.0, START_SPREAD_S))
        elif self._keeps():
            self._schedule.begin_in(0.0)
        else:
            self._schedule.begin_within(FOLLOW_RANGE_S)

    def _on_routes_changed(self, added):
        self._missing.add_routes(added)
        if self._has_started and not self._routes_changed:
            self._routes_changed = True
            self._loop.call_later(ROUTES_DELAY_S, self._store_routes)

    def _store_routes(self):
        self._routes_changed = False
        self._sync_if_keeper()

    def _sync_if_keeper(self):
        if self._is_keeper():
            self._schedule.begin_in(0.0)

    def on_store_restored(self):
        """Called when the store came back from an older copy."""
        self._proof.on_store_restored()
        self._missing.add_origins(
            self._fleet.versions.all_origins(self._loop.now))
        self._missing.add_routes(self._fleet.routes.current())
        # All entries learn of it at the same moment.
        first = self._is_keeper()
        self._schedule.begin_within((0.0,
                                     0.0) if first else WRITE_DELAY_RANGE_S)
        # The topic of the replicas may be regained later.
        self._loop.call_later(STARTING_S, self._sync_if_keeper)

    def _upkeep(self):
        """Has the keeper make up for what was lost, dropped or has gone."""
        self._loop.call_later(UPKEEP_PERIOD_S, self._upkeep)
        self._has_started = True
        self._proof.ask_again()
        self._upkeeps = self._upkeeps + 1 if self._is_keeper() else 0
        if not self._upkeeps:
            self._drops.reset()
        self._sync_if_keeper()

    def keeper(self):
        """Returns the name of the entry that stores versions; None if none."""
        return next(iter(rendezvous.top(b'versions', self.reader_names(), 1)),
                    None)

    def _is_keeper(self):
        return self.keeper() == self._name

    def _keeps(self):
        """Whether this entry knows that it is the keeper."""
        return self._has_started and self._is_keeper()

    def _hasten(self):
        """Has what is missing written soon, as streams begin at it."""
        self._schedule.hasten(URGENT_SPREAD_S * len(self.reader_names()))

    def _sync(self, stored, exc):
        """Writes what the store lacks, and reads again, if anything."""
        if exc is not None:
            self._log.warning('not_read', error=str(exc))
            self._schedule.failed = True
            self._schedule.again_within(RETRY_RANGE_S)
            return
        records = self._next_records(stored)
        if records and self._writes():
            self._write(records, stored.end)
        elif records and self._missing.origins:
            self._schedule.waited = True
            self._schedule.again_within(WRITE_DELAY_RANGE_S)
        elif not records and self._needs_witnesses(stored):
            self.witnesses.ask(
                lambda found: self._on_witnessed(stored.era, found))
        else:
            self._schedule.end()

    def _writes(self):
        """Whether this entry writes what is missing now."""
        return (self._schedule.urgent or self._schedule.waited or
                not self._has_started or self._is_keeper())

    def _needs_witnesses(self, stored):
        """Whether others have to say what an older copy may have lost."""
        return (self.witnesses is not None and self._is_keeper() and
                self._proof.may_ask() and not stored.in_era and
                not self._proves(stored))

    def _on_witnessed(self, era, origins):
        self._proof.on_witnessed(era, origins)
        if origins is None:
            self._log.info('versions_unwitnessed', era=era)
            self._schedule.again_within(RETRY_RANGE_S)
        else:
            self._schedule.again_within((0.0, 0.0))

    def _proves(self, stored):
        return self._proof.holds(stored.era, observes=self._observes())

    def _observes(self):
        """Whether this entry has seen all versions of the whole time."""
        return (self._fleet.observation.covers() and not self._fleet.store_lost)

    def _next_records(self, stored):
        """Returns the ``topic.NewRecord`` objects to be written, a list.

        Args:
            stored: The ``versionrecords.StoredVersions``.
        """
        missing = self._lacking(stored)
        if not stored.proven:
            missing |= self._proof.witnessed - stored.origins
        records = _first_bytes(
            versionrecords.encode(o) for o in sorted(missing))
        if len(records) < len(missing):
            return records
        covers = self._observes()
        proves = self._proves(stored)
        routes = self._next_routes(stored, covers)
        if routes != stored.routes and (self._keeps() or
                                        self._missing.any_routes() or
                                        (proves and not stored.in_era)):
            records.append(
                topic.NewRecord(versionrecords.ROUTES_KEY,
                                routerecord.encode(routes)))
        # It says that all versions are stored, so none may be left for later.
        if not stored.in_era and proves:
            records.append(versionrecords.encode_era(stored.era))
        # The keeper alone is told of streams whose version has no replicas.
        if (not records and covers and self._keeps() and
                self._upkeeps >= DROP_UPKEEPS):
            records = self._drops.due_records(stored, self._fleet.versions,
                                              self._loop.now)
        return records

    def _lacking(self, stored):
        return missingrecords.lacking(stored, self._fleet.versions,
                                      self._loop.now)

    def _next_routes(self, stored, covers):
        """Returns the routes that are to be stored, see ``routerecord``."""
        now = self._loop.now
        own = routerecord.from_history(self._fleet.routes.all_of_late(now))
        routes = routerecord.join(own, stored.routes)
        if covers and stored.in_era and self._keeps():
            routes = routerecord.without(
                routes, self._drops.due_routes(stored, own, now))
        return routes

    def _write(self, records, end):
        """Writes records if nothing was written meanwhile, and reads again."""

        def on_written(position, exc):
            del position
            if exc is None:
                for record in records:
                    self._log_stored(record)
            failed = exc and not isinstance(exc, errors.ConflictError)
            self._schedule.failed = bool(failed)
            self._schedule.again_within(RETRY_RANGE_S if failed else (0.0, 0.0))

        self._source.append_all_at(records, end, topic.SILENCE_TIMEOUT_S,
                                   on_written)

    def _log_stored(self, record):
        if record.key == versionrecords.ROUTES_KEY:
            self._log.info('routes_stored', size=len(record.value))
        else:
            self._log.info('version_stored',
                           version=record.value.decode(),
                           key=record.key)


def _first_bytes(records):
    """Returns the first records that make one write, a list."""
    found, size = [], 0
    for record in records:
        size += len(record.key) + len(record.value)
        if found and size > MAX_WRITE_BYTES:
            break
        found.append(record)
    return found
