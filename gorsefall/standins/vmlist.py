"""VM list stand-in: a list of VMs that is served with a lag."""

import collections
import time

import msgspec

from gorsefall import messages
from gorsefall import replies
from gorsefall.standins import base


class VmList(base.StandIn):
    """Holds VMs set by tests; ``GET /vms`` lists them as of ``lag_s`` ago."""

    def __init__(self):
        super().__init__()
        self._history = collections.deque([(0.0, {})], maxlen=1000)

    def vms(self, *args, **kwargs):
        """GET /vms: lists ``VmEntry``; POST /vms: adds or replaces one."""
        if (outage := self._outage_response()) is not None:
            return outage
        if self.request.method == 'POST':
            vm = replies.read_json(self.request, base.MAX_BODY_BYTES,
                                   messages.VmEntry)
            self._set({**self._history[-1][1], vm.name: vm})
            return replies.json_body(self.response, {'ok': True})
        cutoff = time.time() - self.faults.lag_s
        vms = {}
        for at, snapshot in self._history:
            if at <= cutoff:
                vms = snapshot
        return replies.json_body(
            self.response, [msgspec.structs.asdict(v) for v in vms.values()])

    def drop(self, *args, **kwargs):
        """POST /drop {"name"}: removes a VM from the list."""
        name = replies.read_json(self.request, base.MAX_BODY_BYTES).get('name')
        vms = dict(self._history[-1][1])
        vms.pop(name, None)
        self._set(vms)
        return replies.json_body(self.response, {'ok': True})

    def _set(self, vms):
        self._history.append((time.time(), vms))
