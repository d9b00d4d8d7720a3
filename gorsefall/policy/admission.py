"""Admission and scheduling: tier queues, shedding, promotion of the starved.

Pure logic: the entry feeds it arrivals, completions, load and the clock,
and acts on what it returns. Tested against a simple oracle.
"""

import collections
import dataclasses
import enum
import math

from gorsefall import errors
from gorsefall import ids
from gorsefall.policy import retry_delay
from gorsefall.policy import limits

STARVE_S = 4.0
"""A request without service for this long may be promoted."""

PROMOTED_SHARE = 1 / 8
"""Part of the pool's places that promoted requests may hold at most."""

WAIT_SHARE = 0.4
"""Part of its latency target a request may be expected to wait; the rest is
for reading the prompt and for the estimate's error."""

TOP_PRIORITY = 1
TIERS = range(1, 6)
PACE_SMOOTHING = 0.2


class Verdict(enum.Enum):
    """What admission decided for an arrival."""
    RUN = 'run'
    QUEUED = 'queued'


@dataclasses.dataclass
class Ticket:
    """A request known to admission.

    Attributes:
        rid: Request id.
        tier: 1 (highest) to 5.
        arrived: Arrival time, s (monotonic).
        deadline: Time by which it must have started, s (monotonic).
        scopes: Limits it counts against, see ``limits.Limits.admit``.
        target_s: Latency target for its first token, s; a request that
            cannot start within it is refused on arrival.
        group: Its class; places are shared evenly among a tier's classes.
        priority: What the engine is told; its tier unless promoted.
        promoted: Whether it holds one of the promoted places.
    """
    rid: ids.RequestId
    tier: int
    arrived: float
    deadline: float = math.inf
    target_s: float = math.inf
    group: tuple = ()
    scopes: list = dataclasses.field(default_factory=list)
    priority: int = 0
    promoted: bool = False

    def __post_init__(self):
        self.priority = self.priority or self.tier


class StartPace:
    """How fast queued requests of some tier or higher are being started.

    Measured, since it depends on what more urgent tiers and other entries
    leave over, which this entry cannot compute.

    Attributes:
        interval_s: Smoothed time between starts from the queue, s.
    """

    def __init__(self):
        self.interval_s = 0.0
        self._last = None

    def record_start(self, now):
        """Notes a start from the queue."""
        if self._last is not None:
            gap = now - self._last
            old = self.interval_s or gap
            self.interval_s = old + PACE_SMOOTHING * (gap - old)
        self._last = now

    def record_idle(self):
        """Notes that nothing waits: the next gap says nothing of the pace."""
        self._last = None

    def expected_interval_s(self, now, otherwise):
        """Returns the expected time between starts, s.

        Args:
            now: Time, s (monotonic).
            otherwise: What to expect while nothing has been measured, s.
        """
        if self._last is None:
            return self.interval_s or otherwise
        return max(self.interval_s or otherwise, now - self._last)


class Admission:
    """What every admission policy shares: limits, running, waiting.

    Attributes:
        capacity: Requests the pool's live replicas run at once.
        others: ``others[p]``: requests of other entries with priority p or
            more urgent, estimated from load reports; None when unknown.
        running: Tickets running, by request id.
        served_time_s: Smoothed time a request holds its place, s.
    """

    def __init__(self, capacity, queue_limit=2000, limiter=None):
        self.capacity = capacity
        self.queue_limit = queue_limit
        self.limiter = limiter or limits.Limits()
        self.others = None
        self.running = {}
        self.served_time_s = 0.05
        self._waiting = {}
        self._running_of = collections.Counter()

    def arrive(self, ticket, now):
        """Admits, queues or refuses ``ticket``.

        Returns:
            ``(Verdict, shed)``: ``shed`` lists tickets of lower tiers pushed
            out of the queue to make room; each gets a final answer at once.

        Raises:
            errors.RateLimitedError: A limit of its customer or class is
                reached.
            errors.ShedError: The queue is full of equal or higher tiers, or
                the request cannot start before its deadline.
        """
        raise NotImplementedError

    def finish(self, rid, now, served_s=None):
        """Marks ``rid`` done or withdrawn; returns tickets to start now."""
        ticket = self.running.pop(rid, None)
        if ticket is not None:
            self._running_of[ticket.group] -= 1
        else:
            ticket = self._waiting.pop(rid, None)
        if ticket is None:
            return []
        self.limiter.release(ticket.scopes)
        if served_s is not None:
            self.served_time_s = 0.9 * self.served_time_s + 0.1 * served_s
        return self.drain(now)

    def drain(self, now):
        """Starts waiting tickets while there is room; returns them."""
        raise NotImplementedError

    def expire(self, now):
        """Withdraws waiting tickets past their deadline; returns them."""
        late = [t for t in self._waiting.values() if t.deadline < now]
        for t in late:
            del self._waiting[t.rid]
            self.limiter.release(t.scopes)
        return late

    def promote(self, now, silent):
        """Promotes starved tickets; policies without tiers do nothing.

        Args:
            now: Time, s (monotonic).
            silent: ``rid -> time of last sign of service`` of running
                requests.

        Returns:
            ``(to start, to raise)``: queued tickets that start now, and
            running tickets whose engine must be told the new priority.
        """
        del now, silent
        return [], []

    def waiting(self):
        """Returns the waiting tickets (a list, any order)."""
        return list(self._waiting.values())

    def _run(self, ticket):
        self.running[ticket.rid] = ticket
        self._running_of[ticket.group] += 1

    def fair_share(self):
        """Returns this entry's part of the pool's places, at least 1."""
        return max(1, math.ceil(self.capacity / self.limiter.shares.entries))


