"""Followers of a store with faults, compared to the store's records."""

from unittest import mock

import stores
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import ids
from gorsefall import metrics
from gorsefall.policy import freshness
from gorsefall.relay import changes
from gorsefall.relay import positions
from gorsefall.relay import topic
from gorsefall.relay import topicfollower

PACE = topic.ReadPace(pause_s=0.1)


def _start(loop, store, observed):
    """Returns a follower that has begun to read."""
    follower = topicfollower.Follower(loop,
                                      store,
                                      observed,
                                      name='t',
                                      pace=PACE)
    follower.start()
    return follower


_FAULTS = st.lists(st.sampled_from(['ok', 'late', 'lost', 'busy']), max_size=30)
_STEPS = st.lists(st.tuples(
    st.sampled_from(['put', 'series', 'drop', 'forget', 'wait', 'early']),
    st.sampled_from('abcde'), st.floats(0.0, 1.5)),
                  max_size=40)


@given(_FAULTS, _STEPS)
def test_observed_state_becomes_current_and_never_reverts(faults, steps):
    """Guards against a late response that restores an old configuration."""
    loop = stores.Loop()
    store = stores.Store(loop, faults)
    observed = stores.ObservedState(store)
    expected = {}
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        follower = _start(loop, store, observed)
        for i, (what, key, wait_s) in enumerate(steps):
            if what == 'put':
                expected[key] = b'%d' % i
                store.put(key, expected[key])
            elif what == 'series':
                for value in range(2 * stores.READ_RECORDS):
                    expected[key] = b'%d.%d' % (i, value)
                    store.put(key, expected[key])
            elif what == 'drop':
                expected.pop(key, None)
                store.put(key, b'')
            elif what == 'forget':
                store.first = len(store.records)
            elif what == 'early':
                follower.read_early()
            loop.run(loop.now + wait_s)
        loop.run(loop.now + 60.0)
    assert observed.newest == expected
    assert observed.confirmed == sorted(observed.confirmed)


def test_an_early_read_does_not_wait_for_a_retry():
    """Requests went by an old list for the pause after a failed read."""
    loop = stores.Loop()
    store = stores.Store(loop, ['ok', 'ok', 'busy'])
    store.put('a', b'1')
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        follower = _start(loop, store, stores.ObservedState(store))
        while not follower.failed_reads:
            loop.run(loop.now + 0.01)
        failed_at = loop.now
        follower.read_early()
        loop.run(loop.now + 0.01)
        assert follower.confirmed_at == failed_at


def test_an_early_read_does_not_wait_for_a_lost_response():
    """Requests went by an old list until a lost response was given up."""
    loop = stores.Loop()
    store = stores.Store(loop, ['ok', 'ok', 'lost'])
    store.put('a', b'1')
    observed = stores.ObservedState(store)
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        follower = _start(loop, store, observed)
        loop.run(0.2)
        lost_at = loop.now
        loop.run(lost_at + topicfollower.PROMPT_READ_S)
        assert follower.confirmed_at < lost_at
        follower.read_early()
        loop.run(loop.now + 0.01)
        assert follower.confirmed_at > lost_at
        loop.run(loop.now + 3.0)
    assert observed.confirmed == sorted(observed.confirmed)


def test_a_snapshot_continues_at_the_page_that_failed():
    """Guards against entries that never become ready.

    If each failure restarted the snapshot, it would not complete with a store
    that loses responses.
    """
    loop = stores.Loop()
    store = stores.Store(loop, ['ok', 'lost'] * 10)
    for key in 'abcdefgh':
        store.put(key, key.encode())
    observed = stores.ObservedState(store)
    _start(loop, store, observed)
    loop.run(10.0)
    assert sorted(observed.newest) == list('abcdefgh')


def test_a_read_follows_a_slow_response_at_once():
    """Guards against refused requests right after a large change.

    A slow response confirms only the state of when it was requested.
    """
    loop = stores.Loop()
    store = stores.Store(loop, ['ok', 'ok', 'long'])
    store.put('a', b'1')
    observed = stores.ObservedState(store)
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        topicfollower.Follower(loop,
                               store,
                               observed,
                               name='t',
                               pace=topic.ReadPace(wait_s=1.2)).start()
        loop.run(2.0)
        store.put('a', b'2')
        while observed.newest['a'] != b'2':
            loop.run(loop.now + 0.01)
        loop.run(loop.now + 0.05)
        assert loop.now - observed.confirmed[-1] < 0.1


