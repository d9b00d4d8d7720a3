"""Following a topic through a store that fails, against the true records."""

from unittest import mock

import stores
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import freshness
from gorsefall.relay import topic

PACE = topic.ReadPace(pause_s=0.1)

_FAULTS = st.lists(st.sampled_from(['ok', 'late', 'lost', 'busy']), max_size=30)
_STEPS = st.lists(st.tuples(
    st.sampled_from(['put', 'series', 'drop', 'forget', 'wait']),
    st.sampled_from('abcde'), st.floats(0.0, 1.5)),
                  max_size=40)


@given(_FAULTS, _STEPS)
def test_belief_reaches_the_truth_and_never_goes_back(faults, steps):
    """An old configuration in force again, by an answer that came late."""
    loop = stores.Loop()
    store = stores.Store(loop, faults)
    belief = stores.Belief(store)
    truth = {}
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        topic.Follower(loop, store, belief, name='t', pace=PACE).start()
        for i, (what, key, wait_s) in enumerate(steps):
            if what == 'put':
                truth[key] = b'%d' % i
                store.put(key, truth[key])
            elif what == 'series':
                for value in range(2 * stores.READ_RECORDS):
                    truth[key] = b'%d.%d' % (i, value)
                    store.put(key, truth[key])
            elif what == 'drop':
                truth.pop(key, None)
                store.put(key, b'')
            elif what == 'forget':
                store.first = len(store.records)
            loop.run(loop.now + wait_s)
        loop.run(loop.now + 60.0)
    assert belief.newest == truth
    assert belief.confirmed == sorted(belief.confirmed)


def test_a_listing_goes_on_where_it_failed():
    """An entry that never becomes ready beside a store that loses answers."""
    loop = stores.Loop()
    store = stores.Store(loop, ['ok', 'lost'] * 10)
    for key in 'abcdefgh':
        store.put(key, key.encode())
    belief = stores.Belief(store)
    topic.Follower(loop, store, belief, name='t', pace=PACE).start()
    loop.run(10.0)
    assert sorted(belief.newest) == list('abcdefgh')


def test_a_long_answer_is_confirmed_anew_at_once():
    """Requests refused as unproven right after a large change."""
    loop = stores.Loop()
    store = stores.Store(loop, ['ok', 'ok', 'long'])
    store.put('a', b'1')
    belief = stores.Belief(store)
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        topic.Follower(loop,
                       store,
                       belief,
                       name='t',
                       pace=topic.ReadPace(wait_s=1.2)).start()
        loop.run(2.0)
        store.put('a', b'2')
        while belief.newest['a'] != b'2':
            loop.run(loop.now + 0.01)
        loop.run(loop.now + 0.05)
        assert loop.now - belief.confirmed[-1] < 0.1


def test_proof_dates_from_when_the_read_was_sent(monkeypatch):
    """A revoked key let in after a late answer."""
    now = [100.0]
    monkeypatch.setattr(freshness, 'clock', lambda: now[0])
    proof = freshness.Confirmation(4.6)
    assert not proof.is_current()
    sent_at = now[0]
    now[0] += 4.0
    proof.record_read(sent_at)
    assert proof.is_current()
    now[0] += 1.0
    assert not proof.is_current()
    # An older read that is answered afterwards takes nothing back.
    proof.record_read(now[0])
    proof.record_read(sent_at)
    assert proof.is_current()
