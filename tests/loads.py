"""Loads for tests that use the emulator, and means of their results."""

import pathlib
import statistics

from gorsefall.emulator import simulation
from gorsefall.emulator import policies
from gorsefall.emulator import site

SITES = pathlib.Path(__file__).parent.parent / 'bench' / 'emulate'
SEEDS = range(6)

AUTHORITY = site.load(SITES / 'authority.toml')
FLIGHT_BANK = AUTHORITY.with_rates_scaled(digest=2.3)
VALUATION = site.load(SITES / 'valuation.toml')


def means(load, policy=policies.placed, **options):
    """Returns the mean ``simulation.Result`` of a site over ``SEEDS``."""
    runs = [
        simulation.simulate(load, policy=policy, seed=seed, **options)
        for seed in SEEDS
    ]
    return simulation.Result(_mean_shares([r.on_time for r in runs]),
                             _mean_shares([r.refused for r in runs]),
                             statistics.mean(r.worth for r in runs))


def _mean_shares(shares):
    return {
        name: statistics.mean(s.get(name, 0.0) for s in shares)
        for name in shares[0]
    }
