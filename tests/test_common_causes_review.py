"""Bursts of exits: what merging, keeping and telling them may get wrong."""

import itertools
import random
import types

import pytest

from gorsefall import errors
from gorsefall.emulator import clock
from gorsefall.emulator import crashing
from gorsefall.policy import attempt_timeouts
from gorsefall.policy import crashrecords
from gorsefall.policy import health
from gorsefall.policy import knowledge
from gorsefall.policy import reachability
from gorsefall.policy import recentparts
from gorsefall.policy import stalls
from gorsefall.policy import suspects
from gorsefall.relay import crashreports
from gorsefall.relay import crashstore
from gorsefall.relay import lostversions

YOUNG = crashrecords.CrashWeight.YOUNG
COMMON, BAD = b'common', b'bad'
TOPICS = tuple(b'topic %d' % i for i in range(16))


def _run_crash(book, crash, parts, at, number):
    seen = dict.fromkeys(parts, False)
    seen[b'request %d' % number] = False
    book.record_broken_run(seen, crashrecords.Crash(crash), YOUNG, at)


def _refused(book, prompts, at):
    return [
        p for i, p in enumerate(prompts)
        if book.blocking_cause(frozenset((b'new %d' % i, *p)), at) is not None
    ]


PROMPTS = [(COMMON, topic) for topic in TOPICS]


@pytest.mark.parametrize('count', [200, 300, 600])
def test_a_burst_of_more_exits_than_are_kept_blames_nothing(count):
    """Sound requests are refused after a region is lost: exits that are no
    longer kept count as a burst of their own each."""
    book = suspects.Suspects()
    rng = random.Random(1)
    numbers = itertools.count()
    for i in range(count):
        for _ in range(5):
            _run_crash(book, f'r{i}', (COMMON, rng.choice(TOPICS)),
                       100.0 + 0.00005 * i, next(numbers))
    assert not _refused(book, PROMPTS, 100.1)


def test_a_rare_part_is_not_blamed_once_its_burst_is_no_longer_kept():
    """A part ran at three replicas of one burst; hundreds of later exits that
    have nothing to do with it have it refused."""
    book = suspects.Suspects()
    for i in range(3):
        _run_crash(book, f'r{i}', (BAD,), 100.0 + 0.01 * i, i)
    assert not _refused(book, [(BAD,)], 100.1)
    for i in range(300):
        _run_crash(book, f's{i}', (b'part %d' % i,), 110.0 + i, 10 + i)
    assert not _refused(book, [(BAD,)], 410.1)


def test_the_order_of_two_reports_of_one_crash_makes_no_difference():
    """Two entries draw different conclusions from the same reports, as the one
    keeps the time of the first that came, the other the earlier."""
    crash = crashrecords.Crash
    reports = [(crash('r1'), 100.0), (crash('r2'), 100.15),
               (crash('r2'), 100.05)]
    weights = set()
    for order in itertools.permutations(reports):
        book = suspects.Suspects()
        for c, at in order:
            book.record_crash(BAD, c, YOUNG, at)
        weights.add(book.weight(BAD))
    assert len(weights) == 1, weights


@pytest.mark.parametrize('seed', range(20))
def test_which_crashes_are_kept_does_not_depend_on_their_order(seed):
    """Entries with the same reports have other summaries, and ask each other
    for good."""
    rng = random.Random(seed)
    reports = [(crashrecords.Crash(f'r{b}.{i}'), 100.0 + b + 0.001 * i)
               for b in range(rng.randint(2, 5))
               for i in range(rng.randint(1, 10))]
    kept = set()
    for _ in range(10):
        rng.shuffle(reports)
        book = suspects.Suspects()
        for c, at in reports:
            book.record_crash(BAD, c, YOUNG, at)
        kept.add(frozenset(book.crashes(BAD)))
    assert len(kept) == 1, len(kept)


