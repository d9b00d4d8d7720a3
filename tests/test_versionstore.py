"""Streams that are taken up where no entry remembers how they began."""

import random

import pytest
import stream_entries

from gorsefall.policy import softwareversions
from gorsefall.policy.softwareversions import Reason

MAX_WRITES = 20
"""Most writes for one version, whatever the number of entries: a hundredth of
what the store takes a second leaves room for all else."""

REPLACED_S = 60.0
"""Time after which a version that left is forgotten, s."""


def _at(version):
    return softwareversions.Origin(stream_entries.SERVICE, version)


def _fleet(count, versions, **kw):
    fleet = stream_entries.Fleet(count, versions, stored=True, **kw)
    fleet.run(2.0)
    return fleet


@pytest.mark.parametrize('count', [1, 7, 87])
def test_streams_do_not_go_on_at_another_version_after_all_were_killed(count):
    """A version leaves, all entries start anew and know of no second one."""
    fleet = _fleet(count, ['v1', 'v2'])
    fleet.begin(fleet.hosts[0], 'x', 'v1')
    fleet.remove('v1')
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    for host in fleet.hosts[:7]:
        decision, after_s = fleet.take_up(host, 'x')
        assert decision == (None, Reason.SEVERAL_VERSIONS)
        assert after_s <= 0.1 + 1e-6


def test_streams_do_not_go_on_at_another_version_after_restarts_in_turn():
    """The last entry that has seen a version is restarted."""
    fleet = _fleet(3, ['v1', 'v2'])
    fleet.remove('v1')
    for host in fleet.hosts:
        fleet.restart([host])
        fleet.run(3.0)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (None, Reason.SEVERAL_VERSIONS)


@pytest.mark.parametrize('count', [1, 7, 87])
def test_streams_go_on_at_the_sole_version_after_all_were_killed(count):
    """All streams are refused though only one version has ever served."""
    fleet = _fleet(count, ['v1'])
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[-1], 'x')
    assert decision == (_at('v1'), Reason.SOLE_VERSION)


def test_a_store_that_is_away_proves_nothing():
    """Entries that have just started take what they see for all there was."""
    fleet = _fleet(3, ['v1', 'v2'])
    fleet.remove('v1')
    fleet.restart(fleet.hosts)
    fleet.store.away = True
    decision, after_s = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (None, Reason.UNPROVEN)
    assert after_s <= 0.1 + 1e-6


def test_an_entry_that_has_seen_the_whole_time_proves_it_without_the_store():
    """Streams are refused for a store that nobody needs."""
    fleet = _fleet(3, ['v1'])
    fleet.run(stream_entries.OBSERVED_S)
    fleet.store.away = True
    fleet.restart(fleet.hosts[:2])
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (_at('v1'), Reason.SOLE_VERSION)


@pytest.mark.parametrize('lost_s', [2.0, 10.0, 25.0])
def test_entries_that_have_lost_the_store_do_not_vouch(lost_s):
    """Others may read it, and begin streams at versions that came since."""
    fleet = _fleet(3, ['v1'])
    fleet.run(stream_entries.OBSERVED_S)
    fleet.store.away = True
    for entry in fleet.entries.values():
        entry.store_lost = True
    fleet.run(lost_s)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision.reason is Reason.UNPROVEN


def test_a_frozen_entry_does_not_witness_what_it_missed():
    """An entry wakes, and vouches for the time in which it was frozen."""
    now = [0.0]
    observation = softwareversions.Observation(lambda: now[0])
    for _ in range(30):
        now[0] += 1.0
        observation.record(now[0])
    assert observation.covers()
    now[0] += 10.0
    assert not observation.covers()
    observation.record(now[0])
    assert not observation.covers()


def test_an_older_copy_of_the_store_proves_nothing():
    """The store lost a version, all entries were killed, and it looks whole."""
    fleet = _fleet(3, ['v2'])
    before = len(fleet.store.records)
    fleet.add('v1')
    fleet.run(2.0)
    fleet.store.restore(len(fleet.store.records) - before)
    fleet.remove('v1')
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (None, Reason.UNPROVEN)
    fleet.run(REPLACED_S)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (_at('v2'), Reason.SOLE_VERSION)


def test_entries_that_outlast_an_older_copy_write_it_again():
    """A version that the store has lost is lost with the last entry."""
    fleet = _fleet(3, ['v2'])
    fleet.run(stream_entries.OBSERVED_S)
    before = len(fleet.store.records)
    fleet.add('v1')
    fleet.run(2.0)
    fleet.store.restore(len(fleet.store.records) - before)
    for entry in fleet.entries.values():
        entry.origins.version_store.on_store_restored()
    fleet.run(3.0)
    fleet.remove('v1')
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (None, Reason.SEVERAL_VERSIONS)


def test_a_version_that_left_long_ago_is_dropped():
    """Streams are refused for ever after one release."""
    fleet = _fleet(3, ['v1'])
    fleet.add('v2')
    fleet.run(2.0)
    fleet.remove('v1')
    fleet.run(REPLACED_S)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (_at('v2'), Reason.SOLE_VERSION)


@pytest.mark.parametrize('count', [7, 87, 195])
def test_what_storing_a_version_costs_does_not_grow_with_the_entries(count):
    """Each entry writes the same version, beyond what the store takes."""
    fleet = _fleet(count, ['v1'])
    assert fleet.store.writes <= MAX_WRITES
    fleet.store.writes = 0
    fleet.add('v2')
    fleet.run(3.0)
    assert 1 <= fleet.store.writes <= MAX_WRITES
    for entry in fleet.entries.values():
        assert not entry.origins.unrecorded(stream_entries.SERVICE)


