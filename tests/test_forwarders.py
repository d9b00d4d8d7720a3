"""Which entry is asked to forward."""

import collections
import random

import pytest

from gorsefall.policy import forwarders


def _entries(zone, reaching, cut):
    return [
        forwarders.Candidate(f'{zone}{i}', zone, i < reaching, 1)
        for i in range(reaching + cut)
    ]


@pytest.mark.parametrize(('near', 'far', 'zones'), [
    ((3, 2), (5, 0), {'a'}),
    ((1, 9), (10, 0), {'a', 'b'}),
    ((0, 5), (5, 0), {'b'}),
    ((0, 5), (0, 5), {None}),
])
def test_the_own_zone_is_preferred_unless_most_of_it_is_cut(near, far, zones):
    """The few entries of a zone that still reach the replicas are overrun."""
    rng = random.Random(1)
    candidates = _entries('a', *near) + _entries('b', *far)
    hosts = [forwarders.choose(candidates, 'a', rng) for _ in range(200)]
    assert {h[0] if h else None for h in hosts} == zones


def test_load_is_spread_over_all_that_reach():
    """Half of a fleet's load lands on one entry."""
    rng = random.Random(1)
    candidates = _entries('a', 45, 42)
    counts = collections.Counter(
        forwarders.choose(candidates, 'a', rng) for _ in range(4500))
    assert max(counts.values()) < 2 * 4500 / 45
