"""The entry's at-most-once ledger: claims keys through the log service."""

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
"""Age up to which a claim without a recorded response counts as running, s."""

MAX_RECORDED_RESPONSE_BYTES = 4096
MAX_PENDING_RECORDS = 10000
TICK_PERIOD_S = 0.2


class _AppendState(enum.Enum):
    """Whether the record of a claim is in the stream.

    Attributes:
        NO: It was not appended yet.
        YES: The log service confirmed the append.
        LOST: The append failed without a response; it may be in the stream.
        CHECKING: As LOST, and a read that started later is in flight.
    """
    NO = 'no'
    YES = 'yes'
    LOST = 'lost'
    CHECKING = 'checking'


@dataclasses.dataclass
class _PendingClaim:
    rec: claims.Record
    done: object
    started_at: float
    written: _AppendState = _AppendState.NO


class Ledger(watchers.Watcher):
    """Tails the ledger stream, claims keys and records responses.

    Records created while an append is in flight are sent together in the next
    one (group commit). The latency of the log service therefore bounds the
    number of appends per second, whatever the number of requests.

    Attributes:
        idle_period_s: Seconds between reads while no claim is pending.
        entry_name: The entry's name in its records.
        state: The ``claims.State``.
        append_calls: Number of append calls, for the status page.
        appended_records: Number of records sent in these calls.
        has_start_offset: Whether the offset of the first read is known.
    """

    def __init__(self, log_addr, entry_name, period_s, ttl_s):
        """Creates the task.

        Args:
            log_addr: ``(host, port)`` of the log service.
            entry_name: The entry's name in its records.
            period_s: Seconds between reads while no claim is pending.
            ttl_s: Lifetime of a key in the ledger, s.
        """
        super().__init__(TICK_PERIOD_S, channel='ledger-watch')
        self.idle_period_s = period_s
        self._last_read_at = -math.inf
        self._streams = streams.StreamClient(self, log_addr)
        self.entry_name = entry_name
        self.state = claims.State(ttl_s)
        self.append_calls = 0
        self.appended_records = 0
        self.has_start_offset = False
        self._pending_claims = {}
        self._abandoned_rids = collections.OrderedDict()
        self._unsent = collections.deque()
        self._appending = False
        self._search_range = None
        self._log = logs.get('ledger')

    # -- operations for jobs -------------------------------------------------

    def claim(self, key, rid, digest, done):
        """Claims ``key`` for request ``rid``.

        Calls ``done(fence, exc)`` once. If the claim succeeds, ``fence`` is
        its fencing token and ``exc`` is None. Otherwise ``exc`` is an
        ``errors.DuplicateRequestError`` with the recorded response, an
        ``errors.InProgressError``, ``errors.OutcomeUnknownError`` or
        ``errors.KeyReusedError``, or an ``errors.NotRunError`` if the claim
        could not be written.

        Args:
            key: Idempotency key, prefixed with the customer.
            rid: Request id.
            digest: Digest of the request's payload.
            done: Callback.
        """
        rec = self._record(claims.RecordKind.CLAIM, key, rid, digest=digest)
        self._pending_claims[rid] = _PendingClaim(rec, done, time.monotonic())
        self._enqueue(rec)

    def release(self, key, rid):
        """Releases the claim of a request that was not sent to a replica."""
        self._enqueue(self._record(claims.RecordKind.RELEASE, key, rid))

    def record_response(self, key, rid, status, reply):
        """Records the response, so that a repeated request gets the same.

        Args:
            key: Idempotency key, prefixed with the customer.
            rid: Request id.
            status: HTTP status of the response.
            reply: JSON body of the response; a body of more than
                ``MAX_RECORDED_RESPONSE_BYTES`` is not recorded.
        """
        if len(msgspec.json.encode(reply)) > MAX_RECORDED_RESPONSE_BYTES:
            reply = None
        self._enqueue(
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

    def _enqueue(self, rec):
        self._unsent.append(rec)
        if not self._appending:
            self._append()

    def _append(self):
        batch = list(self._unsent)
        self._unsent.clear()
        self._appending = True
        self.append_calls += 1
        self.appended_records += len(batch)
        self._streams.append(STREAM, batch,
                             lambda exc: self._on_appended(batch, exc))

    def _on_appended(self, batch, exc):
        self._appending = False
        if exc is None:
            self._set_append_state(batch, _AppendState.YES)
            if self._unsent:
                self._append()
        else:
            self._log.warning('ledger_append_failed',
                              error=str(exc),
                              records=len(batch))
            self._requeue_failed(batch, exc)
        if not self.busy:
            self.poll()

    def _set_append_state(self, batch, written):
        for rec in batch:
            claim = self._pending_claims.get(rec.rid)
            if claim is not None and rec is claim.rec:
                claim.written = written

    def _requeue_failed(self, batch, exc):
        """Queues records of a failed append again or abandons their claims.

        If the log service sent no response, a claim may be in the stream;
        only a read up to the stream's end can tell. Other records are
        appended again, because duplicates of them have no effect. The next
        tick sends the records that are queued here.
        """
        for rec in batch:
            if rec.kind is not claims.RecordKind.CLAIM or exc.busy:
                if len(self._unsent) < MAX_PENDING_RECORDS:
                    self._unsent.append(rec)
            elif exc.not_run and rec.rid in self._pending_claims:
                self._abandon(rec.rid)
        if not exc.not_run:
            self._set_append_state(batch, _AppendState.LOST)

    # -- reading -------------------------------------------------------------

    def poll(self):
        """Starts one read of the ledger stream."""
        self.busy = True
        self._last_read_at = time.monotonic()
        for claim in self._pending_claims.values():
            if claim.written is _AppendState.LOST:
                # Only a read that starts after the append failed can show
                # that the record is missing.
                claim.written = _AppendState.CHECKING
        if self._search_range is None and not self.has_start_offset:
            self._start_read(0, 0, self._on_bounds)
        else:
            self._start_read(self.state.offset, MAX_RECORDS_PER_READ,
                             self._on_page)

    def on_tick(self):
        """Appends the records that a failed append left in the queue."""
        if self._unsent and not self._appending:
            self._append()

    def is_due(self):
        """Returns True if a claim is pending or the idle period has passed.

        Without pending claims, reading on every tick would cost five calls
        per second without benefit: a claim is resolved only after a read up
        to the stream's end.
        """
        idle_s = time.monotonic() - self._last_read_at
        return bool(self._pending_claims) or idle_s >= self.idle_period_s

    def _start_read(self, start, limit, done):
        self._streams.read(STREAM, start, limit, done)

    # A restarted entry needs only the claims younger than the key lifetime
    # and finds the first of them by binary search. Reading a day's records
    # instead would block claims for minutes.

    def _on_bounds(self, page, exc):
        if exc is not None:
            self._on_read_failed(exc)
            return
        self._search_range = [page.start, page.end]
        self._search_step()

    def _search_step(self):
        low, high = self._search_range
        if high - low <= MAX_RECORDS_PER_READ:
            self.state.offset = low
            self.has_start_offset = True
            self._start_read(low, MAX_RECORDS_PER_READ, self._on_page)
            return
        self._start_read((low + high) // 2, 1, self._on_probe)

    def _on_probe(self, page, exc):
        if exc is not None or not page.records:
            self._search_range = None
            self._on_read_failed(exc)
            return
        rec = page.records[0]
        recent = self._written_at(rec) >= time.time() - 2 * self.state.ttl_s
        self._search_range[1 if recent else 0] = rec.offset
        self._search_step()

    def _written_at(self, rec):
        """Returns when a record was written, s (epoch); 0 if malformed."""
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

    def _on_page(self, page, exc):
        if exc is not None:
            self._on_read_failed(exc)
            return
        if page.expired:
            # The skipped records have expired, and their claims with them.
            self._log.warning('ledger_gap',
                              offset=self.state.offset,
                              start=page.start)
            self.state.offset = page.start
            self._start_read(self.state.offset, MAX_RECORDS_PER_READ,
                             self._on_page)
            return
        self.last_success_at = time.time()
        for stream_record in page.records:
            self._apply(stream_record)
        at_end = self.state.offset >= page.end
        self._expire_claims(at_end)
        if self._has_appended_claim() or not at_end:
            self.poll()
            return
        self.busy = False
        self.state.drop_expired()
        self._expire_claims(False)

    def _apply(self, stream_record):
        rec = self._decode(stream_record)
        if rec is None:
            self.state.offset = max(self.state.offset, stream_record.offset + 1)
            return
        self.state.apply(stream_record.offset, rec, time.monotonic())
        if rec.kind is not claims.RecordKind.CLAIM:
            return
        if rec.rid in self._pending_claims:
            self._resolve(self._pending_claims.pop(rec.rid))
        elif self._abandoned_rids.pop(rec.rid, None):
            # The append of this claim was considered lost and the caller
            # received "not run", but the record is in the stream. The claim
            # is released, as it would otherwise block the key: its retries
            # would keep failing with in_progress.
            current = self.state.claims.get(rec.key)
            if current is not None and current.rid == rec.rid:
                self.release(rec.key, rec.rid)

    def _resolve(self, claim):
        rec = claim.rec
        current = self.state.claims[rec.key]
        if current.rid == rec.rid:
            claim.done(current.fence, None)
        elif current.digest != rec.digest:
            claim.done(
                None,
                errors.KeyReusedError(
                    f'key {rec.key!r} belongs to another request'))
        elif current.status:
            claim.done(
                None, errors.DuplicateRequestError(current.status,
                                                   current.reply))
        elif time.monotonic() - current.seen_at < MAX_IN_PROGRESS_S:
            claim.done(None,
                       errors.InProgressError(f'key {rec.key!r} is being run'))
        else:
            claim.done(
                None,
                errors.OutcomeUnknownError(
                    f'key {rec.key!r} was claimed and never answered'))

    def _has_appended_claim(self):
        return any(w.written in (_AppendState.YES, _AppendState.LOST)
                   for w in self._pending_claims.values())

    def _expire_claims(self, at_end):
        """Abandons claims that are not in the stream or timed out.

        Args:
            at_end: Whether the stream was read up to its end.
        """
        now = time.monotonic()
        for rid, claim in list(self._pending_claims.items()):
            is_missing = at_end and claim.written is _AppendState.CHECKING
            if is_missing or now - claim.started_at > CLAIM_TIMEOUT_S:
                self._abandon(rid)

    def _abandon(self, rid):
        claim = self._pending_claims.pop(rid)
        self._abandoned_rids[rid] = True
        while len(self._abandoned_rids) > MAX_PENDING_RECORDS:
            self._abandoned_rids.popitem(last=False)
        if claim.rec in self._unsent:
            self._unsent.remove(claim.rec)
        claim.done(None, errors.NotRunError('the key could not be claimed'))

    def _on_read_failed(self, exc):
        self._log.warning('ledger_read_failed', error=str(exc))
        self.busy = False
        self._expire_claims(False)
