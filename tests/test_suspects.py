"""Detection of requests that crash replicas, at one entry and at many."""

import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.emulator import clock
from gorsefall.emulator import crashing
from gorsefall.policy import crashrecords
from gorsefall.policy import replicaexits
from gorsefall.policy import suspects
from gorsefall.relay import crashes
from gorsefall.relay import crashreports
from gorsefall.relay import model
from gorsefall.relay import prober

YOUNG, OLD = crashrecords.CrashWeight.YOUNG, crashrecords.CrashWeight.OLD
CONTACT_S = 5.0
MAX_RUNS_AFTER_CONTACT = 3


def _crash(number):
    return crashrecords.Crash(f'r{number}')


def test_the_third_crash_blocks_a_request():
    """One request crashes one replica after another."""
    tracker = suspects.Suspects()
    for i in range(3):
        assert not tracker.is_blocked(b'x', 10.0 * i)
        tracker.record_crash(b'x', _crash(i), YOUNG, 10.0 * i)
    assert tracker.is_blocked(b'x', 21.0)


def test_a_crash_counts_once_whoever_reports_it():
    """A good request is blocked because several entries saw one crash."""
    tracker = suspects.Suspects()
    for i in range(9):
        tracker.record_crash(b'x', _crash(1), YOUNG, 0.01 * i)
    assert not tracker.is_blocked(b'x', 1.0)


def test_a_completed_run_clears_a_request():
    """A good request is blocked after unrelated crashes over several days."""
    tracker = suspects.Suspects()
    for i in range(9):
        tracker.record_crash(b'x', _crash(i), YOUNG, 10.0 * i)
        tracker.record_clearing(b'x', 10.0 * i + 5)
    assert not tracker.serialized(frozenset((b'x',)))


def test_requests_beside_a_poison_request_are_not_blocked():
    """Good requests are blocked that ran beside a poison request."""
    tracker = suspects.Suspects()
    for i in range(4):
        tracker.record_crash(b'guilty', _crash(i), YOUNG, 10.0 * i)
        if i < 3:
            tracker.record_crash(b'good', _crash(i), YOUNG, 10.0 * i)
    assert tracker.blamed == [b'guilty']


def test_simultaneous_exits_weigh_less():
    """Good requests are blocked by bursts of crashes."""
    tracker = suspects.Suspects()
    for burst in range(3):
        for i in range(12):
            tracker.record_crash(b'%d' % (i if i else 0),
                                 _crash(12 * burst + i), YOUNG,
                                 5.0 * burst + 0.001 * i)
    assert not tracker.blamed


def test_a_burst_under_a_request_at_all_its_replicas_counts_once():
    """A good request is blocked as it ran at both replicas of a burst."""
    tracker = suspects.Suspects()
    bursts = [('p0', 'p1'), ('p2', 'p3'), ('p4', 'p5')]
    ran_at = {'p0', 'p1', 'p3', 'p4'}
    for i, replicas in enumerate(bursts):
        for j, replica in enumerate(replicas):
            crash = crashrecords.Crash(replica)
            at = 10.0 * i + 0.004 * j
            tracker.record_crash(b'beside %d %d' % (i, j), crash, YOUNG, at)
            if replica in ran_at:
                tracker.record_crash(b'good', crash, YOUNG, at)
    assert not tracker.blamed


def test_a_late_report_does_not_put_exits_into_one_burst_for_good():
    """An entry goes on sending a request that all others have blamed, as it was
    told of one crash late, and takes it for one of a burst."""
    tracker = suspects.Suspects()
    for i, at in enumerate((0.052, 5.0, 10.0)):
        tracker.record_crash(b'guilty', _crash(i), YOUNG, at)
    tracker.record_crash(b'beside', _crash(9), YOUNG, 0.146)
    # The report that each status repeats, which took no time now.
    tracker.record_crash(b'guilty', _crash(0), YOUNG, 0.0)
    assert tracker.blamed == [b'guilty']


def test_a_poison_request_is_tried_again_after_its_block_time():
    """A request stays blocked that a new service version can handle."""
    tracker = suspects.Suspects()
    for i in range(3):
        tracker.record_crash(b'x', _crash(i), YOUNG, 10.0 * i)
    later = 20.0 + suspects.BLOCK_S + 1
    assert not tracker.is_blocked(b'x', later)
    tracker.record_crash(b'x', _crash(3), YOUNG, later)
    assert tracker.is_blocked(b'x', later + suspects.BLOCK_S + 1)
    tracker.record_clearing(b'x', later + 2 * suspects.BLOCK_S)
    assert not tracker.blamed


