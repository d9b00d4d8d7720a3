"""Weight store stand-in: model weights behind a rate limit."""

import collections
import time

from gorsefall import replies
from gorsefall.standins import base


class WeightStore(base.StandIn):
    """Serves ``GET /weights/MODEL``; over ``reads_per_s`` answers 429."""

    def __init__(self, reads_per_s=5):
        super().__init__()
        self.reads_per_s = reads_per_s
        self._window = collections.deque()

    def weights(self, model='default', *args, **kwargs):
        """GET /weights/MODEL: a small descriptor of the weights."""
        if (reply := self._down()) is not None:
            return reply
        now = time.monotonic()
        while self._window and self._window[0] < now - 1.0:
            self._window.popleft()
        if len(self._window) >= self.reads_per_s:
            self.response.headers['Retry-After'] = '1'
            return replies.json_body(self.response, {
                'error': {
                    'code': 'rate_limited',
                    'message': 'weight store busy'
                }
            }, 429)
        self._window.append(now)
        return replies.json_body(self.response, {'model': model, 'bytes': 1})