class _HeldSource(topic.Source):
    """Keeps the callbacks of reads, which the test calls itself."""

    def __init__(self):
        self.snapshots = []
        self.reads = []
        self.waits_s = []

    def read_snapshot(self, after, silence_s, done):
        self.snapshots.append(done)

    def read(self, offset, wait_s, max_kb, silence_s, done, *, on_large=None):
        self.reads.append(done)
        self.waits_s.append(wait_s)


def _passive_follower():
    """Returns a follower that is at offset 1, its source and its values."""
    source, values = _HeldSource(), []
    listener = topic.Listener()
    listener.on_record = lambda record: values.append(record.value)
    follower = topicfollower.Follower(stores.Loop(),
                                      source,
                                      listener,
                                      name='t',
                                      max_kb=1)
    follower.set_continuous(False)
    follower.start()
    source.snapshots.pop()(topic.SnapshotPage([], False, 1), None)
    return follower, source, values


def test_a_read_continues_when_another_entry_knows_nothing_new():
    """Entries receive a large record in vain, again and again, as others that
    are still reading it confirm the state before it."""
    follower, source, values = _passive_follower()
    follower.read_once()
    follower.apply_changes(freshness.clock(),
                           changes.ChangeSet(0.0, positions.Position(offset=1)))
    source.reads.pop()(topic.Batch([changes.Record('a', b'new', 1)], 2, 2),
                       None)
    assert values == [b'new']
    assert follower.position.offset == 2


def test_superseded_large_records_are_skipped():
    """Entries that missed several large configurations receive each of them."""
    follower, source, _ = _passive_follower()
    follower.read_once()
    large = changes.Record('a', b'x' * 2048, 1)
    source.reads.pop()(topic.Batch([large], 2, 2), None)
    follower.read_once(positions.Position(offset=3))
    assert len(source.reads) == 1
    source.reads.pop()(topic.Batch([large._replace(offset=2)], 3, 3), None)
    follower.read_once(positions.Position(offset=6))
    assert len(source.snapshots) == 1 and not source.reads


def test_the_first_read_of_an_entry_that_begins_to_read_does_not_wait():
    """It waits beyond the end of an older copy, that others have not told it
    of, and has the next version seconds late."""
    follower, source, _ = _passive_follower()
    follower.pace = topic.ReadPace(wait_s=1.0)
    for _ in range(2):
        follower.set_continuous(True)
        source.reads.pop()(topic.Batch([], 1, 1), None)
        source.reads.pop()(topic.Batch([], 1, 1), None)
        follower.set_continuous(True)
        follower.set_continuous(False)
        source.reads.pop()(topic.Batch([], 1, 1), None)
    assert source.waits_s == [0.0, 1.0, 1.0] * 2


def _started_follower():
    """Returns a reading follower at position (1, 5), its source and keys."""
    source, listener = _HeldSource(), topic.Listener()
    listener.confirmed = []
    listener.on_confirmed = listener.confirmed.append
    listener.keys = []
    listener.on_record = lambda record: listener.keys.append(record.key)
    follower = topicfollower.Follower(stores.Loop(), source, listener, name='t')
    follower.start()
    source.snapshots.pop()(topic.SnapshotPage([], False, 5, ids.Era(1)), None)
    return follower, source, listener


def test_the_history_is_shown_before_the_first_return():
    """An engineer on call reads that the store names no history."""
    _started_follower()
    assert metrics.REGISTRY.get_sample_value('gorsefall_store_era') == 1.0


def test_a_read_answered_in_another_history_is_not_applied():
    """The records between the copy's end and the offset that was read from are
    skipped for good."""
    follower, source, listener = _started_follower()
    confirmed = len(listener.confirmed)
    record = changes.Record('b', b'new', 5, era=ids.Era(2))
    source.reads.pop()(topic.Batch([record], 6, 6, ids.Era(2)), None)
    assert listener.keys == [] and len(listener.confirmed) == confirmed
    missed = changes.Record('a', b'missed', 3, era=ids.Era(2))
    source.snapshots.pop()(topic.SnapshotPage([missed, record], False, 6,
                                              ids.Era(2)), None)
    assert follower.position == positions.Position(ids.Era(2), 6)
    assert len(listener.confirmed) == confirmed + 1