@pytest.mark.parametrize('seed', range(40))
def test_no_stream_goes_on_at_a_version_that_it_may_not_have(seed):
    """Versions come and go while any entries start anew at any time."""
    rng = random.Random(seed)
    fleet = _fleet(3, ['v1'], seed=seed)
    begun = {}
    for i in range(60):
        step = rng.choice(['begin', 'begin', 'release', 'kill', 'away', 'take'])
        host = rng.choice(fleet.hosts)
        if step == 'begin':
            free = [
                v for v in fleet.versions if v not in
                fleet.entries[host].origins.unrecorded(stream_entries.SERVICE)
            ]
            # An entry that does not see the store cannot tell; see the design.
            if not fleet.store.away and free:
                begun[f'{i}'] = version = rng.choice(free), fleet.now
                fleet.begin(host, f'{i}', version[0])
        elif step == 'release' and not fleet.store.away:
            fleet.add(f'v{i + 2}')
            fleet.run(rng.uniform(0.1, 2.5))
            if rng.random() < 0.8:
                fleet.remove(fleet.versions[0])
        elif step == 'kill':
            fleet.restart(rng.sample(fleet.hosts, rng.choice([1, 2, 3])))
        elif step == 'away':
            fleet.store.away = not fleet.store.away
        for rid, (version, at) in begun.items():
            if step == 'take' and fleet.now - at < 15:
                decision, _ = fleet.take_up(host, rid)
                assert decision.origin in (None, _at(version)), decision
        fleet.run(rng.uniform(0.05, 4.0))


def _adopt(fleet, service):
    """Has all entries know a route to a service."""
    for entry in fleet.entries.values():
        entry.routes.adopt({'r': (service,)}, fleet.now)


def _moved_fleet(count):
    """Returns a fleet one of whose routes has just moved to ``other``."""
    fleet = _fleet(count, ['v1'])
    for entry in fleet.entries.values():
        entry.versions.add('other', 'v1')
        entry.on_version_added(softwareversions.Origin('other', 'v1'))
    _adopt(fleet, stream_entries.SERVICE)
    fleet.run(2.0)
    _adopt(fleet, 'other')
    return fleet


@pytest.mark.parametrize('restarts', [1, 2, 3])
def test_a_route_that_moved_is_known_after_any_number_of_restarts(restarts):
    """All entries are killed again before any has observed for long, and the
    first new one drops what it has not seen."""
    fleet = _moved_fleet(3)
    for _ in range(restarts):
        fleet.restart(fleet.hosts)
        _adopt(fleet, 'other')
        fleet.run(5.0)
    decision, _ = fleet.take_up(fleet.hosts[0],
                                'x',
                                services=('other',),
                                route='r')
    assert decision == (None, Reason.SEVERAL_VERSIONS)


def test_streams_go_on_long_after_their_route_moved():
    """A route that has moved once has its streams refused for good."""
    fleet = _moved_fleet(3)
    fleet.run(REPLACED_S)
    for entry in fleet.entries.values():
        entry.alive = False
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[0],
                                'x',
                                services=('other',),
                                route='r')
    assert decision.reason is Reason.SOLE_VERSION


@pytest.mark.parametrize('count', [7, 87])
def test_what_storing_a_route_costs_does_not_grow_with_the_entries(count):
    """All entries write what one would have to."""
    fleet = _moved_fleet(count)
    fleet.store.writes = 0
    _adopt(fleet, stream_entries.SERVICE)
    fleet.run(REPLACED_S)
    assert fleet.store.writes <= MAX_WRITES


def _just_started(count, *, is_empty):
    """Returns entries that have just started before replicas of v1.

    Args:
        count: Number of entries.
        is_empty: Whether nothing was ever stored.
    """
    fleet = stream_entries.Fleet(count, [], stored=True)
    if is_empty:
        fleet.store.records.clear()
        fleet.store.written_at.clear()
    fleet.versions.append('v1')
    fleet.restart(fleet.hosts)
    return fleet


@pytest.mark.parametrize('count', [1, 3, 7])
@pytest.mark.parametrize('began_s', [0.2, 0.6, 1.4])
@pytest.mark.parametrize('is_empty', [False, True])
def test_streams_of_entries_that_have_just_started_are_not_joined(
        count, began_s, is_empty):
    """The first version was stored two seconds after the start; all entries
    were killed before, and another version came meanwhile."""
    fleet = _just_started(count, is_empty=is_empty)
    fleet.run(began_s)
    fleet.begin(fleet.hosts[0], 'x', 'v1')
    fleet.run(0.4)
    fleet.replace('v1', 'v2')
    fleet.run(1.0)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision.origin is None, decision


@pytest.mark.parametrize('count', [1, 3, 7])
@pytest.mark.parametrize('began_s', [0.4, 1.0, 1.4])
def test_streams_of_entries_that_have_just_started_go_on_at_their_version(
        count, began_s):
    """The only version was stored, but not that no other one was lost; all
    entries were killed, and every stream was refused."""
    fleet = _just_started(count, is_empty=True)
    fleet.run(began_s)
    fleet.begin(fleet.hosts[0], 'x', 'v1')
    fleet.run(0.2)
    fleet.restart(fleet.hosts)
    fleet.run(0.2)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision.origin == _at('v1'), decision
