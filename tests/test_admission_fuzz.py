"""Stateful fuzzing of admission and the catalogue against simple oracles.

Symptom guarded against: a higher tier shed or left waiting for a lower
one, a class starved, a request lost; a catalogue version that goes back
or an accepted change lost. Sequence: any interleaving of arrivals,
finishes, clock steps, duplicated and replayed log records. Cause it would
have: a queue rule or apply rule that depends on arrival order.
"""

import math
import types

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis import stateful

from gorsefall import catalogue
from gorsefall import errors
from gorsefall.policy import admission


def _klass(tier):
    return types.SimpleNamespace(rate_per_s=1e9, concurrency=10**6, tier=tier)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Admission against an oracle that knows every ticket's fate."""

    def __init__(self):
        super().__init__()
        self.adm = admission.Admission(capacity=3, queue_limit=4)
        self.now = 0.0
        self.n = 0
        self.live = {}
        self.fates = {}

    @stateful.rule(tier=st.integers(1, 5))
    def arrive(self, tier):
        self.n += 1
        rid = f'r{self.n}'
        t = admission.Ticket(rid=rid,
                             key=('c', f'k{tier}'),
                             tier=tier,
                             arrived=self.now)
        try:
            _, shed = self.adm.arrive(t, _klass(tier), self.now)
        except errors.ShedError:
            # Refused only when every waiting ticket is of its tier or
            # higher: nothing lower could have been pushed out instead.
            assert all(w.tier <= tier for w in self.adm.waiting())
            self.fates[rid] = 'refused'
            return
        for v in shed:
            assert v.tier > tier, (v, tier)
            self.fates[v.rid] = 'shed'
            del self.live[v.rid]
        self.live[rid] = t

    @stateful.rule(data=st.data())
    def finish(self, data):
        running = sorted(self.adm.running)
        if not running:
            return
        rid = data.draw(st.sampled_from(running))
        started = self.adm.finish(rid, self.now)
        self.fates[rid] = 'served'
        del self.live[rid]
        self._check_order(started)

    def _check_order(self, started):
        # With aging, serving the best effective priority first bounds every
        # wait: a ticket of tier k ranks with tier 1 after (k - 1) * AGING_S.
        def rank(t):
            return t.tier - (self.now - t.arrived) / admission.AGING_S

        for s_ in started:
            for w in self.adm.waiting():
                assert rank(s_) <= rank(w) + 1e-9, (s_, w)

    @stateful.rule(dt=st.floats(0.0, 5.0))
    def tick(self, dt):
        self.now += dt
        self._check_order(self.adm.drain(self.now))

    @stateful.invariant()
    def nothing_lost(self):
        known = set(self.adm.running) | {t.rid for t in self.adm.waiting()}
        assert known == set(self.live), (known, set(self.live))
        assert len(self.adm.running) <= self.adm.capacity

    @stateful.invariant()
    def work_conserving(self):
        if self.adm.waiting():
            assert len(self.adm.running) == self.adm.capacity


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=200,
                                  stateful_step_count=40,
                                  deadline=None)


def test_aging_serves_low_tier_first_after_long_wait():
    """A tier-5 ticket that waited 10 s outranks a fresh tier-1 ticket."""
    adm = admission.Admission(capacity=1, queue_limit=10)
    adm.arrive(admission.Ticket('a', ('c', 'x'), 1, 0.0), _klass(1), 0.0)
    adm.arrive(admission.Ticket('low', ('c', 'y'), 5, 0.0), _klass(5), 0.0)
    adm.arrive(admission.Ticket('hi', ('c', 'z'), 1, 10.0), _klass(1), 10.0)
    started = adm.finish('a', 10.0 + math.ulp(10.0))
    assert [t.rid for t in started] == ['low']


def _change(cid, base, rate):
    doc = {
        'classes': [{
            'owner': 'o',
            'name': 'n',
            'tier': 1,
            'pool': 'p',
            'rate_per_s': rate
        }]
    }
    return {'type': 'change', 'id': cid, 'base': base, 'doc': doc}


class CatalogueMachine(stateful.RuleBasedStateMachine):
    """Readers of one stream against a linear oracle of accepted changes."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.oracle_version = 0
        self.oracle_accepted = []
        self.readers = [catalogue.State() for _ in range(3)]
        self.seen = [0, 0, 0]
        self.n = 0

    @stateful.rule(stale=st.booleans())
    def publish(self, stale):
        self.n += 1
        base = self.oracle_version - 1 if stale and self.oracle_version else (
            self.oracle_version)
        self.log.append(_change(f'c{self.n}', base, float(self.n)))
        if base == self.oracle_version:
            self.oracle_version += 1
            self.oracle_accepted.append(f'c{self.n}')

    @stateful.rule(i=st.integers(0, 2),
                   upto=st.integers(0, 50),
                   replay=st.booleans())
    def read(self, i, upto, replay):
        r = self.readers[i]
        start = 0 if replay else r.offset
        for off in range(start, min(upto, len(self.log))):
            r.apply(off, self.log[off])
            # A duplicate delivery of the same record changes nothing.
            r.apply(off, self.log[off])
        assert r.version >= self.seen[i], 'version went back'
        self.seen[i] = r.version

    @stateful.invariant()
    def agrees_with_oracle(self):
        for r in self.readers:
            accepted = [c for c in self.oracle_accepted if c in r.accepted]
            assert accepted == self.oracle_accepted[:r.version]
            assert r.version <= self.oracle_version


TestCatalogue = CatalogueMachine.TestCase
TestCatalogue.settings = settings(max_examples=200,
                                  stateful_step_count=40,
                                  deadline=None)
