"""Writes days of trouble beside the standard ones, alone, paired and mixed.

Usage: python bench/days.py SITE_FILE FOLDER [--mixed DAYS --seed SEED]

Takes the quiet day of a site file as its traffic, and writes a day file for
each trouble of the table below, one with each of ``PAIRS`` beside it, for
the installation's own bench to play. With ``--mixed`` it writes days on which
several of the table come at any time, overlapping, some of them twice.
"""

import argparse
import pathlib
import random
import tomllib

import tomli_w

ALONE = [
    ('srv_slow', {
        'share': 0.3,
        'for_s': 6.0
    }),
    ('srv_slow', {
        'share': 1.0,
        'x': 3.0,
        'how': 'all',
        'for_s': 5.0
    }),
    ('srv_cut', {
        'for_s': 6.0
    }),
    ('srv_cut', {
        'how': 'fronts',
        'x': 0.4,
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_cut', {
        'how': 'some',
        'x': 0.5,
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_cut', {
        'how': 'some lossy',
        'x': 0.5,
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_cut', {
        'how': 'one_way',
        'for_s': 6.0
    }),
    ('srv_cut', {
        'how': 'reset',
        'for_s': 6.0
    }),
    ('srv_cut', {
        'how': 'reborn',
        'for_s': 6.0
    }),
    ('replace_with_reuse', {
        'share': 0.3
    }),
    ('replace_with_reuse', {
        'share': 0.3,
        'how': 'drain'
    }),
    ('replace_with_reuse', {
        'share': 0.3,
        'how': 'dark'
    }),
    ('reset_conns', {
        'share': 0.5,
        'x': 0.7
    }),
    ('reset_conns', {
        'share': 1.0,
        'x': 1.0
    }),
    ('srv_crash', {
        'how': 'dark',
        'share': 0.4,
        'for_s': 5.0
    }),
    ('srv_crash', {
        'how': 'gone',
        'share': 0.4
    }),
    ('srv_grey', {
        'how': 'hang',
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_grey', {
        'how': 'mute',
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_grey', {
        'how': 'shed',
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_grey', {
        'how': 'busy',
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_grey', {
        'how': 'reset',
        'share': 0.4,
        'for_s': 6.0
    }),
    ('srv_grey', {
        'how': 'slow',
        'share': 0.4,
        'for_s': 6.0
    }),
    ('scale_in', {
        'how': 'spot',
        'share': 0.4
    }),
    ('scale_in', {
        'how': 'reclaim',
        'for_s': 6.0
    }),
    ('release', {
        'share': 1.0,
        'gap_s': 0.6
    }),
    ('answer_lost', {
        'share': 1.0,
        'x': 0.3,
        'for_s': 6.0
    }),
    ('garble', {
        'share': 1.0,
        'x': 0.2,
        'for_s': 6.0
    }),
    ('garble', {
        'share': 1.0,
        'x': 0.2,
        'how': 'extra',
        'for_s': 6.0
    }),
    ('garble', {
        'share': 1.0,
        'x': 0.2,
        'how': 'extra late',
        'for_s': 6.0
    }),
    ('garble', {
        'share': 1.0,
        'x': 0.2,
        'how': 'unframed',
        'for_s': 6.0
    }),
    ('garble', {
        'share': 1.0,
        'x': 0.3,
        'how': 'early',
        'for_s': 6.0
    }),
    ('garble', {
        'share': 1.0,
        'x': 0.2,
        'how': 'rot',
        'for_s': 6.0
    }),
    ('node_kill', {
        'share': 0.4,
        'how': 'power',
        'for_s': 4.0
    }),
    ('node_freeze', {
        'share': 0.5,
        'for_s': 5.0
    }),
    ('node_slow', {
        'share': 0.5,
        'x': 8.0,
        'for_s': 6.0
    }),
    ('roll_term', {
        'share': 1.0,
        'how': 'busy',
        'gap_s': 1.5
    }),
    ('roll_term', {
        'share': 1.0,
        'x': 3,
        'gap_s': 2.0
    }),
    ('herd_kill', {
        'on': 'core',
        'share': 1.0
    }),
    ('herd_kill', {
        'on': 'core',
        'how': 'off power',
        'for_s': 3.0
    }),
    ('clock_step', {
        'share': 1.0,
        'x': 10000.0,
        'how': 'ahead',
        'for_s': 5.0
    }),
    ('clock_step', {
        'share': 1.0,
        'x': 10000.0,
        'how': 'back',
        'for_s': 5.0
    }),
    ('node_cut', {
        'share': 0.5,
        'for_s': 7.0,
        'how': 'revoke'
    }),
    ('node_cut', {
        'share': 0.5,
        'for_s': 7.0,
        'how': 'servers'
    }),
    ('node_cut', {
        'share': 0.5,
        'for_s': 7.0,
        'how': 'all reset'
    }),
    ('core_cut', {
        'count': 3,
        'for_s': 7.0,
        'how': 'one_way'
    }),
    ('lossy', {
        'x': 0.1,
        'for_s': 6.0
    }),
    ('platform_down', {
        'how': 'silent',
        'for_s': 9.0
    }),
    ('platform_down', {
        'how': 'busy lapse',
        'for_s': 7.0
    }),
    ('platform_down', {
        'how': 'reset lapse',
        'for_s': 7.0
    }),
    ('platform_down', {
        'how': 'nodes many revoke',
        'share': 0.5,
        'for_s': 9.0
    }),
    ('platform_down', {
        'how': 'nodes silent revoke meet',
        'share': 0.5,
        'for_s': 9.0
    }),
    ('platform_slow', {
        'x': 200.0,
        'for_s': 6.0
    }),
    ('platform_lost', {
        'x': 0.6,
        'how': 'late',
        'for_s': 6.0
    }),
    ('platform_compact', {
        'x': 5.0,
        'how': 'keyed drain',
        'for_s': 1.0
    }),
    ('config_storm', {
        'for_s': 8.0,
        'gap_s': 0.1
    }),
    ('big_config', {
        'count': 1500
    }),
    ('revoke', {
        'count': 4,
        'gap_s': 0.3,
        'how': 'last'
    }),
    ('retry_abuse', {
        'share': 0.6,
        'x': 6.0,
        'for_s': 6.0
    }),
    ('give_up', {
        'share': 0.6,
        'for_s': 6.0
    }),
    ('hot_tenant', {
        'x': 12.0,
        'for_s': 6.0
    }),
    ('hot_key', {
        'share': 0.8,
        'for_s': 6.0
    }),
    ('burst', {
        'x': 3.0,
        'for_s': 6.0
    }),
]

