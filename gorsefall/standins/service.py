"""Service stand-in (booking, label); some of its calls are not idempotent."""

import collections
import dataclasses
import time

from circuits import core

from gorsefall import messages
from gorsefall import replies
from gorsefall.standins import base

NON_IDEMPOTENT_OPS = frozenset({'charge', 'issue_declaration'})


class _CallDone(core.Event):
    """Timer event: a call has finished."""
    name = 'call_worked'


@dataclasses.dataclass
class _Run:
    """A call that waits or runs, and where to send its response."""
    order: messages.ServiceCall
    deferred: replies.DeferredReply
    sock: object


class Service(base.StandIn):
    """Runs up to ``slots`` calls at once and counts the runs of each.

    Attributes:
        slots: Maximum number of running calls; further ones wait in order.
        work_s: Duration of a call, s.
        runs: Number of runs by idempotency key, or by request ID of calls
            without a key.
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
        """POST /call: runs a ``ServiceCall`` and responds with its result."""
        if (outage := self._outage_response()) is not None:
            return outage
        order = replies.read_json(self.request, base.MAX_BODY_BYTES,
                                  messages.ServiceCall)
        key = order.key or order.id
        if order.op in NON_IDEMPOTENT_OPS and self.faults.check_fence:
            # Tokens are compared per key: claims of different keys may arrive
            # in any order, which makes none of them stale.
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
        deferred = replies.DeferredReply(self, self.response)
        self._waiting.append(_Run(order, deferred, self.request.sock))
        self._start_calls()
        return True

    def _start_calls(self):
        while self._waiting and len(self._running) < self.slots:
            run = self._waiting.popleft()
            key = run.order.key or run.order.id
            self.runs[key] = self.runs.get(key, 0) + 1
            self._running[run.order.id] = run
            slow_factor = max(1, self.faults.slow)
            core.Timer(self.work_s * slow_factor, _CallDone(run.order.id),
                       self.channel).register(self)

    @core.handler('call_worked')
    def _on_call_done(self, rid):
        run = self._running.pop(rid)
        self._start_calls()
        result = {
            'id': run.order.id,
            'op': run.order.op,
            'ok': True,
            'by': self.service_name,
            'args': run.order.args
        }
        if not self._lose_response(run.sock) and not self._truncate_response(
                run.sock, result):
            run.deferred.json(result)

    def load(self):
        """GET /load: a ``LoadReport`` that counts all calls as priority 1."""
        if (outage := self._outage_response()) is not None:
            return outage
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
        """GET /stats: number of runs by key."""
        return replies.json_body(self.response, {'runs': self.runs})
