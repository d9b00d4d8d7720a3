"""What the store keeps of requests that crash replicas, past every restart."""

import time

import msgspec

from gorsefall import digests
from gorsefall import errors
from gorsefall import logs
from gorsefall.policy import membership
from gorsefall.relay import topic

READ_DELAY_S = 2.0
"""Time after the start until the store is read, s: by then another entry has
told what it knows, and few entries read the store for all."""

READ_DELAY_HEARTBEATS = 1.25
"""The same in pauses between the messages of other entries, at least."""

RETRY_PAUSE_S = 2.0
"""Pause after a failed call, s."""


class _Kept(msgspec.Struct, frozen=True, array_like=True):
    """A sighting as the store keeps it.

    Attributes:
        at_ms: When it was, ms since 1970.
        sighting: The ``membership.RunReport``; its age counts from ``at_ms``.
    """
    at_ms: int
    sighting: membership.RunReport


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[_Kept, ...])


def encode(sightings, now_ms):
    """Returns the value of a record.

    Args:
        sightings: ``membership.RunReport`` objects.
        now_ms: Time of day, ms since 1970.
    """
    return _ENCODER.encode([_Kept(now_ms - s.age_ms, s) for s in sightings])


def decode(value, now_ms):
    """Returns the ``membership.RunReport`` objects of a value, aged since.

    Raises:
        errors.RecordError: It cannot be decoded.
    """
    try:
        kept = _DECODER.decode(value)
    except msgspec.DecodeError as exc:
        raise errors.RecordError(str(exc)) from exc
    return [
        msgspec.structs.replace(k.sighting, age_ms=max(0, now_ms - k.at_ms))
        for k in kept
    ]


def _now_ms():
    return time.time_ns() // 1_000_000


class CrashStore:
    """Writes blamed requests to a topic, and reads it once after a start.

    Entries tell each other; only where all of them started again does nobody
    know, and a request that was known would end three more replicas.
    """

    def __init__(self, loop, source, crashes):
        """Creates it; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``topic.Source`` of the topic.
            crashes: The ``crashes.CrashTracker`` to fill, and to write from.
        """
        self._loop = loop
        self._source = source
        self._crashes = crashes
        self._due = {}
        self._writing = False
        self._log = logs.get('remembered')
        crashes.on_poison_request = self._write
        crashes.on_cleared = self._drop

    # -- reading ---------------------------------------------------------------

    def start(self, reads, heartbeat_s):
        """Reads what is kept, soon, unless others tell it first.

        Args:
            reads: Returns whether this entry reads the store for others.
            heartbeat_s: Returns the pause between messages of others, s.
        """
        started = self._loop.now

        def due():
            wait_s = started + READ_DELAY_HEARTBEATS * heartbeat_s(
            ) - self._loop.now
            if wait_s > 0:
                self._loop.call_later(wait_s, due)
            elif reads() and not self._crashes.suspects.summary:
                self._read('')

        self._loop.call_later(READ_DELAY_S, due)

    def _read(self, after):
        self._source.read_snapshot(
            after, topic.SILENCE_TIMEOUT_S,
            lambda newest, exc: self._listed(after, newest, exc))

    def _listed(self, after, newest, exc):
        if exc is not None:
            self._log.warning('not_read', error=str(exc))
            self._loop.call_later(RETRY_PAUSE_S, lambda: self._read(after))
            return
        for record in newest.records:
            self._take(record)
        self._log.info('read', records=len(newest.records))
        if newest.more and newest.records:
            self._read(newest.records[-1].key)

    def _take(self, record):
        try:
            self._crashes.merge_reports(decode(record.value, _now_ms()))
        except errors.RecordError as exc:
            self._log.warning('record_spoilt', key=record.key, error=str(exc))

    # -- writing ---------------------------------------------------------------

    def _write(self, digest):
        self._due[digest] = encode(self._crashes.reports_of(digest), _now_ms())
        self._flush()

    def _drop(self, digest):
        self._due[digest] = b''
        self._flush()

    def _flush(self):
        if self._writing or not self._due:
            return
        self._writing = True
        digest, value = next(iter(self._due.items()))
        self._source.append(digest.hex(), value, topic.SILENCE_TIMEOUT_S,
                            lambda end, exc: self._wrote(digest, value, exc))

    def _wrote(self, digest, value, exc):
        if exc is not None:
            # It may have been written all the same; once more does no harm.
            self._log.warning('not_written',
                              digest=digests.abbreviate(digest),
                              error=str(exc))
            self._loop.call_later(RETRY_PAUSE_S, self._again)
            return
        if self._due.get(digest) == value:
            del self._due[digest]
        self._again()

    def _again(self):
        self._writing = False
        self._flush()