PAIRS = [
    ('platform_down', {
        'how': 'busy lapse',
        'for_s': 7.0
    }),
    ('roll_term', {
        'share': 1.0,
        'how': 'busy',
        'gap_s': 1.5
    }),
    ('release', {
        'share': 1.0,
        'gap_s': 0.6
    }),
]

FIRST_S, SECOND_S = 8.0, 9.5
"""When the trouble and the one beside it begin, s of traffic."""

_PLANNED = ('roll_term', 'release', 'scale_in', 'config_storm', 'big_config',
            'revoke')


def _day(base, name, troubles):
    day = {k: v for k, v in base.items() if k not in ('plan', 'faults', 'slot')}
    day |= {'name': name, 'slot': 'trouble', 'plan': [], 'faults': []}
    for at, (kind, fields) in troubles:
        part = 'plan' if kind in _PLANNED else 'faults'
        day[part].append({'at': at, 'kind': kind} | fields)
    return day


MIXED_AT_S = (0.5, 29.0)
MIXED_TROUBLES = (3, 6)
"""When the troubles of a mixed day begin, s of traffic, and how many."""


def _quiet_day(site_file):
    site = tomllib.loads(pathlib.Path(site_file).read_text(encoding='utf-8'))
    return next(d for d in site['day'] if d['slot'] == 'quiet')


def _write(folder, day):
    path = pathlib.Path(folder) / f'{day["name"]}.toml'
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(tomli_w.dumps(day), encoding='utf-8')


def alone_and_paired(base, folder):
    """Writes the days of one trouble and of one beside another."""
    for i, trouble in enumerate(ALONE):
        beside = PAIRS[i % len(PAIRS)]
        name = f'{i:02d}-{trouble[0]}'
        _write(folder, _day(base, name, [(FIRST_S, trouble)]))
        _write(
            folder,
            _day(base, f'{name}-pair', [(FIRST_S, trouble),
                                        (SECOND_S, beside)]))


def mixed(base, folder, days, seed):
    """Writes days of several troubles at random."""
    for i in range(days):
        rng = random.Random(f'{seed}-{i}')
        troubles = [(round(rng.uniform(*MIXED_AT_S), 1), rng.choice(ALONE))
                    for _ in range(rng.randint(*MIXED_TROUBLES))]
        troubles.append((round(rng.uniform(*MIXED_AT_S), 1), troubles[0][1]))
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
        mixed(base, args.folder, args.mixed, args.seed)
    else:
        alone_and_paired(base, args.folder)


if __name__ == '__main__':
    main()