def test_pages_of_two_histories_are_not_put_together():
    """A return during a snapshot mixes records of both histories."""
    follower, source, listener = _started_follower()
    record = changes.Record('a', b'1', 3, era=ids.Era(2))
    source.reads.pop()(topic.Batch([], 5, 5, ids.Era(2)), None)
    source.snapshots.pop()(topic.SnapshotPage([record], True, 4, ids.Era(2)),
                           None)
    confirmed = len(listener.confirmed)
    source.snapshots.pop()(topic.SnapshotPage([], False, 3, ids.Era(3)), None)
    assert follower.position.era == 1 and len(listener.confirmed) == confirmed
    follower._loop.run(follower._loop.now + 1.0)
    source.snapshots.pop()(topic.SnapshotPage([], False, 3, ids.Era(3)), None)
    assert follower.position == positions.Position(ids.Era(3), 3)


def test_a_late_answer_of_a_lost_history_confirms_nothing():
    """An old configuration is proven current by a store that is gone."""
    follower, source, listener = _started_follower()
    source.reads.pop()(topic.Batch([], 5, 5, ids.Era(2)), None)
    source.snapshots.pop()(topic.SnapshotPage([], False, 4, ids.Era(2)), None)
    confirmed = len(listener.confirmed)
    late = changes.Record('a', b'late', 4, era=ids.Era(1))
    source.reads.pop()(topic.Batch([late], 5, 5, ids.Era(1)), None)
    source.snapshots.pop()(topic.SnapshotPage([late], False, 5, ids.Era(1)),
                           None)
    assert listener.keys == [] and len(listener.confirmed) == confirmed
    assert follower.position == positions.Position(ids.Era(2), 4)


def test_an_entry_in_a_lost_history_gets_the_difference():
    """All entries read the whole topic from a store that has just come back."""
    recent = changes.RecentChanges()
    recent.reset(positions.Position(1, 10))
    recent.add(changes.Record('a', b'1', 11, era=1))
    recent.end_era(positions.Position(1, 12), positions.Position(2, 8))
    recent.add(changes.Record('b', b'', 8, era=2))
    end = positions.Position(2, 8)

    def since(era, offset):
        return recent.changes_since(positions.Position(era, offset), 0.1, end)

    assert [c.key for c in since(1, 10).changes] == ['a', 'b']
    assert [c.key for c in since(1, 12).changes] == ['b']
    assert since(1, 12).complete
    # It knows what was never read here; only the store can tell it the rest.
    assert not since(1, 13).complete
    assert not since(0, 99).complete


def test_an_entry_within_the_new_history_gets_no_difference_to_the_lost_one():
    """An entry that dropped a replica, as the copy lacks it, asks one that has
    read the copy later, when the replica had written again, and never uses the
    replica again."""
    recent = changes.RecentChanges()
    recent.reset(positions.Position(1, 10))
    recent.end_era(positions.Position(1, 12), positions.Position(2, 8))
    end = positions.Position(2, 9)
    recent.add(changes.Record('later', b'1', 8, era=2))

    def since(era, offset):
        return recent.changes_since(positions.Position(era, offset), 0.1, end)

    assert not since(2, 6).complete
    assert since(2, 8).complete and len(since(2, 8).changes) == 1
    assert since(1, 12).complete
    # The same within a history that has been lost meanwhile.
    recent.end_era(positions.Position(2, 9), positions.Position(3, 2))
    end = positions.Position(3, 2)
    assert not since(2, 6).complete
    assert since(2, 8).complete


def test_a_confirmation_dates_from_when_the_read_was_sent(monkeypatch):
    """Guards against accepting a revoked key after a late response."""
    now = [100.0]
    monkeypatch.setattr(freshness, 'clock', lambda: now[0])
    confirmation = freshness.Confirmation(4.6)
    assert not confirmation.is_current()
    sent_at = now[0]
    now[0] += 4.0
    confirmation.record_read(sent_at)
    assert confirmation.is_current()
    now[0] += 1.0
    assert not confirmation.is_current()
    # The late response of an older read does not revert the confirmation.
    confirmation.record_read(now[0])
    confirmation.record_read(sent_at)
    assert confirmation.is_current()
