"""Following a topic through a store that fails, against the true records."""

import heapq
import itertools
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.policy import freshness
from gorsefall.relay import topic

READ_RECORDS = 3
"""Records that one read holds."""

LONG_S = 4.0
"""How long an answer takes on a slow link, s."""


class Loop:
    """A clock and its timers, without sockets."""

    def __init__(self):
        self.now = 0.0
        self._due = []
        self._count = itertools.count()

    def later(self, delay_s, callback):
        heapq.heappush(self._due,
                       (self.now + delay_s, next(self._count), callback))

    def run(self, until_s):
        while self._due and self._due[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = until_s


class Store(topic.Source):
    """Keeps all records; each answer takes the next fault of a list."""

    def __init__(self, loop, faults):
        self._loop = loop
        self._faults = iter(faults)
        self.records = []
        self.written = []
        self.first = 0

    def put(self, key, value):
        self.records.append(topic.Record(key, value, len(self.records)))
        self.written.append(self._loop.now)

    def _answer(self, make, silence_s, done):
        fault = next(self._faults, 'ok')
        if fault == 'late':
            # True when sent, on its way for long.
            result = make()
            self._loop.later(silence_s * 0.9, lambda: done(result, None))
        elif fault == 'long':
            # Its bytes come one after the other, so it is never silent.
            result = make()
            self._loop.later(LONG_S, lambda: done(result, None))
        elif fault in ('lost', 'busy'):
            after = silence_s if fault == 'lost' else 0.004
            self._loop.later(after,
                             lambda: done(None, errors.StoreError(fault)))
        else:
            self._loop.later(0.004, lambda: done(make(), None))

    def newest(self, after, silence_s, done):

        def make():
            newest = {r.key: r for r in self.records}
            found = sorted(
                r for r in newest.values() if r.value and r.key > after)
            return topic.Newest(found[:2], len(found) > 2, len(self.records))

        self._answer(make, silence_s, done)

    def read(self, offset, wait_s, most_kb, silence_s, done):
        if wait_s and offset >= len(self.records):
            self._loop.later(
                wait_s,
                lambda: self.read(offset, 0.0, most_kb, silence_s, done))
            return
        if offset < self.first:
            self._loop.later(
                0.004,
                lambda: done(None, errors.StoreError('gone', forgotten=True)))
            return
        self._answer(
            lambda: topic.Batch(self.records[offset:offset + READ_RECORDS],
                                min(offset + READ_RECORDS, len(self.records)),
                                len(self.records)), silence_s, done)


class Belief(topic.Listener):
    """What a listener believes; whether it goes backwards or is wrong."""

    def __init__(self, store):
        self._store = store
        self.newest = {}
        self.offsets = {}
        self.confirmed = []

    def on_listing(self, records):
        for key in set(self.newest) - {r.key for r in records}:
            del self.newest[key]
        for record in records:
            self.on_record(record)

    def on_record(self, record):
        assert record.offset >= self.offsets.get(record.key, 0)
        self.offsets[record.key] = record.offset
        if record.value:
            self.newest[record.key] = record.value
        else:
            self.newest.pop(record.key, None)

    def on_confirmed(self, sent_at):
        self.confirmed.append(sent_at)
        then = {
            r.key: r
            for r, at in zip(
                self._store.records, self._store.written, strict=True)
            if at < sent_at
        }
        for key, record in then.items():
            if self.offsets.get(key, -1) < record.offset:
                # A listing leaves out what was dropped by then.
                assert key not in self.newest
                assert self._dropped(key, record.offset)

    def _dropped(self, key, offset):
        return any(
            not r.value for r in self._store.records[offset:] if r.key == key)


_FAULTS = st.lists(st.sampled_from(['ok', 'late', 'lost', 'busy']), max_size=30)
_STEPS = st.lists(st.tuples(
    st.sampled_from(['put', 'series', 'drop', 'forget', 'wait']),
    st.sampled_from('abcde'), st.floats(0.0, 1.5)),
                  max_size=40)


@given(_FAULTS, _STEPS)
def test_belief_reaches_the_truth_and_never_goes_back(faults, steps):
    """Old configuration in force again.

    Symptom: a route that was removed answers once more. Sequence: a read is
    answered late, or the history is forgotten and listed anew, while records
    go on being written. Cause: what came last was taken for the newest.
    """
    loop = Loop()
    store = Store(loop, faults)
    belief = Belief(store)
    truth = {}
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        topic.Follower(loop, store, belief, name='t', pause_s=0.1).start()
        for i, (what, key, wait_s) in enumerate(steps):
            if what == 'put':
                truth[key] = b'%d' % i
                store.put(key, truth[key])
            elif what == 'series':
                for value in range(2 * READ_RECORDS):
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
    """An entry that never becomes ready.

    Symptom: an entry starts beside a store that loses answers and stays
    without replicas. Sequence: the listing has several pages, and one answer
    in two is lost. Cause: each loss began the listing anew.
    """
    loop = Loop()
    store = Store(loop, ['ok', 'lost'] * 10)
    for key in 'abcdefgh':
        store.put(key, key.encode())
    belief = Belief(store)
    topic.Follower(loop, store, belief, name='t', pause_s=0.1).start()
    loop.run(10.0)
    assert sorted(belief.newest) == list('abcdefgh')


def test_a_long_answer_is_confirmed_anew_at_once():
    """Requests refused as unproven right after a change.

    Symptom: an entry on a slow link applies a large configuration and refuses
    requests with a key for as long as its next read waits. Sequence: the
    proof dates from before the transfer, which took nearly as long as a proof
    holds. Cause: the next read waited as after any other.
    """
    loop = Loop()
    store = Store(loop, ['ok', 'ok', 'long'])
    store.put('a', b'1')
    belief = Belief(store)
    with mock.patch.object(freshness, 'clock', lambda: loop.now):
        topic.Follower(loop, store, belief, name='t', wait_s=1.2).start()
        loop.run(2.0)
        store.put('a', b'2')
        while belief.newest['a'] != b'2':
            loop.run(loop.now + 0.01)
        loop.run(loop.now + 0.05)
        assert loop.now - belief.confirmed[-1] < 0.1


def test_proof_dates_from_when_the_read_was_sent(monkeypatch):
    """Revoked key let in after a late answer.

    Symptom: a key works after its bound. Sequence: a read is sent, the key
    is taken away, the answer without that arrives seconds later. Cause: the
    proof was dated from the answer.
    """
    now = [100.0]
    monkeypatch.setattr(freshness, 'clock', lambda: now[0])
    proof = freshness.Proof(4.6)
    assert not proof.valid()
    sent_at = now[0]
    now[0] += 4.0
    proof.confirmed(sent_at)
    assert proof.valid()
    now[0] += 1.0
    assert not proof.valid()
    # An older read that is answered afterwards takes nothing back.
    proof.confirmed(now[0])
    proof.confirmed(sent_at)
    assert proof.valid()
