"""How old calm entries' lists become, and what that costs, in simulated time.

    python bench/leaving_lists.py --per-zone 13 --leave-s 2.0 --seeds 3

All readers lose the store, and a third of the entries among them. Prints the
greatest age of the lists of the others, and the calls of the store and the
messages a second, before and after.
"""

import argparse
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / 'tests'))

import leaving_entries  # noqa: E402

TROUBLE_S = 8.0
PEAK_S = 0.2
"""Time over which the greatest rate of calls is taken, s."""


def run(per_zone, leave_s, seed):
    """Runs one trouble; returns a line with its figures."""
    with leaving_entries.settled(leaving_entries.Site,
                                 per_zone,
                                 seed=seed,
                                 leave_s=leave_s) as site:
        calls, sent = site.calls(), site.network.sent
        usual_s = site.oldest_s(site.entries, TROUBLE_S)
        usual = ((site.calls() - calls) / TROUBLE_S,
                 (site.network.sent - sent) / TROUBLE_S)
        site.run(site.rng.uniform(0.0, 1.0))
        failing = site.readers()
        others = [e for e in site.entries if e not in failing]
        failing += others[:max(0, len(site.entries) // 3 - len(failing))]
        for entry in failing:
            entry.client.unreachable = True
        calm = [e for e in site.entries if e not in failing]
        for entry in calm:
            entry.observed.restart()
        calls, sent, peak = site.calls(), site.network.sent, 0
        for _ in range(round(TROUBLE_S / PEAK_S)):
            before = site.calls()
            site.run(PEAK_S)
            peak = max(peak, site.calls() - before)
        for entry in calm:
            entry.observed.age()
        return (f'{len(site.entries)} entries, leave_s {leave_s}, seed {seed}: '
                f'usual age {usual_s:.2f} s, {usual[0]:.1f} calls/s, '
                f'{usual[1]:.0f} messages/s; trouble: age '
                f'{max(e.observed.oldest_s for e in calm):.2f} s, '
                f'{(site.calls() - calls) / TROUBLE_S:.1f} calls/s, at most '
                f'{peak / PEAK_S:.0f}, '
                f'{(site.network.sent - sent) / TROUBLE_S:.0f} messages/s')


def main():
    """Prints the figures of each seed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--per-zone', type=int, default=13)
    parser.add_argument('--leave-s', type=float, default=2.0)
    parser.add_argument('--seeds', type=int, default=3)
    args = parser.parse_args()
    for seed in range(1, args.seeds + 1):
        print(run(args.per_zone, args.leave_s, seed), flush=True)


if __name__ == '__main__':
    main()
