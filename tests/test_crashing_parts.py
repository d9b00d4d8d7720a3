"""Detection of parts of prompts that crash replicas."""

import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.emulator import clock
from gorsefall.emulator import crashing
from gorsefall.policy import crashrecords
from gorsefall.policy import entrystatus
from gorsefall.policy import suspects
from gorsefall.relay import crashes
from gorsefall.relay import crashreports
from gorsefall.relay import messages
from gorsefall.relay import prober
from gorsefall.relay import serializedruns
from gorsefall.relay import survivals
from gorsefall.relay import undecidedexits

YOUNG = crashrecords.CrashWeight.YOUNG
BAD, COMMON, FOLLOWER = b'bad', b'common', b'follower'
TOPICS = tuple(b'topic %d' % i for i in range(8))

KNOWN_CRASHES, CONTACT_S, MAX_LATE_RUNS = 5, 3.0, 3
"""The platform's bound: from that time after so many crashes on, at most so
many requests with a part reach replicas."""

MAX_REFUSED_SHARE = 0.5
"""Most sound requests that may be refused while two parts crash replicas: the
platform's bound."""

SLOTS = 64
"""Requests that a replica runs at once."""

MAX_REPORT_BYTES = 6000
"""Size of the reports in a status, bytes: the rest of one needs up to 2,000."""

SPACING_S, NOW_S = 10.0, 55.0
"""Time between two crashes, and the time after all of them, s."""

PROMPTS = {
    'second':
        lambda i: ((COMMON, BAD), (COMMON, TOPICS[i % 8])),
    'first':
        lambda i: ((BAD, TOPICS[i % 8]), (COMMON, TOPICS[i % 8])),
    'second of several':
        lambda i: ((TOPICS[i % 3], BAD), (TOPICS[i % 3], TOPICS[3 + i % 5])),
    'before a sound part':
        lambda i: ((COMMON, BAD, TOPICS[i % 8]), (COMMON, TOPICS[i % 8])),
    'before the same part':
        lambda i: ((COMMON, BAD, FOLLOWER), (COMMON,
                                             (FOLLOWER, *TOPICS)[i % 9])),
}
"""Shared parts of a prompt that crashes replicas, and of a sound one."""


def _crash(number):
    return crashrecords.Crash(f'r{number}')


def _record(book, number, *digests, survived=()):
    """Records a crash under a run."""
    book.record_broken_run({d: d in survived for d in digests}, _crash(number),
                           YOUNG, SPACING_S * number)


def _is_blocked(book, *digests):
    return book.blocking_cause(frozenset(digests), NOW_S) is not None


def test_a_part_is_blamed_though_no_two_requests_are_alike():
    """Each request with a part that crashes replicas is sent as if it were the
    first."""
    book = suspects.Suspects()
    for i in range(3):
        _record(book, i, b'request %d' % i, COMMON, BAD)
        book.record_clearing(COMMON, SPACING_S * i + 1)
    assert _is_blocked(book, b'another', COMMON, BAD)
    assert not _is_blocked(book, b'another', COMMON)


def test_parts_that_always_come_together_are_blocked_together_only():
    """Sound requests are refused for a part that was always beside the one that
    crashes replicas."""
    book = suspects.Suspects()
    for i in range(3):
        _record(book, i, b'request %d' % i, BAD, FOLLOWER)
    assert _is_blocked(book, b'another', BAD, FOLLOWER)
    assert not _is_blocked(book, b'another', FOLLOWER)
    for i in range(3, 5):
        _record(book, i, b'request %d' % i, BAD, TOPICS[0])
    assert _is_blocked(book, b'another', BAD)
    assert not _is_blocked(book, b'another', FOLLOWER)


def test_a_crash_of_another_cause_does_not_blame_the_common_part():
    """All requests are refused because one more replica crashed by itself."""
    book = suspects.Suspects()
    for i in range(3):
        _record(book, i, b'request %d' % i, COMMON, BAD)
    _record(book, 3, b'sound', COMMON, TOPICS[0])
    assert _is_blocked(book, b'another', COMMON, BAD)
    assert not _is_blocked(book, b'another', COMMON)


