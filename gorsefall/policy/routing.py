"""Routing: choose a replica from own in-flight counts and lagging reports."""

import contextlib
import dataclasses
import enum
import statistics

from gorsefall import ids
from gorsefall.policy import freshness
from gorsefall.policy import health
from gorsefall.policy import rendezvous

PREFIX_CHARS = 256
"""Characters of a prompt that decide where its shared part is cached."""

AFFINITY_SLACK = 2.0
"""A replica this much busier than the least busy may still be chosen for a
prefix-cache hit; more than that and load wins over the cache."""

GAP_SMOOTHING = 0.1
SLOW_RATIO = 3.0
"""A replica whose token gap is this many times the pool's median is a
straggler."""


class ReplicaState(enum.Enum):
    """A replica as membership sees it."""
    LIVE = 'live'
    LEAVING = 'leaving'
    DOWN = 'down'


@dataclasses.dataclass
class Replica(health.Health):
    """What the entry knows of one back-end replica.

    Attributes:
        name: Replica name.
        addr: ``(host, port)``.
        pool: Pool it serves.
        zone: Its zone.
        state: A ``ReplicaState``.
        slots: Requests it runs at once.
        inflight: Requests this entry has running on it now (exact).
        own: The same by priority, index 1 to 5.
        others: Requests of other entries by priority, index 1 to 5, from
            its last load report (lagging).
        reported_at: When the replica took that report, s (epoch).
        failures: Consecutive failed calls.
        eject_until: No new work before this time, s (monotonic).
        gap_s: Smoothed time between token events, s; 0 when unknown.
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
        """Counts one request in flight for as long as the context is open."""
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
            weight: How far to trust its last report, 0.0 to 1.0.
            priority: Least urgent priority that counts.
        """
        upto = slice(1, priority + 1)
        return sum(self.own[upto]) + weight * sum(self.others[upto])

    def observe_gap(self, gap_s):
        """Adds one measured time between token events, s."""
        old = self.gap_s or gap_s
        self.gap_s = old + GAP_SMOOTHING * (gap_s - old)


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """What routing needs to know of a request.

    Attributes:
        prompt: Prompt text; its start decides cache affinity.
        priority: The priority the replica will be told.
    """
    prompt: str = ''
    priority: int = 5


class StartMode(enum.IntEnum):
    """How a request would start at a replica; lower is better."""
    FREE = 0
    PREEMPTS = 1
    WAITS = 2


class Router:
    """Chooses a replica for each attempt; subclasses decide how.

    Attributes:
        max_age_s: Load reports older than this have no weight, s.
    """

    def __init__(self, max_age_s):
        self.max_age_s = max_age_s

    def choose(self, replicas, want, now, wall):
        """Picks a replica, or None.

        Args:
            replicas: The ``Replica`` objects that may get the request.
            want: The ``Want`` of the request.
            now: Time, s (monotonic).
            wall: Time, s (epoch), to age load reports.
        """
        sound = health.select_healthy(replicas, now)
        return self.pick(sound, want, wall) if sound else None

    def pick(self, sound, want, wall):
        """Picks one of ``sound``, a non-empty list of healthy replicas."""
        raise NotImplementedError


class LoadRouter(Router):
    """A free place first, then least load, then prefix affinity.

    A replica with a free place goes before one where the request would
    have to preempt, and that before one where it would wait behind requests
    as urgent as itself. Among replicas equal in that and within
    ``AFFINITY_SLACK`` of the lowest load, the one that rendezvous hashing
    gives for the prompt's prefix wins, so equal prefixes meet the same
    prefix cache without reading cache events, which come late and with
    gaps.
    """

    def pick(self, sound, want, wall):
        """See ``Router.pick``."""
        gaps = [r.gap_s for r in sound if r.gap_s > 0]
        median = statistics.median(gaps) if gaps else 0.0
        scores = {r.name: self.score(r, want, wall, median) for r in sound}
        place, low = min(scores.values())
        near = [
            r for r in sound
            if scores[r.name][0] == place and scores[r.name][1] <= low +
            AFFINITY_SLACK
        ]
        return rendezvous.best(want.prompt[:PREFIX_CHARS], near)

    def score(self, rep, want, wall, median_gap_s):
        """Returns ``(Place, load)`` of ``rep``; lower is better.

        The entry's own in-flight count is exact; other entries' work is
        known from the lagging report and discounted by its age. A straggler
        counts as many times busier as it is slower than the median.
        """
        weight = freshness.weight(wall - rep.reported_at, self.max_age_s)
        load = rep.load(weight)
        place = StartMode.FREE
        if load >= rep.slots:
            load = rep.load(weight, want.priority)
            place = StartMode.PREEMPTS if load < rep.slots else StartMode.WAITS
        if median_gap_s > 0 and rep.gap_s > SLOW_RATIO * median_gap_s:
            load = (load + 1) * rep.gap_s / median_gap_s
        return place, load


class LeastInflightRouter(Router):
    """Baseline: own in-flight count alone."""

    def pick(self, sound, want, wall):
        """See ``Router.pick``."""
        del want, wall
        return min(sound, key=lambda r: r.inflight)


class RoundRobinRouter(Router):
    """Baseline: each replica in turn, whatever its load."""

    def __init__(self, max_age_s):
        super().__init__(max_age_s)
        self._turn = 0

    def pick(self, sound, want, wall):
        """See ``Router.pick``."""
        del want, wall
        self._turn += 1
        return sound[self._turn % len(sound)]
