"""Writes days of trouble beside the standard ones, alone, paired and mixed.

Usage: python bench/days.py SITE_FILE FOLDER [--mixed DAYS --seed SEED]

Takes the quiet day of a site file as its traffic, and writes a day file for
each trouble of ``troubles.toml``, and one with another beside it, for
the installation's own bench to play. With ``--mixed`` it writes days on which
several of them come at any time, overlapping, some of them twice.
"""

import argparse
import pathlib
import random
import tomllib
import typing

import tomli_w

FAULTS_FILE = pathlib.Path(__file__).with_name('troubles.toml')


class Fault(typing.NamedTuple):
    """One trouble of a day.

    Attributes:
        kind: Its name in the installation's own bench.
        fields: How strong, how long, of which sort.
    """
    kind: str
    fields: dict


def _troubles(section):
    rows = tomllib.loads(FAULTS_FILE.read_text(encoding='utf-8'))[section]
    return [Fault(row.pop('kind'), row) for row in rows]


FIRST_FAULT_AT_S, SECOND_FAULT_AT_S = 8.0, 9.5
"""When the trouble and the one beside it begin, s of traffic."""

_PLANNED = ('roll_term', 'release', 'scale_in', 'config_storm', 'big_config',
            'revoke')


def _day(base, name, troubles):
    day = {k: v for k, v in base.items() if k not in ('plan', 'faults', 'slot')}
    day |= {'name': name, 'slot': 'trouble', 'plan': [], 'faults': []}
    for at, trouble in troubles:
        part = 'plan' if trouble.kind in _PLANNED else 'faults'
        day[part].append({'at': at, 'kind': trouble.kind} | trouble.fields)
    return day


MIXED_START_RANGE_S = (0.5, 29.0)
MIXED_FAULT_COUNT_RANGE = (3, 6)
"""When the troubles of a mixed day begin, s of traffic, and how many."""


def _quiet_day(site_file):
    site = tomllib.loads(pathlib.Path(site_file).read_text(encoding='utf-8'))
    return next(d for d in site['day'] if d['slot'] == 'quiet')


def _write(folder, day):
    path = pathlib.Path(folder) / f'{day["name"]}.toml'
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(tomli_w.dumps(day), encoding='utf-8')


def write_single_and_paired(base, folder):
    """Writes the days of one trouble and of one beside another."""
    others = _troubles('beside')
    for i, trouble in enumerate(_troubles('trouble')):
        beside = others[i % len(others)]
        name = f'{i:02d}-{trouble.kind}'
        _write(folder, _day(base, name, [(FIRST_FAULT_AT_S, trouble)]))
        _write(
            folder,
            _day(base, f'{name}-pair', [(FIRST_FAULT_AT_S, trouble),
                                        (SECOND_FAULT_AT_S, beside)]))


def write_mixed(base, folder, days, seed):
    """Writes days of several troubles at random."""
    known = _troubles('trouble')
    for i in range(days):
        rng = random.Random(f'{seed}-{i}')
        troubles = [(round(rng.uniform(*MIXED_START_RANGE_S),
                           1), rng.choice(known))
                    for _ in range(rng.randint(*MIXED_FAULT_COUNT_RANGE))]
        troubles.append((round(rng.uniform(*MIXED_START_RANGE_S),
                               1), troubles[0][1]))
        _write(
            folder,
            _day(base, f'mixed-{seed}-{i:02d}',
                 sorted(troubles, key=lambda t: t[0])))


def main():
    """Writes the day files."""
    parser = argparse.ArgumentParser(description='Write days of trouble.')
    parser.add_argument('site_file')
    parser.add_argument('folder')
    parser.add_argument('--mixed', type=int, help='days of several troubles')
    parser.add_argument('--seed', default='1')
    args = parser.parse_args()
    base = _quiet_day(args.site_file)
    if args.mixed:
        write_mixed(base, args.folder, args.mixed, args.seed)
    else:
        write_single_and_paired(base, args.folder)


if __name__ == '__main__':
    main()