def test_a_request_that_is_repeated_does_not_hide_its_part():
    """Crashes explained by a repeated request do not count against its part."""
    book = suspects.Suspects()
    for i in range(3):
        _record(book, i, b'repeated', COMMON, BAD)
    assert not _is_blocked(book, b'another', COMMON, BAD)
    for i in range(3, 5):
        _record(book, i, b'request %d' % i, COMMON, BAD)
    assert _is_blocked(book, b'another', COMMON, BAD)


def test_parts_of_which_runs_went_on_before_count_less():
    """Parts that all prompts share are blamed after a few crashes in a row."""
    book = suspects.Suspects()
    for i in range(5):
        _record(book, i, b'request %d' % i, COMMON, survived=(COMMON,))
    assert not _is_blocked(book, b'another', COMMON)
    _record(book, 5, b'request 5', COMMON, survived=(COMMON,))
    assert _is_blocked(book, b'another', COMMON)


def test_a_later_crash_blocks_anew_however_many_there_were():
    """After a dozen crashes, one more is not recorded, and the part is sent
    again and again."""
    book = suspects.Suspects()
    at = 0.0
    for i in range(2 * suspects.MAX_CRASHES_PER_SUSPECT):
        assert not book.is_blocked(b'x', at)
        book.record_crash(b'x', _crash(i), YOUNG, at)
        if i >= 2:
            assert book.is_blocked(b'x', at + 1)
            at += suspects.BLOCK_S * 2**suspects.MAX_DOUBLINGS
        at += 1.0


_RUNS = st.lists(st.tuples(
    st.integers(0, 6),
    st.frozensets(st.sampled_from([b'a', b'b', b'c', b'd']), min_size=1),
    st.sampled_from(list(crashrecords.CrashWeight)), st.booleans()),
                 max_size=16)


@given(_RUNS, st.randoms(use_true_random=False))
def test_entries_agree_on_parts_whatever_the_order_of_reports(runs, rng):
    """Entries disagree for good after repeated and reordered messages."""
    books = []
    for _ in range(2):
        book = suspects.Suspects()
        shuffled = runs + [r for r in runs if rng.random() < 0.5]
        rng.shuffle(shuffled)
        for number, digests, weight, survived in shuffled:
            book.record_broken_run(dict.fromkeys(digests, survived),
                                   _crash(number), weight, 100.0 * number)
        books.append(book)
    assert set(books[0].causes) == set(books[1].causes)
    assert books[0].summary == books[1].summary


@given(_RUNS)
def test_no_crash_free_request_is_blocked(runs):
    """A request is refused though each part of it ran without a crash."""
    book = suspects.Suspects()
    for number, digests, weight, survived in runs:
        book.record_broken_run(dict.fromkeys(digests, survived), _crash(number),
                               weight, 100.0 * number)
    crashed = {d for _, digests, _, _ in runs for d in digests}
    for cause in book.causes:
        assert cause.combination <= crashed
        assert any(cause.combination <= digests for _, digests, _, _ in runs)
    for digest in crashed:
        book.record_clearing(digest, 10_000.0)
    assert not book.causes


