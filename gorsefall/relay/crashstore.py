"""Stores what crashes replicas, to outlast a restart of all entries."""

import collections
import time

import msgspec

from gorsefall import decoding
from gorsefall import digests
from gorsefall import errors
from gorsefall import logs
from gorsefall.policy import entrystatus
from gorsefall.policy import rendezvous
from gorsefall.relay import topic

READ_DELAY_S = 2.0
"""Time after the start until the store is read, s. By then it is known which
few entries read the store for others."""

READ_DELAY_HEARTBEATS = 1.25
"""The same as a multiple of the pause between messages of other entries, if
that is longer."""

READER_CHECK_PERIOD_S = 1.0
"""Period of the checks whether this entry has become one that reads, s."""

RETRY_PAUSE_S = 0.3
"""Pause after a failed call, s, times the number of failures: requests that
crash replicas run until a read, and a restart loses what was not written."""

MAX_RETRY_PAUSE_S = 2.0
"""Longest such pause, s."""

MAX_DROPPED = 64
"""Most digests that were cleared and are remembered, should the store come back
with them."""


class _StoredReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash report as it is stored.

    Attributes:
        at_ms: When the crash was observed, ms since 1970.
        report: The ``entrystatus.RunReport``; its age counts from ``at_ms``.
    """
    at_ms: int
    report: entrystatus.RunReport


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.msgpack_decoder(tuple[_StoredReport, ...])


def encode(reports, now_ms):
    """Returns the value of a record.

    Args:
        reports: ``entrystatus.RunReport`` objects.
        now_ms: Time of day, ms since 1970.
    """
    return _ENCODER.encode(
        [_StoredReport(now_ms - r.age_ms, r) for r in reports])


def decode(value, now_ms):
    """Returns the ``entrystatus.RunReport`` objects of a value, aged since.

    Raises:
        errors.RecordError: It cannot be decoded.
    """
    try:
        stored = _DECODER.decode(value)
    except errors.UndecodableError as exc:
        raise errors.RecordError(str(exc)) from exc
    return [
        msgspec.structs.replace(s.report, age_ms=max(0, now_ms - s.at_ms))
        for s in stored
    ]


def _now_ms():
    return time.time_ns() // 1_000_000


def _retry_pause_s(failures):
    return min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * failures)


class CrashStore:
    """Writes what crashes replicas to a topic and reads it after a start.

    Entries send each other their reports. Only if all of them restarted are
    the reports lost, and a known cause would crash three more replicas, or one
    that is nearly known two more each time.
    """

    def __init__(self, loop, source, crashes):
        """Creates a store; ``start`` begins to read.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``topic.Source`` of the topic.
            crashes: The ``crashes.CrashTracker`` to read into and write from.
        """
        self._loop = loop
        self._source = source
        self._crashes = crashes
        self._pending = {}
        self._dropped = collections.deque(maxlen=MAX_DROPPED)
        self._writing = False
        self._failed_reads = self._failed_writes = 0
        self._log = logs.get('remembered')
        crashes.on_blamed = crashes.on_grave = self._write_own
        crashes.on_cleared = self._drop
        crashes.on_forgotten = self._drop_forgotten

    # -- reading ---------------------------------------------------------------

    def start(self, is_reader, heartbeat_s):
        """Reads the topic soon if this entry reads the store for others.

        One that does so later reads it then, unless others sent reports.

        Args:
            is_reader: Returns whether this entry reads the store for others.
            heartbeat_s: Returns the pause between messages of others, s.
        """
        started_at = self._loop.now

        def read_if_due():
            wait_s = (started_at + READ_DELAY_HEARTBEATS * heartbeat_s() -
                      self._loop.now)
            if wait_s > 0:
                self._loop.call_later(wait_s, read_if_due)
            elif is_reader():
                # Also if others have sent reports: all of them may have
                # restarted, and report only what crashed since.
                self._read('')
            elif not self._crashes.suspects.summary:
                # The entries that read may be gone before they have read it.
                self._loop.call_later(READER_CHECK_PERIOD_S, read_if_due)

        self._loop.call_later(READ_DELAY_S, read_if_due)

    def _read(self, after):
        self._source.read_snapshot(
            after, topic.SILENCE_TIMEOUT_S,
            lambda page, exc: self._on_page(after, page, exc))

    def _on_page(self, after, page, exc):
        if exc is not None:
            self._log.warning('not_read', error=str(exc))
            self._failed_reads += 1
            self._loop.call_later(_retry_pause_s(self._failed_reads),
                                  lambda: self._read(after))
            return
        self._failed_reads = 0
        for record in page.records:
            self._merge(record)
        self._log.info('read', records=len(page.records))
        following = page.next_after(after)
        if following is not None:
            self._read(following)
        else:
            # Others would ask for them one after the other.
            self._crashes.reports.send_gravest_to_all()

    def _merge(self, record):
        try:
            self._crashes.reports.merge(decode(record.value, _now_ms()))
        except errors.RecordError as exc:
            self._log.warning('record_spoilt', key=record.key, error=str(exc))

    # -- writing ---------------------------------------------------------------

    def write_again(self):
        """Writes again what the store may have lost.

        Each suspect has one entry that writes it, so that those whose first
        writer has gone are kept too.
        """
        for digest in self._crashes.suspects.lasting:
            if self._is_keeper(digest):
                self._write(digest)
        for digest in self._dropped:
            self._pending[digest] = b''
        self._flush()

    def _is_keeper(self, digest):
        names = self._crashes.entry_names()
        return rendezvous.top(digest, names, 1) == names[:1]

    def _write_own(self, digest, own):
        if own:
            self._write(digest)

    def _write(self, digest):
        if digest in self._dropped:
            self._dropped.remove(digest)
        self._pending[digest] = encode(self._crashes.reports.of(digest),
                                       _now_ms())
        self._flush()

    def _drop(self, digest):
        self._dropped.append(digest)
        self._pending[digest] = b''
        self._flush()

    def _drop_forgotten(self, digest):
        if self._is_keeper(digest):
            self._drop(digest)

    def _flush(self):
        if self._writing or not self._pending:
            return
        self._writing = True
        digest, value = next(iter(self._pending.items()))
        self._source.append(
            digest.hex(), value, topic.SILENCE_TIMEOUT_S,
            lambda end, exc: self._on_written(digest, value, exc))

    def _on_written(self, digest, value, exc):
        if exc is not None:
            # The store may have written the record all the same; writing it
            # again does no harm.
            self._log.warning('not_written',
                              digest=digests.abbreviate(digest),
                              error=str(exc))
            self._failed_writes += 1
            self._loop.call_later(_retry_pause_s(self._failed_writes),
                                  self._flush_next)
            return
        self._failed_writes = 0
        if self._pending.get(digest) == value:
            del self._pending[digest]
        self._flush_next()

    def _flush_next(self):
        self._writing = False
        self._flush()
