"""How many replicas are ordered, by the pattern of the load."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gorsefall.duties import demand
from gorsefall.duties import kinds
from gorsefall.duties import scaling
from gorsefall.emulator import scaling as emulated
from gorsefall.relay import model

ZONES = emulated.ZONES
TERMS = emulated.TERMS
SPEED = emulated.SPEED
STEP_S = 0.5


class _Service:
    """A service whose replicas boot, are reclaimed and leave as ordered."""

    def __init__(self, running=10, terms=TERMS, tuning=None):
        self.terms = terms
        self.tuning = tuning or scaling.Tuning()
        self.planner = scaling.Planner('s', self.tuning)
        self.now = 0.0
        self.fleet = emulated.Fleet(running, terms)

    @property
    def ready(self):
        return self.fleet.ready

    @property
    def ordered(self):
        return self.fleet.ordered

    def step(self, tokens_per_s=0.0, requests_per_s=1.0, decode_heavy=0):
        """Advances by one plan under a demand; None for an unknown one."""
        self.now += STEP_S
        self.fleet.advance(self.now)
        seen = None
        if tokens_per_s is not None:
            seen = demand.Demand(requests_per_s, tokens_per_s, decode_heavy)
        plan = self.planner.plan(
            self.terms,
            scaling.Observation(self.now, seen, SPEED, dict(+self.ready),
                                dict(self.ordered)))
        self.fleet.apply(plan, self.now, self.planner.record_refusal)
        return plan

    def run(self, seconds, *args, **kw):
        for _ in range(int(seconds / STEP_S)):
            self.step(*args, **kw)

    def reclaim(self, zone):
        """Takes all spot replicas of a zone; none are to be had for now."""
        self.fleet.reclaim(zone, float('inf'))

    def spots(self):
        return self.fleet.count(spot=True)

    def regulars(self):
        return self.fleet.count(spot=False)


def _tokens(engines):
    """Returns the tokens per second that fill a number of engines."""
    return engines * 1000 / SPEED.prefill_ms_per_token


def test_a_cold_start_replaces_regular_replicas_by_spot_ones():
    """Without demand nothing is ordered, and the dear replicas stay."""
    service = _Service()
    service.run(12, None)
    assert service.regulars() == 0
    assert service.spots() >= 30


def test_regular_replicas_stay_until_spot_ones_serve():
    """Dear replicas leave before the cheap ones have booted."""
    service = _Service()
    while service.regulars() == 30:
        assert service.now < 20
        service.step(None)
    assert service.spots() >= 15


def test_a_list_that_is_not_yet_complete_takes_nothing_away():
    """Replicas whose records arrive late are ordered away."""
    service = _Service(running=2)
    for running in range(3, 10):
        plan = service.step(None)
        for zone in ZONES:
            pool = kinds.Pool('s', zone, False)
            assert plan[pool] >= running - 1
            service.ready[pool] = running
    service.run(12, None)
    assert sum(service.ready.values()) >= 27


def test_a_step_of_the_load_is_followed_within_a_boot():
    """A burst outlasts the queue that it leaves behind."""
    service = _Service()
    service.run(20, _tokens(5))
    before = sum(service.ready.values())
    service.run(TERMS.boot_s + 1, _tokens(14))
    assert sum(service.ready.values()) > before
    assert sum(service.ready.values()) >= 14 / service.tuning.utilisation


def test_a_wave_does_not_swing_the_orders():
    """Replicas are ordered up and down in turn, and their caches are lost."""
    service = _Service()
    service.run(40, _tokens(6))
    orders = set()
    for i in range(160):
        service.step(_tokens(6 + (2 if i // 11 % 2 else -2)))
        if i > 40:
            orders.add(sum(service.ordered.values()))
    assert len(orders) == 1


def test_the_loss_of_a_zone_leaves_enough():
    """All spot replicas of a zone leave at once, beside the present load."""
    service = _Service()
    service.run(40, _tokens(5))
    service.reclaim('z1')
    need = 5 / service.tuning.utilisation
    assert sum(service.ready.values()) >= need


def test_regular_replicas_replace_spot_ones_that_are_not_to_be_had():
    """Reclaims beside a burst leave too few replicas until spots return."""
    service = _Service()
    service.run(30, _tokens(6))
    for zone in ZONES:
        service.reclaim(zone)
    service.run(8, _tokens(6))
    assert service.regulars() >= 6 / service.tuning.critical_utilisation
    service.fleet.end_absences()
    service.run(60, _tokens(6))
    assert service.regulars() == 0


def test_a_silent_signal_takes_nothing_away():
    """No reports arrive, and the service is scaled to its minimum."""
    service = _Service()
    service.run(30, _tokens(10))
    before = sum(service.ordered.values())
    service.run(120, None)
    service.run(120, 0.0, requests_per_s=0.0)
    assert sum(service.ordered.values()) >= 0.9 * before


def test_a_lower_load_lowers_the_orders_step_by_step():
    """One step down takes most replicas away, or none ever leave."""
    service = _Service()
    service.run(60, _tokens(10))
    high = sum(service.ordered.values())
    steps = [high]
    for _ in range(400):
        service.step(_tokens(2))
        steps.append(sum(service.ordered.values()))
    assert steps[-1] < high / 3
    drops = [a - b for a, b in zip(steps, steps[1:], strict=False)]
    assert max(drops) <= 0.25 * high + 1


def test_a_service_without_spot_replicas_gets_regular_ones():
    """A service is ordered replicas that the platform does not have."""
    terms = model.Scaling(min=1,
                          max=20,
                          boot_s=4.0,
                          spot_price=1.0,
                          zone_prices=TERMS.zone_prices)
    service = _Service(terms=terms)
    service.run(20, _tokens(8))
    assert service.spots() == 0
    assert service.regulars() >= 8 / service.tuning.utilisation


def test_a_few_regular_replicas_may_be_kept():
    """An operator who trusts no reclaimable capacity has no way to say so."""
    service = _Service(tuning=scaling.Tuning(regular_per_zone=2))
    service.run(30, _tokens(5))
    assert service.regulars() == 6


@pytest.mark.parametrize('decode_heavy', [64, 320, 640])
def test_long_answers_need_slots(decode_heavy):
    """A turn from long prompts to long answers finds all slots taken."""
    service = _Service()
    service.run(20, _tokens(1), decode_heavy=decode_heavy)
    assert sum(service.ready.values()) * SPEED.slots >= 2 * decode_heavy


@hypothesis_settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(['load', 'reclaim', 'return', 'silence']),
                  st.floats(0, 60), st.integers(0, 2), st.integers(1, 30))),
    st.integers(1, 4), st.integers(4, 20))
def test_orders_stay_within_limits_and_settle(events, low, high):
    """An order is below the minimum or above the maximum of a zone."""
    terms = model.Scaling(min=low,
                          max=high,
                          boot_s=4.0,
                          spot_price=0.15,
                          zone_prices=TERMS.zone_prices)
    service = _Service(running=min(5, high), terms=terms)
    load = 4.0
    for event, engines, zone, steps in events:
        if event == 'load':
            load = engines
        elif event == 'reclaim':
            service.reclaim(ZONES[zone])
        elif event == 'return':
            service.fleet.end_absences()
        for _ in range(steps):
            plan = service.step(None if event == 'silence' else _tokens(load))
            if plan:
                _check_limits(service, terms)
    service.fleet.end_absences()
    service.run(200, _tokens(load))
    settled = dict(service.ordered)
    service.run(20, _tokens(load))
    assert service.ordered == settled
    needed = load / service.tuning.utilisation
    least = (1 - scaling.TOLERANCE) * min(needed, 3 * high)
    assert sum(service.ready.values()) >= least


def _check_limits(service, terms):
    """Checks the orders in force, and what runs where nothing was ordered."""
    for zone in ZONES:
        pools = [kinds.Pool('s', zone, spot) for spot in (False, True)]
        total = sum(service.ordered.get(p, service.ready[p]) for p in pools)
        assert terms.min <= total <= terms.max, (zone, service.ordered)
