"""How fast orders may change a fleet."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.duties import changebudget
from gorsefall.duties import kinds

SPOTS = [kinds.Pool('s', z, True) for z in 'abc']
REGULARS = [kinds.Pool('s', z, False) for z in 'abc']


def test_a_small_fleet_is_replaced_at_once():
    """A burst waits for replicas that may not be ordered yet."""
    budget = changebudget.ChangeBudget(0.0)
    target = dict.fromkeys(SPOTS, 15)
    assert budget.limit({}, target, 0.0) == target


def test_thousands_are_replaced_over_a_long_time():
    """The records of 3,000 replicas that come and 3,000 that go fill the links
    of the entries that read the store, and configurations come 10 s late."""
    budget = changebudget.ChangeBudget(0.0)
    current = dict.fromkeys(REGULARS, 1000) | dict.fromkeys(SPOTS, 0)
    target = dict.fromkeys(REGULARS, 0) | dict.fromkeys(SPOTS, 1000)
    changed = 0
    for second in range(60):
        step = budget.limit(current, target, float(second))
        changed += sum(abs(n - current[p]) for p, n in step.items())
        current |= step
    assert changed <= changebudget.MAX_AT_ONCE + 60 * changebudget.REFILL_PER_S
    assert changed >= 60 * changebudget.REFILL_PER_S
    assert sum(current.values()) >= 3000


def test_many_small_changes_are_made_in_turn():
    """Hundreds of pools lack one replica each, and none gets it."""
    pools = [kinds.Pool(f's{i}', 'a', True) for i in range(300)]
    budget = changebudget.ChangeBudget(0.0)
    step = budget.limit({}, dict.fromkeys(pools, 1), 0.0)
    assert len(step) == changebudget.MAX_AT_ONCE


@given(
    st.lists(st.tuples(st.integers(0, 400), st.integers(0, 400)),
             min_size=6,
             max_size=6), st.integers(0, 30))
def test_a_target_is_reached_in_the_end(counts, pause_s):
    """Small remainders are rounded away for good, or a step passes its aim."""
    pools = SPOTS + REGULARS
    current = {p: a for p, (a, _) in zip(pools, counts, strict=True)}
    target = {p: b for p, (_, b) in zip(pools, counts, strict=True)}
    budget = changebudget.ChangeBudget(0.0)
    now = 0.0
    for _ in range(1000):
        now += 0.5 + pause_s
        for pool, count in budget.limit(current, target, now).items():
            low, high = sorted((current[pool], target[pool]))
            assert low <= count <= high
            current[pool] = count
    assert current == target
