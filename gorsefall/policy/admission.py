"""Admission and scheduling: per-class limits, tier queues, shedding.

Pure logic: the entry's dispatcher feeds it arrivals, completions and the
clock, and acts on what it returns. Tested against a simple oracle.
"""

import dataclasses
import enum
import math

from gorsefall import errors

AGING_S = 2.0
"""A waiting request gains one tier of priority per this many seconds, so
every class is served eventually even under sustained higher-tier load."""


class Verdict(enum.Enum):
    """What admission decided for an arrival."""
    RUN = 'run'
    QUEUED = 'queued'


@dataclasses.dataclass
class Ticket:
    """A request known to admission.

    Attributes:
        rid: Request id.
        key: ``(owner, class)`` of the request.
        tier: 1 (highest) to 5.
        arrived: Arrival time, s (monotonic).
        deadline: Time by which it must have started, s (monotonic).
    """
    rid: str
    key: tuple
    tier: int
    arrived: float
    deadline: float = math.inf


@dataclasses.dataclass
class _Bucket:
    rate: float
    burst: float
    level: float
    at: float

    def take(self, now):
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def wait_s(self):
        return (1.0 - self.level) / self.rate if self.rate > 0 else 60.0


class Admission:
    """Decides run, queue or refuse for each arrival to one pool.

    Attributes:
        capacity: Requests this entry may have running in the pool.
        queue_limit: Requests that may wait.
        running: Tickets running, by request id.
    """

    def __init__(self, capacity, queue_limit=2000, entries=1):
        self.capacity = capacity
        self.queue_limit = queue_limit
        self.entries = entries
        self.running = {}
        self._waiting = {}
        self._buckets = {}
        self._inflight = {}
        self.served_time_s = 0.05

    def share(self, klass):
        """Returns ``(rate, concurrency)`` this entry may use of ``klass``.

        Each entry takes 1/entries of the class's limits; no messages are
        needed, and a change in the number of entries changes the split
        when settings or the VM list say so.
        """
        rate = klass.rate_per_s / self.entries
        conc = max(1, math.ceil(klass.concurrency / self.entries))
        return rate, conc

    def arrive(self, ticket, klass, now):
        """Admits, queues or refuses ``ticket``.

        Returns:
            ``(Verdict, shed)``: ``shed`` lists tickets of lower tiers pushed
            out of the queue to make room; each gets a final answer at once.

        Raises:
            errors.RateLimitedError: The class is over its rate or concurrency.
            errors.ShedError: The queue is full of equal or higher tiers, or the
                request cannot start before its deadline.
        """
        rate, conc = self.share(klass)
        bucket = self._buckets.get(ticket.key)
        if bucket is None or bucket.rate != rate:
            bucket = _Bucket(rate, max(1.0, rate), max(1.0, rate), now)
            self._buckets[ticket.key] = bucket
        if self._inflight.get(ticket.key, 0) >= conc:
            raise errors.RateLimitedError(f'{ticket.key} at concurrency {conc}',
                                          retry_after=self.served_time_s)
        if not bucket.take(now):
            raise errors.RateLimitedError(f'{ticket.key} over {rate:.1f}/s',
                                          retry_after=bucket.wait_s())
        if len(self.running) < self.capacity and not self._waiting:
            self._start(ticket)
            return Verdict.RUN, []
        wait = self.expected_wait_s(ticket.tier)
        if now + wait > ticket.deadline:
            raise errors.ShedError('cannot start before deadline',
                                   retry_after=wait)
        shed = []
        if len(self._waiting) >= self.queue_limit:
            victim = self._lowest_waiting()
            if victim is None or victim.tier <= ticket.tier:
                raise errors.ShedError('queue full', retry_after=wait)
            self._remove_waiting(victim.rid)
            shed.append(victim)
        self._waiting[ticket.rid] = ticket
        self._inflight[ticket.key] = self._inflight.get(ticket.key, 0) + 1
        return Verdict.QUEUED, shed

    def expected_wait_s(self, tier):
        """Estimates the wait of a new ticket of ``tier``, s."""
        ahead = sum(1 for t in self._waiting.values() if t.tier <= tier)
        per = self.served_time_s / max(1, self.capacity)
        return ahead * per

    def finish(self, rid, now, served_s=None):
        """Marks ``rid`` done (or withdrawn); returns tickets to start now."""
        t = self.running.pop(rid, None)
        if t is None:
            t = self._remove_waiting(rid)
            if t is None:
                return []
            self._dec(t.key)
            return self.drain(now)
        self._dec(t.key)
        if served_s is not None:
            self.served_time_s = 0.9 * self.served_time_s + 0.1 * served_s
        return self.drain(now)

    def drain(self, now):
        """Starts waiting tickets while there is capacity; returns them."""
        out = []
        while len(self.running) < self.capacity and self._waiting:
            t = self._pop_best(now)
            self.running[t.rid] = t
            out.append(t)
        return out

    def waiting(self):
        """Returns the waiting tickets (a list, any order)."""
        return list(self._waiting.values())

    def _start(self, ticket):
        self.running[ticket.rid] = ticket
        self._inflight[ticket.key] = self._inflight.get(ticket.key, 0) + 1

    def _dec(self, key):
        self._inflight[key] = self._inflight.get(key, 1) - 1

    def _pop_best(self, now):
        # Aging: effective tier drops by one per AGING_S of waiting, so a
        # low tier is not starved (symptom otherwise: a class whose
        # attainment and served count stay at zero during a long burst).
        # A linear scan keeps the rule obvious; queues are bounded.
        best = min(self._waiting.values(),
                   key=lambda t: (t.tier -
                                  (now - t.arrived) / AGING_S, t.arrived))
        self._remove_waiting(best.rid)
        return best

    def _lowest_waiting(self):
        if not self._waiting:
            return None
        return max(self._waiting.values(), key=lambda t: (t.tier, t.arrived))

    def _remove_waiting(self, rid):
        return self._waiting.pop(rid, None)
