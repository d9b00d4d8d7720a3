"""Routing: choose a replica from own in-flight counts and lagging reports."""

import dataclasses
import enum

import xxhash

PREFIX_CHARS = 64
AFFINITY_SLACK = 1.0
"""A replica this much busier than the least busy may still be chosen for a
prefix-cache hit; more than that and load wins over the cache."""


class ReplicaState(enum.Enum):
    """A replica as membership sees it."""
    LIVE = 'live'
    LEAVING = 'leaving'
    DOWN = 'down'


@dataclasses.dataclass
class Replica:
    """What the entry knows of one back-end replica.

    Attributes:
        name: Replica name.
        addr: ``(host, port)``.
        pool: Pool it serves.
        zone: Its zone.
        state: A ``ReplicaState``.
        inflight: Requests this entry has running on it now (exact).
        reported: Requests it reported running plus waiting (lagging).
        reported_at: Time of that report, s (epoch).
        failures: Consecutive failed calls.
    """
    name: str
    addr: tuple
    pool: str
    zone: str
    state: ReplicaState = ReplicaState.LIVE
    inflight: int = 0
    reported: int = 0
    reported_at: float = 0.0
    failures: int = 0


def score(rep, now, max_age_s):
    """Returns the load score of ``rep``: lower is better.

    The entry's own in-flight count is exact; the replica's report includes
    other entries' work but describes the past. It is discounted linearly to
    nothing at ``max_age_s``, so a stale report cannot steer traffic.
    """
    age = max(0.0, now - rep.reported_at)
    weight = max(0.0, 1.0 - age / max_age_s)
    others = max(0, rep.reported - rep.inflight)
    return rep.inflight + weight * others + 4 * rep.failures


def choose(replicas, prompt, now, max_age_s, exclude=()):
    """Picks a live replica for a request, or None.

    Among replicas within ``AFFINITY_SLACK`` of the lowest score, the one
    that rendezvous hashing gives for the prompt's prefix wins, so equal
    prefixes meet the same prefix cache without any cache events.
    """
    live = [
        r for r in replicas
        if r.state is ReplicaState.LIVE and r.name not in exclude
    ]
    if not live:
        return None
    scores = {r.name: score(r, now, max_age_s) for r in live}
    low = min(scores.values())
    near = [r for r in live if scores[r.name] <= low + AFFINITY_SLACK]
    prefix = prompt[:PREFIX_CHARS].encode()
    return max(near,
               key=lambda r: xxhash.xxh64_intdigest(prefix + r.name.encode()))