def test_requests_with_many_parts_of_their_own_do_not_hide_a_part():
    """A caller has a part that crashes replicas forgotten, or kept out of all
    messages, by prompts of many parts that nobody else has."""
    loop = clock.Loop()
    reporting = suspects.Suspects()
    nothing = types.SimpleNamespace(last=lambda part: float('-inf'),
                                    is_recent=lambda part, at: False)
    reports = crashreports.CrashReports(reporting, nothing, lambda: loop.now)
    other = suspects.Suspects()
    merging = crashreports.CrashReports(other, nothing, lambda: loop.now)
    for i in range(4):
        loop.run(10.0 * i + 10)
        for j in range(SLOTS):
            parts = [
                b'%d %d %d' % (i, j, k)
                for k in range(crashrecords.MAX_PARTS_PER_REQUEST)
            ]
            if j == SLOTS // 2:
                parts = [COMMON, BAD]
            reports.record_crash(b'request %d %d' % (i, j),
                                 reports.describe_parts(parts, loop.now),
                                 _crash(i), YOUNG, loop.now)
        for _ in range(12):
            loop.run(loop.now + 0.5)
            sent = reports.recent(loop.now)
            size = len(messages.encode(messages.Suspects(sent)))
            assert size <= MAX_REPORT_BYTES
            merging.merge(sent)
    assert len(reporting) <= suspects.MAX_SUSPECTS
    for book in (reporting, other):
        cause = book.blocking_cause(frozenset((b'x', COMMON, BAD)), loop.now)
        assert cause is not None and BAD in cause.combination


# -- many entries --------------------------------------------------------------


def _submit(site, duration_s, sound_per_s, bad_per_s, layout):
    for i in range(int(duration_s * sound_per_s)):
        site.loop.call_later(
            i / sound_per_s,
            lambda i=i: site.submit(
                b'sound %d' % i, 0.8, parts=PROMPTS[layout](i)[1]))
    for i in range(int((duration_s - 3.0) * bad_per_s)):
        site.loop.call_later(
            3.0 + i / bad_per_s,
            lambda i=i: site.submit(
                b'bad %d' % i, 0.0, parts=PROMPTS[layout](i)[0], poison=True))


@pytest.mark.parametrize('layout', PROMPTS)
@pytest.mark.parametrize('entries, replicas, sound_per_s', [(7, 6, 40),
                                                            (87, 45, 100),
                                                            (195, 50, 100)])
def test_many_entries_block_a_part_in_time(entries, replicas, sound_per_s,
                                           layout):
    """Replicas keep crashing because each entry sees a few of the crashes."""
    site = crashing.Site(entries, replicas, seed=1)
    _submit(site, 16.0, sound_per_s, 3, layout)
    site.loop.run(20.0)
    runs = site.poison_runs
    assert len(runs) >= 3
    known_at = runs[min(len(runs), KNOWN_CRASHES) - 1] + CONTACT_S
    assert sum(at > known_at for at in runs) <= MAX_LATE_RUNS, runs
    assert not site.good_outcomes['refused'], site.good_outcomes


@pytest.mark.parametrize('entries, replicas, loss, cut', [(7, 6, 0.2, 0),
                                                          (7, 12, 0.02, 1),
                                                          (87, 45, 0.2, 3),
                                                          (195, 50, 0.02, 10)])
def test_two_parts_at_once_are_blocked_in_time(entries, replicas, loss, cut):
    """One part hides another one, messages are lost, or an entry hears nothing
    for a while."""
    site = crashing.Site(entries, replicas, seed=4, loss=loss)
    _submit(site, 16.0, 60, 2, 'second')
    for i in range(26):
        site.loop.call_later(
            3.2 + 0.5 * i,
            lambda i=i: site.submit(
                b'other %d' % i, 0.0, parts=(COMMON, b'worse'), poison=True))
    for entry in site.entries[:cut]:
        site.loop.call_later(4.0, entry.start)
    site.loop.run(20.0)
    # Five crashes of each part, and what may still be sent of each.
    known_at = site.poison_runs[2 * KNOWN_CRASHES - 1] if len(
        site.poison_runs) >= 2 * KNOWN_CRASHES else site.poison_runs[-1]
    late = [at for at in site.poison_runs if at > known_at + CONTACT_S]
    assert len(late) <= 2 * MAX_LATE_RUNS, site.poison_runs
    refused = site.good_outcomes['refused'] / site.good_outcomes.total()
    assert refused <= MAX_REFUSED_SHARE, site.good_outcomes


@pytest.mark.parametrize('entries, replicas', [(7, 6), (7, 12), (87, 45),
                                               (195, 50)])
