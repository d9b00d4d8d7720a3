"""Plain service stand-in (booking, label); some calls are not repeatable."""

import time

from gorsefall import messages
from gorsefall import replies
from gorsefall.standins import base

NOT_REPEATABLE = frozenset({'charge', 'issue_declaration'})


class Service(base.StandIn):
    """Answers ``ServiceCall`` posts and counts how often each key ran.

    Attributes:
        runs: Runs per idempotency key (or request id), for the tests.
    """

    def __init__(self, name='service'):
        super().__init__()
        self.service_name = name
        self.runs = {}
        self._fence = 0

    def call(self, *args, **kwargs):
        """POST /call: runs one ``ServiceCall``; answers its result."""
        if (reply := self._down()) is not None:
            return reply
        order = replies.read_json(self.request, base.MAX_BODY,
                                  messages.ServiceCall)
        if order.op in NOT_REPEATABLE and self.faults.check_fence:
            if order.fence and order.fence < self._fence:
                return replies.json_body(
                    self.response,
                    {'error': {
                        'code': 'stale_fence',
                        'message': 'old fence'
                    }}, 409)
            self._fence = max(self._fence, order.fence)
        key = order.key or order.id
        self.runs[key] = self.runs.get(key, 0) + 1
        result = {
            'id': order.id,
            'op': order.op,
            'ok': True,
            'by': self.service_name,
            'args': order.args
        }
        if self._lose():
            return replies.push(self, self.response, replies.JSON_TYPE).res
        return replies.json_body(self.response, result)

    def load(self):
        """GET /load: a ``LoadReport``; a plain service is never queued."""
        return replies.json_body(
            self.response,
            messages.LoadReport(running=0, waiting=0, at=time.time()))

    def stats(self):
        """GET /stats: runs per key."""
        return replies.json_body(self.response, {'runs': self.runs})