class TierAdmission(Admission):
    """Serves tiers in order, promotes the starved, sheds lowest tier first.

    A request starts when fewer than ``capacity`` requests of its tier or
    higher are running: lower tiers running then are preempted by the engine,
    which honours priorities, and resume later. Each entry may always use
    its fair share of places; beyond it only what fresh load reports show to
    be free, so that stale reports cannot overcommit the engines.
    """

    def __init__(self, capacity, queue_limit=2000, limiter=None):
        super().__init__(capacity, queue_limit, limiter)
        self._paces = {tier: StartPace() for tier in TIERS}

    def arrive(self, ticket, now):
        """See ``Admission.arrive``."""
        self.limiter.admit(ticket.scopes, now, self.served_time_s)
        try:
            return self._place(ticket, now)
        except errors.ShedError:
            self.limiter.release(ticket.scopes)
            raise

    def _place(self, ticket, now):
        urgent = any(t.priority <= ticket.tier for t in self._waiting.values())
        if not urgent and self._room(ticket.tier):
            self._run(ticket)
            return Verdict.RUN, []
        wait = self.expected_wait_s(ticket.tier, now)
        if wait > ticket.target_s * WAIT_SHARE or now + wait > ticket.deadline:
            # It would be served late if at all, and make every request
            # behind it late too (noticed as a burst in which all of a
            # class is served and none in time).
            raise errors.ShedError('cannot start in time',
                                   retry_after=retry_delay.after_queue_s(wait))
        shed = []
        if len(self._waiting) >= self.queue_limit:
            victim = max(self._waiting.values(),
                         key=lambda t: (t.tier, t.arrived))
            if victim.tier <= ticket.tier:
                raise errors.ShedError(
                    'queue full', retry_after=retry_delay.after_queue_s(wait))
            del self._waiting[victim.rid]
            self.limiter.release(victim.scopes)
            shed.append(victim)
        self._waiting[ticket.rid] = ticket
        return Verdict.QUEUED, shed

    def expected_wait_s(self, tier, now):
        """Estimates the wait of a new ticket of ``tier``, s."""
        ahead = 1 + sum(1 for t in self._waiting.values() if t.tier <= tier)
        guess = self.served_time_s / self.fair_share()
        return ahead * self._paces[tier].expected_interval_s(now, guess)

    def drain(self, now):
        """See ``Admission.drain``."""
        out = []
        while self._waiting:
            best = min(self._waiting.values(), key=self._order)
            if not self._room(best.tier):
                break
            del self._waiting[best.rid]
            self._run(best)
            self._note_start(best, now)
            out.append(best)
        return out

    def _order(self, ticket):
        # Within a tier, the class with the fewest requests running goes
        # first: a class that bursts within its limits would otherwise fill
        # the queue ahead of its peers.
        return (ticket.tier, self._running_of[ticket.group], ticket.arrived)

    def _note_start(self, ticket, now):
        top = min((t.tier for t in self._waiting.values()), default=None)
        for tier in TIERS:
            if tier >= ticket.tier:
                self._paces[tier].record_start(now)
            if top is None or tier < top:
                self._paces[tier].record_idle()

    def promote(self, now, silent):
        """See ``Admission.promote``.

        Under sustained higher-tier load a low tier would wait for ever, in
        the queue or preempted at an engine (noticed as a class whose served
        count stands still). A bounded number of places goes to the requests
        that have waited longest, whatever their tier. Being bounded, they
        take at most ``PROMOTED_SHARE`` of the pool; they never preempt, so
        no higher tier is stopped for them.
        """
        room = max(1, int(self.fair_share() * PROMOTED_SHARE))
        room -= sum(1 for t in self.running.values() if t.promoted)
        starved = [(t.arrived, t.rid, t) for t in self._waiting.values()]
        starved += [(silent[t.rid], t.rid, t)
                    for t in self.running.values()
                    if t.rid in silent and not t.promoted]
        start, raised = [], []
        for since, rid, t in sorted(starved, key=lambda s: s[:2]):
            if room <= 0 or now - since < STARVE_S:
                break
            t.promoted, t.priority = True, TOP_PRIORITY
            room -= 1
            if self._waiting.pop(rid, None) is None:
                raised.append(t)
            else:
                self._run(t)
                start.append(t)
        return start, raised

    def _room(self, tier):
        own = sum(1 for t in self.running.values() if t.priority <= tier)
        if own < self.fair_share():
            return True
        return (self.others is not None and
                own + self.others[tier] < self.capacity)