def test_one_exit_just_before_a_burst_makes_no_two_of_it():
    """An exit that has nothing to do with a burst splits it: each burst then
    counts for two, and two bursts blame what all prompts share."""
    weights = []
    for stray in (False, True):
        book = suspects.Suspects()
        numbers = itertools.count()
        for begin in (100.0, 101.0):
            if stray:
                _run_crash(book, f's{begin}', (COMMON,), begin - 0.05,
                           next(numbers))
            for i in range(8):
                _run_crash(book, f'r{begin}.{i}', (COMMON,), begin + 0.01 * i,
                           next(numbers))
        weights.append(book.weight(COMMON))
        assert not _refused(book, [(COMMON,)], 101.1), weights


class _Survived:
    """No run has gone on at this entry, or one with ``parts`` at ``at``."""

    def __init__(self, parts=(), at=0.0):
        self._parts, self._at = parts, at

    def last(self, part):
        """See ``survivals.Survivals``."""
        return self._at if part in self._parts else float('-inf')

    def is_recent(self, part, at):
        """See ``survivals.Survivals``."""
        return 0 <= at - self.last(part) < 60.0


class _Peers:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send_all(self, message):
        """See ``peers.Peers``."""
        self.sent.append(message)

    def send(self, message, host):
        """See ``peers.Peers``."""
        del host
        self.sent.append(message)


def _reports(book, loop, survived=None):
    reports = crashreports.CrashReports(book, survived or _Survived(),
                                        lambda: loop.now)
    reports.start(_Peers())
    return reports


def test_an_entry_that_starts_blames_nothing_that_the_others_do_not():
    """An entry that starts refuses sound requests that all others serve: it is
    told of a suspect, not of the exits beside it that did not run it."""
    loop = clock.Loop()
    old, new = suspects.Suspects(), suspects.Suspects()
    numbers = itertools.count()
    for begin in (1.0, 2.0, 3.0):
        for i in range(6):
            parts = (BAD,) if i < 2 else (b'own %f %d' % (begin, i),)
            _run_crash(old, f'r{begin}.{i}', parts, begin + 0.01 * i,
                       next(numbers))
    loop.run(4.0)
    teller, told = _reports(old, loop), _reports(new, loop)
    teller.send_suspects('new')
    for message in teller._peers.sent:
        told.handle_suspects(message.run_reports, 'old')
    assert not _refused(old, [(BAD,)], 4.0)
    assert not _refused(new, [(BAD,)], 4.0), (old.weight(BAD), new.weight(BAD))


def test_a_clearing_is_told_also_beside_many_crashes():
    """A status has no room for all reports of a burst; what clears a part is
    left out first, and the part stays refused elsewhere."""
    loop = clock.Loop()
    book = suspects.Suspects()
    reports = _reports(book, loop)
    loop.run(1.0)
    crash = crashrecords.Crash
    reports.record_crash(b'request', reports.describe_parts((COMMON,), 1.0),
                         crash('r0'), YOUNG, 1.0)
    for i in range(100):
        parts = (b'part %d' % i, b'also %d' % i)
        reports.record_crash(b'request %d' % i,
                             reports.describe_parts(parts, 1.0), crash('r1'),
                             YOUNG, 1.0)
    loop.run(1.5)
    reports.record_clearings([COMMON])
    for _ in range(10):
        assert any(r.digest == COMMON and not r.replica
                   for r in reports.recent(loop.now))


def test_a_clearing_does_not_go_round_among_entries():
    """Thousands of messages in a second, and a crash is refuted by a run that
    went on before it: each entry tells a clearing again, a little later."""
    loop = clock.Loop()
    entries = [_reports(suspects.Suspects(), loop) for _ in range(3)]
    for i, at in enumerate((0.5, 1.5, 2.0, 2.5)):
        loop.run(at)
        for entry in entries:
            entry.record_crash(b'request %d' % i,
                               entry.describe_parts((BAD,), at),
                               crashrecords.Crash(f'r{i}'), YOUNG, at)
    # A run went on just before the last three crashes.
    first = entries[0]
    first._book.record_clearing(BAD, 1.45)
    loop.run(2.6)
    to_deliver = [(0, first._clearings([BAD]))]
    for _ in range(100):
        loop.run(loop.now + 0.002)
        delivered, to_deliver = to_deliver, []
        for sender, run_reports in delivered:
            for i, entry in enumerate(entries):
                if i != sender:
                    entry._peers.sent.clear()
                    entry.merge(run_reports)
                    to_deliver += [(i, m.run_reports) for m in entry._peers.sent
                                  ]
    assert not to_deliver
    assert all(len(e._book.crashes(BAD)) == 3 for e in entries)


