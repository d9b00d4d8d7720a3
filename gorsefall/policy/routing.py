"""Routing: chooses a replica by own in-flight counts and load reports."""

import contextlib
import dataclasses
import enum
import statistics

from gorsefall import ids
from gorsefall.policy import freshness
from gorsefall.policy import health
from gorsefall.policy import rendezvous

PREFIX_CHARS = 256
"""Length of the prompt prefix that determines cache affinity, characters."""

AFFINITY_SLACK = 2.0
"""Maximum load above that of the least busy replica, requests, at which a
replica may still be chosen for a prefix-cache hit. Above it, load takes
precedence over the cache."""

GAP_SMOOTHING = 0.1
SLOW_RATIO = 3.0
"""Ratio of a replica's token gap to the pool's median from which on it is a
straggler."""


class ReplicaState(enum.Enum):
    """The state of a replica by membership."""
    LIVE = 'live'
    LEAVING = 'leaving'
    DOWN = 'down'


@dataclasses.dataclass
class Replica(health.Health):
    """What an entry knows of one replica.

    Attributes:
        name: Replica name.
        addr: ``(host, port)``.
        pool: Pool it serves.
        zone: Its zone.
        state: A ``ReplicaState``.
        slots: Requests that it runs at once.
        inflight: Requests of this entry that run on it now (exact).
        own: The same by priority, index 1 to 5.
        others: Requests of other entries by priority, index 1 to 5, from
            its last load report (delayed).
        reported_at: When the replica made that report, s (epoch).
        failures: Consecutive failed calls.
        eject_until: No new requests before this time, s (monotonic).
        gap_s: Smoothed time between token events, s; 0 if unknown.
    """
    name: ids.ReplicaName
    addr: tuple
    pool: str
    zone: ids.ZoneName
    state: ReplicaState = ReplicaState.LIVE
    slots: int = 16
    inflight: int = 0
    own: list = dataclasses.field(default_factory=lambda: [0] * 6)
    others: tuple = (0,) * 6
    reported_at: float = 0.0
    failures: int = 0
    eject_until: float = 0.0
    gap_s: float = 0.0

    @contextlib.contextmanager
    def occupied(self, priority):
        """Counts one request in flight while the context is open."""
        self.inflight += 1
        self.own[priority] += 1
        try:
            yield self
        finally:
            self.inflight -= 1
            self.own[priority] -= 1

    def load(self, weight, priority=5):
        """Returns the requests of ``priority`` or more urgent on it.

        Args:
            weight: Weight of its last report, 0.0 to 1.0.
            priority: Least urgent priority that counts.
        """
        upto = slice(1, priority + 1)
        return sum(self.own[upto]) + weight * sum(self.others[upto])

    def observe_gap(self, gap_s):
        """Records one time between token events, s."""
        old = self.gap_s or gap_s
        self.gap_s = old + GAP_SMOOTHING * (gap_s - old)


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """The properties of a request that matter for routing.

    Attributes:
        prompt: Prompt text; its prefix determines cache affinity.
        priority: The priority that is sent to the replica.
    """
    prompt: str = ''
    priority: int = 5


class StartMode(enum.IntEnum):
    """How a request would start at a replica; lower is better."""
    FREE = 0
    PREEMPTS = 1
    WAITS = 2


class Router:
    """Chooses a replica for each attempt; subclasses define how.

    Attributes:
        max_age_s: Age from which on load reports have no weight, s.
    """

    def __init__(self, max_age_s):
        self.max_age_s = max_age_s

    def choose(self, replicas, profile, now, wall):
        """Returns a replica, or None.

        Args:
            replicas: The ``Replica`` objects that may get the request.
            profile: The ``RequestProfile`` of the request.
            now: Time, s (monotonic).
            wall: Time, s (epoch), to age load reports.
        """
        healthy = health.select_healthy(replicas, now)
        return self.pick(healthy, profile, wall) if healthy else None

    def pick(self, healthy, profile, wall):
        """Returns one of ``healthy``, a non-empty list of replicas."""
        raise NotImplementedError


class LoadRouter(Router):
    """Prefers a free slot, then low load, then prefix affinity.

    A replica with a free slot is better than one where the request would have
    to preempt another, and that one is better than one where it would wait
    behind requests as urgent as itself. Among replicas equal in this and within
    ``AFFINITY_SLACK`` of the lowest load, rendezvous hashing of the prompt's
    prefix decides. So equal prefixes reach the same prefix cache without cache
    events, which are delayed and incomplete.
    """

    def pick(self, healthy, profile, wall):
        """See ``Router.pick``."""
        gaps = [r.gap_s for r in healthy if r.gap_s > 0]
        median = statistics.median(gaps) if gaps else 0.0
        scores = {r.name: self.score(r, profile, wall, median) for r in healthy}
        mode, low = min(scores.values())
        nearby = [
            r for r in healthy
            if scores[r.name][0] == mode and scores[r.name][1] <= low +
            AFFINITY_SLACK
        ]
        return rendezvous.best(profile.prompt[:PREFIX_CHARS], nearby)

    def score(self, rep, profile, wall, median_gap_s):
        """Returns ``(StartMode, load)`` of ``rep``; lower is better.

        The entry's own in-flight count is exact; the requests of other entries
        come from the delayed report and lose weight with its age. The load of a
        straggler is multiplied by how much slower it is than the median.
        """
        weight = freshness.weight(wall - rep.reported_at, self.max_age_s)
        load = rep.load(weight)
        mode = StartMode.FREE
        if load >= rep.slots:
            load = rep.load(weight, profile.priority)
            mode = StartMode.PREEMPTS if load < rep.slots else StartMode.WAITS
        if median_gap_s > 0 and rep.gap_s > SLOW_RATIO * median_gap_s:
            load = (load + 1) * rep.gap_s / median_gap_s
        return mode, load


class LeastInflightRouter(Router):
    """Baseline: the fewest own requests in flight."""

    def pick(self, healthy, profile, wall):
        """See ``Router.pick``."""
        del profile, wall
        return min(healthy, key=lambda r: r.inflight)


class RoundRobinRouter(Router):
    """Baseline: each replica in turn, regardless of load."""

    def __init__(self, max_age_s):
        super().__init__(max_age_s)
        self._turn = 0

    def pick(self, healthy, profile, wall):
        """See ``Router.pick``."""
        del profile, wall
        self._turn += 1
        return healthy[self._turn % len(healthy)]
