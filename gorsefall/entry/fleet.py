"""The fleet of an entry: replicas by pool, and the other entries."""

from gorsefall import directory
from gorsefall import errors
from gorsefall import logs
from gorsefall import messages
from gorsefall import settingsfile
from gorsefall.policy import limits
from gorsefall.policy import routing

_STATES = {
    'live': routing.ReplicaState.LIVE,
    'leaving': routing.ReplicaState.LEAVING,
}


class Fleet(directory.Directory):
    """Replicas and entries from the settings and the VM list.

    Attributes:
        replicas: ``name -> routing.Replica`` of all pools.
        pools: ``pool -> {name: routing.Replica}``.
        peers: ``name -> (host, port)`` of the other live entries.
        shares: This entry's ``limits.Shares``, updated in place.
    """

    def __init__(self, cfg):
        """Creates the fleet of ``cfg``, a ``settings.Settings``."""
        super().__init__()
        self._entry_name = cfg.entry.name
        self._slots = cfg.entry.slots_per_replica
        self._pool_slots = cfg.entry.pool_slots
        self._listed_names = set()
        self._log = logs.get('fleet')
        self.pools = {}
        self.peers = {}
        self.shares = limits.Shares(entries=cfg.entry.entries)
        for backend in cfg.backends:
            self._add(backend.name, settingsfile.split_addr(backend.addr),
                      backend.pool, backend.zone)

    def _add(self, name, addr, pool, zone):
        replica = routing.Replica(name=name,
                                  addr=addr,
                                  pool=pool,
                                  zone=zone,
                                  slots=self._pool_slots.get(pool, self._slots))
        self.replicas[name] = replica
        self.pools.setdefault(pool, {})[name] = replica
        return replica

    def update(self, vms):
        """Applies one read of the VM list.

        Args:
            vms: A list of ``messages.VmEntry``.
        """
        listed = {vm.name: vm for vm in vms}
        self._update_entries(vms)
        for vm in vms:
            if vm.role == 'backend':
                self._update_replica(vm)
        for name in self._listed_names - listed.keys():
            replica = self.replicas.get(name)
            if replica is not None:
                self._set_state(replica, routing.ReplicaState.DOWN)
        self._listed_names |= listed.keys()

    def _update_replica(self, vm):
        state = _STATES.get(vm.state, routing.ReplicaState.DOWN)
        replica = self.replicas.get(vm.name)
        addr = self._addr(vm) if vm.addr and vm.pool else None
        if addr and (replica is None or replica.addr != addr):
            # A new address means a new VM. The old VM's state (failures,
            # requests in flight) does not apply to it.
            replica = self._add(vm.name, addr, vm.pool, vm.zone)
        if replica is not None:
            self._set_state(replica, state)

    def _addr(self, vm):
        """Returns the VM's ``(host, port)``, or None if it is malformed."""
        try:
            return settingsfile.split_addr(vm.addr)
        except errors.SettingsError as exc:
            self._log.error('vm_bad_addr', vm=vm.name, error=str(exc))
            return None

    def _set_state(self, replica, state):
        if replica.state is not state:
            self._log.info('replica_state',
                           replica=replica.name,
                           state=state.value,
                           was=replica.state.value)
            replica.state = state

    def _update_entries(self, vms):
        live = {vm.name: vm for vm in vms if vm.role == 'entry'}
        if not live:
            return
        addrs = {name: self._addr(vm) for name, vm in live.items()}
        addrs.pop(self._entry_name, None)
        self.peers = {name: addr for name, addr in addrs.items() if addr}
        # The list lags: this entry counts itself even if not listed yet.
        names = sorted({*live, self._entry_name})
        self.shares.entries = len(names)
        self.shares.rank = names.index(self._entry_name)

    def candidates(self, service, exclude):
        """See ``directory.Directory``."""
        return [
            r for r in self.pools.get(service, {}).values()
            if r.state is routing.ReplicaState.LIVE and r.name not in exclude
        ]

    def capacity(self, pool):
        """Returns the total number of slots of the pool's live replicas."""
        return sum(r.slots for r in self.candidates(pool, ()))

    def others_in_flight(self, pool, wall_time, max_age_s):
        """Returns the other entries' requests in flight by priority.

        Args:
            pool: Pool name.
            wall_time: Current time, s (epoch).
            max_age_s: Maximum age of a load report, s.

        Returns:
            A list: item ``p`` is the number of requests of priority ``p`` or
            more urgent. None if a live replica's report is too old; then
            only this entry's fair share of the slots is safe to use.
        """
        total = [0] * (messages.PRIORITIES.stop)
        for replica in self.candidates(pool, ()):
            if wall_time - replica.reported_at > max_age_s:
                return None
            for priority in messages.PRIORITIES:
                total[priority] += replica.others[priority]
        for priority in messages.PRIORITIES:
            total[priority] += total[priority - 1]
        return total