def test_who_has_seen_a_part_go_on_tells_those_that_blame_it_by_statuses():
    """Three entries report a crash each in their statuses, and all others blame
    the part; the only one at which a run of it went on since says nothing."""
    loop = clock.Loop()
    loop.run(2.0)
    book = suspects.Suspects()
    reports = _reports(book, loop, _Survived((BAD,), 1.9))
    others = [_reports(suspects.Suspects(), loop) for _ in range(3)]
    crashes = [(0.5, 'r0'), (0.8, 'r1'), (1.1, 'r2')]
    for other, (at, name) in zip(others, crashes, strict=True):
        other.record_crash(b'request ' + name.encode(),
                           other.describe_parts((BAD,), at),
                           crashrecords.Crash(name), YOUNG, at)
    for sender in others:
        status = sender.recent(loop.now)
        for receiver in others:
            if receiver is not sender:
                receiver.merge(status)
        reports.merge(status)
    told = [r for m in reports._peers.sent for r in m.run_reports]
    told += reports.recent(loop.now)
    assert any(r.digest == BAD and not r.replica for r in told)


def test_sends_of_one_request_count_once_among_the_recent():
    """A part of one request that is parked and sent again looks popular, and is
    tried every few seconds instead of every ten minutes."""
    site = crashing.Site(1, 2, seed=1)
    tracker = site.entries[0].crashes
    for i in range(60):
        tracker.try_begin_run(
            crashrecords.PossibleCauses(b'sound %d' % i, (TOPICS[i % 16],)),
            object())
    poison = crashrecords.PossibleCauses(b'poison', (BAD,))
    for _ in range(10):
        tracker.try_begin_run(poison, poison)
    assert not tracker._recent.is_popular(BAD)


def test_a_refusal_of_an_entry_that_starts_is_not_final():
    """An entry that was just started answers 400 for a part that all others
    call popular, as it has seen too few requests."""
    site = crashing.Site(1, 2, seed=1)
    site.loop.run(10.0)
    tracker = site.entries[0].crashes
    for i in range(3):
        _run_crash(tracker.suspects, f'r{i}', (COMMON,), 1.0 + i, i)
    with pytest.raises(errors.SuspectedPartError):
        tracker.try_begin_run(crashrecords.PossibleCauses(b'new', (COMMON,)),
                              object())


def test_a_sample_holds_no_more_than_it_counts():
    """The sample of the latest requests grows without bound."""
    recent = recentparts.RecentParts()
    for i in range(1000):
        recent.record(
            crashrecords.PossibleCauses(b'request %d' % i, (b'%d' % i, COMMON)))
    assert recent.is_popular(COMMON)
    assert len(recent._counts) <= 2 * recentparts.SAMPLE_REQUESTS


# -- the same class elsewhere --------------------------------------------------


def test_a_restart_of_all_entries_makes_no_crash_count_more():
    """After a restart of all entries a suspect weighs twice as much as before:
    the store holds its crashes, not the exits beside them."""
    loop = clock.Loop()
    book = suspects.Suspects()
    numbers = itertools.count()
    begins = [float(i) for i in range(1, 7)]
    for begin in begins:
        _run_crash(book, f'r{begin}', (BAD,), begin, next(numbers))
        _run_crash(book, f's{begin}', (b'own %f' % begin,), begin + 0.01,
                   next(numbers))
    loop.run(8.0)
    assert _refused(book, [(BAD,)], 8.0)
    value = crashstore.encode(_reports(book, loop).of(BAD), 1_000_000)
    restarted = suspects.Suspects()
    _reports(restarted, loop).merge(crashstore.decode(value, 1_000_000))
    assert restarted.weight(BAD) == book.weight(BAD)
    assert (restarted.blocked_for_s(BAD, 8.0) == book.blocked_for_s(BAD, 8.0))


