"""Generates day files with faults for the installation's own bench.

Usage: python bench/days.py SITE_FILE FOLDER
           [--mixed DAYS --seed SEED | --unreachable]

The traffic is that of the quiet day in a site file. For each fault in
``troubles.toml`` one day has this fault alone and another has a second fault
beside it. With ``--mixed``, each day has several faults at random times, which
may overlap; one of them occurs twice. With ``--unreachable``, entries lose
their paths to all replicas, or to those of one service, twice a day.
"""

import argparse
import pathlib
import random
import tomllib
import typing

import tomli_w

FAULTS_FILE = pathlib.Path(__file__).with_name('troubles.toml')


class Fault(typing.NamedTuple):
    """One fault of a day.

    Attributes:
        kind: Its name in the installation's own bench.
        fields: Further parameters, such as strength, duration and variant.
    """
    kind: str
    fields: dict


def _load_faults(section):
    rows = tomllib.loads(FAULTS_FILE.read_text(encoding='utf-8'))[section]
    return [Fault(row.pop('kind'), row) for row in rows]


FIRST_FAULT_AT_S, SECOND_FAULT_AT_S = 8.0, 9.5
"""Start of the first and the second fault, s after the start of traffic."""

_PLANNED_KINDS = ('roll_term', 'release', 'scale_in', 'config_storm',
                  'big_config', 'revoke')


def _day(base, name, faults):
    day = {k: v for k, v in base.items() if k not in ('plan', 'faults', 'slot')}
    day |= {'name': name, 'slot': 'trouble', 'plan': [], 'faults': []}
    for at, fault in faults:
        part = 'plan' if fault.kind in _PLANNED_KINDS else 'faults'
        day[part].append({'at': at, 'kind': fault.kind} | fault.fields)
    return day


MIXED_START_RANGE_S = (0.5, 29.0)
MIXED_FAULT_COUNT_RANGE = (3, 6)
"""Faults of a mixed day: range of their start times, s after the start of
traffic, and of their number, without the repeated one."""

FIRST_CUT, SECOND_CUT = (5.0, 12.0, 0.5), (26.0, 10.0, 0.9)
"""Two times at which entries lose their paths: start, s after the start of
traffic, duration, s, and their share."""


def _read_site(site_file):
    return tomllib.loads(pathlib.Path(site_file).read_text(encoding='utf-8'))


def _quiet_day(site):
    return next(d for d in site['day'] if d['slot'] == 'quiet')


def _cuts(services, how):
    """Returns the faults that cut entries from all replicas of services."""
    return [(at,
             Fault(
                 'srv_cut', {
                     'how': how,
                     'service': service,
                     'share': 1.0,
                     'x': share,
                     'for_s': for_s
                 }))
            for at, for_s, share in (FIRST_CUT, SECOND_CUT)
            for service in services]


def _write(folder, day):
    path = pathlib.Path(folder) / f'{day["name"]}.toml'
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(tomli_w.dumps(day), encoding='utf-8')


def write_single_and_paired(base, folder):
    """Writes for each fault a day with it alone and a day with a second one."""
    others = _load_faults('beside')
    for i, fault in enumerate(_load_faults('trouble')):
        beside = others[i % len(others)]
        name = f'{i:02d}-{fault.kind}'
        _write(folder, _day(base, name, [(FIRST_FAULT_AT_S, fault)]))
        _write(
            folder,
            _day(base, f'{name}-pair', [(FIRST_FAULT_AT_S, fault),
                                        (SECOND_FAULT_AT_S, beside)]))


def write_mixed(base, folder, days, seed):
    """Writes days with several faults at random times."""
    known = _load_faults('trouble')
    for i in range(days):
        rng = random.Random(f'{seed}-{i}')
        faults = [(round(rng.uniform(*MIXED_START_RANGE_S),
                         1), rng.choice(known))
                  for _ in range(rng.randint(*MIXED_FAULT_COUNT_RANGE))]
        faults.append((round(rng.uniform(*MIXED_START_RANGE_S),
                             1), faults[0][1]))
        _write(
            folder,
            _day(base, f'mixed-{seed}-{i:02d}',
                 sorted(faults, key=lambda t: t[0])))


def write_unreachable(base, folder, services):
    """Writes days on which entries lose their paths to the replicas."""
    hangs = _cuts(services, 'some all')
    others = _load_faults('beside_a_cut')
    for name, faults in (
        ('hang', hangs),
        ('reset', _cuts(services, 'some all reset')),
        ('one-service', _cuts(services[:1], 'some all')),
        ('beside-others', [
            *hangs, *((at, other)
                      for at in (FIRST_CUT[0] + 3, SECOND_CUT[0] + 2)
                      for other in others)
        ]),
    ):
        _write(
            folder,
            _day(base, f'unreachable-{name}', sorted(faults,
                                                     key=lambda t: t[0])))


def main():
    """Writes the day files."""
    parser = argparse.ArgumentParser(description='Write days with faults.')
    parser.add_argument('site_file')
    parser.add_argument('folder')
    parser.add_argument('--mixed',
                        type=int,
                        help='number of days with several faults')
    parser.add_argument('--seed', default='1')
    parser.add_argument('--unreachable',
                        action='store_true',
                        help='days on which entries reach no replica')
    args = parser.parse_args()
    site = _read_site(args.site_file)
    base = _quiet_day(site)
    if args.unreachable:
        write_unreachable(base, args.folder,
                          [s['name'] for s in site['services']])
    elif args.mixed:
        write_mixed(base, args.folder, args.mixed, args.seed)
    else:
        write_single_and_paired(base, args.folder)


if __name__ == '__main__':
    main()
