"""VM list stand-in: live and leaving VMs, shown with a lag."""

import collections
import time

import msgspec

from gorsefall import messages
from gorsefall import replies
from gorsefall.standins import base


class VmList(base.StandIn):
    """Holds VMs set by tests; ``GET /vms`` shows them as of ``lag_s`` ago."""

    def __init__(self):
        super().__init__()
        self._history = collections.deque([(0.0, {})], maxlen=1000)

    def vms(self, *args, **kwargs):
        """GET /vms: list of ``VmEntry``; POST /vms: set one VM's entry."""
        if (reply := self._down()) is not None:
            return reply
        if self.request.method == 'POST':
            vm = replies.read_json(self.request, base.MAX_BODY_BYTES,
                                   messages.VmEntry)
            self._set({**self._history[-1][1], vm.name: vm})
            return replies.json_body(self.response, {'ok': True})
        cutoff = time.time() - self.faults.lag_s
        shown = {}
        for at, snap in self._history:
            if at <= cutoff:
                shown = snap
        return replies.json_body(
            self.response, [msgspec.structs.asdict(v) for v in shown.values()])

    def drop(self, *args, **kwargs):
        """POST /drop {"name"}: the list shows this VM no longer."""
        name = replies.read_json(self.request, base.MAX_BODY_BYTES).get('name')
        now = dict(self._history[-1][1])
        now.pop(name, None)
        self._set(now)
        return replies.json_body(self.response, {'ok': True})

    def _set(self, now):
        self._history.append((time.time(), now))
