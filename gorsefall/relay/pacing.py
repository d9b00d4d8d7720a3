"""How often the store is read, derived from bounds in the settings."""

from gorsefall.relay import topic

CONFIRMATION_MARGIN_S = 0.4
"""Part of the revocation bound left for a request's way to its replica and a
late response there, s."""

MAX_CONFIG_WAIT_S = 1.2
"""Longest time a read of the configuration waits at the store, s: the store
charges by the call. Each response renews the confirmation, whose age stays
under twice this time while all is well; ``MIN_READS_PER_BOUND`` covers longer
faults."""

LOST_READ_MARGIN_S = 0.3
"""Part of the bound on a new configuration left for the next response after a
lost one, s; a slow store takes 0.25 s."""

MIN_READS_PER_BOUND = 4
"""Fewest reads within the bound on the confirmation's age. Two responses in a
row may then be lost, each detected after 0.9 s, before a request has to be
refused."""

MIN_CONFIG_WAIT_S = 0.2
"""Shortest time a read of the configuration waits, s: five calls a second."""

LIST_AGE_SHARE = 0.5
"""Part of the bound on new requests to a leaving replica up to which the
replicas' records are used. The rest is left for the way of a request: a new
connection (0.25 s at most), directly or through another entry, and processes
on both sides that wait for a processor."""

LIST_READ_MARGIN_S = 0.3
"""Part of that age that remains after the pause between reads of the records,
s: a response of a slow store takes 0.25 s. These reads do not wait at the
store, as they would return at each heartbeat of a replica, several a second,
and the store charges by the call."""

LIST_SHARED_MARGIN_S = 0.35
"""The same where other entries depend on the reads, s: they are queried, and an
entry may still read by itself then."""

LIST_QUERY_SHARE = 0.4
"""Longest pause between queries, as a part of the age of the records."""

SEND_MARGIN_S = 0.3
"""Part of the bound on a new configuration left for the way of a request to its
replica, s: a new connection (0.25 s at most), directly or through another
entry."""

MIN_REPLICAS_PAUSE_S = 0.2
"""Shortest pause between reads of the replicas' records, s."""

MAX_SHARED_WAIT_S = 0.9
MAX_SHARED_PAUSE_S = 1.3
"""Longest wait and pause of reads that other entries depend on, s. Few entries
read, so the number of calls matters less than the age of what they send."""

MAX_QUERY_PAUSE_S = 1.0
"""Longest pause between queries to another entry, s."""

MIN_QUERIES_PER_BOUND = 4
"""Fewest queries within the shortest bound: one may be lost, and one may reach
an entry that has not yet detected that it cannot reach the store."""


def config_wait_s(cfg):
    """Returns how long a read of the configuration waits at the store, s.

    Without strict revocation a read waits as long as possible, since the store
    charges by the call. A lost response must still be detected, and the next
    one received, before the configuration is overdue. After a connection was
    lost that time is the longer of the time to settle and the bound on the
    configuration, which run concurrently.
    """
    if cfg.strict_revocation:
        bound_s = cfg.revoke_s - CONFIRMATION_MARGIN_S
        return min(MAX_CONFIG_WAIT_S, bound_s / MIN_READS_PER_BOUND)
    bound_s = max(cfg.apply_s, cfg.settle_s)
    return max(MIN_CONFIG_WAIT_S,
               bound_s - topic.SILENCE_TIMEOUT_S - LOST_READ_MARGIN_S)


def replicas_pause_s(cfg):
    """Returns the pause between reads of the replicas' records, s."""
    return max(MIN_REPLICAS_PAUSE_S,
               max_replicas_age_s(cfg) - LIST_READ_MARGIN_S)


def max_replicas_age_s(cfg):
    """Returns the age of the replicas' records up to which they are current, s.

    A request that is sent by them reaches no replica that has left for longer
    than the settings allow.
    """
    return max(2 * MIN_REPLICAS_PAUSE_S, cfg.leave_s * LIST_AGE_SHARE)


def max_config_age_s(cfg):
    """Returns the age of what another entry told of the configuration, s.

    At that age this entry has read it itself; while it reads continuously, a
    read waits at the store instead, and returns with each change.
    """
    bounds = [cfg.apply_s - SEND_MARGIN_S]
    if cfg.strict_revocation:
        # Requests are refused from that age on.
        bounds.append(cfg.revoke_s - CONFIRMATION_MARGIN_S)
    return max(2 * MIN_CONFIG_WAIT_S, min(bounds))


def query_pause_s(cfg):
    """Returns the pause between queries to another entry, s."""
    return min(_config_query_pause_s(cfg),
               LIST_QUERY_SHARE * max_replicas_age_s(cfg))


def _config_query_pause_s(cfg):
    """Returns the longest such pause for the configuration, s."""
    bounds = [cfg.apply_s, cfg.leave_s]
    if cfg.strict_revocation:
        bounds.append(cfg.revoke_s - CONFIRMATION_MARGIN_S)
    return min(MAX_QUERY_PAUSE_S, min(bounds) / MIN_QUERIES_PER_BOUND)


def shared_wait_s(cfg):
    """Returns ``config_wait_s`` of an entry that others query, s."""
    return min(MAX_SHARED_WAIT_S, config_wait_s(cfg),
               _config_query_pause_s(cfg))


def shared_pause_s(cfg):
    """Returns ``replicas_pause_s`` of an entry that others query, s."""
    pause_s = max_replicas_age_s(cfg) - LIST_SHARED_MARGIN_S
    return max(MIN_REPLICAS_PAUSE_S, min(MAX_SHARED_PAUSE_S, pause_s))
