"""Compares who has a version stored, and when, in simulated time.

Entries get the first version of a service, streams begin at it at all entries
as soon as they see it, and all are killed; then another version serves, or the
same one. Prints a table of each way and number of entries.

    python bench/version_ways.py [--entries N ...] [--seeds N] [--way NAME]
"""

import argparse
import collections
import contextlib
import logging
import pathlib
import statistics
import sys
import typing
from unittest import mock

import structlog

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / 'tests')]

import held_up_entries  # noqa: E402

from gorsefall.policy import softwareversions  # noqa: E402
from gorsefall.relay import streamorigins  # noqa: E402
from gorsefall.relay import versionstore  # noqa: E402

STREAMS = 40
TICK_S = 0.005
KILL_AFTER_S = 0.002
SLOW_S = 0.24
VIEW_RANGE_S = (0.02, 0.06)
V1, V2 = (softwareversions.Origin('pool', v) for v in ('v1', 'v2'))
STORE = versionstore.VersionStore


class Result(typing.NamedTuple):
    """What one play shows.

    Attributes:
        waits_s: Time from the request to the beginning of each stream, s.
        calls: Calls of the store, from the version's coming to the kill.
        writes: Those of them that write.
        joined: Share of the streams that went on at another version.
        went_on: Share of those that went on at theirs.
    """
    waits_s: list
    calls: int
    writes: int
    joined: float
    went_on: float


@contextlib.contextmanager
def stored_before():
    """The way of the product."""
    yield


@contextlib.contextmanager
def stored_after():
    """Whoever begins a stream stores its version, but does not wait."""
    with mock.patch.object(STORE, 'admit', lambda self, beginning, retry: True):
        yield


@contextlib.contextmanager
def two_calls():
    """The same, and the record of the era is a call of its own."""

    def write(self, records, end):
        STORE_WRITE(self, records[:1], end)

    with stored_after(), mock.patch.object(STORE, '_write', write):
        yield


@contextlib.contextmanager
def keeper_alone():
    """One entry by hash stores it."""
    with stored_after(), mock.patch.object(
            STORE, '_writes', lambda self: self._keeps()), mock.patch.object(
                STORE, 'on_stream_begun', lambda self, beginning: None):
        yield


@contextlib.contextmanager
def everyone():
    """Each entry writes at once, without regard to the others."""
    with mock.patch.object(STORE, '_writes', lambda self: True), \
            mock.patch.object(versionstore, 'FOLLOW_RANGE_S', (0.0, 0.0)), \
            mock.patch.object(versionstore, 'URGENT_SPREAD_S', 0.0):
        yield


@contextlib.contextmanager
def older_than_the_start():
    """The same; a version that came after the start of all proves nothing."""

    def record_read(self, stored, asked_at):
        if self._era is None:
            self.first_origins = stored.origins
        STORE_RECORD(self, stored, asked_at)

    def decide(*args, **kwargs):
        decision = DECIDE(*args, **kwargs)
        seen = any(k.covers for k in (args[1], *args[2]))
        first = getattr(CURRENT.get('store'), 'first_origins', frozenset())
        if (decision.reason is softwareversions.Reason.SOLE_VERSION and
                not seen and decision.origin not in first):
            return softwareversions.Decision(None,
                                             softwareversions.Reason.UNPROVEN)
        return decision

    def decide_lookup(self, lookup):
        CURRENT['store'] = self.version_store
        LOOKUP_DECIDE(self, lookup)

    with keeper_alone(), \
            mock.patch.object(STORE, '_record_read', record_read), \
            mock.patch.object(softwareversions, 'decide', decide), \
            mock.patch.object(streamorigins.StreamOrigins, '_decide',
                              decide_lookup):
        yield


STORE_WRITE, STORE_RECORD = STORE._write, STORE._record_read
DECIDE = softwareversions.decide
LOOKUP_DECIDE = streamorigins.StreamOrigins._decide
CURRENT = {}

WAYS = {
    'one entry by hash, after': keeper_alone,
    'the same, older than the start': older_than_the_start,
    'who begins, after, two calls': two_calls,
    'who begins, after, one call': stored_after,
    'who begins, before, all at once': everyone,
    'who begins, before, the keeper first': stored_before,
}

CASES = 'frozen', 'dead', 'none', 'start', 'returns', 'slow'
"""What happens to the keeper; or all entries start as the first version serves;
a version comes back that the store still has; or it answers after 0.24 s."""


