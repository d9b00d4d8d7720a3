"""Where streams began, among many entries that come, go and lose messages."""

import pytest
import stream_entries

from gorsefall.policy import softwareversions
from gorsefall.policy.softwareversions import Reason
from gorsefall.relay import messages
from gorsefall.relay import streamorigins

MAX_CONTROL_BYTES_PER_S = 10_000
"""What one entry may send for control, bytes/s."""

STREAMS_PER_S = 16
"""Streams that one entry begins in a second at the size of two years."""

MIN_KNOWN_SHARE = 0.5
"""Least share of streams that go on, of those that new streams begin."""


def _at(version):
    return softwareversions.Origin(stream_entries.SERVICE, version)


@pytest.mark.parametrize('count', [2, 7, 87, 195])
@pytest.mark.parametrize('loss', [0.0, 0.05])
def test_a_stream_is_taken_up_anywhere_after_its_entry_is_gone(count, loss):
    """A stream of an entry that was killed goes on at another version."""
    fleet = stream_entries.Fleet(count, ['v1', 'v2'], loss)
    decisions = []
    for i in range(40):
        first, other = fleet.rng.sample(fleet.hosts, 2)
        version = fleet.rng.choice(['v1', 'v2'])
        fleet.begin(first, f'{i}', version)
        fleet.run(0.05)
        fleet.entries[first].alive = False
        decision, after_s = fleet.take_up(other, f'{i}')
        fleet.entries[first].alive = True
        assert decision.origin in (None, _at(version))
        assert after_s <= streamorigins.ANSWER_TIMEOUT_S + 1e-6
        decisions.append(decision)
    known = sum(d.reason is Reason.KNOWN for d in decisions)
    assert known >= MIN_KNOWN_SHARE * len(decisions)
    if not loss:
        assert known == len(decisions)


def test_streams_that_run_when_a_second_version_comes_are_known():
    """A stream that began before a release goes on at the new version."""
    fleet = stream_entries.Fleet(7, ['v1'])
    for i, host in enumerate(fleet.hosts):
        fleet.begin(host, f'{i}', 'v1')
    fleet.run(0.1)
    assert not sum(e.bytes_out for e in fleet.entries.values())
    for entry in fleet.entries.values():
        entry.add('v2')
    fleet.run(0.1)
    fleet.entries[fleet.hosts[0]].alive = False
    decision, _ = fleet.take_up(fleet.hosts[1], '0')
    assert decision == (_at('v1'), Reason.KNOWN)


def test_a_stream_goes_on_where_only_one_version_serves():
    """Streams are refused although any replica could go on with them."""
    fleet = stream_entries.Fleet(7, ['v1'])
    decision, _ = fleet.take_up(fleet.hosts[1], 'nobody knows')
    assert decision == (_at('v1'), Reason.SOLE_VERSION)


def test_an_entry_with_an_old_view_asks_those_that_know_better():
    """A stream of a new version goes on at the one that an entry knows."""
    fleet = stream_entries.Fleet(7, ['v1'])
    old, *others = fleet.hosts
    for host in others:
        fleet.entries[host].add('v2')
    fleet.begin(others[0], 'new', 'v2')
    fleet.run(0.1)
    fleet.entries[others[0]].alive = False
    assert fleet.take_up(old, 'new')[0] == (_at('v2'), Reason.KNOWN)
    assert fleet.take_up(old, 'unknown')[0] == (None, Reason.SEVERAL_VERSIONS)


def test_an_entry_that_is_cut_off_does_not_guess():
    """An entry without store and peers goes on with a stream of a version that
    it has not heard of."""
    fleet = stream_entries.Fleet(3, ['v1'])
    first, *others = fleet.hosts
    fleet.loss = 1.0
    fleet.entries[first].store_lost = True
    decision, after_s = fleet.take_up(first, 'x')
    assert decision == (None, Reason.OUTDATED)
    assert after_s <= streamorigins.ANSWER_TIMEOUT_S + 1e-6


def test_nothing_is_learned_of_streams_of_other_accounts():
    """A caller finds out whether another account's stream exists."""
    fleet = stream_entries.Fleet(7, ['v1', 'v2'])
    fleet.begin(fleet.hosts[0], 'x', 'v1')
    fleet.run(0.1)
    for host in fleet.hosts:
        theirs = fleet.take_up(host, 'x', account='b')[0]
        assert theirs == fleet.take_up(host, 'nobody', account='b')[0]
        assert theirs == (None, Reason.SEVERAL_VERSIONS)


@pytest.mark.parametrize('count', [7, 87, 195])
def test_what_telling_costs_does_not_grow_with_the_entries(count):
    """Messages about streams fill the small links of a large deployment."""
    fleet = stream_entries.Fleet(count, ['v1', 'v2'])
    for i in range(STREAMS_PER_S):
        fleet.begin(fleet.hosts[0], f'{i}', 'v1')
    fleet.run(0.1)
    sent = fleet.entries[fleet.hosts[0]].bytes_out
    assert 0 < sent < MAX_CONTROL_BYTES_PER_S / 2
    held = [len(e.origins) for e in fleet.entries.values()]
    assert sum(held) == STREAMS_PER_S * (
        1 + min(streamorigins.TOLD_ENTRIES, count - 1))


def test_a_stream_of_a_split_route_goes_on_at_its_service():
    """A route leads to two services of one version each, and a stream goes on
    at the other one."""
    fleet = stream_entries.Fleet(7, ['v1'])
    for entry in fleet.entries.values():
        entry.versions.add('other', 'v1')
    split = ('other', stream_entries.SERVICE)
    fleet.begin(fleet.hosts[0], 'x', 'v1', split)
    fleet.run(0.1)
    fleet.entries[fleet.hosts[0]].alive = False
    decision, _ = fleet.take_up(fleet.hosts[1], 'x', services=split)
    assert decision == (('other', 'v1'), Reason.KNOWN)
    decision, _ = fleet.take_up(fleet.hosts[1],
                                'x',
                                services=(stream_entries.SERVICE,))
    assert decision == (None, Reason.MOVED)
    decision, _ = fleet.take_up(fleet.hosts[1], 'unknown', services=split)
    assert decision == (None, Reason.SEVERAL_VERSIONS)


def test_a_stream_outlasts_the_replicas_of_its_version():
    """A long stream of a version that is gone goes on at the one that is left,
    as its entry did not tell the others of it."""
    fleet = stream_entries.Fleet(7, ['v2'])
    fleet.begin(fleet.hosts[0], 'x', 'v1')
    fleet.run(0.1)
    fleet.entries[fleet.hosts[0]].alive = False
    decision, _ = fleet.take_up(fleet.hosts[1], 'x')
    assert decision == (_at('v1'), Reason.KNOWN)


def test_answers_that_nobody_asked_for_decide_nothing():
    """An entry that restarts takes a late answer for one to its own question,
    and a stream goes on where another one began."""
    fleet = stream_entries.Fleet(7, ['v1', 'v2'])
    first = fleet.entries[fleet.hosts[0]]

    def answer_all():
        receive = first.handlers[messages.StreamKnown]
        for query_id in range(3):
            for host in fleet.hosts:
                receive(messages.StreamKnown(query_id, _at('v2'), ()), host)
        for query_id in list(first.origins._lookups):
            receive(messages.StreamKnown(query_id, _at('v2'), ()), '10.9.9.9')

    fleet.call_later(stream_entries.RTT_S / 4, answer_all)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (None, Reason.SEVERAL_VERSIONS)
