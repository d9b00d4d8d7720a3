"""How many replicas of each kind a service needs in each availability zone.

Spot replicas are cheap, but the platform may reclaim all of a zone at once, and
a new replica takes seconds to boot. So the capacity for the next burst is held
in spot replicas, spread over the zones so that the loss of any one zone leaves
enough, and a few regular ones remain.
"""

import dataclasses
import math

import msgspec

from gorsefall.duties import demand as demands
from gorsefall.duties import kinds

HOLD_S = 30.0
"""Time for which the highest need counts, s: bursts come in waves, and each
change moves sessions, whose prompts are then prefilled again."""

SMOOTHING_S = 20.0
"""Time constant of the mean need, s: longer than a burst."""

REGULAR_HOLD_S = 6.0
"""Time for which regular replicas that replace missing spot ones are kept, s:
longer than a boot."""

UNAVAILABLE_S = 2.0
"""Time after a refused order in which a pool counts as not to be had, s."""

MAX_LOSS_PER_STEP = 0.25
"""Largest part of the ordered replicas of a service that one step down takes
away, so that a wrong signal shows in the latencies before much is lost."""

TOLERANCE = 0.1
"""Part of the ordered spot replicas by which a plan has to differ to change the
order: each change moves sessions."""

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
        critical_utilisation: The same while replicas are missing: beyond it
            regular replicas are ordered where spot ones are not to be had.
        decode_fill: Part of an engine's slots that decode-heavy requests may
            take, 0 to 1.
        burst: How many times the mean demand may come within a boot.
        regular_per_zone: Regular replicas that are kept in each zone.
        observe_only: Whether to log what would be ordered, and order nothing.
    """
    utilisation: float = 0.4
    critical_utilisation: float = 0.6
    decode_fill: float = 0.5
    burst: float = 2.5
    regular_per_zone: int = 0
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
        demand: The demand; None if it is not known.
        speed: The ``EngineSpeed``.
        ready: ``kinds.Pool -> replicas`` that serve.
        ordered: ``kinds.Pool -> replicas`` of the orders in force; empty if
            nothing was ordered yet.
    """
    now: float
    demand: demands.Demand | None
    speed: EngineSpeed
    ready: dict
    ordered: dict


def engines_needed(demand, speed, utilisation, decode_fill):
    """Returns the number of engines that carry a demand, float.

    Args:
        demand: A ``demand.Demand``.
        speed: The ``EngineSpeed``.
        utilisation: Part of an engine's time that prefill may take.
        decode_fill: Part of its slots that decode-heavy requests may take.
    """
    prefill = demand.prefill_tokens_per_s * speed.prefill_ms_per_token / 1000
    decode = demand.decode_heavy / max(1.0, speed.slots)
    return prefill / utilisation + decode / decode_fill


class _Needs:
    """The engines that the demand has needed of late.

    Attributes:
        mean: Smoothed number, float.
    """

    def __init__(self, initial, now):
        # Pairs of time and number, the highest first, all within HOLD_S.
        self._highest = [(now, initial)]
        self._at = now
        self.mean = initial

    def record(self, need, now):
        """Records the need at a time, s."""
        weight = 1.0 - math.exp((self._at - now) / SMOOTHING_S)
        self.mean += weight * (need - self.mean)
        self._at = now
        self._highest = [
            (at, n) for at, n in self._highest if now - at < HOLD_S and n > need
        ]
        self._highest.append((now, need))

    @property
    def highest(self):
        """The highest number within ``HOLD_S``, float."""
        return self._highest[0][1]


