"""Simulates a service whose replicas are ordered, to compare ways of ordering.

The load is a fluid: engine-seconds of work that arrive per second. What exceeds
the running engines waits; work that would wait too long is refused.
"""

import collections
import dataclasses
import math
import random

import msgspec

from gorsefall.duties import demand as demands
from gorsefall.duties import kinds
from gorsefall.duties import scaling
from gorsefall.relay import model

SERVICE = 's'
ZONES = ('z1', 'z2', 'z3')
STEP_S = 0.25
PLAN_PERIOD_S = 0.5
PREFILL_MS_PER_TOKEN = 0.0176
SLOTS = 64

AIM_S = 0.5
"""Wait up to which work is on time, s."""

MAX_WAIT_S = 1.5
"""Wait beyond which work is refused, s."""

LEAD_S = 16.0
"""Time between the start of the entries and the first work, s."""

SPEED = scaling.EngineSpeed(PREFILL_MS_PER_TOKEN, SLOTS)
TERMS = model.Scaling(min=1,
                      max=20,
                      boot_s=4.0,
                      spot_price=0.15,
                      zone_prices=dict(zip(ZONES, (0.85, 1.2, 1.0),
                                           strict=True)))


@dataclasses.dataclass(frozen=True)
class Burst:
    """A time in which the load is a multiple of its mean.

    Attributes:
        at_s: Its start, s.
        for_s: Its duration, s.
        times: The factor.
    """
    at_s: float
    for_s: float
    times: float


@dataclasses.dataclass(frozen=True)
class Reclaim:
    """All spot replicas of a zone are taken away.

    Attributes:
        at_s: When the notice arrives, s.
        zone: The zone.
        for_s: Time for which no more are to be had, s.
        everywhere: Whether none are to be had in any zone.
    """
    at_s: float
    zone: str
    for_s: float
    everywhere: bool


@dataclasses.dataclass(frozen=True)
class Day:
    """A load and its disturbances.

    Attributes:
        mean: Mean load, engines.
        swing: Relative amplitude of a slow wave.
        bursts: ``Burst`` objects.
        reclaims: ``Reclaim`` objects.
        seconds: Length, s.
    """
    mean: float
    swing: float
    bursts: tuple[Burst, ...]
    reclaims: tuple[Reclaim, ...]
    seconds: float = 60.0

    def load(self, at_s):
        """Returns the load at a time, engines."""
        if at_s < 0:
            return 0.0
        wave = 1 + self.swing * math.sin(2 * math.pi * at_s / 11.0)
        factor = max(
            (b.times for b in self.bursts if b.at_s <= at_s < b.at_s + b.for_s),
            default=1.0)
        return self.mean * wave * factor


def random_day(seed):
    """Returns a ``Day`` with up to three bursts and one or two reclaims."""
    rng = random.Random(f'day {seed}')
    bursts = tuple(
        Burst(rng.uniform(0, 40), rng.uniform(3, 9), rng.uniform(1.5, 3.0))
        for _ in range(rng.randint(1, 3)))
    reclaims = tuple(
        Reclaim(rng.uniform(5, 40), rng.choice(ZONES), rng.uniform(8, 10),
                rng.random() < 0.4) for _ in range(rng.randint(1, 2)))
    return Day(rng.uniform(4, 11), 0.27, bursts, reclaims)


