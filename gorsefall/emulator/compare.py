"""Plays a site by every policy and prints, writes or draws what came of it."""

import msgspec

from gorsefall.emulator import simulation
from gorsefall.emulator import policies


class Row(msgspec.Struct, frozen=True):
    """One play.

    Attributes:
        site: Name of the site.
        policy: Name of the policy.
        seed: Seed of the draws.
        worth: Worth earned of the worth asked for, 0 to 1.
        on_time: ``kind name -> share on time``, 0 to 1.
        refused: ``kind name -> share refused for good``, 0 to 1.
    """
    site: str
    policy: str
    seed: int
    worth: float
    on_time: dict[str, float]
    refused: dict[str, float]


def rows(sites, seeds, seconds, names=tuple(policies.POLICIES)):
    """Gives a ``Row`` for each site, policy and seed."""
    for site in sites:
        for name in names:
            for seed in range(seeds):
                got = simulation.simulate(site,
                                          policy=policies.POLICIES[name],
                                          seconds=seconds,
                                          seed=seed)
                yield Row(site.name, name, seed, got.worth, got.on_time,
                          got.refused)


def format_row(row):
    """Returns a table line for a ``Row``."""
    shares = '  '.join(f'{k} {v:.3f}' for k, v in sorted(row.on_time.items()))
    return (f'{row.site:12} {row.policy:13} seed {row.seed}  {shares}  '
            f'worth {row.worth:.3f}')


def plot(found, path):
    """Draws the worth of each site and policy, one dot a seed, to ``path``."""
    import matplotlib
    matplotlib.use('Agg')
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(figsize=(8, 4))
    sites = sorted({row.site for row in found})
    for name in sorted({row.policy for row in found}):
        mine = [row for row in found if row.policy == name]
        axes.plot([sites.index(row.site) for row in mine],
                  [row.worth for row in mine],
                  'o',
                  label=name,
                  alpha=0.6)
    axes.set_xticks(range(len(sites)), sites, rotation=60)
    axes.set_ylabel('worth earned of worth asked for')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
