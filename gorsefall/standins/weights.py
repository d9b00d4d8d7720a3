"""Weight store stand-in: model weights behind a rate limit."""

import collections
import time

from gorsefall import replies
from gorsefall.standins import base


class WeightStore(base.StandIn):
    """Serves weights; over ``reads_per_s`` reads it responds with 429."""

    def __init__(self, reads_per_s=5):
        super().__init__()
        self.reads_per_s = reads_per_s
        self._recent_reads = collections.deque()

    def weights(self, model='default', *args, **kwargs):
        """GET /weights/MODEL: a small JSON object in place of the weights."""
        if (outage := self._outage_response()) is not None:
            return outage
        now = time.monotonic()
        while self._recent_reads and self._recent_reads[0] < now - 1.0:
            self._recent_reads.popleft()
        if len(self._recent_reads) >= self.reads_per_s:
            self.response.headers['Retry-After'] = '1'
            return replies.json_body(self.response, {
                'error': {
                    'code': 'rate_limited',
                    'message': 'weight store busy'
                }
            }, 429)
        self._recent_reads.append(now)
        return replies.json_body(self.response, {'model': model, 'bytes': 1})