def test_crashes_of_other_causes_blame_no_part(entries, replicas):
    """Sound requests are refused because replicas that crash by themselves ran
    the parts that they share."""
    site = crashing.Site(entries, replicas, seed=2)
    _submit(site, 14.0, 60, 0, 'second')
    for i in range(10):
        site.loop.call_later(
            3.0 + 0.8 * i,
            lambda: site.crash(site.rng.choice(site.live_replicas())))
    site.loop.run(18.0)
    assert not any(e.crashes.suspects.blamed for e in site.entries)
    assert not site.good_outcomes['refused'], site.good_outcomes


def test_one_entry_alone_runs_a_cause_once_more():
    """Each of many entries tries a blocked part again at the same time."""
    site = crashing.Site(9, 6, seed=3, loss=0.0)
    for entry in site.entries:
        for i in range(3):
            _record(entry.crashes.suspects, i, b'request %d' % i, BAD)
    causes = crashrecords.PossibleCauses(b'another', (BAD,))
    for turn in (1, 2, 3):
        site.loop.run(2 * SPACING_S + turn * suspects.BLOCK_S + 1)
        trying = [e for e in site.entries if _may_send(e.crashes, causes)]
        assert len(trying) == 1, turn


def _may_send(tracker, causes):
    try:
        tracker.check(causes)
    except crashes.errors.PoisonRequestError:
        return False
    return True


# -- one entry -----------------------------------------------------------------


def _fleet(*replicas):
    fleet = types.SimpleNamespace(replicas={r.record.id: r for r in replicas})
    fleet.record_exit = lambda replica, at: setattr(replica, 'exited_at', at)
    return fleet


def _replica(name='r1'):
    return crashing.Replica(types.SimpleNamespace(id=name, started_at_ms=0))


class _Run:
    """A run as ``survivals`` uses its attempt."""

    def __init__(self, replica):
        self.replica = replica
        self.went_on = True


@pytest.mark.parametrize(
    'change, survives',
    [(lambda run: None, True),
     (lambda run: setattr(run, 'went_on', False), False),
     (lambda run: setattr(run.replica, 'exited_at', 0.2), False)])
def test_only_a_run_that_goes_on_clears_its_parts(change, survives):
    """A part is cleared by a run that was cancelled, or whose replica crashed
    after its last event."""
    loop, replica = clock.Loop(), _replica()
    survived = []
    memory = survivals.Survivals(loop, _fleet(replica), lambda: loop.now,
                                 lambda causes, exchange: survived.append(1))
    run = _Run(replica)
    memory.watch(run, crashrecords.PossibleCauses(b'x', (BAD,)), None)
    loop.run(0.2)
    change(run)
    loop.run(2.0)
    assert bool(survived) == survives
    assert memory.is_recent(BAD, 2.0) == survives


def test_a_part_cleared_here_is_cleared_at_an_entry_without_runs():
    """An entry that runs nothing of a part blames it by crashes that runs at
    other entries have refuted."""
    loop = clock.Loop()
    loop.run(100.0)
    sent = []
    book = suspects.Suspects()
    memory = types.SimpleNamespace(last=lambda part: 99.0)
    reports = crashreports.CrashReports(book, memory, lambda: loop.now)
    reports.start(
        types.SimpleNamespace(send=lambda message, host: sent.append(message)))
    reports.handle_suspects(
        [entrystatus.RunReport(COMMON, 5000, f'r{i}', 0, 2) for i in range(2)],
        'h')
    assert not book.weight(COMMON)
    (message,) = sent
    assert isinstance(message, messages.Suspects)
    assert [r.digest for r in message.run_reports] == [COMMON]
    assert not message.run_reports[0].replica


def test_requests_behind_a_run_go_on_once_it_has_begun():
    """All requests that share a part wait for one long stream to end."""
    loop = clock.Loop()
    runs = serializedruns.SerializedRuns(loop)
    dispatched = []
    first, second, other = (_Exchange(i, dispatched) for i in range(3))
    assert runs.try_begin({BAD}, first)
    assert not runs.try_begin({BAD, COMMON}, second)
    assert runs.try_begin({FOLLOWER}, other)
    runs.end(first)
    loop.run(1.0)
    assert dispatched == [1]


