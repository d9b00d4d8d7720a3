"""At-most-once ledger of an entry: claims keys through the log service."""

import collections
import dataclasses
import enum
import math
import time

import msgspec

from gorsefall import claims
from gorsefall import errors
from gorsefall import logs
from gorsefall.entry import streams
from gorsefall.entry import watchers

STREAM = 'ledger'
MAX_RECORDS_PER_READ = 1000
CLAIM_TIMEOUT_S = 3.0
MAX_IN_PROGRESS_S = 60.0
"""An unanswered claim younger than this counts as still running."""

MAX_RECORDED_RESPONSE_BYTES = 4096
MAX_PENDING_RECORDS = 10000
TICK_PERIOD_S = 0.2


class _Written(enum.Enum):
    """What is known of a claim's append."""
    NO = 'no'
    YES = 'yes'
    LOST = 'lost'
    CHECKING = 'checking'


@dataclasses.dataclass
class _Waiter:
    rec: claims.Record
    done: object
    since: float
    written: _Written = _Written.NO


class Ledger(watchers.Watcher):
    """Tails the ledger stream, claims keys and records answers.

    Records that arrive while an append is under way go out together in the
    next one (group commit), so appends per second are bounded by the log
    service's latency and not by the number of requests.

    Attributes:
        state: The ``claims.State``.
        append_calls: Append calls made, for the capacity page.
        appended_records: Records written in them.
    """

    def __init__(self, log_addr, entry_name, period_s, ttl_s):
        """Creates the task.

        Args:
            log_addr: ``(host, port)`` of the log service.
            entry_name: Written into every record.
            period_s: Seconds between reads while no claim is under way.
            ttl_s: How long a key is remembered, s.
        """
        super().__init__(TICK_PERIOD_S, channel='ledger-watch')
        self.idle_period_s = period_s
        self._read_at = -math.inf
        self._streams = streams.StreamClient(self, log_addr)
        self.entry_name = entry_name
        self.state = claims.State(ttl_s)
        self.append_calls = 0
        self.appended_records = 0
        self.has_start_offset = False
        self._waiters = {}
        self._abandoned = collections.OrderedDict()
        self._out = collections.deque()
        self._appending = False
        self._seek = None
        self._log = logs.get('ledger')

    # -- what jobs ask -------------------------------------------------------

    def claim(self, key, rid, digest, done):
        """Claims ``key`` for request ``rid``.

        Calls ``done(fence, exc)`` once: ``fence`` when ``rid`` won, else
        ``exc``: ``errors.DuplicateRequestError`` with the recorded answer,
        ``errors.InProgressError``, ``errors.OutcomeUnknownError``,
        ``errors.KeyReusedError``, or ``errors.NotRunError`` when the claim
        could not be made.
        """
        rec = self._record(claims.RecordKind.CLAIM, key, rid, digest=digest)
        self._waiters[rid] = _Waiter(rec, done, time.monotonic())
        self._send(rec)

    def release(self, key, rid):
        """Gives back a won claim whose request was certainly not sent."""
        self._send(self._record(claims.RecordKind.RELEASE, key, rid))

    def record_response(self, key, rid, status, reply):
        """Records the answer, so that a repeated request gets the same."""
        if len(msgspec.json.encode(reply)) > MAX_RECORDED_RESPONSE_BYTES:
            reply = None
        self._send(
            self._record(claims.RecordKind.DONE,
                         key,
                         rid,
                         status=status,
                         reply=reply))

    # -- writing -------------------------------------------------------------

    def _record(self, kind, key, rid, **more):
        return claims.Record(kind=kind,
                             key=key,
                             rid=rid,
                             entry=self.entry_name,
                             at=time.time(),
                             **more)

    def _send(self, rec):
        self._out.append(rec)
        if not self._appending:
            self._append()

    def _append(self):
        batch = list(self._out)
        self._out.clear()
        self._appending = True
        self.append_calls += 1
        self.appended_records += len(batch)
        self._streams.append(STREAM, batch,
                             lambda exc: self._appended(batch, exc))

    def _appended(self, batch, exc):
        self._appending = False
        if exc is None:
            self._mark(batch, _Written.YES)
            if self._out:
                self._append()
        else:
            self._log.warning('ledger_append_failed',
                              error=str(exc),
                              records=len(batch))
            self._retry(batch, exc)
        if not self.busy:
            self.poll()

    def _mark(self, batch, written):
        for rec in batch:
            waiter = self._waiters.get(rec.rid)
            if waiter is not None and rec is waiter.rec:
                waiter.written = written

    def _retry(self, batch, exc):
        """Decides what becomes of records whose append failed.

        A claim whose reply was lost may be in the stream: only reading to
        its end tells. Other records are written again, which is harmless
        twice. The next tick sends what is put back here.
        """
        for rec in batch:
            if rec.kind is not claims.RecordKind.CLAIM or exc.busy:
                if len(self._out) < MAX_PENDING_RECORDS:
                    self._out.append(rec)
            elif exc.not_run and rec.rid in self._waiters:
                self._abandon(rec.rid)
        if not exc.not_run:
            self._mark(batch, _Written.LOST)

    # -- reading -------------------------------------------------------------

    def poll(self):
        """Starts one read; see the class docstring."""
        self.busy = True
        self._read_at = time.monotonic()
        for waiter in self._waiters.values():
            if waiter.written is _Written.LOST:
                # Only a read that starts after the append was given up can
                # tell that the record is missing.
                waiter.written = _Written.CHECKING
        if self._seek is None and not self.has_start_offset:
            self._get(0, 0, self._found_bounds)
        else:
            self._get(self.state.offset, MAX_RECORDS_PER_READ, self._read)

    def on_tick(self):
        """Sends again what a failed append left."""
        if self._out and not self._appending:
            self._append()

    def is_due(self):
        """Reads only for a claim, or now and then to keep up.

        Reading the whole time cost five calls a second for nothing: a claim
        reads up to the stream's end anyway before it is decided.
        """
        idle_s = time.monotonic() - self._read_at
        return bool(self._waiters) or idle_s >= self.idle_period_s

    def _get(self, start, limit, done):
        self._streams.read(STREAM, start, limit, done)

    # A restarted entry needs only the claims younger than the lifetime, so
    # it looks for the first such record by halving: reading a day's worth
    # of records would keep it from claiming anything for minutes.

    def _found_bounds(self, page, exc):
        if exc is not None:
            self._failed(exc)
            return
        self._seek = [page.start, page.end]
        self._halve()

    def _halve(self):
        low, high = self._seek
        if high - low <= MAX_RECORDS_PER_READ:
            self.state.offset = low
            self.has_start_offset = True
            self._get(low, MAX_RECORDS_PER_READ, self._read)
            return
        self._get((low + high) // 2, 1, self._probed)

    def _probed(self, page, exc):
        if exc is not None or not page.records:
            self._seek = None
            self._failed(exc)
            return
        rec = page.records[0]
        young = self._written_at(rec) >= time.time() - 2 * self.state.ttl_s
        self._seek[1 if young else 0] = rec.offset
        self._halve()

    def _written_at(self, rec):
        """Returns when a record was written, s (epoch); 0 if it is spoilt."""
        decoded = self._decode(rec)
        return decoded.at if decoded else 0.0

    def _decode(self, rec):
        try:
            return msgspec.convert(rec.data, claims.Record)
        except msgspec.ValidationError as exc:
            self._log.error('ledger_record_spoilt',
                            offset=rec.offset,
                            error=str(exc))
            return None

    def _read(self, page, exc):
        if exc is not None:
            self._failed(exc)
            return
        if page.expired:
            # The records between have expired; so have their claims.
            self._log.warning('ledger_gap',
                              offset=self.state.offset,
                              start=page.start)
            self.state.offset = page.start
            self._get(self.state.offset, MAX_RECORDS_PER_READ, self._read)
            return
        self.last_success_at = time.time()
        for raw in page.records:
            self._apply(raw)
        at_end = self.state.offset >= page.end
        self._settle(at_end)
        if self._waiters_written() or not at_end:
            self.poll()
            return
        self.busy = False
        self.state.drop_expired()
        self._settle(False)

    def _apply(self, raw):
        rec = self._decode(raw)
        if rec is None:
            self.state.offset = max(self.state.offset, raw.offset + 1)
            return
        self.state.apply(raw.offset, rec, time.monotonic())
        if rec.kind is not claims.RecordKind.CLAIM:
            return
        if rec.rid in self._waiters:
            self._decide(self._waiters.pop(rec.rid))
        elif self._abandoned.pop(rec.rid, None):
            # Our append seemed lost, its caller was told "not run", and now
            # the record turns up: left alone it would block the key (seen
            # as in_progress for ever), so the claim is given back.
            held = self.state.claims.get(rec.key)
            if held is not None and held.rid == rec.rid:
                self.release(rec.key, rec.rid)

    def _decide(self, waiter):
        rec = waiter.rec
        held = self.state.claims[rec.key]
        if held.rid == rec.rid:
            waiter.done(held.fence, None)
        elif held.digest != rec.digest:
            waiter.done(
                None,
                errors.KeyReusedError(
                    f'key {rec.key!r} belongs to another request'))
        elif held.status:
            waiter.done(None,
                        errors.DuplicateRequestError(held.status, held.reply))
        elif time.monotonic() - held.seen_at < MAX_IN_PROGRESS_S:
            waiter.done(None,
                        errors.InProgressError(f'key {rec.key!r} is being run'))
        else:
            waiter.done(
                None,
                errors.OutcomeUnknownError(
                    f'key {rec.key!r} was claimed and never answered'))

    def _waiters_written(self):
        return any(w.written in (_Written.YES, _Written.LOST)
                   for w in self._waiters.values())

    def _settle(self, at_end):
        """Ends waiters whose claim is not in the stream or took too long."""
        now = time.monotonic()
        for rid, waiter in list(self._waiters.items()):
            missing = at_end and waiter.written is _Written.CHECKING
            if missing or now - waiter.since > CLAIM_TIMEOUT_S:
                self._abandon(rid)

    def _abandon(self, rid):
        waiter = self._waiters.pop(rid)
        self._abandoned[rid] = True
        while len(self._abandoned) > MAX_PENDING_RECORDS:
            self._abandoned.popitem(last=False)
        if waiter.rec in self._out:
            self._out.remove(waiter.rec)
        waiter.done(None, errors.NotRunError('the key could not be claimed'))

    def _failed(self, exc):
        self._log.warning('ledger_read_failed', error=str(exc))
        self.busy = False
        self._settle(False)
