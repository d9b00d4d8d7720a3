"""Announced rate limits: kept by all entries together, and lifted again."""

import random
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import announced_limits
from gorsefall.policy import entrystatus
from gorsefall.policy import membership
from gorsefall.relay import demands
from gorsefall.relay import fleet
from gorsefall.relay import messages
from gorsefall.relay import model
from gorsefall.relay import replicalimits

WINDOW_S = 4.0
FACTOR, SPARE = 1.5, 5
"""Factor and number of requests in a window that a replica tolerates beyond its
limit."""

STEP_S = 0.05
DETECTION_S = 2.4
"""Time until entries detect that another one has started or gone, s."""


def _max_in_window(times):
    return max(
        (sum(t <= other < t + WINDOW_S for other in times) for t in times),
        default=0)


class _Entry:
    """An entry that sends to the only replica whenever it may."""

    def __init__(self, name, now):
        self.name = name
        self.since = now
        self.gone_at = float('inf')
        self.limit = announced_limits.AnnouncedLimit()

    def is_observed(self, now):
        """Returns whether the other entries observe it as live."""
        return self.since + DETECTION_S <= now < self.gone_at + DETECTION_S

    def act(self, found, per_s, now):
        """Sends as many requests as it may; returns their number."""
        self.limit.update(per_s, now)
        self.limit.share = 1 / len(found) if self.name in found else 0.0
        sent = 0
        while self.limit.allows(now):
            self.limit.record_sent(now)
            sent += 1
        return sent


def _equal(entries):
    """Returns equal shares of the demand."""
    return {e.name: 1 / len(entries) for e in entries}


@pytest.mark.parametrize('count', [1, 6, 87, 195])
@pytest.mark.parametrize('per_s', [0.3, 1.0, 1.9, 12.0, 150.0])
def test_entries_together_keep_a_limit_as_they_come_and_go(count, per_s):
    """A replica is overloaded because each entry sends it one request."""
    rng = random.Random(count)
    entries = [_Entry(f'e{i}', -10.0) for i in range(count)]
    sent = []
    for step in range(int(30.0 / STEP_S)):
        now = step * STEP_S
        if step % 100 == 50:
            gone = rng.choice([e for e in entries if e.gone_at > now])
            gone.gone_at = now
            entries.append(_Entry(f'n{step}', now))
        known = [e for e in entries if e.is_observed(now)]
        shared = announced_limits.senders('r', _equal(known), per_s)
        for entry in entries:
            if entry.gone_at <= now:
                continue
            found = shared
            if entry not in known:
                found = announced_limits.senders('r', _equal([*known, entry]),
                                                 per_s)
            sent += [now] * entry.act(found, per_s, now)
    assert _max_in_window(sent) <= FACTOR * WINDOW_S * per_s + SPARE
    if per_s >= 1.0:
        assert len(sent) >= 30.0 * per_s / 3


def test_a_limit_that_changes_binds_at_once():
    """A burst accrued under an old limit floods a replica that lowers it."""
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


def test_a_limit_of_zero_is_lifted_again():
    """A replica gets no request ever again after it announced a limit of 0."""
    limit = announced_limits.AnnouncedLimit(share=1.0)
    limit.update(0.0, 0.0)
    assert not limit.allows(1.0)
    assert limit.allows(2.0 / announced_limits.MIN_PER_S)


_ANNOUNCEMENTS = st.lists(st.tuples(st.sampled_from([None, 0.5, 2.0]),
                                    st.integers(0, 50)),
                          min_size=1,
                          max_size=12,
                          unique_by=lambda one: one[1])


@given(_ANNOUNCEMENTS, st.randoms(use_true_random=False))
def test_the_last_announcement_holds_in_any_order(announced, rng):
    """A stale announcement sets or lifts a limit."""
    received = announced + [a for a in announced if rng.random() < 0.5]
    rng.shuffle(received)
    limit = announced_limits.AnnouncedLimit()
    for per_s, at in received:
        limit.update(per_s, float(at))
    assert limit.per_s == max(announced, key=lambda a: a[1])[0]


class _Loop:

    def __init__(self):
        self.now = 100.0

    def call_later(self, delay_s, callback):
        pass


def _tracker(loop, directory, members):
    demand = demands.DemandTracker(members, lambda: loop.now)
    return replicalimits.LimitTracker(loop, directory, members, demand)


def _entry(name):
    replica = types.SimpleNamespace(record=types.SimpleNamespace(
        id='r', service='s', started_at_ms=7),
                                    limit=announced_limits.AnnouncedLimit())
    directory = fleet.Fleet(_Loop())
    directory.replicas['r'] = replica
    loop = _Loop()
    own = _tracker(loop, directory, membership.Members(name))
    return own, replica, loop


def _send_status(source, target, now):
    target.handle_status(
        entrystatus.Status('a', 1, 1, limit_reports=source.recent_reports(now)))


def test_a_limit_and_its_end_are_reported_to_other_entries():
    """Entries flood a replica because only one of them received its limit."""
    one, replica, own_loop = _entry('a')
    other, same, loop = _entry('b')
    one.record_response(replica, 1.5, 99.9)
    _send_status(one, other, 100.0)
    assert same.limit.per_s == 1.5
    own_loop.now = loop.now = 101.0
    one.record_response(replica, None, 100.9)
    _send_status(one, other, 101.0)
    assert same.limit.per_s is None


