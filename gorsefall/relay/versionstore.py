"""Stores which software versions and services may have begun streams.

Entries tell each other which versions serve, and forget it with their process.
A version is stored before streams begin at it, and dropped by an entry that has
seen for long enough that no replica has it. So an entry that has just started
learns from the store which versions the streams have that it is to go on with.
The services that each route has led to of late are stored likewise.
No time is stored: clocks differ, and each entry measures the time by its own.

One entry by hash, the keeper, stores what all see. The others only make sure of
versions that come beside another one, at which streams can begin meanwhile.
"""

import random

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import rendezvous
from gorsefall.relay import routerecord
from gorsefall.relay import snapshots
from gorsefall.relay import topic
from gorsefall.relay import versionrecords

START_SPREAD_S = 0.3
"""Range of the delay of the first read, s: many entries may start at once."""

STARTING_S = 2.0
"""Time after which an entry knows the others and so whether it is the keeper,
s."""

WRITE_DELAY_RANGE_S = (0.3, 1.0)
"""Range of the time after which entries write that are not the keeper, s,
should it be gone."""

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

MAX_ASKS = 3
"""How often all entries are asked after an older copy; messages may be lost."""

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
        self._pending = set()
        self._has_read = self._has_started = False
        self._syncing = self._routes_changed = False
        self._was_written = False
        self._began_era = None
        self._asks_left = self._upkeeps = 0
        self._witnessed = frozenset()
        self._log = logs.get('versions')
        self.reader_names = lambda: [name]
        self.witnesses = None
        fleet.routes.on_changed = self._on_routes_changed
        loop.call_later(STARTING_S, self._upkeep)

    # -- what is stored --------------------------------------------------------

    def unrecorded(self, service):
        """Returns versions of a service that are not known to be stored, a set.

        Only such as came beside another one, which is to be preferred.
        """
        return {v.software for v in self._pending if v.service == service}

    def read(self, done):
        """Reads which versions may have begun streams.

        Args:
            done: Called with the ``versionrecords.StoredVersions``, or None if
                the store does not show them in time.
        """
        waiting = [done]

        def finish(found):
            if waiting:
                timer.cancel()
                metrics.VERSION_READS.labels('unproven' if found is
                                             None else 'proven').inc()
                waiting.pop()(found)

        def on_read(stored, exc):
            finish(stored if exc is None and stored.proven else None)

        timer = self._loop.call_later(READ_TIMEOUT_S, lambda: finish(None))
        self._read(on_read)

    def _read(self, done):

        def on_snapshot(snapshot, exc):
            stored = None
            if exc is None:
                stored = self._check_first(versionrecords.decode(snapshot))
                self._has_read = True
                self._pending -= stored.origins
            done(stored, exc)

        self._reader.read(on_snapshot)

    def _check_first(self, stored):
        """Returns what was read; an empty topic proves nothing once it was not.

        The store may have come back from a copy older than the first record.
        """
        self._was_written |= stored.end > 0
        if stored.end or not self._was_written:
            return stored
        return stored._replace(proven=False, in_era=False)

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
        if len(served) > 1:
            self._pending.add(origin)
            starts = not self._has_read
            self._sync_in(self._rng.uniform(0, START_SPREAD_S * starts))
        elif self._has_started and self._is_keeper():
            self._sync_in(0.0)

    def _on_routes_changed(self):
        if self._has_started and not self._routes_changed:
            self._routes_changed = True
            self._loop.call_later(ROUTES_DELAY_S, self._store_routes)

    def _store_routes(self):
        self._routes_changed = False
        self._sync_if_keeper()

    def _sync_if_keeper(self):
        if self._is_keeper():
            self._sync_in(0.0)

    def on_store_restored(self):
        """Called when the store came back from an older copy."""
        self._was_written = True
        self._asks_left = MAX_ASKS
        self._pending |= self._fleet.versions.all_origins(self._loop.now)
        # All entries learn of it at the same moment.
        first = self._is_keeper()
        self._sync_in(0.0 if first else self._rng.uniform(*WRITE_DELAY_RANGE_S))
        # The topic of the replicas may be regained later.
        self._loop.call_later(STARTING_S, self._sync_if_keeper)

    def _upkeep(self):
        """Has the keeper make up for what was lost, dropped or has gone."""
        self._loop.call_later(UPKEEP_PERIOD_S, self._upkeep)
        self._has_started = True
        # One that was frozen before may answer now.
        self._asks_left = max(1, self._asks_left)
        self._upkeeps = self._upkeeps + 1 if self._is_keeper() else 0
        self._sync_if_keeper()

    def keeper(self):
        """Returns the name of the entry that stores versions; None if none."""
        return next(iter(rendezvous.top(b'versions', self.reader_names(), 1)),
                    None)

    def _is_keeper(self):
        return self.keeper() == self._name

    def _sync_in(self, delay_s):
        if not self._syncing:
            self._syncing = True
            self._loop.call_later(delay_s, lambda: self._read(self._sync))

    def _sync(self, stored, exc, *, waited=False):
        """Writes one record that the store lacks, and reads again, if any."""
        if exc is not None:
            self._log.warning('not_read', error=str(exc))
            self._read_again(RETRY_RANGE_S)
            return
        if not self._was_written:
            self._began_era = stored.era
        if self._needs_witnesses(stored):
            self.witnesses.ask(lambda found: self._on_witnessed(stored, found))
            return
        self._pending &= self._fleet.versions.all_origins(self._loop.now)
        writes = waited or self._is_keeper()
        record = self._next_record(stored)
        if record is None:
            self._syncing = False
        elif writes:
            self._write(*record, stored.end)
        elif self._pending:
            self._read_again(WRITE_DELAY_RANGE_S, waited=True)
        else:
            self._syncing = False

    def _needs_witnesses(self, stored):
        """Whether others have to say what an older copy may have lost."""
        return (self.witnesses is not None and self._is_keeper() and
                self._asks_left > 0 and not stored.in_era and
                not self._observes())

    def _on_witnessed(self, stored, origins):
        if origins is None:
            self._asks_left -= 1
            self._log.info('versions_unwitnessed', era=stored.era)
            self._read_again(RETRY_RANGE_S)
            return
        self._witnessed = frozenset(origins)
        self._began_era = stored.era
        self._asks_left = 0
        self._read(self._sync)

    def _observes(self):
        """Whether this entry has seen all versions of the whole time."""
        return (self._fleet.observation.covers() and not self._fleet.store_lost)

    def _read_again(self, range_s, *, waited=False):
        self._loop.call_later(
            self._rng.uniform(*range_s), lambda: self._read(
                lambda stored, exc: self._sync(stored, exc, waited=waited)))

    def _next_record(self, stored):
        """Returns the next key and value to be written; None if there is none.

        Args:
            stored: The ``versionrecords.StoredVersions``.
        """
        origins = self._fleet.versions.all_origins(self._loop.now)
        if not stored.proven:
            origins |= self._witnessed
        covers = self._observes()
        missing, old = origins - stored.origins, stored.origins - origins
        if missing:
            return versionrecords.encode(min(missing))
        routes = routerecord.from_history(
            self._fleet.routes.all_of_late(self._loop.now))
        if not (covers and stored.in_era):
            routes = routerecord.join(routes, stored.routes)
        proves = covers or self._began_era == stored.era
        if routes != stored.routes and (self._is_keeper() or
                                        (proves and not stored.in_era)):
            return versionrecords.ROUTES_KEY, routerecord.encode(routes)
        if not stored.in_era and proves:
            return versionrecords.ERA_KEY, versionrecords.encode_era(stored.era)
        # The keeper alone is told of streams whose version has no replicas.
        if (covers and old and self._is_keeper() and
                self._upkeeps >= DROP_UPKEEPS):
            return versionrecords.encode(min(old))[0], b''
        return None

    def _write(self, key, value, end):
        """Writes a record if nothing was written meanwhile, and reads again."""

        def on_written(position, exc):
            del position
            if exc is None:
                self._log_stored(key, value)
            failed = exc and not isinstance(exc, errors.ConflictError)
            self._read_again(RETRY_RANGE_S if failed else (0.0, 0.0))

        self._source.append_at(key, value, end, topic.SILENCE_TIMEOUT_S,
                               on_written)

    def _log_stored(self, key, value):
        if key == versionrecords.ROUTES_KEY:
            self._log.info('routes_stored', size=len(value))
        else:
            self._log.info('version_stored', version=value.decode(), key=key)