class Fleet:
    """The replicas that run, boot and are taken away.

    Attributes:
        ready: ``kinds.Pool -> replicas`` that serve.
        ordered: ``kinds.Pool -> replicas`` of the orders in force.
    """

    def __init__(self, regulars_per_zone, terms=TERMS):
        """Creates a fleet.

        Args:
            regulars_per_zone: Regular replicas that run at the start.
            terms: The ``model.Scaling`` of the service.
        """
        self.ready = collections.Counter(
            {kinds.Pool(SERVICE, z, False): regulars_per_zone for z in ZONES})
        self.ordered = {}
        self._terms = terms
        self._booting = []
        self._absent_until = {}

    def order(self, pool, count, now):
        """Carries an order out; returns whether it was accepted."""
        # One that is refused stays in force, to be repeated.
        self.ordered[pool] = count
        running = self.ready[pool]
        coming = sum(p == pool for _, p in self._booting)
        if count > running and now < self._absent_until.get(
                pool, float('-inf')):
            return False
        self._booting += [(now + self._terms.boot_s, pool)] * max(
            0, count - running - coming)
        self.ready[pool] = min(running, count)
        return True

    def apply(self, plan, now, record_refusal):
        """Carries out the orders of a plan that change something.

        Args:
            plan: ``kinds.Pool -> replicas``.
            now: Time, s.
            record_refusal: Called with the pool and the time of each order
                that is refused.
        """
        for pool, count in plan.items():
            known = self.ordered.get(pool, self.ready[pool])
            missing = self.ready[pool] < known
            if ((count != known or missing) and
                    not self.order(pool, count, now)):
                record_refusal(pool, now)

    def reclaim(self, zone, until, *, everywhere=False):
        """Takes the spot replicas of a zone away.

        Args:
            zone: The zone.
            until: Time until which no more are to be had there, s.
            everywhere: Whether none are to be had in any zone.
        """
        pool = kinds.Pool(SERVICE, zone, True)
        self.ready[pool] = 0
        self._booting = [b for b in self._booting if b[1] != pool]
        for absent in ZONES if everywhere else (zone,):
            self._absent_until[kinds.Pool(SERVICE, absent, True)] = until

    def end_absences(self):
        """Makes spot replicas available in all zones."""
        self._absent_until.clear()

    def advance(self, now):
        """Lets replicas that have booted serve."""
        for due, pool in self._booting:
            if due <= now and self.ready[pool] < self.ordered[pool]:
                self.ready[pool] += 1
        self._booting = [b for b in self._booting if b[0] > now]

    def count(self, *, spot):
        """Returns the number of replicas of one kind that serve."""
        return sum(n for p, n in self.ready.items() if p.spot == spot)

    def cost_per_s(self):
        """Returns the price of all replicas, regular ones of price 1."""
        return sum(n * self._terms.zone_prices[p.zone] *
                   (self._terms.spot_price if p.spot else 1.0)
                   for p, n in self.ready.items())


class Policy:
    """A way of ordering replicas; this one orders nothing."""

    def __init__(self, tuning):
        self._tuning = tuning

    def plan(self, seen):
        """Returns ``kinds.Pool -> replicas`` for a ``scaling.Observation``."""
        del seen
        return {}

    def record_refusal(self, pool, now):
        """Records that no replicas of a pool are to be had."""


class TrackUtilisation(Policy):
    """Orders regular replicas for a utilisation, down after a pause."""

    def __init__(self, tuning):
        super().__init__(tuning)
        self._lowered_at = 0.0

    def plan(self, seen):
        """See ``Policy``."""
        if seen.demand is None:
            return {}
        need = scaling.engines_needed(seen.demand, SPEED,
                                      self._tuning.utilisation,
                                      self._tuning.decode_fill)
        count = max(TERMS.min, min(TERMS.max, math.ceil(need / len(ZONES))))
        running = max(seen.ordered.values(), default=max(seen.ready.values()))
        if count < running:
            if seen.now - self._lowered_at < scaling.STEP_DOWN_S:
                return {}
            count = running - 1
            self._lowered_at = seen.now
        return {kinds.Pool(SERVICE, z, False): count for z in ZONES}


class Reserve(Policy):
    """Orders as entries do; see ``duties.scaling``."""

    def __init__(self, tuning):
        super().__init__(tuning)
        self._planner = scaling.Planner(SERVICE, tuning)

    def plan(self, seen):
        """See ``Policy``."""
        return self._planner.plan(TERMS, seen)

    def record_refusal(self, pool, now):
        """See ``Policy``."""
        self._planner.record_refusal(pool, now)


POLICIES = {
    'keep': Policy,
    'utilisation': TrackUtilisation,
    'reserve': Reserve,
}


class Sample(msgspec.Struct, frozen=True):
    """The state at one time.

    Attributes:
        at_s: The time, s.
        load: Load, engines.
        regular: Regular replicas that serve.
        spot: Spot replicas that serve.
        wait_s: Wait of work that arrives, s.
    """
    at_s: float
    load: float
    regular: int
    spot: int
    wait_s: float


