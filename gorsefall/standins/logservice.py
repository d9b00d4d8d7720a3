"""Log service stand-in: append-only streams with offsets and retention."""

import collections
import time

from gorsefall import replies
from gorsefall.standins import base


class LogService(base.StandIn):
    """Streams by name; each record gets the next offset of its stream.

    Attributes:
        retention: Records kept per stream; older ones are dropped.
        appends_per_s: Appends accepted per second in all; more get 429.
    """

    def __init__(self, retention=10000, appends_per_s=300):
        super().__init__()
        self.retention = retention
        self.appends_per_s = appends_per_s
        self._streams = collections.defaultdict(list)
        self._starts = collections.defaultdict(int)
        self._window = collections.deque()

    def streams(self, name=None, action='read', *args, **kwargs):
        """POST /streams/NAME/append, GET /streams/NAME/read?start=N&limit=M.

        Append takes ``{"records": [obj, ...]}`` and answers
        ``{"offset": first offset written}``; read answers a ``ReadReply``.
        A read below the oldest retained offset answers 410 with ``start``.
        """
        if (reply := self._down()) is not None:
            return reply
        if action == 'append':
            return self._append(name)
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
        if len(self._window) >= self.appends_per_s:
            return replies.json_body(
                self.response,
                {'error': {
                    'code': 'busy',
                    'message': 'append rate exceeded'
                }}, 429)
        self._window.append(now)
        body = replies.read_json(self.request, base.MAX_BODY)
        recs = self._streams[name]
        offset = self._starts[name] + len(recs)
        recs.extend(body.get('records', []))
        drop = len(recs) - self.retention
        if drop > 0:
            del recs[:drop]
            self._starts[name] += drop
        if self._lose():
            return replies.push(self, self.response, replies.JSON_TYPE).res
        return replies.json_body(self.response, {'offset': offset})

    def trim(self, name=None, *args, **kwargs):
        """POST /trim/NAME {"keep": N}: drops all but the newest N records."""
        body = replies.read_json(self.request, base.MAX_BODY)
        recs = self._streams[name]
        drop = max(0, len(recs) - int(body.get('keep', 0)))
        del recs[:drop]
        self._starts[name] += drop
        return replies.json_body(self.response, {'start': self._starts[name]})
