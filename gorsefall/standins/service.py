"""Plain service stand-in (booking, label); some calls are not repeatable."""

import collections
import dataclasses
import time

from circuits import core

from gorsefall import messages
from gorsefall import replies
from gorsefall.standins import base

NON_IDEMPOTENT_OPS = frozenset({'charge', 'issue_declaration'})


class _Worked(core.Event):
    """The work of one call is over."""
    name = 'call_worked'


@dataclasses.dataclass
class _Run:
    order: messages.ServiceCall
    later: replies.DeferredReply
    sock: object


class Service(base.StandIn):
    """Runs ``ServiceCall`` posts, ``slots`` at a time, and counts the runs.

    Attributes:
        slots: Calls worked on at once; others wait their turn.
        work_s: Work of one call, s.
        runs: Runs per idempotency key (or request id), for the tests.
    """

    def __init__(self, name='service', slots=6, work_ms=5.0):
        super().__init__()
        self.service_name = name
        self.slots = slots
        self.work_s = work_ms / 1000.0
        self.runs = {}
        self._fences = {}
        self._waiting = collections.deque()
        self._running = {}

    def call(self, *args, **kwargs):
        """POST /call: runs one ``ServiceCall``; answers its result."""
        if (reply := self._down()) is not None:
            return reply
        order = replies.read_json(self.request, base.MAX_BODY_BYTES,
                                  messages.ServiceCall)
        key = order.key or order.id
        if order.op in NON_IDEMPOTENT_OPS and self.faults.check_fence:
            # Fences are compared per key: claims of different keys may
            # arrive in any order, and none is stale for it.
            if order.fence < self._fences.get(key, 0):
                return replies.json_body(
                    self.response, {
                        'error': {
                            'code': 'stale_fence',
                            'message': 'old fence',
                            'not_run': True
                        }
                    }, 409)
            self._fences[key] = order.fence
        later = replies.DeferredReply(self, self.response)
        self._waiting.append(_Run(order, later, self.request.sock))
        self._start()
        return True

    def _start(self):
        while self._waiting and len(self._running) < self.slots:
            run = self._waiting.popleft()
            key = run.order.key or run.order.id
            self.runs[key] = self.runs.get(key, 0) + 1
            self._running[run.order.id] = run
            slow = max(1, self.faults.slow)
            core.Timer(self.work_s * slow, _Worked(run.order.id),
                       self.channel).register(self)

    @core.handler('call_worked')
    def _on_worked(self, rid):
        run = self._running.pop(rid)
        self._start()
        result = {
            'id': run.order.id,
            'op': run.order.op,
            'ok': True,
            'by': self.service_name,
            'args': run.order.args
        }
        if not self._lose(run.sock) and not self._cut(run.sock, result):
            run.later.json(result)

    def load(self):
        """GET /load: a ``LoadReport``; priorities do not matter here."""
        if (reply := self._down()) is not None:
            return reply
        by_entry = {}
        for run in (*self._running.values(), *self._waiting):
            counts = by_entry.setdefault(run.order.entry, [0] * 5)
            counts[0] += 1
        return replies.json_body(
            self.response,
            messages.LoadReport(running=len(self._running),
                                waiting=len(self._waiting),
                                at=time.time(),
                                by_entry=by_entry))

    def stats(self):
        """GET /stats: runs per key."""
        return replies.json_body(self.response, {'runs': self.runs})
