"""Prints a table and draws a plot of one series of days from the journal.

Usage: python bench/series.py [--journal DIR] [--out FILE.png]

For each site and policy it takes the newest journal entry whose reason starts
with ``series: POLICY``. For each day it prints the score, the share of worth
earned by each kind of request, the refused and failed shares, and the sum of
the prices paid, which lower the score but not the shares.
"""

import argparse
import json
import pathlib

REASON_PREFIX = 'series: '
POLICIES = ('product', 'before', 'leastload', 'roundrobin')
KINDS_BY_SITE = {
    'kasa-gorsefall': ('digest', 'advice', 'chat', 'hold', 'receipt'),
    'hollinbrook-labelcalc':
        ('dossier', 'reconcile', 'allergen', 'panel', 'claim'),
}
"""Kinds of request by site, in the order of the site's load sheet."""


def newest_entries(journal):
    """Returns the newest journal entries as ``{(site, policy): entry}``."""
    found = {}
    for path in sorted(pathlib.Path(journal).glob('*.json')):
        entry = json.loads(path.read_text(encoding='utf-8'))
        why = entry.get('why') or ''
        if why.startswith(REASON_PREFIX) and entry.get('days'):
            found[entry['site'], why.removeprefix(REASON_PREFIX)] = entry
    return found


def _days(entry):
    return [d for d in entry['days'] if not d['name'].startswith('fresh')]


def _row(policy, day):
    shares = ' | '.join(f'{s:.2f}' for s in day['by_class'] if s is not None)
    prices = sum(p[2] for p in day['prices'])
    return (f'| {day["name"]} | {policy} | {day["score"]:.2f} | {shares} | '
            f'{day["refused"]:.3f} | {day["failed"]:.3f} | {prices:.3f} |')


def table(found, site):
    """Yields the lines of a site's Markdown table."""
    kinds = KINDS_BY_SITE[site]
    yield '| day | policy | score | ' + ' | '.join(
        kinds) + ' | refused | failed | paid |'
    yield '|---' * (6 + len(kinds)) + '|'
    days_by_policy = {
        p: _days(found[site, p]) for p in POLICIES if (site, p) in found
    }
    for row in zip(*days_by_policy.values(), strict=True):
        for policy, day in zip(days_by_policy, row, strict=True):
            yield _row(policy, day)
    for policy in days_by_policy:
        yield f'{policy}: site score {found[site, policy]["score"]:.3f}  '


def plot(found, path):
    """Draws the score of each day by policy, with a panel for each site."""
    from matplotlib import pyplot
    fig, axes = pyplot.subplots(len(KINDS_BY_SITE),
                                1,
                                figsize=(9, 6),
                                sharey=True)
    for ax, site in zip(axes, KINDS_BY_SITE, strict=True):
        policies = [p for p in POLICIES if (site, p) in found]
        for i, policy in enumerate(policies):
            days = _days(found[site, policy])
            at = [x + (i - len(policies) / 2) * 0.2 for x in range(len(days))]
            ax.bar(at, [d['score'] for d in days], 0.18, label=policy)
        ax.set_xticks(range(len(days)), [d['name'] for d in days])
        ax.set_ylabel('score')
        ax.set_title(site)
    axes[0].legend(loc='lower right')
    fig.tight_layout()
    fig.savefig(path, dpi=110)


def main():
    """Prints the tables and draws the plot."""
    parser = argparse.ArgumentParser(description='Compare a series of days.')
    parser.add_argument('--journal', default='journal')
    parser.add_argument('--out')
    args = parser.parse_args()
    found = newest_entries(args.journal)
    for site in KINDS_BY_SITE:
        print(f'\n### {site}\n')
        print('\n'.join(table(found, site)))
    if args.out:
        plot(found, args.out)


if __name__ == '__main__':
    main()
