"""Ways of ordering replicas, on the same simulated days."""

import pytest

from gorsefall import cmdline
from gorsefall.duties import scaling as planning
from gorsefall.emulator import scaling

SEEDS = range(30)


def _mean(name, field, **kw):
    return sum(
        getattr(scaling.simulate(name, seed, **kw), field)
        for seed in SEEDS) / len(SEEDS)


def test_the_reserve_costs_less_than_a_fixed_fleet():
    """Idle regular replicas cost more than all that is gained by them."""
    assert _mean('reserve', 'cost') < 0.6 * _mean('keep', 'cost')


def test_the_reserve_serves_bursts_and_reclaims():
    """What is saved is lost again by work that is late or refused."""
    lost = _mean('reserve', 'late') + _mean('reserve', 'refused')
    assert lost <= 0.03
    assert lost <= _mean('utilisation', 'late') + _mean('utilisation',
                                                        'refused')


def test_without_a_reserve_bursts_are_lost():
    """The simulation shows no difference between much and little capacity."""
    tight = planning.Tuning(utilisation=0.95,
                            critical_utilisation=0.95,
                            burst=1)
    assert (_mean('reserve', 'late', tuning=tight) > _mean('reserve', 'late'))


@pytest.mark.parametrize('name', scaling.POLICIES)
def test_each_policy_is_repeatable(name):
    """Two simulations of one day differ, and nothing can be compared."""
    assert scaling.simulate(name, 3) == scaling.simulate(name, 3)


def test_command_prints_a_line_for_each_policy_and_seed(capsys):
    """The command fails, or leaves out a policy."""
    assert cmdline.main(['emulate-scaling', '--seeds', '2']) == 0
    assert len(capsys.readouterr().out.splitlines()) == 6
