"""Stores which software versions may have begun streams.

Entries tell each other which versions serve, and forget it with their process.
A version is stored before streams begin at it, and dropped by an entry that has
seen for long enough that no replica has it. So an entry that has just started
learns from the store which versions the streams have that it is to go on with.
No time is stored: clocks differ, and each entry measures the time by its own.
"""

import msgspec

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import rendezvous
from gorsefall.policy import softwareversions
from gorsefall.relay import topic

START_SPREAD_S = 1.0
"""Range of the delay of the first read, s: many entries may start at once, and
one of them writes what the others then find."""

STARTING_S = 3.0
"""Time for which an entry counts as starting, s."""

WRITE_DELAY_RANGE_S = (0.3, 1.0)
"""Range of the time after which entries write that are not the one by hash, s,
should that one be gone."""

RETRY_PAUSE_S = 0.5
"""Pause after a failed call, s."""

DROP_PERIOD_S = 10.0
"""Period of the checks for versions that nobody has any more, s."""

READ_TIMEOUT_S = 0.1
"""Longest wait of a stream that is taken up for the store, s: the same as for
other entries."""

_ERA_KEY = 'era'
"""Key of the era in which all versions are known to be stored. It begins like
no key of a version."""


class _StoredOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The key of a version, JSON.

    Attributes:
        service: Name of the service.
        software: The version.
    """
    service: str
    software: str


_DECODER = msgspec.json.Decoder(_StoredOrigin)


def encode_key(origin):
    """Returns the key of a ``softwareversions.Origin``."""
    return msgspec.json.encode(_StoredOrigin(*origin)).decode()


def _decode_key(key):
    stored = _DECODER.decode(key)
    return softwareversions.Origin(stored.service, stored.software)


class StoredVersions:
    """What a read of the topic shows.

    Attributes:
        origins: The ``softwareversions.Origin`` objects, a frozenset.
        end: Offset after the last record.
        era: The ``ids.Era`` of the store.
        proven: Whether all versions that may have begun streams are among
            them. A store that came back from an older copy may lack some until
            an entry that outlasted it has written them again.
    """

    def __init__(self, records, end, era):
        """Decodes the records; malformed ones are left out and not proven.

        Args:
            records: ``changes.Record`` objects.
            end: See the class.
            era: See the class.
        """
        found, proven_era, whole = set(), None, True
        for record in records:
            if record.key == _ERA_KEY:
                proven_era = record.value
                continue
            try:
                found.add(_decode_key(record.key))
            except msgspec.DecodeError:
                whole = False
        self.origins = frozenset(found)
        self.end = end
        self.era = era
        self.proven = whole and proven_era == _encode_era(era)


def _encode_era(era):
    return b'%d' % era


class _Read:
    """A read of all pages, for all that asked before it was sent."""

    def __init__(self, source, done):
        self._source = source
        self._done = done
        self._records = []
        self._next('')

    def _next(self, after):
        self._source.read_snapshot(after, topic.SILENCE_TIMEOUT_S,
                                   self._on_page)

    def _on_page(self, page, exc):
        if exc is not None:
            self._done(None, exc)
            return
        self._records.extend(page.records)
        if page.more and page.records:
            self._next(page.records[-1].key)
        else:
            self._done(StoredVersions(self._records, page.end, page.era), None)


class VersionStore:
    """Writes and reads the versions.

    Attributes:
        entry_names: Returns the names of this entry and of all other live ones,
            this one first.
    """

    def __init__(self, loop, source, versions, observation, rng):
        """Creates a store of which nothing is known.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``topic.Source``.
            versions: The ``softwareversions.VersionHistory``.
            observation: The ``softwareversions.Observation``.
            rng: A ``random.Random``.
        """
        self._loop = loop
        self._source = source
        self._versions = versions
        self._observation = observation
        self._rng = rng
        self._started_at = loop.now
        self._recorded = set()
        self._era = None
        self._reading = False
        self._waiting = []
        self._syncing = False
        self._era_is_proven = False
        self._log = logs.get('versions')
        self.entry_names = lambda: ['']
        loop.call_later(DROP_PERIOD_S, self._drop_old)

    # -- what is stored --------------------------------------------------------

    def unrecorded(self, service):
        """Returns the versions of a service that are not stored yet, a set.

        Empty if none is: there is no other one to prefer.
        """
        served = self._versions.served(service, self._loop.now)
        missing = {
            software for software in served
            if softwareversions.Origin(service, software) not in self._recorded
        }
        return missing if len(missing) < len(served) else set()

    def read(self, services, done):
        """Reads which versions of services may have begun streams.

        Args:
            services: Names of the services.
            done: Called with a frozenset of ``softwareversions.Origin``
                objects, or None if the store does not show it in time.
        """
        pending = [done]

        def finish(stored, exc):
            if not pending:
                return
            timer.cancel()
            known = exc is None and stored.proven
            metrics.VERSION_READS.labels(
                'proven' if known else 'unproven').inc()
            pending.pop()(frozenset(
                o for o in stored.origins
                if o.service in services) if known else None)

        timer = self._loop.call_later(
            READ_TIMEOUT_S,
            lambda: finish(None, errors.StoreError('no response in time')))
        self._read(finish)

    def _read(self, done):
        self._waiting.append(done)
        if not self._reading:
            self._send_read()

    def _send_read(self):
        self._reading = True
        asked, self._waiting = self._waiting, []

        def finish(stored, exc):
            self._reading = False
            if stored is not None:
                self._learn(stored)
            for done in asked:
                done(stored, exc)
            if self._waiting and not self._reading:
                self._send_read()

        _Read(self._source, finish)

    def _learn(self, stored):
        if self._era != stored.era:
            self._era = stored.era
            self._recorded.clear()
        self._era_is_proven = stored.proven
        self._recorded |= stored.origins

    # -- writing ---------------------------------------------------------------

    def on_version_added(self, service):
        """Has the versions of a service stored, as one was added."""
        for software in self._versions.served(service, self._loop.now):
            # Another entry may have dropped it.
            self._recorded.discard(softwareversions.Origin(service, software))
        self._sync_soon()

    def on_store_restored(self):
        """Called when the store came back from an older copy."""
        self._recorded.clear()
        self._sync_soon()

    def _sync_soon(self):
        if self._syncing:
            return
        self._syncing = True
        starting = self._loop.now - self._started_at < STARTING_S
        self._loop.call_later(
            self._rng.uniform(0, START_SPREAD_S) if starting else 0.0,
            lambda: self._read(self._on_synced))

    def _on_synced(self, stored, exc, *, waited=False):
        if exc is not None:
            self._log.warning('not_read', error=str(exc))
            self._loop.call_later(RETRY_PAUSE_S,
                                  lambda: self._read(self._on_synced))
            return
        missing = self._missing()
        if stored.end == 0 or (not missing and not stored.proven and
                               self._observation.covers()):
            # Nothing has ever been stored, or all that this entry has seen.
            self._write(_ERA_KEY, _encode_era(stored.era), stored.end)
            return
        if not missing:
            self._syncing = False
            return
        key = encode_key(missing[0])
        names = self.entry_names()
        if waited or rendezvous.top(key.encode(), names, 1) == names[:1]:
            self._write(key, b'1', stored.end)
        else:
            self._loop.call_later(
                self._rng.uniform(*WRITE_DELAY_RANGE_S), lambda: self._read(
                    lambda s, e: self._on_synced(s, e, waited=True)))

    def _missing(self):
        """Returns what serves or has served and is not stored, sorted."""
        return sorted(
            self._versions.all_origins(self._loop.now) - self._recorded)

    def _write(self, key, value, end):
        """Writes a record if nothing was written meanwhile, and reads again."""

        def on_written(position, exc):
            del position
            if exc is None:
                self._log.info('version_stored', key=key, dropped=not value)
            self._loop.call_later(
                0.0 if exc is None or isinstance(exc, errors.ConflictError) else
                RETRY_PAUSE_S, lambda: self._read(self._on_synced))

        self._source.append_at(key, value, end, topic.SILENCE_TIMEOUT_S,
                               on_written)

    def _drop_old(self):
        """Drops a version that no replica has had for long enough."""
        self._loop.call_later(DROP_PERIOD_S, self._drop_old)
        if not self._observation.covers() or self._syncing:
            return
        old = self._recorded - self._versions.all_origins(self._loop.now)
        names = self.entry_names()
        if (not old and self._era_is_proven) or (rendezvous.top(
                b'drop', names, 1) != names[:1]):
            return
        self._syncing = True
        self._read(self._on_read_to_drop)

    def _on_read_to_drop(self, stored, exc):
        if exc is None:
            old = sorted(stored.origins -
                         self._versions.all_origins(self._loop.now))
            if old and self._observation.covers():
                self._recorded.discard(old[0])
                self._write(encode_key(old[0]), b'', stored.end)
                return
        self._on_synced(stored, exc)
