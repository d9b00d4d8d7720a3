"""Admission and scheduling: tier queues, shedding and promotion.

Pure logic: the entry passes in arrivals, completions, load and the time, and
acts on the results.
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
"""Time without service after which a request may be promoted, s."""

PROMOTED_SHARE = 1 / 8
"""Maximum share of the pool's slots for promoted requests."""

WAIT_SHARE = 0.4
"""Maximum expected wait of a request as a share of its latency target; the rest
covers the prefill and the error of the estimate."""

TOP_PRIORITY = 1
TIERS = range(1, 6)
PACE_SMOOTHING = 0.2


class Verdict(enum.Enum):
    """The decision on an arrival."""
    RUN = 'run'
    QUEUED = 'queued'


@dataclasses.dataclass
class Ticket:
    """A request that admission tracks.

    Attributes:
        rid: Request id.
        tier: 1 (highest) to 5.
        arrived: Arrival time, s (monotonic).
        deadline: Time by which it must start, s (monotonic).
        scopes: Limits that it counts against, see ``limits.Limits.admit``.
        target_s: Latency target for its first token, s; a request that is not
            expected to start in time is refused on arrival.
        group: Its class; slots are shared evenly among the classes of a tier.
        priority: The priority sent to the engine; its tier unless promoted.
        promoted: Whether it holds one of the slots for promoted requests.
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
    """The rate at which queued requests of a tier or above are started.

    It depends on the slots that more urgent tiers and other entries leave over,
    which this entry cannot compute, so it is observed.

    Attributes:
        interval_s: Smoothed time between starts from the queue, s.
    """

    def __init__(self):
        self.interval_s = 0.0
        self._last = None

    def record_start(self, now):
        """Records the start of a queued request."""
        if self._last is not None:
            gap = now - self._last
            old = self.interval_s or gap
            self.interval_s = old + PACE_SMOOTHING * (gap - old)
        self._last = now

    def record_idle(self):
        """Records an empty queue: the next interval is not a sample."""
        self._last = None

    def expected_interval_s(self, now, default_s):
        """Returns the expected time between starts, s.

        Args:
            now: Time, s (monotonic).
            default_s: The result while there is no sample, s.
        """
        if self._last is None:
            return self.interval_s or default_s
        return max(self.interval_s or default_s, now - self._last)


class Admission:
    """Base of all admission policies: limits, running and waiting requests.

    Attributes:
        capacity: Requests that the pool's live replicas run at once.
        others: ``others[p]``: requests of other entries with priority p or
            more urgent, estimated from load reports; None if unknown.
        running: Running tickets by request id.
        served_time_s: Smoothed time that a request holds its slot, s.
    """

    def __init__(self, capacity, queue_limit=2000, limiter=None):
        self.capacity = capacity
        self.queue_limit = queue_limit
        self.limiter = limiter or limits.Limits()
        self.others = None
        self.running = {}
        self.served_time_s = 0.05
        self._waiting = {}
        self._running_by_group = collections.Counter()

    def arrive(self, ticket, now):
        """Admits, queues or refuses ``ticket``.

        Returns:
            ``(Verdict, shed)``: ``shed`` lists tickets of lower tiers that were
            removed from the full queue; each gets a final response at once.

        Raises:
            errors.RateLimitedError: A limit of its customer or class is
                reached.
            errors.ShedError: The queue is full of equal or higher tiers, or
                the request cannot start before its deadline.
        """
        raise NotImplementedError

    def finish(self, rid, now, served_s=None):
        """Removes a finished or withdrawn request; returns tickets to start."""
        ticket = self.running.pop(rid, None)
        if ticket is not None:
            self._running_by_group[ticket.group] -= 1
        else:
            ticket = self._waiting.pop(rid, None)
        if ticket is None:
            return []
        self.limiter.release(ticket.scopes)
        if served_s is not None:
            self.served_time_s = 0.9 * self.served_time_s + 0.1 * served_s
        return self.drain(now)

    def drain(self, now):
        """Starts waiting tickets while slots are available; returns them."""
        raise NotImplementedError

    def expire(self, now):
        """Removes waiting tickets past their deadline; returns them."""
        expired = [t for t in self._waiting.values() if t.deadline < now]
        for t in expired:
            del self._waiting[t.rid]
            self.limiter.release(t.scopes)
        return expired

    def promote(self, now, silent):
        """Promotes starved tickets; does nothing in policies without tiers.

        Args:
            now: Time, s (monotonic).
            silent: ``rid -> time of the last progress`` of running requests.

        Returns:
            ``(to start, to raise)``: queued tickets that start now, and running
            tickets whose new priority must be sent to the engine.
        """
        del now, silent
        return [], []

    def waiting(self):
        """Returns the waiting tickets (a list, any order)."""
        return list(self._waiting.values())

    def _run(self, ticket):
        self.running[ticket.rid] = ticket
        self._running_by_group[ticket.group] += 1

    def fair_share(self):
        """Returns this entry's share of the pool's slots, at least 1."""
        return max(1, math.ceil(self.capacity / self.limiter.shares.entries))


class TierAdmission(Admission):
    """Serves tiers in order, promotes starved requests, sheds low tiers first.

    A request starts if fewer than ``capacity`` requests of its tier or above
    are running: the engine preempts running requests of lower tiers, which
    resume later. An entry may always use its fair share of the slots, and
    beyond it only slots that recent load reports show as free, so that stale
    reports cannot overcommit the engines.
    """

    def __init__(self, capacity, queue_limit=2000, limiter=None):
        super().__init__(capacity, queue_limit, limiter)
        self._paces = {tier: StartPace() for tier in TIERS}

    def arrive(self, ticket, now):
        """See ``Admission.arrive``."""
        self.limiter.admit(ticket.scopes, now, self.served_time_s)
        try:
            return self._run_or_queue(ticket, now)
        except errors.ShedError:
            self.limiter.release(ticket.scopes)
            raise

    def _run_or_queue(self, ticket, now):
        outranked = any(
            t.priority <= ticket.tier for t in self._waiting.values())
        if not outranked and self._has_slot(ticket.tier):
            self._run(ticket)
            return Verdict.RUN, []
        wait = self.expected_wait_s(ticket.tier, now)
        if wait > ticket.target_s * WAIT_SHARE or now + wait > ticket.deadline:
            # The request would be late and delay every request behind it
            # (symptom: a burst in which all requests of a class are served, but
            # none in time).
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
        default_s = self.served_time_s / self.fair_share()
        return ahead * self._paces[tier].expected_interval_s(now, default_s)

    def drain(self, now):
        """See ``Admission.drain``."""
        started = []
        while self._waiting:
            best = min(self._waiting.values(), key=self._order)
            if not self._has_slot(best.tier):
                break
            del self._waiting[best.rid]
            self._run(best)
            self._record_start(best, now)
            started.append(best)
        return started

    def _order(self, ticket):
        # Within a tier, the class with the fewest running requests is first:
        # otherwise a burst of one class, within its limits, would fill the
        # queue ahead of the other classes.
        return (ticket.tier, self._running_by_group[ticket.group],
                ticket.arrived)

    def _record_start(self, ticket, now):
        top = min((t.tier for t in self._waiting.values()), default=None)
        for tier in TIERS:
            if tier >= ticket.tier:
                self._paces[tier].record_start(now)
            if top is None or tier < top:
                self._paces[tier].record_idle()

    def promote(self, now, silent):
        """See ``Admission.promote``.

        Under sustained load of higher tiers a low tier would wait for ever, in
        the queue or preempted at an engine (symptom: the number of served
        requests of a class stops growing). So the requests that have waited
        longest get a bounded number of slots, whatever their tier: at most
        ``PROMOTED_SHARE`` of the pool. They never preempt others, so no request
        of a higher tier is stopped for them.
        """
        available = max(1, int(self.fair_share() * PROMOTED_SHARE))
        available -= sum(1 for t in self.running.values() if t.promoted)
        starved = [(t.arrived, t.rid, t) for t in self._waiting.values()]
        starved += [(silent[t.rid], t.rid, t)
                    for t in self.running.values()
                    if t.rid in silent and not t.promoted]
        start, raised = [], []
        for since, rid, t in sorted(starved, key=lambda s: s[:2]):
            if available <= 0 or now - since < STARVE_S:
                break
            t.promoted, t.priority = True, TOP_PRIORITY
            available -= 1
            if self._waiting.pop(rid, None) is None:
                raised.append(t)
            else:
                self._run(t)
                start.append(t)
        return start, raised

    def _has_slot(self, tier):
        own = sum(1 for t in self.running.values() if t.priority <= tier)
        if own < self.fair_share():
            return True
        return (self.others is not None and
                own + self.others[tier] < self.capacity)
