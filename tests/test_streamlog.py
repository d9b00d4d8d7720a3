"""Streams of several versions whose entries are all gone."""

import pytest
import stream_entries

from gorsefall.policy import softwareversions
from gorsefall.policy.softwareversions import Reason
from gorsefall.relay import streamlog

STREAMS_PER_S = 8
"""Streams that one entry begins in a second."""

LENGTH_S = 4.0
"""How long streams last, s."""

MIN_SHARE = 0.5
"""Least share of streams that go on, of those that new streams begin."""

WRITES_PER_S = 400
"""Writes a second that the store takes from all."""

MAX_WRITE_SHARE = 0.15
"""Most of them that streams may use, even at 350 entries."""


def _at(version):
    return softwareversions.Origin(stream_entries.SERVICE, version)


def _fleet(count, **kw):
    fleet = stream_entries.Fleet(count, ['v1', 'v2'], stored=True, **kw)
    fleet.run(2.0)
    return fleet


def _begin_streams(fleet, entries, for_s):
    """Begins streams at some entries; returns ``{id: version}``."""
    begun = {}
    for _ in range(int(for_s * STREAMS_PER_S)):
        for host in fleet.hosts[:entries]:
            rid = f'{len(begun)}'
            begun[rid] = fleet.rng.choice(['v1', 'v2'])
            fleet.begin(host, rid, begun[rid])
        fleet.run(1 / STREAMS_PER_S)
    return begun


def _take_all_up(fleet, begun):
    """Returns the share that goes on; asserts that it does as it began."""
    went_on = 0
    for i, (rid, version) in enumerate(begun.items()):
        decision, _ = fleet.take_up(fleet.hosts[i % 7], rid)
        assert decision.origin in (None, _at(version)), decision
        went_on += decision.origin is not None
    return went_on / len(begun)


@pytest.mark.parametrize('count', [7, 87])
@pytest.mark.parametrize('loss', [0.0, 0.05])
def test_streams_of_two_versions_go_on_after_all_were_killed(count, loss):
    """All streams are refused though replicas of their versions serve."""
    fleet = _fleet(count, loss=loss)
    begun = _begin_streams(fleet, 7, LENGTH_S)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    assert _take_all_up(fleet, begun) >= MIN_SHARE


def test_streams_go_on_after_all_were_killed_again():
    """The records of entries that start overwrite what they had stored."""
    fleet = _fleet(7)
    begun = _begin_streams(fleet, 7, LENGTH_S / 2)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    for i in range(8):
        rid = f'later {i}'
        begun[rid] = 'v1'
        fleet.begin(fleet.hosts[i % 7], rid, 'v1')
        fleet.run(0.3)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    assert _take_all_up(fleet, begun) >= MIN_SHARE


def test_streams_begun_while_the_store_is_away_are_stored_later():
    """What could not be written is forgotten."""
    fleet = _fleet(7)
    fleet.stream_store.away = True
    begun = _begin_streams(fleet, 7, 1.0)
    fleet.stream_store.away = False
    fleet.run(3.0)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    assert _take_all_up(fleet, begun) >= MIN_SHARE


def test_streams_that_the_store_does_not_show_are_refused():
    """A take-up waits for a store that is away, or guesses."""
    fleet = _fleet(7)
    begun = _begin_streams(fleet, 7, 0.5)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    fleet.stream_store.away = True
    for rid in list(begun)[:5]:
        decision, after_s = fleet.take_up(fleet.hosts[0], rid)
        assert decision == (None, Reason.SEVERAL_VERSIONS)
        assert after_s <= 0.2


def test_an_older_copy_of_the_store_lacks_streams_but_names_no_wrong_one():
    """A stream that the store has lost goes on at a version of another one."""
    fleet = _fleet(7)
    begun = _begin_streams(fleet, 7, LENGTH_S)
    fleet.stream_store.restore(len(fleet.stream_store.records) // 2)
    fleet.restart(fleet.hosts)
    fleet.run(0.5)
    share = _take_all_up(fleet, begun)
    assert 0 < share < 1


@pytest.mark.parametrize('count', [7, 87, 195, 350])
def test_what_storing_streams_costs(count):
    """Each entry writes for itself, beyond what the store takes."""
    fleet = _fleet(count)
    fleet.stream_store.writes = 0
    _begin_streams(fleet, min(count, 60), 2.0)
    writes_per_s = fleet.stream_store.writes / 2.0
    assert 0 < writes_per_s <= MAX_WRITE_SHARE * WRITES_PER_S
    keys = {r.key for r in fleet.stream_store.records}
    writers = -(-count // streamlog.ENTRIES_PER_WRITER)
    assert len(keys) <= writers * streamlog.SLOTS


def test_one_version_stores_nothing():
    """Streams are stored though any replica can go on with them."""
    fleet = stream_entries.Fleet(7, ['v1'], stored=True)
    fleet.run(2.0)
    for i in range(8):
        fleet.begin(fleet.hosts[0], f'{i}', 'v1')
    fleet.run(1.0)
    assert not fleet.stream_store.records
