"""How many replicas of each kind a service needs in each availability zone.

Spot replicas are cheap, but the platform may reclaim all of a zone at once, and
a new replica takes seconds to boot. So the capacity for the next burst is held
in spot replicas, spread over the zones so that the loss of any one zone leaves
enough, and a few regular ones remain.
"""

import dataclasses
import math

import msgspec

from gorsefall.duties import kinds

HOLD_S = 30.0
"""Time for which the highest need counts, s: bursts come in waves, and each
change moves sessions, whose prompts are then prefilled again."""

STABLE_S = 1.2
"""Time for which the number of running replicas must not change before the
first plan, s: a heartbeat of a replica."""

REGULAR_HOLD_S = 6.0
"""Time for which regular replicas that replace missing spot ones are kept, s:
longer than a boot."""

UNAVAILABLE_S = 2.0
"""Time after a refused order in which a pool counts as not to be had, s."""

MAX_LOSS_PER_STEP = 0.25
"""Largest part of the ordered replicas of a service that one step down takes
away, so that a wrong signal shows in the latencies before much is lost."""

STEP_DOWN_S = 5.0
"""Pause between two steps down, s."""


class Tuning(msgspec.Struct,
             frozen=True,
             kw_only=True,
             forbid_unknown_fields=True):
    """What an operator may set.

    Attributes:
        utilisation: Part of an engine's time that prefill may take, 0 to 1. A
            stream waits for each prefill beside it.
        decode_fill: Part of an engine's slots that decode-heavy requests may
            take, 0 to 1.
        burst: How many times the present demand may come within a boot.
        regular_per_zone: Regular replicas that are kept in each zone.
        observe_only: Whether to log what would be ordered, and order nothing.
    """
    utilisation: float = 0.4
    decode_fill: float = 0.5
    burst: float = 2.0
    regular_per_zone: int = 1
    observe_only: bool = False


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """What one replica of a service can do.

    Attributes:
        prefill_ms_per_token: Time to prefill a prompt token, ms.
        slots: Requests that it runs at once.
    """
    prefill_ms_per_token: float
    slots: float


@dataclasses.dataclass(frozen=True)
class Observation:
    """What is known of a service at one time.

    Attributes:
        now: The time, s (monotonic).
        demand: The ``demand.Demand``; None if it is not known.
        speed: The ``EngineSpeed``.
        ready: ``kinds.Pool -> replicas`` that serve.
        ordered: ``kinds.Pool -> replicas`` of the orders in force; empty if
            nothing was ordered yet.
    """
    now: float
    demand: object
    speed: EngineSpeed
    ready: dict
    ordered: dict


def engines_needed(demand, speed, tuning):
    """Returns the number of engines that carry a demand, float.

    Args:
        demand: A ``demand.Demand``.
        speed: The ``EngineSpeed``.
        tuning: The ``Tuning``.
    """
    prefill = (demand.prefill_tokens_per_s * speed.prefill_ms_per_token / 1000)
    decode = demand.decode_heavy / max(1.0, speed.slots)
    return prefill / tuning.utilisation + decode / tuning.decode_fill


