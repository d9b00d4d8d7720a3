"""Stateful fuzzing of the at-most-once ledger against a simple oracle.

Guards against a key that runs twice, and a caller that gets "not run" for a
request that runs later. The rules interleave claims by several entries,
appends whose reply is lost or that take effect late, and entries that pause
between claim and dispatch, give up, crash and restart. The test fails if a
claim is decided before its position in the log is known, or if the claim of an
entry that seems dead is transferred.
"""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from gorsefall import claims

KEYS = ('k1', 'k2')


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Entries that share one log; the oracle counts the runs of each key."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.late = []
        self.entries = [claims.State(1e9) for _ in range(3)]
        self.pending = {}
        self.won = {}
        self.gave_up = {}
        self.runs = dict.fromkeys(KEYS, 0)
        self.reported_not_run = set()
        self.executed = set()
        self.n = 0

    def _rec(self, kind, key, rid):
        return claims.Record(kind=kind, key=key, rid=rid, at=float(self.n))

    @stateful.rule(e=st.integers(0, 2),
                   key=st.sampled_from(KEYS),
                   takes_effect=st.sampled_from(['now', 'late', 'never']))
    def claim(self, e, key, takes_effect):
        self.n += 1
        rid = f'r{self.n}'
        rec = self._rec(claims.RecordKind.CLAIM, key, rid)
        if takes_effect == 'now':
            self.log.append(rec)
        elif takes_effect == 'late':
            self.late.append(rec)
        self.pending[rid] = (e, key)

    @stateful.rule()
    def apply_late_append(self):
        if self.late:
            self.log.append(self.late.pop(0))

    @stateful.rule(e=st.integers(0, 2), limit=st.integers(1, 10))
    def read(self, e, limit):
        state = self.entries[e]
        for off in range(state.offset, min(state.offset + limit,
                                           len(self.log))):
            rec = self.log[off]
            state.apply(off, rec, 0.0)
            if rec.kind is not claims.RecordKind.CLAIM:
                continue
            if rec.rid in self.pending and self.pending[rec.rid][0] == e:
                _, key = self.pending.pop(rec.rid)
                if state.claims[key].rid == rec.rid:
                    self.won[rec.rid] = (e, key)
                else:
                    self.reported_not_run.add(rec.rid)
            elif self.gave_up.pop(rec.rid, None) == e:
                if state.claims[rec.key].rid == rec.rid:
                    self.log.append(
                        self._rec(claims.RecordKind.RELEASE, rec.key, rec.rid))

    @stateful.rule(data=st.data())
    def give_up_waiting(self, data):
        if self.pending:
            rid = data.draw(st.sampled_from(sorted(self.pending)))
            e, _ = self.pending.pop(rid)
            self.gave_up[rid] = e
            self.reported_not_run.add(rid)

    @stateful.rule(data=st.data(), responded=st.booleans())
    def dispatch_after_any_pause(self, data, responded):
        if self.won:
            rid = data.draw(st.sampled_from(sorted(self.won)))
            _, key = self.won.pop(rid)
            self.runs[key] += 1
            self.executed.add(rid)
            if responded:
                self.log.append(self._rec(claims.RecordKind.DONE, key, rid))

    @stateful.rule(data=st.data())
    def release_undispatched(self, data):
        if self.won:
            rid = data.draw(st.sampled_from(sorted(self.won)))
            _, key = self.won.pop(rid)
            self.reported_not_run.add(rid)
            self.log.append(self._rec(claims.RecordKind.RELEASE, key, rid))

    @stateful.rule(e=st.integers(0, 2))
    def crash(self, e):
        self.entries[e] = claims.State(1e9)
        for table in (self.pending, self.won):
            for rid in [r for r, (owner, _) in table.items() if owner == e]:
                del table[rid]
        self.gave_up = {r: o for r, o in self.gave_up.items() if o != e}

    @stateful.invariant()
    def each_key_runs_at_most_once(self):
        assert max(self.runs.values()) <= 1, self.runs

    @stateful.invariant()
    def reported_not_run_has_not_run(self):
        assert not self.reported_not_run & self.executed


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=300,
                               stateful_step_count=50,
                               deadline=None,
                               derandomize=True)


def test_a_key_expires_at_the_same_record_for_all_readers():
    """The key's lifetime is compared with the times in the records."""
    state = claims.State(ttl_s=10.0)
    for off, (rid, at) in enumerate([('r1', 0.0), ('r2', 9.0), ('r3', 11.0)]):
        rec = claims.Record(kind=claims.RecordKind.CLAIM,
                            key='k',
                            rid=rid,
                            at=at)
        state.apply(off, rec, 0.0)
    assert state.claims['k'].rid == 'r3'
    assert state.claims['k'].fence == 2


def test_the_response_is_stored_for_the_claim_that_won():
    state = claims.State(ttl_s=10.0)
    kinds = [(claims.RecordKind.CLAIM, 'r1'), (claims.RecordKind.CLAIM, 'r2'),
             (claims.RecordKind.DONE, 'r2'), (claims.RecordKind.DONE, 'r1'),
             (claims.RecordKind.RELEASE, 'r1')]
    for off, (kind, rid) in enumerate(kinds):
        rec = claims.Record(kind=kind, key='k', rid=rid, status=200, reply={})
        state.apply(off, rec, 0.0)
    assert state.claims['k'].rid == 'r1'
    assert state.claims['k'].status == 200