def test_replicas_that_fail_at_one_moment_leave_more_than_one_to_send_to():
    """All requests go to one replica for half a second, as all failed at one
    moment: the entry was paused, or its paths were lost for a moment."""
    replicas = [health.Health() for _ in range(12)]
    for i, replica in enumerate(replicas):
        replica.record_failure(100.0 + 0.001 * i)
    assert len(health.select_healthy(replicas, 100.1)) > 1


def test_calls_sent_before_a_failure_do_not_prolong_the_ejection():
    """A replica that was paused once is avoided for eight seconds: calls that
    were under way then are given up one after the other, and each counts."""
    replica = health.Health()
    for given_up_at in (100.0, 100.6, 101.7, 103.8):
        replica.record_failure(given_up_at, sent_at=99.9)
    assert replica.eject_until <= 103.8 + health.EJECT_BASE_S


def test_a_pause_of_the_entry_counts_as_one_loss():
    """An entry that was paused for a quarter of a second takes all its links
    for lossy: each of its streams counts the pause."""
    stalled = []
    for streams in (1, 20):
        view = knowledge.ReplicaView(name='e', zone='z', slots=64, engine=True)
        monitors = [stalls.StreamMonitor(view) for _ in range(streams)]
        now = 100.0
        for _ in range(25):
            now += 0.03
            for monitor in monitors:
                monitor.record_events(1, now)
        now += 0.25
        for monitor in monitors:
            monitor.record_events(8, now)
        stalled.append(view.link.stall_probability(50, now))
    assert stalled[1] <= stalled[0], stalled


def test_requests_at_one_paused_replica_count_once_for_the_timeout():
    """A second silence is noticed late, as all requests that waited at the
    first replica made the estimate longer."""
    timeouts = []
    for waiting in (1, 8):
        latency = attempt_timeouts.StartLatency()
        for _ in range(100):
            latency.record(0.1)
        for _ in range(waiting):
            latency.record_abandoned('r', 100.0, 101.2)
        timeouts.append(latency.timeout_s(0.15))
    assert timeouts[1] <= timeouts[0], timeouts


def test_a_replica_that_was_started_again_does_not_show_lost_paths():
    """An entry sends through others although its own paths work: two replicas
    exited at one moment, and one is back when another entry connects to it."""
    paths = reachability.ServicePaths(lambda: 12)
    paths.record_connect('r0', False, 100.0)
    paths.record_connect('r1', False, 100.01)
    # r0 listens again from 101.0 on, and this entry has not tried it since.
    assert not paths.record_elsewhere('r0', True, 101.5)


class _Follower:
    """A follower of a topic whose confirmations are held."""

    def __init__(self):
        self.listener = self
        self.version = 5
        self.held = False
        self.confirmed = []

    def hold_confirmations(self):
        """See ``topiclisteners``."""
        self.held = True

    def release_confirmations(self):
        """Records the version that is confirmed with it."""
        self.held = False
        self.confirmed.append(self.version)

    def learn(self, change_set):
        """Learns a version."""
        self.version = max(self.version, change_set.version)


def test_entries_that_read_the_same_copy_are_one_answer():
    """An entry that starts confirms an older configuration than another one
    knows, and refuses keys that are valid: three entries answered first that
    had all read the same older copy of the store."""
    loop = clock.Loop()
    hosts = [f'h{i}' for i in range(6)]
    asked = []
    lost = lostversions.LostVersions(
        loop, random.Random(1), lambda: hosts,
        lambda query_id, host: asked.append(
            (query_id, host)), lambda host: None)
    follower = _Follower()
    lost.followers = {'configuration': follower}
    lost.inquire()
    query_id = asked[0][0]
    for host, version in zip(hosts, (5, 5, 5, 9, 5, 5), strict=True):
        changes = {'configuration': types.SimpleNamespace(version=version)}
        message = types.SimpleNamespace(query_id=query_id,
                                        topic_changes=changes)
        if lost.is_answer(message, host):
            lost.handle_answer(message, host)
    loop.run(1.0)
    assert follower.confirmed == [9]