def play(count, case, stays, seed, at_once):
    """Returns the ``Result`` of one play.

    Args:
        count: Number of entries.
        case: One of ``CASES``.
        stays: Whether the version serves on after the kill.
        seed: Seed.
        at_once: Whether all are killed as the first stream begins.
    """
    fleet = held_up_entries.Fleet(count, [('old', 'v7')], {'r-old': 'old'},
                                  seed=seed)
    fleet.services = ['old', 'pool']
    replaced = V2
    if case == 'returns':
        # V2 was stored first, and V1 takes its place for a moment.
        fleet.world.replicas.add(V2)
        fleet.world.routes['r'] = 'pool'
        fleet.run(40.0)
        fleet.world.replicas = (fleet.world.replicas - {V2})
        fleet.run(25.0)
    keeper = fleet.keeper()
    if case in ('frozen', 'returns'):
        fleet.entries[keeper].set_frozen(True)
    elif case == 'dead':
        fleet.kill([keeper])
    elif case == 'start':
        fleet.kill(fleet.hosts)
    fleet.world.replicas.add(V1)
    fleet.world.routes['r'] = 'pool'
    if case == 'start':
        fleet.start(fleet.hosts)
    for entry in fleet.entries.values():
        entry.answer_s = SLOW_S if case == 'slow' else 0.0
    reads, writes = fleet.store.reads, fleet.store.writes
    asked = {}
    hosts = [h for h in fleet.hosts if h != keeper or case in ('none', 'start')]
    until = fleet.now + 5.0
    enough = 1 if at_once else len(hosts)
    while len(fleet.begun) < enough and fleet.now < until:
        for host in hosts:
            if host not in asked and fleet.entries[host].listed('pool'):
                asked[host] = fleet.now
                fleet.begin_stream(host, host, 'r')
        fleet.run(TICK_S)
    fleet.run(KILL_AFTER_S)
    begun = dict(fleet.begun)
    calls = fleet.store.reads + fleet.store.writes - reads - writes
    result_writes = fleet.store.writes - writes
    fleet.kill(fleet.hosts)
    if not stays:
        fleet.world.replicas = (fleet.world.replicas - {V1}) | {replaced}
    fleet.start(fleet.hosts)
    fleet.run(1.5)
    counts = collections.Counter()
    sample = list(begun)[:STREAMS]
    for rid in sample:
        decision, _ = fleet.take_up(hosts[0],
                                    rid,
                                    services=('pool',),
                                    route='r')
        counts['went on'] += decision.origin == V1
        counts['joined'] += decision.origin not in (None, V1)
    return Result([s.began_at - asked[h] for h, s in begun.items()], calls,
                  result_writes, counts['joined'] / len(sample),
                  counts['went on'] / len(sample))


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--entries',
                        type=int,
                        nargs='+',
                        default=[7, 87, 195, 350])
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--way', default='', help='part of a name of ways')
    args = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    held_up_entries.Fleet.view_range_s = VIEW_RANGE_S
    print('cases: ' + ', '.join(CASES))
    print('entries | way | killed at the first event: joined | go on | killed '
          'after all have begun: joined | go on | calls, writes in the mean | '
          'wait ms mean, most')
    for count in args.entries:
        for name, way in WAYS.items():
            if args.way not in name:
                continue
            with way():
                print(f'{count} | {name} | ' + measure(count, args.seeds),
                      flush=True)


def measure(count, seeds):
    """Returns a row's figures."""
    columns, results = [], []
    for at_once in (True, False):
        for stays in (False, True):
            shares = []
            for case in CASES:
                plays = [
                    play(count, case, stays, seed + 1, at_once)
                    for seed in range(seeds)
                ]
                shares.append(
                    statistics.fmean(
                        p.went_on if stays else p.joined for p in plays))
                results += [] if at_once else plays
            columns.append(', '.join(f'{s:.2f}' for s in shares))
    waits = [w * 1000 for r in results for w in r.waits_s]
    return ' | '.join([
        *columns, f'{statistics.fmean(r.calls for r in results):.0f}, '
        f'{statistics.fmean(r.writes for r in results):.1f}',
        f'{statistics.fmean(waits):.1f}, {max(waits):.1f}'
    ])


if __name__ == '__main__':
    main()
