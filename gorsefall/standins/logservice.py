"""Log service stand-in: append-only streams with offsets and retention."""

import collections
import time

from gorsefall import replies
from gorsefall.standins import base


class LogService(base.StandIn):
    """Holds named streams; each record gets the next offset of its stream.

    Attributes:
        retention: Maximum number of records per stream; the oldest are dropped.
        retain_s: Maximum age of a record, s.
        appends_per_s: Appends accepted per second over all streams; further
            ones get 429.
        totals: Counters shown by ``/stats``.
    """

    def __init__(self, retention=10000, retain_s=86400.0, appends_per_s=300):
        super().__init__()
        self.retention = retention
        self.retain_s = retain_s
        self.appends_per_s = appends_per_s
        self._streams = collections.defaultdict(list)
        self._first_offsets = collections.defaultdict(int)
        self._append_times = collections.defaultdict(list)
        self._recent_appends = collections.deque()
        self.totals = collections.Counter()

    def streams(self, name=None, action='read', *args, **kwargs):
        """POST /streams/NAME/append, GET /streams/NAME/read?start=N&limit=M.

        An append takes ``{"records": [obj, ...]}`` and responds with
        ``{"offset": first offset written}``. A read responds with ``records``
        (each with ``offset`` and ``data``) and the bounds ``start`` and
        ``end`` of the stream; below the oldest retained offset, with 410.
        """
        if (outage := self._outage_response()) is not None:
            return outage
        if action == 'append':
            return self._append(name)
        self.totals['reads'] += 1
        self._expire(name)
        start = int(kwargs.get('start', 0))
        limit = int(kwargs.get('limit', 500))
        first = self._first_offsets[name]
        recs = self._streams[name]
        end = first + len(recs)
        if start < first:
            return replies.json_body(
                self.response, {
                    'error': {
                        'code': 'expired',
                        'message': f'oldest offset is {first}'
                    },
                    'start': first,
                    'end': end
                }, 410)
        selected = recs[start - first:start - first + limit]
        out = [{'offset': start + i, 'data': d} for i, d in enumerate(selected)]
        return replies.json_body(self.response, {
            'records': out,
            'start': first,
            'end': end
        })

    def _append(self, name):
        now = time.monotonic()
        while self._recent_appends and self._recent_appends[0] < now - 1.0:
            self._recent_appends.popleft()
        max_appends = self.faults.max_appends_per_s or self.appends_per_s
        if len(self._recent_appends) >= max_appends:
            return replies.json_body(
                self.response, {
                    'error': {
                        'code': 'busy',
                        'message': 'append rate exceeded',
                        'not_run': True
                    }
                }, 429)
        self._recent_appends.append(now)
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        new = body.get('records', [])
        recs = self._streams[name]
        offset = self._first_offsets[name] + len(recs)
        recs.extend(new)
        self._append_times[name].extend([now] * len(new))
        self.totals['appends'] += 1
        self.totals['records'] += len(new)
        self._expire(name)
        if self._lose_response(self.request.sock):
            return True
        return replies.json_body(self.response, {'offset': offset})

    def _expire(self, name):
        times = self._append_times[name]
        expired_before = time.monotonic() - self.retain_s
        drop = max(0, len(times) - int(self.retention))
        while drop < len(times) and times[drop] < expired_before:
            drop += 1
        self._drop(name, drop)

    def _drop(self, name, n):
        del self._streams[name][:n]
        del self._append_times[name][:n]
        self._first_offsets[name] += n

    def trim(self, name=None, *args, **kwargs):
        """POST /trim/NAME {"keep": N}: drops all but the newest N records."""
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        keep = int(body.get('keep', 0))
        self._drop(name, max(0, len(self._streams[name]) - keep))
        return replies.json_body(self.response,
                                 {'start': self._first_offsets[name]})

    def stats(self):
        """GET /stats: totals, and the newest record of each stream."""
        newest = {n: recs[-1] for n, recs in self._streams.items() if recs}
        return replies.json_body(self.response, {
            **self.totals, 'newest': newest
        })
