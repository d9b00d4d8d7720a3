"""Limits that replicas announce: kept by all together, and left again."""

import random
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import announced_limits
from gorsefall.policy import membership
from gorsefall.relay import replicalimits

WINDOW_S = 4.0
FACTOR, SPARE = 1.5, 5
"""What a replica bears beside its limit, in a window."""

STEP_S = 0.05
HEARD_S = 2.4
"""Time until entries hear that another has started or gone, s."""


def _most(times):
    return max(
        (sum(t <= other < t + WINDOW_S for other in times) for t in times),
        default=0)


class _Entry:
    """An entry that sends to the one replica whenever it may."""

    def __init__(self, name, now):
        self.name = name
        self.since = now
        self.gone_at = float('inf')
        self.limit = announced_limits.AnnouncedLimit()

    def believed(self, now):
        """Whether the others believe it there."""
        return self.since + HEARD_S <= now < self.gone_at + HEARD_S

    def act(self, found, per_s, now):
        """Returns how many requests it sends now."""
        self.limit.update(per_s, now)
        self.limit.share = 1 / len(found) if self in found else 0.0
        sent = 0
        while self.limit.allows(now):
            self.limit.record_sent(now)
            sent += 1
        return sent


@pytest.mark.parametrize('count', [1, 6, 87, 195])
@pytest.mark.parametrize('per_s', [0.3, 1.0, 1.9, 12.0, 150.0])
def test_entries_together_keep_a_limit_as_they_come_and_go(count, per_s):
    """A replica in need that each entry sends its own part of a request."""
    rng = random.Random(count)
    entries = [_Entry(f'e{i}', -10.0) for i in range(count)]
    sent = []
    for step in range(int(30.0 / STEP_S)):
        now = step * STEP_S
        if step % 100 == 50:
            gone = rng.choice([e for e in entries if e.gone_at > now])
            gone.gone_at = now
            entries.append(_Entry(f'n{step}', now))
        known = [e for e in entries if e.believed(now)]
        shared = announced_limits.senders('r', known, per_s)
        for entry in entries:
            if entry.gone_at <= now:
                continue
            found = shared
            if entry not in known:
                found = announced_limits.senders('r', [*known, entry], per_s)
            sent += [now] * entry.act(found, per_s, now)
    assert _most(sent) <= FACTOR * WINDOW_S * per_s + SPARE
    if per_s >= 1.0:
        assert len(sent) >= 30.0 * per_s / 3


def test_a_limit_that_changes_binds_at_once():
    """A replica flooded as its limit falls, by what was saved under the old."""
    limit = announced_limits.AnnouncedLimit(share=1.0)
    limit.update(100.0, 0.0)
    assert limit.allows(10.0)
    limit.update(1.0, 10.0)
    sent = 0
    for step in range(80):
        now = 10.0 + step * STEP_S
        if limit.allows(now):
            limit.record_sent(now)
            sent += 1
    assert sent <= FACTOR * WINDOW_S + SPARE


def test_a_limit_of_nothing_is_left_again():
    """A replica that is sent nothing for good after it named a limit of 0."""
    limit = announced_limits.AnnouncedLimit(share=1.0)
    limit.update(0.0, 0.0)
    assert not limit.allows(1.0)
    assert limit.allows(2.0 / announced_limits.MIN_PER_S)


_SAID = st.lists(st.tuples(st.sampled_from([None, 0.5, 2.0]),
                           st.integers(0, 50)),
                 min_size=1,
                 max_size=12,
                 unique_by=lambda said: said[1])


@given(_SAID, st.randoms(use_true_random=False))
def test_the_last_answer_holds_however_it_is_told(said, rng):
    """A limit that stays, or is dropped, by an answer that was overtaken."""
    told = said + [s for s in said if rng.random() < 0.5]
    rng.shuffle(told)
    limit = announced_limits.AnnouncedLimit()
    for per_s, at in told:
        limit.update(per_s, float(at))
    assert limit.per_s == max(said, key=lambda s: s[1])[0]


class _Loop:

    def __init__(self):
        self.now = 100.0

    def call_later(self, delay_s, callback):
        pass


def _entry(name):
    replica = types.SimpleNamespace(record=types.SimpleNamespace(
        id='r', started_at_ms=7),
                                    limit=announced_limits.AnnouncedLimit())
    fleet = types.SimpleNamespace(replicas={'r': replica})
    loop = _Loop()
    own = replicalimits.LimitTracker(loop, fleet, membership.Members(name))
    return own, replica, loop


def _tell(source, target, now):
    target.handle_status(
        membership.Status('a', 1, 1, limit_reports=source.recent_reports(now)))


def test_others_are_told_of_a_limit_and_of_its_end():
    """Entries that flood a replica as only one of them had its answer."""
    one, replica, own_loop = _entry('a')
    other, same, loop = _entry('b')
    one.record_response(replica, 1.5)
    _tell(one, other, 100.0)
    assert same.limit.per_s == 1.5
    own_loop.now = loop.now = 101.0
    one.record_response(replica, None)
    _tell(one, other, 101.0)
    assert same.limit.per_s is None


def test_a_start_of_a_replica_has_no_limit_of_the_one_before():
    """A replica left alone after a restart for what it said before."""
    one, replica, _ = _entry('a')
    other, same, _ = _entry('b')
    one.record_response(replica, 1.5)
    same.record.started_at_ms = 8
    _tell(one, other, 100.0)
    assert same.limit.per_s is None


def test_the_most_urgent_has_the_first_claim():
    """Urgent requests that find what a limit leaves taken by others."""
    limit = announced_limits.AnnouncedLimit(share=1.0)
    limit.update(1.0, 0.0)
    limit.allows(0.0)
    at = 1.0 / announced_limits.USED_SHARE
    assert limit.allows(at) and not limit.allows(at, urgent=False)
    assert limit.allows(2 * at, urgent=False)
    limit.record_sent(2 * at)
    assert limit.allows(2 * at) and not limit.allows(2 * at, urgent=False)
