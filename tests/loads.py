"""Loads that tests play on the emulator, and the means of their results."""

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
    """Returns the mean ``simulation.Result`` of a load over ``SEEDS``."""
    runs = [
        simulation.simulate(load, policy=policy, seed=seed, **options)
        for seed in SEEDS
    ]
    return simulation.Result(_shares([r.on_time for r in runs]),
                             _shares([r.refused for r in runs]),
                             statistics.mean(r.worth for r in runs))


def _shares(found):
    return {
        name: statistics.mean(f.get(name, 0.0) for f in found)
        for name in found[0]
    }
