"""At-most-once ledger: claims for not-repeatable requests in the log.

Before a not-repeatable request is sent to a back end, its entry appends a
claim ``{key, rid}`` to the ledger stream. Every entry reads the stream in
offset order; the first claim of a key wins, everywhere alike, so two
entries (or one retried caller) can never both run the same key. The
winner's offset is its fencing number.
"""

import time

from gorsefall import errors
from gorsefall import links
from gorsefall.entry import watchers

LEDGER_STREAM = 'ledger'


class Ledger(watchers.Watcher):
    """Tails the ledger and answers claims.

    Attributes:
        first: ``key -> (offset, rid)`` of the winning claim.
        offset: Next ledger offset to read.
        appends: Appends made, for the capacity page.
    """

    def __init__(self, log_addr, entry_name, period_s=0.2):
        super().__init__(period_s, channel='ledger-watch')
        self.log_addr = log_addr
        self.entry_name = entry_name
        self.first = {}
        self.rids = {}
        self.offset = 0
        self.appends = 0
        self._waiters = []

    def claim(self, key, rid, done):
        """Claims ``key`` for request ``rid``.

        Calls ``done(fence, exc)`` once: ``fence`` (the winning offset) when
        ``rid`` won, else ``exc``: ``errors.DuplicateRequestError`` when another
        claim won, ``errors.NotRunError`` when the claim could not be made.
        """
        self.appends += 1
        body = {
            'records': [{
                'key': key,
                'rid': rid,
                'entry': self.entry_name,
                'at': time.time()
            }]
        }

        def appended(status, obj, exc):
            if exc is None and status == 200:
                self._wait(obj['offset'], key, rid, done)
                return
            if exc is not None and status is None:
                # The reply was lost, maybe after the write took effect:
                # read the stream to its end and look for our rid.
                self._wait(None, key, rid, done)
                return
            done(None, errors.NotRunError(f'ledger append failed ({status})'))

        links.fetch_json(self,
                         self.log_addr,
                         'POST',
                         f'/streams/{LEDGER_STREAM}/append',
                         body,
                         done=appended)

    def _wait(self, offset, key, rid, done):
        self._waiters.append((offset, key, rid, done, time.monotonic()))
        if not self.busy:
            self.poll()

    def poll(self):
        """Starts one read; see the class docstring."""
        self.busy = True
        links.fetch_json(
            self,
            self.log_addr,
            'GET',
            f'/streams/{LEDGER_STREAM}/read?start={self.offset}&limit=1000',
            done=self._read)

    def _read(self, status, obj, exc):
        self.busy = False
        if exc is not None or status != 200 or obj is None:
            self._expire(time.monotonic())
            return
        if status == 200 and obj['start'] > self.offset:
            self.offset = obj['start']
        for rec in obj['records']:
            data = rec['data']
            self.rids[data['rid']] = rec['offset']
            self.first.setdefault(data['key'], (rec['offset'], data['rid']))
            self.offset = rec['offset'] + 1
        at_end = self.offset >= obj['end']
        keep = []
        for w in self._waiters:
            offset, key, rid, done, _ = w
            if offset is None and at_end:
                offset = self.rids.get(rid)
                if offset is None:
                    done(None, errors.NotRunError('ledger claim not written'))
                    continue
            if offset is None or offset >= self.offset:
                keep.append(w)
                continue
            won_at, won_rid = self.first[key]
            if won_rid == rid:
                done(won_at, None)
            else:
                done(
                    None,
                    errors.DuplicateRequestError(
                        f'key {key!r} claimed at offset {won_at}'))
        self._waiters = keep
        if self._waiters:
            self.poll()

    def _expire(self, now):
        keep = []
        for w in self._waiters:
            if now - w[4] > 5.0:
                w[3](None, errors.NotRunError('ledger unreadable'))
            else:
                keep.append(w)
        self._waiters = keep