def test_stored_crashes_are_bounded():
    """Memory grows with each crash; the requests with most crashes stay."""
    tracker = suspects.Suspects()
    for i in range(3):
        tracker.record_crash(b'guilty', _crash(i), YOUNG, float(i))
    for i in range(3 * suspects.MAX_SUSPECTS):
        tracker.record_crash(b'%d' % i, _crash(1000 + i % 50), YOUNG, 10.0 + i)
    assert len(tracker) <= suspects.MAX_SUSPECTS
    assert tracker.is_blocked(b'guilty', 20.0)


_EVENTS = st.lists(st.tuples(st.sampled_from([b'a', b'b', b'c']),
                             st.integers(-1, 5), st.sampled_from([YOUNG, OLD])),
                   max_size=14)


def _record(tracker, events):
    for at, (digest, number, weight) in events:
        if number < 0:
            tracker.record_clearing(digest, float(at))
        else:
            tracker.record_crash(digest, _crash(number), weight, float(at))


def _oracle(events):
    """Returns the poison requests, computed from all events at once."""
    completed = {}
    for at, (digest, number, _) in events:
        if number < 0:
            completed[digest] = max(at, completed.get(digest, -1))
    crashes_by_digest = {}
    for at, (digest, number, weight) in events:
        if number >= 0 and at > completed.get(digest, -1):
            known_weight = crashes_by_digest.setdefault(digest,
                                                        {}).get(number, 0)
            crashes_by_digest[digest][number] = max(known_weight, weight)
    poison, explained = set(), set()
    while True:
        weights = {
            digest: sum(w for n, w in found.items() if n not in explained)
            for digest, found in crashes_by_digest.items()
            if digest not in poison
        }
        worst = max(weights, key=lambda d: (weights[d], d), default=None)
        if worst is None or weights[worst] < suspects.BLAME_WEIGHT:
            return poison
        poison.add(worst)
        explained.update(crashes_by_digest[worst])


@given(_EVENTS, st.randoms(use_true_random=False))
def test_entries_agree_whatever_the_order_of_reports(events, rng):
    """Entries disagree for good after repeated and reordered messages."""
    # All reports of a crash have its time, and crashes are far apart in time.
    events = [(100 * number if number >= 0 else 50 + 100 * i, (digest, number,
                                                               weight))
              for i, (digest, number, weight) in enumerate(events)]
    reports = events + [e for e in events if rng.random() < 0.5]
    rng.shuffle(reports)
    tracker = suspects.Suspects()
    _record(tracker, reports)
    assert set(tracker.blamed) == _oracle(events)


@pytest.mark.parametrize('entries, replicas, seed', [(9, 6, 1), (9, 6, 2),
                                                     (87, 45, 3), (195, 50, 4)])
def test_many_entries_block_a_poison_request_in_time(entries, replicas, seed):
    """Replicas keep crashing because each entry detects the cause alone."""
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
    assert len(late) <= MAX_RUNS_AFTER_CONTACT, site.poison_runs
    assert not site.good_outcomes['refused'], site.good_outcomes


@pytest.mark.parametrize('entries, replicas, seed', [(9, 8, 1), (87, 45, 2),
                                                     (195, 50, 3)])
