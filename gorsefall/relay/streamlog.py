"""Stores where streams began, for take-ups after all entries are gone.

While several versions serve, each stream is reported to one of a few entries,
the writers, which store what they were told several times a second. The newest
records are read as a stream is taken up that no entry knows. What began just
before the writers were gone is not stored; such a stream is refused.
"""

import collections
import math

import msgspec

from gorsefall import decoding
from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import rendezvous
from gorsefall.policy import softwareversions
from gorsefall.relay import snapshots
from gorsefall.relay import topic

ENTRIES_PER_WRITER = 30
"""Entries that report to one writer: at 16 streams a second of each it sends
some 4 KB/s."""

FLUSH_PERIOD_S = 0.25
"""Pause between two records of a writer, s: streams that begin in it are
lost with the writer, and they last for seconds."""

SLOTS = 100
"""Records that are kept of a writer; the oldest is replaced. They reach back
25 s, longer than a stream lasts and its caller may take it up."""

KEY_BYTES = 8
"""Bytes of a digest that are stored: 100,000 streams of a keyed hash."""

MAX_BUFFERED = 4096
"""Most streams that wait to be written: the newest ones, if the store is
away."""

READ_TIMEOUT_S = 0.1
"""Longest wait of a stream that is taken up, s: as for other entries."""

CACHE_S = 1.0
"""Time for which a read serves other take-ups, s: what all entries have
forgotten was stored before."""

WRITERS_PERIOD_S = 1.0
"""Time after which the writers are chosen anew, s."""


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    """Streams that began at one version.

    Attributes:
        service: Name of the service.
        software: The version.
        keys: The first ``KEY_BYTES`` of the digest of each, joined.
    """
    service: str
    software: str
    keys: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.msgpack_decoder(tuple[_Batch, ...])


def encode(streams):
    """Returns the value of a record.

    Args:
        streams: ``(softwareversions.Origin, key)`` pairs.
    """
    by_origin = collections.defaultdict(list)
    for origin, key in streams:
        by_origin[origin].append(key)
    return _ENCODER.encode(
        tuple(
            _Batch(origin.service, origin.software, b''.join(keys))
            for origin, keys in by_origin.items()))


def _contains(keys, key):
    at = keys.find(key)
    while at >= 0 and at % KEY_BYTES:
        at = keys.find(key, at + 1)
    return at >= 0


class StreamLog:
    """Stores streams that this entry was told of, and reads those of all."""

    def __init__(self, loop, source, members, own_host):
        """Creates a log that has neither read nor written.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``topic.Source``.
            members: The ``membership.Members``.
            own_host: Host of this entry, as others know it.
        """
        self._loop = loop
        self._source = source
        self._reader = snapshots.SnapshotReader(loop, source)
        self._members = members
        self._own_host = own_host
        self._writers = []
        self._writers_until = float('-inf')
        self._buffered = collections.deque(maxlen=MAX_BUFFERED)
        self._flushing = False
        self._next_slot = None
        self._batches = []
        self._read_at = float('-inf')
        self._log = logs.get('streams')

    # -- writing ---------------------------------------------------------------

    def writer(self, digest):
        """Returns the host that stores a stream; None if it is this entry."""
        writers = self._current_writers()
        host = writers[digest[0] % len(writers)]
        return None if host == self._own_host else host

    def _current_writers(self):
        now = self._loop.now
        if now >= self._writers_until:
            hosts = [self._own_host, *self._members.live_hosts(now)]
            count = math.ceil(len(hosts) / ENTRIES_PER_WRITER)
            self._writers = rendezvous.top(b'streams', hosts, count)
            self._writers_until = now + WRITERS_PERIOD_S
        return self._writers

    def add(self, streams, service):
        """Stores streams soon.

        Args:
            streams: Pairs of an ``ids.StreamDigest`` and the version.
            service: Name of their service.
        """
        for digest, software in streams:
            origin = softwareversions.Origin(service, software)
            self._buffered.append((origin, digest[:KEY_BYTES]))
        if self._buffered and not self._flushing:
            self._flushing = True
            self._flush_later()

    def _flush_later(self):
        self._loop.call_later(FLUSH_PERIOD_S, self._flush)

    def _flush(self):
        if not self._buffered:
            self._flushing = False
        elif self._next_slot is None:
            # An earlier process of this entry may have written, too.
            self._reader.read(self._on_read_before_writing)
        else:
            self._write()

    def _on_read_before_writing(self, snapshot, exc):
        if exc is not None:
            self._log.warning('streams_not_stored', error=str(exc))
            self._flush_later()
            return
        own = [r for r in snapshot.records if r.key.startswith(self._prefix())]
        newest = max(own, key=lambda r: r.offset, default=None)
        self._next_slot = 0
        if newest is not None:
            self._next_slot = int(newest.key.rpartition('.')[2]) + 1
        self._write()

    def _prefix(self):
        # Few numbers, so that what is kept does not grow with the entries
        # that have ever been.
        writers = self._current_writers()
        if self._own_host in writers:
            return f'{writers.index(self._own_host)}.'
        return f'{len(writers)}.'

    def _write(self):
        written = tuple(self._buffered)
        self._buffered.clear()

        def on_written(end, exc):
            del end
            if exc is None:
                metrics.STREAMS_STORED.inc(len(written))
            else:
                self._log.warning('streams_not_stored',
                                  streams=len(written),
                                  error=str(exc))
                self._buffered.extendleft(
                    reversed(written[:MAX_BUFFERED - len(self._buffered)]))
            self._flush_later()

        key = f'{self._prefix()}{self._next_slot % SLOTS}'
        self._next_slot += 1
        self._source.append(key, encode(written), topic.SILENCE_TIMEOUT_S,
                            on_written)

    # -- reading ---------------------------------------------------------------

    def find(self, digest, done):
        """Finds out where a stream began that no entry knows.

        Args:
            digest: Its ``ids.StreamDigest``.
            done: Called with the ``softwareversions.Origin``, or None.
        """
        if self._loop.now - self._read_at < CACHE_S:
            done(self._search(digest))
            return
        waiting = [done]

        def finish(origin):
            if waiting:
                timer.cancel()
                waiting.pop()(origin)

        def on_read(snapshot, exc):
            if exc is not None:
                finish(None)
                return
            self._keep(snapshot)
            finish(self._search(digest))

        timer = self._loop.call_later(READ_TIMEOUT_S, lambda: finish(None))
        self._reader.read(on_read)

    def _keep(self, snapshot):
        self._batches = []
        for record in snapshot.records:
            try:
                self._batches.extend(_DECODER.decode(record.value))
            except errors.UndecodableError as exc:
                self._log.warning('record_spoilt',
                                  key=record.key,
                                  error=str(exc))
        self._read_at = self._loop.now
        self._loop.call_later(2 * CACHE_S, self._forget)

    def _forget(self):
        if self._loop.now - self._read_at >= CACHE_S:
            self._batches = []

    def _search(self, digest):
        key = digest[:KEY_BYTES]
        found = {
            softwareversions.Origin(b.service, b.software)
            for b in self._batches
            if _contains(b.keys, key)
        }
        metrics.STREAMS_SOUGHT.labels('found' if len(found) ==
                                      1 else 'unknown').inc()
        return found.pop() if len(found) == 1 else None