class Planner:
    """Plans the replicas of one service.

    Attributes:
        needed: Engines that are held for the demand and its bursts, float.
    """

    def __init__(self, service, tuning):
        self._service = service
        self._tuning = tuning
        self._needs = None
        self._cold_regulars = 0
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
        zones = sorted(terms.zone_prices,
                       key=lambda z: (terms.zone_prices[z], z))
        if seen.demand is None or not seen.demand.requests_per_s:
            return self._plan_blind(zones, terms, seen)
        need, critical = (
            engines_needed(seen.demand, seen.speed, utilisation,
                           self._tuning.decode_fill)
            for utilisation in (self._tuning.utilisation,
                                self._tuning.critical_utilisation))
        if self._needs is None:
            self._needs = _Needs(
                max(need,
                    self._running(seen) / self._tuning.burst), seen.now)
        self._needs.record(need, seen.now)
        self.needed = max(self._needs.highest,
                          self._needs.mean * self._tuning.burst)
        target = self._allocate(zones, terms, seen, critical)
        if self._is_close(target, seen):
            plan = target | {p: n for p, n in seen.ordered.items() if p.spot}
        else:
            plan = self._limit_loss(target, seen)
        return self._clamp_spots(plan, terms)

    def _clamp_spots(self, plan, terms):
        """Returns ``plan`` with both kinds together within the limits."""
        clamped = dict(plan)
        for pool in plan:
            if pool.spot:
                others = plan[pool._replace(spot=False)]
                clamped[pool] = max(terms.min - others,
                                    min(plan[pool], terms.max - others))
        return clamped

    def _plan_blind(self, zones, terms, seen):
        """Plans while nothing is heard of callers.

        That may be a fault of the signal, so the capacity stays as it is: what
        was ordered, or what ran before anything was ordered.
        """
        began = any(p.spot for p in seen.ordered) and not self._cold_regulars
        if self._needs is not None or began:
            return dict(seen.ordered)
        # After a start the records of replicas arrive one by one.
        self._cold_regulars = max(
            self._cold_regulars,
            sum(n for p, n in seen.ready.items() if not p.spot))
        self.needed = float(self._cold_regulars)
        plan = self._allocate(zones, terms, seen, self.needed)
        return self._clamp_spots(plan, terms)

    def _running(self, seen):
        return max(sum(seen.ready.values()), sum(seen.ordered.values()))

    def _pool(self, zone, spot):
        return kinds.Pool(self._service, zone, spot)

    def _allocate(self, zones, terms, seen, critical):
        if terms.spot_price >= 1:
            counts = _spread(math.ceil(self.needed), zones)
            return {
                self._pool(z, False): _clamp(counts[z], terms) for z in zones
            }
        base = self._tuning.regular_per_zone
        regulars = self._regular_counts(zones, base, seen, critical)
        spots = self._spot_counts(zones, base, seen.now, critical)
        plan = {}
        for zone in zones:
            # Spot replicas that serve do not leave for regular ones that boot.
            serving = min(spots[zone], seen.ready.get(self._pool(zone, True),
                                                      0))
            count = min(terms.max - serving, regulars[zone])
            plan[self._pool(zone, False)] = count
            plan[self._pool(zone, True)] = spots[zone]
        return plan

    def _spot_counts(self, zones, base, now, critical):
        """Returns ``zone -> spot replicas`` to run."""
        # The loss of one zone's spot replicas must leave the critical number.
        survivors = max(1, len(zones) - 1)
        count = max(self.needed - base * len(zones),
                    critical * len(zones) / survivors)
        counts = _spread(math.ceil(count), zones)
        available = [
            z for z in zones if self.is_available(self._pool(z, True), now)
        ]
        if available:
            # The order of a zone without any stands, to be repeated, and
            # others have its share meanwhile.
            absent = sum(counts[z] for z in zones if z not in available)
            for zone, extra in _spread(absent, available).items():
                counts[zone] += extra
        return counts

    def _regular_counts(self, zones, base, seen, critical):
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
        ready = sum(n for p, n in seen.ready.items() if p.spot)
        missing = math.ceil(critical) - ready - base * len(zones)
        if self._some_refused(seen.now):
            self._refused_at = seen.now
            extra = _spread(missing - self._coming(seen), zones)
            return {z: max(kept[z], base + extra[z]) for z in zones}
        if seen.now - self._refused_at < REGULAR_HOLD_S:
            return kept
        extra = _spread(missing, zones)
        return {z: max(base, min(kept[z], base + extra[z])) for z in zones}

    def _coming(self, seen):
        """Returns how many spot replicas boot."""
        return sum(
            max(0, n - seen.ready.get(p, 0))
            for p, n in seen.ordered.items()
            if p.spot and self.is_available(p, seen.now))

    def _some_refused(self, now):
        return any(not self.is_available(p, now) for p in self._unavailable)

    def _is_close(self, target, seen):
        """Returns whether the spot replicas may stay as ordered."""
        if self._some_refused(seen.now):
            return False
        ordered = {p: n for p, n in seen.ordered.items() if p.spot}
        regulars_rise = any(
            n > seen.ordered.get(p, 0) for p, n in target.items() if not p.spot)
        before = sum(ordered.values())
        after = sum(n for p, n in target.items() if p.spot)
        return (bool(ordered) and not regulars_rise and
                self._needs.highest <= before and
                abs(after - before) <= TOLERANCE * before)

    def _limit_loss(self, target, seen):
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
            limited[pool] = seen.ordered[pool] - taken
        return limited


def _clamp(count, terms):
    return max(terms.min, min(terms.max, count))


def _spread(count, zones):
    """Returns ``zone -> number``; earlier zones get the remainder."""
    share, rest = divmod(max(0, count), len(zones))
    return {z: share + (i < rest) for i, z in enumerate(zones)}