def test_bursts_of_crashes_block_no_good_request(entries, replicas, seed):
    """Good requests are refused after three crashes of a quarter of the
    replicas each."""
    site = crashing.Site(entries, replicas, seed)

    def burst():
        for replica in site.rng.sample(site.live_replicas(), replicas // 4):
            site.crash(replica)

    for at in (3.0, 3.4, 3.8):
        site.loop.call_later(at, burst)
    for i in range(600):
        site.loop.call_later(0.01 * i, lambda i=i: site.submit(b'%d' % i, 0.5))
    site.loop.run(20.0)
    blocked = [e.crashes.suspects.blamed for e in site.entries]
    assert not any(blocked), blocked
    assert not site.good_outcomes['refused'], site.good_outcomes
    assert site.good_outcomes['served'] > 500, site.good_outcomes


def test_a_starting_entry_queries_the_others():
    """Each replaced entry sends a poison request once more."""
    site = crashing.Site(9, 6, 5)
    for i in range(8):
        site.loop.call_later(0.5 * i,
                             lambda: site.submit(b'guilty', 0.0, poison=True))
    site.loop.run(10.0)
    site.entries[0].start()
    site.loop.run(10.0 + 3 * site.heartbeat_s + crashreports.MIN_QUERY_PAUSE_S)
    assert site.entries[0].crashes.suspects.is_blocked(b'guilty', site.loop.now)


def _tracker_of(*replicas):
    """Returns a loop, a tracker of ``replicas``, and the probes it asks for."""
    loop = clock.Loop()
    probes = []
    directory = types.SimpleNamespace(
        replicas={r.record.id: r for r in replicas},
        record_exit=lambda replica, at: setattr(replica, 'exited_at', at))
    probe = types.SimpleNamespace(
        probe=lambda replica, done: probes.append(done))
    return loop, crashes.CrashTracker(loop, probe, directory,
                                      lambda: loop.now), probes


def _replica(name):
    return crashing.Replica(
        types.SimpleNamespace(id=name,
                              started_at_ms=0,
                              status=model.ReplicaStatus.READY))


def test_simultaneous_exits_are_recognized_however_late_they_are_probed():
    """Good requests are blocked after bursts of crashes because a busy entry
    sees the crashes of one burst far apart."""
    first, second = _replica('r1'), _replica('r2')
    loop, tracker, probes = _tracker_of(first, second)
    tracker.handle_broken_run(
        first, crashes.BrokenRun(crashrecords.PossibleCauses(b'x'), 0.0, None),
        lambda: None)
    tracker.handle_broken_run(
        second, crashes.BrokenRun(crashrecords.PossibleCauses(b'y'), 0.0, None),
        lambda: None)
    for done in probes:
        loop.run(loop.now + 0.3)
        done(prober.Verdict.EXITED)
    assert tracker.suspects.weight(b'x') == int(OLD)
    assert tracker.suspects.weight(b'y') == int(OLD)


def test_the_exit_of_a_replica_that_announced_it_is_no_crash():
    """Good requests are blocked that ran at replicas as these left."""
    leaving, reported = _replica('r1'), _replica('r2')
    leaving.is_leaving = True
    reported.is_reported_leaving = lambda now: True
    _, tracker, probes = _tracker_of(leaving, reported)
    for replica in (leaving, reported):
        tracker.handle_broken_run(
            replica,
            crashes.BrokenRun(crashrecords.PossibleCauses(b'x'), 0.0, None),
            lambda: None)
    assert not probes


def test_queries_of_all_entries_at_once_do_not_fill_the_link():
    """An entry that all others query at once sends nothing else for a while."""
    sent = []
    peers = types.SimpleNamespace(send=lambda message, host: sent.append(host))
    loop = clock.Loop()
    tracker = crashes.CrashTracker(loop, None, None, lambda: loop.now)
    tracker.start(peers)
    for _ in range(3):
        loop.run(loop.now + crashreports.MIN_RESPONSE_PAUSE_S + 0.01)
        for host in range(86):
            tracker.reports.send_suspects(host)
    assert len(sent) == 3


@pytest.mark.parametrize('copies', [2, 3, 5])
def test_simultaneous_copies_are_blocked_in_time(copies):
    """Several callers that send the same request at once crash replicas."""
    site = crashing.Site(9, 8, copies)
    for i in range(8):
        for _ in range(copies):
            site.loop.call_later(
                1.0 + 4.0 * i, lambda: site.submit(b'guilty', 0.0, poison=True))
    site.loop.run(40.0)
    late = [
        at for at in site.poison_runs if at > site.poison_runs[2] + CONTACT_S
    ]
    assert len(late) <= MAX_RUNS_AFTER_CONTACT, site.poison_runs


def test_an_attempt_during_an_exit_weighs_less():
    """A good request is blocked that was retried from one crashing replica of
    a burst to the next."""
    run = crashes.BrokenRun(crashrecords.PossibleCauses(b'x'),
                            sent_at=1.0,
                            first_event_at=None,
                            after_broken_run=True)
    assert run.weight(1.01) is OLD
    assert run.weight(1.5) is YOUNG
    assert run._replace(after_broken_run=False).weight(1.01) is YOUNG


def test_entries_that_saw_part_of_the_crashes_store_them():
    """A restart of all entries costs three more replicas because no entry has
    stored the poison request."""
    site = crashing.Site(9, 6, 6, loss=0.0)
    stored = []
    for entry in site.entries:
        entry.crashes.on_blamed = (lambda digest, own: stored.append(digest)
                                   if own else None)
    # Each of three entries observes one crash before it receives the others.
    for entry in site.entries[:3]:
        replica = site.live_replicas()[0]
        run = crashes.BrokenRun(crashrecords.PossibleCauses(b'x'),
                                sent_at=-1.0,
                                first_event_at=None)
        replica.up = False
        entry.crashes.handle_broken_run(replica, run, lambda: None)
        # Exits at one moment would be one observation.
        site.loop.run(site.loop.now + 2 * replicaexits.COMMON_CAUSE_S)
    site.loop.run(3 * site.heartbeat_s)
    assert stored and set(stored) == {b'x'}
    assert all(e.crashes.suspects.is_blocked(b'x', 2.0) for e in site.entries)
