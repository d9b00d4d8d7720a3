"""Simulates sites with several policies and formats or plots the results."""

import msgspec

from gorsefall.emulator import simulation
from gorsefall.emulator import policies


class Row(msgspec.Struct, frozen=True):
    """The result of one simulation.

    Attributes:
        site: Name of the site.
        policy: Name of the policy.
        seed: Seed of the random generators.
        worth: Value earned as a share of the value of all requests, 0 to 1.
        on_time: ``kind name -> share of requests on time``, 0 to 1.
        refused: ``kind name -> share of requests finally refused``, 0 to 1.
    """
    site: str
    policy: str
    seed: int
    worth: float
    on_time: dict[str, float]
    refused: dict[str, float]


def rows(sites, seeds, seconds, names=tuple(policies.POLICIES)):
    """Yields a ``Row`` for each site, policy and seed."""
    for site in sites:
        for name in names:
            for seed in range(seeds):
                result = simulation.simulate(site,
                                             policy=policies.POLICIES[name],
                                             seconds=seconds,
                                             seed=seed)
                yield Row(site.name, name, seed, result.worth, result.on_time,
                          result.refused)


def format_row(row):
    """Returns a table line for a ``Row``."""
    shares = '  '.join(f'{k} {v:.3f}' for k, v in sorted(row.on_time.items()))
    return (f'{row.site:12} {row.policy:13} seed {row.seed}  {shares}  '
            f'worth {row.worth:.3f}')


def plot(results, path):
    """Plots the value earned by site and policy to ``path``, a dot per seed."""
    import matplotlib
    matplotlib.use('Agg')
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(figsize=(8, 4))
    sites = sorted({row.site for row in results})
    for name in sorted({row.policy for row in results}):
        own = [row for row in results if row.policy == name]
        axes.plot([sites.index(row.site) for row in own],
                  [row.worth for row in own],
                  'o',
                  label=name,
                  alpha=0.6)
    axes.set_xticks(range(len(sites)), sites, rotation=60)
    axes.set_ylabel('share of value earned')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