class Result(msgspec.Struct, frozen=True):
    """The result of a simulation.

    Attributes:
        policy: Name of the policy.
        seed: Seed of the day.
        cost: Engine-seconds by price.
        late: Share of the work that was late, 0 to 1.
        refused: Share of the work that was refused, 0 to 1.
        samples: ``Sample`` objects.
    """
    policy: str
    seed: int
    cost: float
    late: float
    refused: float
    samples: list[Sample]


def _observe(day, fleet, now):
    load = day.load(now - demands.RATE_WINDOW_S / 2)
    seen = None
    if load:
        seen = demands.Demand(requests_per_s=load,
                              prefill_tokens_per_s=load * 1000 /
                              PREFILL_MS_PER_TOKEN)
    return scaling.Observation(now, seen, SPEED, {
        p: n for p, n in fleet.ready.items() if n
    }, dict(fleet.ordered))


def simulate(name, seed, tuning=None, *, regulars_per_zone=10):
    """Simulates a random day; returns the ``Result``.

    Args:
        name: One of ``POLICIES``.
        seed: Seed of the day.
        tuning: The ``scaling.Tuning``; None for the default.
        regulars_per_zone: Regular replicas that run at the start.
    """
    day = random_day(seed)
    policy = POLICIES[name](tuning or scaling.Tuning())
    fleet = Fleet(regulars_per_zone)
    reclaims = sorted(day.reclaims, key=lambda r: r.at_s)
    backlog = cost = work = late = refused = 0.0
    samples = []
    for step in range(int((LEAD_S + day.seconds) / STEP_S)):
        now = step * STEP_S - LEAD_S
        fleet.advance(now)
        while reclaims and reclaims[0].at_s <= now:
            event = reclaims.pop(0)
            fleet.reclaim(event.zone,
                          event.at_s + event.for_s,
                          everywhere=event.everywhere)
        if step % int(PLAN_PERIOD_S / STEP_S) == 0:
            fleet.apply(policy.plan(_observe(day, fleet, now)), now,
                        policy.record_refusal)
        capacity = sum(fleet.ready.values())
        load = day.load(now)
        wait_s = backlog / max(1, capacity)
        work += load * STEP_S
        if wait_s > MAX_WAIT_S:
            refused += load * STEP_S
        else:
            late += load * STEP_S * (wait_s > AIM_S)
            backlog += load * STEP_S
        backlog = max(0.0, backlog - capacity * STEP_S)
        cost += fleet.cost_per_s() * STEP_S
        samples.append(
            Sample(now, load, fleet.count(spot=False), fleet.count(spot=True),
                   wait_s))
    return Result(name, seed, cost, late / work, refused / work, samples)


def format_result(result):
    """Returns a table line for a ``Result``."""
    return (f'{result.policy:12} seed {result.seed}  cost {result.cost:7.1f}  '
            f'late {result.late:.3f}  refused {result.refused:.3f}')


def plot(results, path):
    """Plots engines, load and wait over time to ``path``, a row per policy."""
    import matplotlib
    matplotlib.use('Agg')
    from matplotlib import pyplot
    first = results[0].seed
    shown = [r for r in results if r.seed == first]
    figure, axes = pyplot.subplots(len(shown),
                                   figsize=(8, 2.5 * len(shown)),
                                   sharex=True,
                                   squeeze=False)
    for axis, result in zip(axes[:, 0], shown, strict=True):
        at = [s.at_s for s in result.samples]
        axis.stackplot(at, [s.regular for s in result.samples],
                       [s.spot for s in result.samples],
                       labels=('regular', 'spot'),
                       alpha=0.4)
        axis.plot(at, [s.load for s in result.samples], 'k', label='load')
        axis.plot(at, [10 * s.wait_s for s in result.samples],
                  'r',
                  label='wait, 0.1 s')
        axis.set_title(format_result(result), fontsize=8)
        axis.set_ylabel('engines')
    axes[0, 0].legend(fontsize=7, ncols=4)
    axes[-1, 0].set_xlabel('s')
    figure.tight_layout()
    figure.savefig(path, dpi=100)