class Planner:
    """Plans the replicas of one service.

    Attributes:
        needed: Engines that the demand needed at most of late, float.
    """

    def __init__(self, service, tuning):
        self._service = service
        self._tuning = tuning
        # Pairs of time and need, the highest need first, all within HOLD_S.
        self._needs = []
        self._running = 0
        self._running_since = float('-inf')
        self._unavailable = {}
        self._refused_at = float('-inf')
        self._lowered_at = float('-inf')
        self.needed = 0.0

    def record_refusal(self, pool, now):
        """Records that no replicas of a pool are to be had at present."""
        self._unavailable[pool] = now

    def is_available(self, pool, now):
        """Returns whether replicas of a pool may be ordered."""
        return now - self._unavailable.get(pool, float('-inf')) > UNAVAILABLE_S

    def plan(self, terms, seen):
        """Returns ``kinds.Pool -> replicas`` to order.

        Args:
            terms: The ``model.Scaling`` of the service.
            seen: The ``Observation``.
        """
        if not terms.zone_prices or terms.max <= 0:
            return {}
        if not self._needs and not self._begin(seen):
            return {}
        if seen.demand is not None and seen.demand.requests_per_s:
            need = engines_needed(seen.demand, seen.speed, self._tuning)
            self._record_need(need, seen.now)
        else:
            # Nothing is heard of callers, which may be a fault of the signal:
            # the capacity of late is kept.
            need = self._needs[0][1] * self._tuning.burst
            self._needs[0] = seen.now, self._needs[0][1]
        self.needed = self._needs[0][1]
        target = self._allocate(terms, seen, need)
        return self._limit_loss(target, terms, seen)

    def _begin(self, seen):
        """Takes what runs for what is needed, until the demand is known.

        Returns:
            False until the number of replicas has been the same for a while:
            after a start their records arrive one by one.
        """
        running = sum(seen.ready.values())
        if running != self._running:
            self._running, self._running_since = running, seen.now
        if not running or seen.now - self._running_since < STABLE_S:
            return False
        self._needs.append((seen.now, running / self._tuning.burst))
        return True

    def _record_need(self, need, now):
        """Adds a need; drops those that are over or were exceeded since."""
        self._needs = [
            (at, n) for at, n in self._needs if now - at < HOLD_S and n > need
        ]
        self._needs.append((now, need))

    def _pool(self, zone, spot):
        return kinds.Pool(self._service, zone, spot)

    def _allocate(self, terms, seen, need):
        zones = sorted(terms.zone_prices,
                       key=lambda z: (terms.zone_prices[z], z))
        total = self.needed * self._tuning.burst
        if terms.spot_price >= 1:
            counts = _spread(math.ceil(total), zones)
            return {
                self._pool(z, False): _clamp(counts[z], terms) for z in zones
            }
        base = max(self._tuning.regular_per_zone, terms.min)
        # The loss of one zone's spot replicas leaves the total.
        survivors = max(1, len(zones) - 1)
        spots = _spread(
            math.ceil((total - base * len(zones)) * len(zones) / survivors),
            zones)
        regulars = self._regular_counts(zones, base, seen, need)
        plan = {}
        for zone in zones:
            count = min(terms.max, regulars[zone])
            plan[self._pool(zone, False)] = count
            plan[self._pool(zone, True)] = min(spots[zone], terms.max - count)
        return plan

    def _regular_counts(self, zones, base, seen, need):
        """Returns ``zone -> regular replicas`` to run.

        They leave as spot replicas take over, and replace spot replicas that
        are not to be had.
        """
        kept = {
            z:
                seen.ordered.get(self._pool(z, False),
                                 seen.ready.get(self._pool(z, False), 0))
            for z in zones
        }
        spots = sum(n for p, n in seen.ready.items() if p.spot)
        missing = math.ceil(need - spots) - base * len(zones)
        extra = _spread(missing, zones)
        target = {z: base + extra[z] for z in zones}
        if self._some_refused(seen.now):
            self._refused_at = seen.now
            return {z: max(kept[z], target[z]) for z in zones}
        if seen.now - self._refused_at < REGULAR_HOLD_S:
            return kept
        return {z: max(base, min(kept[z], target[z])) for z in zones}

    def _some_refused(self, now):
        return any(not self.is_available(p, now) for p in self._unavailable)

    def _limit_loss(self, target, terms, seen):
        """Returns ``target`` with at most one small step down from orders."""
        lowered = {
            p: seen.ordered[p] - n
            for p, n in target.items()
            if p.spot and seen.ordered.get(p, 0) > n
        }
        if not lowered:
            return target
        budget = 0
        if seen.now - self._lowered_at >= STEP_DOWN_S:
            self._lowered_at = seen.now
            budget = max(1, int(MAX_LOSS_PER_STEP * sum(seen.ordered.values())))
        limited = dict(target)
        for pool, loss in sorted(lowered.items(), key=lambda i: -i[1]):
            taken = min(loss, budget)
            budget -= taken
            most = terms.max - target[self._pool(pool.zone, False)]
            limited[pool] = min(most, seen.ordered[pool] - taken)
        return limited


def _clamp(count, terms):
    return max(terms.min, min(terms.max, count))


def _spread(count, zones):
    """Returns ``zone -> number``; earlier zones get the remainder."""
    share, rest = divmod(max(0, count), len(zones))
    return {z: share + (i < rest) for i, z in enumerate(zones)}
