"""Requests and parts that only were there as replicas crashed."""

import pytest

from gorsefall import errors
from gorsefall.emulator import clock
from gorsefall.policy import crashrecords
from gorsefall.policy import suspects
from gorsefall.relay import confirmation
from gorsefall.relay import crashes

YOUNG = crashrecords.CrashWeight.YOUNG
PART, REQUEST = b'part', b'request'
CAUSES = {
    'request': (crashrecords.PossibleCauses(REQUEST, ()), REQUEST),
    'part': (crashrecords.PossibleCauses(b'new', (PART,)), PART),
}
"""What is sent once more, and its digest that was there at the crashes."""

SPACINGS_S = (0.5, 1.5, 3.0)
"""Times between two crashes, s."""


def _record(book, number, at, *digests):
    """Records that a replica crashed as it ran a request and parts."""
    book.record_broken_run(dict.fromkeys(digests, False),
                           crashrecords.Crash(f'r{number}'), YOUNG, at)


def _tracker():
    loop = clock.Loop()
    tracker = crashes.CrashTracker(loop, None, None, lambda: loop.now)
    loop.run(100.0)
    return loop, tracker


def _crash(loop, tracker, count, spacing_s, digests_of):
    """Has replicas crash, under ``digests_of(number)`` and another request."""
    for i in range(count):
        loop.run(loop.now + spacing_s)
        for digests in ((b'other %d' % i, b'topic %d' % i), digests_of(i)):
            if digests:
                _record(tracker.suspects, i, loop.now, *digests)


@pytest.mark.parametrize('kind', CAUSES)
@pytest.mark.parametrize('spacing_s', SPACINGS_S)
def test_what_replicas_crash_without_as_often_is_not_refused_for_good(
        kind, spacing_s):
    """A sound request gets 400, as it was there at three of six crashes that
    nothing explains."""
    loop, tracker = _tracker()
    causes, digest = CAUSES[kind]
    _crash(loop, tracker, 6, spacing_s, lambda i: (digest,) if i % 2 else ())
    loop.run(loop.now + confirmation.CONFIRM_S)
    with pytest.raises(errors.SuspectedPartError) as raised:
        tracker.check(causes)
    assert 0 < raised.value.retry_after <= suspects.POPULAR_BLOCK_S
    loop.run(loop.now + suspects.POPULAR_BLOCK_S)
    tracker.check(causes)


@pytest.mark.parametrize('kind', CAUSES)
@pytest.mark.parametrize('spacing_s', SPACINGS_S)
def test_what_most_crashes_show_is_refused_though_others_happen(
        kind, spacing_s):
    """A request that crashes replicas is tried again and again because one
    replica crashed without it."""
    loop, tracker = _tracker()
    causes, digest = CAUSES[kind]
    _crash(loop, tracker, 4, spacing_s, lambda i: (digest,) if i else ())
    loop.run(loop.now + confirmation.CONFIRM_S)
    with pytest.raises(errors.PoisonRequestError):
        tracker.check(causes)
    loop.run(loop.now + suspects.BLOCK_S / 2)
    with pytest.raises(errors.PoisonRequestError):
        tracker.check(causes)


def test_crashes_that_another_cause_explains_raise_no_doubt():
    """Of two parts that crash replicas each is tried again as the other one
    crashes them too."""
    loop, tracker = _tracker()
    parts = (PART, b'second')
    _crash(loop, tracker, 6, 1.5, lambda i: (b'sent %d' % i, parts[i % 2]))
    loop.run(loop.now + confirmation.CONFIRM_S)
    for part in parts:
        with pytest.raises(errors.PoisonRequestError):
            tracker.check(crashrecords.PossibleCauses(b'new', (part,)))


def test_old_crashes_raise_no_doubt():
    """A request that crashes replicas is tried again for crashes of another
    hour."""
    loop, tracker = _tracker()
    _crash(loop, tracker, 6, 1.5, lambda i: ())
    loop.run(loop.now + 2 * suspects.DOUBT_WINDOW_S)
    for i in range(3):
        loop.run(loop.now + 1.5)
        _record(tracker.suspects, 10 + i, loop.now, REQUEST)
    loop.run(loop.now + confirmation.CONFIRM_S)
    with pytest.raises(errors.PoisonRequestError):
        tracker.check(CAUSES['request'][0])


def test_a_cause_with_more_crashes_than_are_kept_is_not_in_doubt():
    """A part that crashes replicas for long is tried every few seconds: its
    crashes that are no longer kept look as if they had come without it."""
    book = suspects.Suspects()
    for i in range(4 * suspects.MAX_CRASHES_PER_SUSPECT):
        _record(book, i, 1.0 + i, b'sent %d' % i, PART)
    assert PART in book.blamed
    assert not book.is_doubtful(PART)


def _crash_beside_others(loop, book, number):
    """Has a replica crash under the part after eight under something else."""
    for i in range(8):
        loop.run(loop.now + 1.5)
        _record(book, f'{number}.{i}', loop.now, b'beside %d %d' % (number, i))
    loop.run(loop.now + 1.5)
    _record(book, f'{number}', loop.now, b'sent %d' % number, PART)


def test_each_failed_trial_of_what_is_in_doubt_delays_the_next():
    """A part that crashes replicas beside other crashes is sent once every
    three seconds."""
    loop, tracker = _tracker()
    book = tracker.suspects
    waits_s = []
    for i in range(6):
        _crash_beside_others(loop, book, i)
        if i >= 2:
            assert book.is_doubtful(PART)
            waits_s.append(book.blocked_for_s(PART, loop.now))
    factor = suspects.POPULAR_BLOCK_FACTOR
    assert waits_s == [suspects.POPULAR_BLOCK_S * factor**n for n in range(4)]


def test_doubt_ends_once_replicas_crash_under_the_cause_only():
    """A part that crashes replicas is tried for good, as others crashed when it
    was found."""
    loop, tracker = _tracker()
    book = tracker.suspects
    for i in range(3):
        _crash_beside_others(loop, book, i)
    assert book.is_doubtful(PART)
    for i in range(2):
        loop.run(loop.now + book.blocked_for_s(PART, loop.now))
        _record(book, f'trial {i}', loop.now, b'trial %d' % i, PART)
    loop.run(loop.now + confirmation.CONFIRM_S)
    with pytest.raises(errors.PoisonRequestError):
        tracker.check(CAUSES['part'][0])
