"""How often the store is read, from what the settings bound."""

from gorsefall.relay import topic

CONFIRMATION_MARGIN_S = 0.4
"""Part of the revocation bound that is left for a request's way to its
replica and a late answer there, s."""

MAX_CONFIG_WAIT_S = 1.2
"""Longest time a read of the configuration waits at the store, s; calls are
paid for. Each answer renews the proof, whose age stays under twice this while
all is well; the next bound holds for longer troubles."""

LOST_READ_MARGIN_S = 0.3
"""What is left of the bound on a new configuration for the next answer after
a lost one, s; a slow store takes 0.25 s."""

MIN_READS_PER_BOUND = 4
"""Reads within the proof's bound, at least. Two answers in a row may then be
lost, each noticed after 0.9 s, before a request has to be refused."""

MIN_CONFIG_WAIT_S = 0.2
"""Shortest such wait, s: five calls a second."""

LEAVE_MARGIN_S = 0.6
"""What is left of the bound on new work for a replica that leaves beside the
pause between reads of the replicas' records, s: an answer of the store and a
new connection to the replica (0.25 s at most) fit. Waiting reads would return
at each of the replicas' heartbeats, several a second, and calls are paid
for."""

MIN_REPLICAS_PAUSE_S = 0.2
"""Shortest such pause, s."""

MAX_SHARED_WAIT_S = 0.9
MAX_SHARED_PAUSE_S = 1.3
"""Longest wait and pause of reads that other entries depend on, s: few read, so
calls matter less than how old what they tell is."""

MAX_QUERY_PAUSE_S = 1.0
"""Longest pause between questions to another entry, s."""

MIN_QUERIES_PER_BOUND = 4
"""Questions within the shortest bound, at least: one may be lost, and one be
answered by an entry that does not know yet that it is cut off."""


def config_wait_s(cfg):
    """Returns how long a read of the configuration waits at the store, s.

    Where keys may go on without proof, a read waits as long as a lost answer
    is still noticed, and the next one read, before the configuration is
    overdue: after a channel was lost that is the longer of the time to settle
    and the bound on the configuration, which run side by side. Calls are paid
    for.
    """
    if cfg.strict_revocation:
        bound_s = cfg.revoke_s - CONFIRMATION_MARGIN_S
        return min(MAX_CONFIG_WAIT_S, bound_s / MIN_READS_PER_BOUND)
    bound_s = max(cfg.apply_s, cfg.settle_s)
    return max(MIN_CONFIG_WAIT_S,
               bound_s - topic.SILENCE_TIMEOUT_S - LOST_READ_MARGIN_S)


def replicas_pause_s(cfg):
    """Returns the pause between reads of the replicas' records, s."""
    return max(MIN_REPLICAS_PAUSE_S, cfg.leave_s - LEAVE_MARGIN_S)


def query_pause_s(cfg):
    """Returns the pause between questions to another entry, s."""
    bounds = [cfg.apply_s, cfg.leave_s]
    if cfg.strict_revocation:
        bounds.append(cfg.revoke_s - CONFIRMATION_MARGIN_S)
    return min(MAX_QUERY_PAUSE_S, min(bounds) / MIN_QUERIES_PER_BOUND)


def shared_wait_s(cfg):
    """Returns ``config_wait_s`` of an entry that others ask, s."""
    return min(MAX_SHARED_WAIT_S, config_wait_s(cfg), query_pause_s(cfg))


def shared_pause_s(cfg):
    """Returns ``replicas_pause_s`` of an entry that others ask, s."""
    pause_s = replicas_pause_s(cfg) - query_pause_s(cfg)
    return max(MIN_REPLICAS_PAUSE_S, min(MAX_SHARED_PAUSE_S, pause_s))
