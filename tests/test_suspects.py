"""Requests that crash replicas: who is blamed, at one entry and at many."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.emulator import crashing
from gorsefall.policy import suspects
from gorsefall.relay import crashes

YOUNG, OLD = suspects.CrashWeight.YOUNG, suspects.CrashWeight.OLD
CONTACT_S = 5.0
MOST_AFTER = 3


def _crash(number):
    return suspects.Crash(f'r{number}')


def test_the_third_crash_has_a_request_blamed():
    """One request that takes down replica after replica."""
    known = suspects.Suspects()
    for i in range(3):
        assert not known.is_blocked(b'x', 10.0 * i)
        known.record_crash(b'x', _crash(i), YOUNG, 10.0 * i)
    assert known.is_blocked(b'x', 21.0)


def test_a_crash_counts_once_whoever_tells_it():
    """A good request shut out as several entries saw the same crash."""
    known = suspects.Suspects()
    for i in range(9):
        known.record_crash(b'x', _crash(1), YOUNG, 0.01 * i)
    assert not known.is_blocked(b'x', 1.0)


def test_a_run_that_ends_clears():
    """A good request shut out as replicas crashed under it over the days."""
    known = suspects.Suspects()
    for i in range(9):
        known.record_crash(b'x', _crash(i), YOUNG, 10.0 * i)
        known.record_completion(b'x', 10.0 * i + 5)
    assert not known.must_serialize(b'x')


def test_who_was_beside_the_guilty_is_not_blamed():
    """Good requests shut out that followed a guilty one to its replicas."""
    known = suspects.Suspects()
    for i in range(4):
        known.record_crash(b'guilty', _crash(i), YOUNG, 10.0 * i)
        if i < 3:
            known.record_crash(b'good', _crash(i), YOUNG, 10.0 * i)
    assert known.poison_requests == [b'guilty']


def test_replicas_that_end_together_speak_less_against_their_requests():
    """Good requests shut out by bursts of crashes."""
    known = suspects.Suspects()
    for burst in range(3):
        for i in range(12):
            known.record_crash(b'%d' % (i if i else 0), _crash(12 * burst + i),
                               YOUNG, 5.0 * burst + 0.001 * i)
    assert not known.poison_requests


def test_a_blamed_request_is_tried_once_more_after_its_hold():
    """A request shut out for good that a new version of its service bears."""
    known = suspects.Suspects()
    for i in range(3):
        known.record_crash(b'x', _crash(i), YOUNG, 10.0 * i)
    later = 20.0 + suspects.BLOCK_S + 1
    assert not known.is_blocked(b'x', later)
    known.record_crash(b'x', _crash(3), YOUNG, later)
    assert known.is_blocked(b'x', later + suspects.BLOCK_S + 1)
    known.record_completion(b'x', later + 2 * suspects.BLOCK_S)
    assert not known.poison_requests


def test_what_is_remembered_is_bounded():
    """Memory that grows with each crash; the gravest stay."""
    known = suspects.Suspects()
    for i in range(3):
        known.record_crash(b'guilty', _crash(i), YOUNG, float(i))
    for i in range(3 * suspects.MAX_SUSPECTS):
        known.record_crash(b'%d' % i, _crash(1000 + i % 50), YOUNG, 10.0 + i)
    assert len(known) <= suspects.MAX_SUSPECTS
    assert known.is_blocked(b'guilty', 20.0)


_EVENTS = st.lists(st.tuples(st.sampled_from([b'a', b'b', b'c']),
                             st.integers(-1, 5), st.sampled_from([YOUNG, OLD])),
                   max_size=14)


def _tell(known, events):
    for at, (digest, number, weight) in events:
        if number < 0:
            known.record_completion(digest, float(at))
        else:
            known.record_crash(digest, _crash(number), weight, float(at))


def _oracle(events):
    """Returns who is blamed, from all that was seen, in whatever order."""
    ran = {}
    for at, (digest, number, _) in events:
        if number < 0:
            ran[digest] = max(at, ran.get(digest, -1))
    seen = {}
    for at, (digest, number, weight) in events:
        if number >= 0 and at > ran.get(digest, -1):
            old = seen.setdefault(digest, {}).get(number, 0)
            seen[digest][number] = max(old, weight)
    blamed, explained = set(), set()
    while True:
        weights = {
            digest: sum(w for n, w in found.items() if n not in explained)
            for digest, found in seen.items()
            if digest not in blamed
        }
        worst = max(weights, key=lambda d: (weights[d], d), default=None)
        if worst is None or weights[worst] < suspects.POISON_WEIGHT:
            return blamed
        blamed.add(worst)
        explained.update(seen[worst])


@given(_EVENTS, st.randoms(use_true_random=False))
def test_entries_agree_however_they_are_told(events, rng):
    """Entries that differ for good: messages lost, repeated and overtaken."""
    # One time for each crash, whoever reports it, and each far from the next.
    events = [(100 * number if number >= 0 else 50 + 100 * i, (digest, number,
                                                               weight))
              for i, (digest, number, weight) in enumerate(events)]
    told = events + [e for e in events if rng.random() < 0.5]
    rng.shuffle(told)
    known = suspects.Suspects()
    _tell(known, told)
    assert set(known.poison_requests) == _oracle(events)


@pytest.mark.parametrize('entries, replicas, seed', [(9, 6, 1), (9, 6, 2),
                                                     (87, 45, 3), (195, 50, 4)])
def test_many_entries_know_a_guilty_request_in_time(entries, replicas, seed):
    """Replicas that go on crashing as each entry finds out by itself."""
    site = crashing.Site(entries, replicas, seed)
    for i in range(40):
        site.loop.call_later(1.0 + 0.45 * i,
                             lambda: site.submit(b'guilty', 0.0, poison=True))
    for i in range(400):
        site.loop.call_later(0.05 * i, lambda i=i: site.submit(b'%d' % i, 0.4))
    site.loop.run(25.0)
    late = [
        at for at in site.poison_runs if at > site.poison_runs[2] + CONTACT_S
    ]
    assert len(late) <= MOST_AFTER, site.poison_runs
    assert not site.good_outcomes['refused'], site.good_outcomes


@pytest.mark.parametrize('entries, replicas, seed', [(9, 8, 1), (87, 45, 2),
                                                     (195, 50, 3)])
def test_bursts_of_crashes_shut_out_no_good_request(entries, replicas, seed):
    """Good requests refused after a quarter of the replicas crashed, thrice."""
    site = crashing.Site(entries, replicas, seed)

    def burst():
        for replica in site.rng.sample(site.live_replicas(), replicas // 4):
            site.crash(replica)

    for at in (3.0, 3.4, 3.8):
        site.loop.call_later(at, burst)
    for i in range(600):
        site.loop.call_later(0.01 * i, lambda i=i: site.submit(b'%d' % i, 0.5))
    site.loop.run(20.0)
    blamed = [e.crashes.suspects.poison_requests for e in site.entries]
    assert not any(blamed), blamed
    assert not site.good_outcomes['refused'], site.good_outcomes
    assert site.good_outcomes['served'] > 500, site.good_outcomes


def test_an_entry_that_starts_asks_the_others():
    """A guilty request sent again by each entry that is replaced."""
    site = crashing.Site(9, 6, 5)
    for i in range(8):
        site.loop.call_later(0.5 * i,
                             lambda: site.submit(b'guilty', 0.0, poison=True))
    site.loop.run(10.0)
    site.entries[0].start()
    site.loop.run(10.0 + 3 * site.heartbeat_s +
                  crashing.crashes.MIN_QUERY_PAUSE_S)
    assert site.entries[0].crashes.suspects.is_blocked(b'guilty', site.loop.now)


@pytest.mark.parametrize('copies', [2, 3, 5])
def test_copies_that_come_at_once_are_known_in_time(copies):
    """Replicas lost to several callers that send the same at the same time."""
    site = crashing.Site(9, 8, copies)
    for i in range(8):
        for _ in range(copies):
            site.loop.call_later(
                1.0 + 4.0 * i, lambda: site.submit(b'guilty', 0.0, poison=True))
    site.loop.run(40.0)
    late = [
        at for at in site.poison_runs if at > site.poison_runs[2] + CONTACT_S
    ]
    assert len(late) <= MOST_AFTER, site.poison_runs


def test_what_is_sent_as_its_replica_ends_speaks_less():
    """A good request blamed as it came from one end of a burst to the next."""
    run = crashes.BrokenRun(b'x',
                            sent_at=1.0,
                            first_event_at=None,
                            after_broken_run=True)
    assert run.weight(1.01) is OLD
    assert run.weight(1.5) is YOUNG
    assert run._replace(after_broken_run=False).weight(1.01) is YOUNG


def test_who_saw_part_of_what_blames_has_it_kept():
    """Three more replicas lost after a restart of all, as nobody wrote it."""
    site = crashing.Site(9, 6, 6, lost=0.0)
    kept = []
    for entry in site.entries:
        entry.crashes.on_poison_request = kept.append
    # Each of three entries sees one crash, and none hears of the others' first.
    for entry in site.entries[:3]:
        replica = site.live_replicas()[0]
        run = crashes.BrokenRun(b'x', sent_at=-1.0, first_event_at=None)
        replica.up = False
        entry.crashes.handle_broken_run(replica, run, lambda: None)
    site.loop.run(3 * site.heartbeat_s)
    assert kept and set(kept) == {b'x'}
    assert all(e.crashes.suspects.is_blocked(b'x', 2.0) for e in site.entries)
