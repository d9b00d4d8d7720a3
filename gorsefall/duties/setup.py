"""Creates what an entry needs for the duties of its settings."""

from gorsefall import logs
from gorsefall import settingsfile
from gorsefall.duties import coordinator
from gorsefall.duties import demand
from gorsefall.duties import kinds
from gorsefall.duties import lease
from gorsefall.duties import orders
from gorsefall.duties import truetime


def create_coordinator(node, adapter):
    """Returns the part of an entry in the duties.

    Args:
        node: The ``node.Node``.
        adapter: See ``node.Node``.

    Returns:
        A ``coordinator.NoDuties`` if the settings name no duty that this
        version knows.
    """
    cfg = node.cfg.duties
    known = {
        adapter.duty_kinds[n] for n in cfg.name_list if n in adapter.duty_kinds
    }
    for name in cfg.name_list:
        if name not in adapter.duty_kinds:
            logs.get('duties').error('duty_unknown', duty=name)
    if not known:
        return coordinator.NoDuties()
    source = adapter.source(node.loop, settingsfile.split_addr(node.cfg.store),
                            adapter.duties_topic)
    tracker = demand.DemandTracker()
    scaler = None
    if kinds.Kind.SCALING in known:
        scaler = orders.Scaler(node, cfg.autoscaling, tracker)
    return coordinator.Coordinator(node,
                                   cfg,
                                   lease=lease.Lease(source, node.cfg.name,
                                                     cfg.lease_s),
                                   client=adapter.duty_client(
                                       node.loop,
                                       settingsfile.split_addr(cfg.address),
                                       node.cfg.name),
                                   true_time=truetime.TrueTime(),
                                   tracker=tracker,
                                   reports_usage=kinds.Kind.USAGE in known,
                                   scaler=scaler)