class _Exchange:
    """An exchange that may be parked."""

    def __init__(self, number, dispatched):
        self.dispatch = lambda: dispatched.append(number)


@pytest.mark.parametrize('suspect, dispatched', [(BAD, [1]), (b'same', [])])
def test_a_run_that_goes_on_frees_others_unless_its_request_is_suspected(
        suspect, dispatched):
    """A request that crashes replicas late in its run is sent to several at
    once."""
    loop, replica = clock.Loop(), _replica()
    tracker = crashes.CrashTracker(loop, None, _fleet(replica),
                                   lambda: loop.now)
    loop.run(100.0)
    for i in range(2):
        _record(tracker.suspects, i, suspect)
    causes = crashrecords.PossibleCauses(b'same', (BAD,))
    found = []
    first, second = (_Exchange(i, found) for i in range(2))
    assert tracker.try_begin_run(causes, first)
    tracker.record_begun_run(_Run(replica), causes, first)
    assert not tracker.try_begin_run(causes, second)
    loop.run(102.0)
    assert found == dispatched


class _Undecided:
    """A replica that could not be probed, and what becomes of it."""

    def __init__(self):
        self.loop = clock.Loop()
        self.replica = _replica()
        self.fleet = _fleet(self.replica)
        self.verdict = prober.Verdict.UNKNOWN
        self.exits = []
        probe = types.SimpleNamespace(
            probe=lambda replica, done: done(self.verdict))
        self.undecided = undecidedexits.UndecidedExits(self.loop, self.fleet,
                                                       probe,
                                                       lambda: self.loop.now)
        self.undecided.add(self.replica, lambda: self.exits.append(1))
        self.loop.run(2.0)

    def is_recorded(self):
        """Returns whether the exit is recorded, once, in the end."""
        assert not self.exits
        self.loop.run(60.0)
        assert len(self.exits) <= 1
        return bool(self.exits)


def test_an_exit_counts_that_shows_later():
    """Crashes are not recorded while all replicas of a service are down."""
    site = _Undecided()
    site.verdict = prober.Verdict.EXITED
    assert site.is_recorded()
    site = _Undecided()
    site.replica.exited_at = 1.0
    assert site.is_recorded()
    site = _Undecided()
    site.verdict = prober.Verdict.ALIVE
    site.loop.run(3.0)
    del site.fleet.replicas['r1']
    assert site.is_recorded()


def test_a_replica_that_lives_or_leaves_has_not_crashed():
    """Sound requests are blamed for replicas that were out of reach only."""
    assert not _Undecided().is_recorded()
    site = _Undecided()
    site.verdict = prober.Verdict.ALIVE
    assert not site.is_recorded()
    site = _Undecided()
    site.replica.is_leaving = True
    site.loop.run(3.0)
    del site.fleet.replicas['r1']
    assert not site.is_recorded()


@pytest.mark.parametrize('later, weight', [(prober.Verdict.EXITED, int(YOUNG)),
                                           (prober.Verdict.ALIVE, 0)])
def test_a_listener_that_closes_last_does_not_hide_a_crash(later, weight):
    """A part crashes replica after replica, as each still accepts a connection
    when its runs have just broken."""
    loop, replica = clock.Loop(), _replica()
    verdicts = [prober.Verdict.ALIVE]
    probe = types.SimpleNamespace(
        probe=lambda replica, done: done(verdicts.pop() if verdicts else later))
    tracker = crashes.CrashTracker(loop, probe, _fleet(replica),
                                   lambda: loop.now)
    run = crashes.BrokenRun(crashrecords.PossibleCauses(b'x', (BAD,)), 0.0, 0.1)
    loop.run(0.2)
    tracker.handle_broken_run(replica, run, lambda: None)
    assert not tracker.suspects.weight(BAD)
    loop.run(5.0)
    assert tracker.suspects.weight(BAD) == weight