def _entry_with_replicas(name, count):
    directory = fleet.Fleet(_Loop())
    directory.set_services({'s': model.Service(name='s', max_connections=9)})
    for i in range(count):
        directory.put(
            model.ReplicaRecord(id=f'i-7a0079f9{i:02}',
                                service='s',
                                addr=('127.0.0.1', 1),
                                zone='z',
                                slots=4,
                                status=model.ReplicaStatus.READY,
                                started_at_ms=1764773806123))
    return _tracker(_Loop(), directory, membership.Members(name)), directory


MAX_STATUS_BYTES = 800
"""Size up to which a round of messages to 194 other entries leaves a link of
5 Mbit/s within a quarter of a second, bytes."""


def test_a_status_does_not_grow_with_the_troubles_of_the_deployment():
    """Links of small entries are full of limits and exits that each entry
    repeats in each message, and nothing else gets through."""
    reporters = [_entry_with_replicas(f'e{i}', 49) for i in range(49)]
    for i, (tracker, directory) in enumerate(reporters):
        replica = directory.replicas[f'i-7a0079f9{i:02}']
        tracker.record_response(replica, 1.9, 99.9)
        directory.record_exit(replica, 100.0)
    own, directory = _entry_with_replicas('own', 49)
    for tracker, theirs in reporters:
        status = entrystatus.Status('other',
                                    1,
                                    1,
                                    limit_reports=tracker.recent_reports(100.0),
                                    replica_exits=theirs.recent_exits(100.0))
        own.handle_status(status)
        directory.handle_status(status, 100.0)
    assert all(r.limit.per_s == 1.9 for r in directory.replicas.values())
    size = len(
        messages.encode(
            entrystatus.Status('own',
                               1,
                               1,
                               limit_reports=own.recent_reports(100.0),
                               replica_exits=directory.recent_exits(100.0))))
    assert size <= MAX_STATUS_BYTES


def test_a_late_response_does_not_lift_a_limit():
    """All entries flood a replica that has announced a limit because one of
    them receives an earlier response of it late."""
    one, replica, own_loop = _entry('a')
    other, same, loop = _entry('b')
    one.record_response(replica, 1.5, 99.9)
    own_loop.now = loop.now = 101.0
    one.record_response(replica, None, 99.8)
    one.record_response(replica, 20.0, 99.8)
    _send_status(one, other, 101.0)
    assert replica.limit.per_s == same.limit.per_s == 1.5
    one.record_response(replica, 1.0, 99.8)
    assert replica.limit.per_s == 1.0


_RESPONSES = st.lists(st.tuples(st.integers(0, 20), st.integers(1, 4),
                                st.integers(0, 6)),
                      min_size=1,
                      max_size=12)


@given(_RESPONSES, st.lists(st.sampled_from([None, 0.5, 2.0]), min_size=26))
def test_no_response_raises_a_limit_that_was_announced_after_it(
        responses, limits):
    """Delayed responses raise a limit although a later one was received."""
    tracker, replica, loop = _entry('a')
    events = sorted((sent + run_s + delay_s, sent, sent + run_s)
                    for sent, run_s, delay_s in responses)
    for arrived, sent, made in events:
        before = replica.limit.per_s
        known_at = replica.limit.announced_at
        loop.now = 100.0 + arrived
        tracker.record_response(replica, limits[made], 100.0 + sent)
        if replica.limit.per_s != before and before is not None and (
                replica.limit.per_s is None or replica.limit.per_s > before):
            assert 100.0 + sent > known_at


@pytest.mark.parametrize('heard', [0, 1, 10])
def test_entries_that_hear_few_others_keep_a_limit(heard):
    """Entries whose links are full for some seconds take themselves for the
    only ones, and each of them sends the whole limit."""
    shares = []
    for number in range(87):
        tracker, replica, loop = _entry(f'e{number}')
        others = [i for i in range(87) if i != number]
        tracker.record_response(replica, 1.0, 99.9)
        for seq, names in enumerate([others, others[:heard]], 1):
            loop.now += 5.0
            for i in names:
                tracker._members.record_status(
                    f'10.0.0.{i}', entrystatus.Status(f'e{i}', 1, seq),
                    loop.now)
        tracker.start()
        shares.append(replica.limit.share)
    assert sum(shares) <= 1.0


def test_entries_that_exited_leave_their_part_to_others():
    """A replica gets no requests because most of its limit belongs to entries
    that have exited."""
    tracker, replica, loop = _entry('own')
    tracker.record_response(replica, 1.0, 99.9)
    for i in range(5):
        tracker._members.record_status(f'10.0.0.{i}',
                                       entrystatus.Status(f'e{i}', 1, 1), 100.0)
    loop.now = 100.0 + 2 * membership.ADDRESS_TTL_S
    tracker._members.addresses(loop.now)
    tracker.start()
    assert replica.limit.share == 1.0


def test_a_limit_does_not_outlive_its_incarnation():
    """A restarted replica gets no requests because of its earlier limit."""
    one, replica, _ = _entry('a')
    other, same, _ = _entry('b')
    one.record_response(replica, 1.5, 99.9)
    same.record.started_at_ms = 8
    _send_status(one, other, 100.0)
    assert same.limit.per_s is None


def test_the_most_urgent_requests_have_precedence():
    """Less urgent requests use up a limit before urgent ones arrive."""
    limit = announced_limits.AnnouncedLimit(share=1.0)
    limit.update(1.0, 0.0)
    limit.allows(0.0)
    at = 1.0 / announced_limits.USED_SHARE
    assert limit.allows(at) and not limit.allows(at, urgent=False)
    assert limit.allows(2 * at, urgent=False)
    limit.record_sent(2 * at)
    assert limit.allows(2 * at) and not limit.allows(2 * at, urgent=False)
