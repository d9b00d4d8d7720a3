"""Log service stand-in: append-only streams with offsets and retention."""

import collections
import time

from gorsefall import replies
from gorsefall.standins import base


class LogService(base.StandIn):
    """Streams by name; each record gets the next offset of its stream.

    Attributes:
        retention: Records kept per stream; older ones are dropped.
        retain_s: Seconds a record is kept, whatever their number.
        appends_per_s: Appends accepted per second in all; more get 429.
    """

    def __init__(self, retention=10000, retain_s=86400.0, appends_per_s=300):
        super().__init__()
        self.retention = retention
        self.retain_s = retain_s
        self.appends_per_s = appends_per_s
        self._streams = collections.defaultdict(list)
        self._starts = collections.defaultdict(int)
        self._times = collections.defaultdict(list)
        self._window = collections.deque()
        self.totals = collections.Counter()

    def streams(self, name=None, action='read', *args, **kwargs):
        """POST /streams/NAME/append, GET /streams/NAME/read?start=N&limit=M.

        Append takes ``{"records": [obj, ...]}`` and answers
        ``{"offset": first offset written}``; read answers ``records``
        (each ``offset`` and ``data``) with the bounds ``start`` and ``end``.
        A read below the oldest retained offset answers 410 with ``start``.
        """
        if (reply := self._down()) is not None:
            return reply
        if action == 'append':
            return self._append(name)
        self.totals['reads'] += 1
        self._expire(name)
        start = int(kwargs.get('start', 0))
        limit = int(kwargs.get('limit', 500))
        first = self._starts[name]
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
        sel = recs[start - first:start - first + limit]
        out = [{'offset': start + i, 'data': d} for i, d in enumerate(sel)]
        return replies.json_body(self.response, {
            'records': out,
            'start': first,
            'end': end
        })

    def _append(self, name):
        now = time.monotonic()
        while self._window and self._window[0] < now - 1.0:
            self._window.popleft()
        most = self.faults.max_appends_per_s or self.appends_per_s
        if len(self._window) >= most:
            return replies.json_body(
                self.response, {
                    'error': {
                        'code': 'busy',
                        'message': 'append rate exceeded',
                        'not_run': True
                    }
                }, 429)
        self._window.append(now)
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        new = body.get('records', [])
        recs = self._streams[name]
        offset = self._starts[name] + len(recs)
        recs.extend(new)
        self._times[name].extend([now] * len(new))
        self.totals['appends'] += 1
        self.totals['records'] += len(new)
        self._expire(name)
        if self._lose(self.request.sock):
            return True
        return replies.json_body(self.response, {'offset': offset})

    def _expire(self, name):
        times = self._times[name]
        old = time.monotonic() - self.retain_s
        drop = max(0, len(times) - int(self.retention))
        while drop < len(times) and times[drop] < old:
            drop += 1
        self._drop(name, drop)

    def _drop(self, name, n):
        del self._streams[name][:n]
        del self._times[name][:n]
        self._starts[name] += n

    def trim(self, name=None, *args, **kwargs):
        """POST /trim/NAME {"keep": N}: drops all but the newest N records."""
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        keep = int(body.get('keep', 0))
        self._drop(name, max(0, len(self._streams[name]) - keep))
        return replies.json_body(self.response, {'start': self._starts[name]})

    def stats(self):
        """GET /stats: calls so far, and each stream's newest record."""
        newest = {n: recs[-1] for n, recs in self._streams.items() if recs}
        return replies.json_body(self.response, {
            **self.totals, 'newest': newest
        })
