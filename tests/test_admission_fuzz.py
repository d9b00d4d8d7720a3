"""Stateful fuzzing of admission against a simple oracle.

Guards against a higher tier that is shed or waits for a lower one, a starved
class, a lost request and a leaked limit, under any interleaving of arrivals,
completions, withdrawals, time steps and changes of the load of other entries.
Possible causes are a queue rule that depends on the order of arrival, and
bookkeeping that is missed on one of the exit paths.
"""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.policy import admission

CAPACITY = 4
QUEUE = 6
SCOPE = [(('c', 'k'), 1e9, 10**6)]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Admission against an oracle that tracks every ticket."""

    def __init__(self):
        super().__init__()
        self.adm = admission.TierAdmission(CAPACITY, QUEUE)
        self.now = 0.0
        self.n = 0
        self.live = {}
        self.ended = set()

    def _end(self, rid):
        assert rid in self.live, 'ended twice or never admitted'
        del self.live[rid]
        self.ended.add(rid)

    @stateful.rule(tier=st.integers(1, 5),
                   group=st.sampled_from(['a', 'b']),
                   patience=st.sampled_from([0.5, 3.0, float('inf')]))
    def arrive(self, tier, group, patience):
        self.n += 1
        ticket = admission.Ticket(rid=f'r{self.n}',
                                  tier=tier,
                                  arrived=self.now,
                                  deadline=self.now + patience,
                                  group=(group,),
                                  scopes=SCOPE)
        before = self.adm.waiting()
        try:
            verdict, shed = self.adm.arrive(ticket, self.now)
        except errors.ShedError:
            # Refused because of its deadline, or because the queue is full of
            # requests at least as urgent: never while a lower tier is queued.
            if patience == float('inf'):
                assert len(before) >= QUEUE
                assert all(w.tier <= tier for w in before), before
            return
        for victim in shed:
            assert victim.tier > tier, (victim, tier)
            assert victim.tier == max(w.tier for w in before)
            self._end(victim.rid)
        if verdict is admission.Verdict.RUN:
            assert not any(w.priority <= tier for w in before), 'overtook'
        self.live[ticket.rid] = ticket

    @stateful.rule(data=st.data())
    def finish(self, data):
        if not self.live:
            return
        rid = data.draw(st.sampled_from(sorted(self.live)))
        started = self.adm.finish(rid, self.now, 0.1)
        self._end(rid)
        self._check_order(started)

    @stateful.rule(dt=st.floats(0.0, 3.0))
    def tick(self, dt):
        self.now += dt
        for ticket in self.adm.expire(self.now):
            assert ticket.deadline < self.now
            self._end(ticket.rid)
        self._check_order(self.adm.drain(self.now))

    @stateful.rule(n=st.integers(0, 3), known=st.booleans())
    def others_change(self, n, known):
        self.adm.others = [n] * 6 if known else None

    @stateful.rule(entries=st.integers(1, 3))
    def membership_changes(self, entries):
        self.adm.limiter.shares.entries = entries

    @stateful.rule()
    def promote(self):
        silent = {rid: self.live[rid].arrived for rid in self.adm.running}
        oldest = min((t.arrived for t in self.live.values() if not t.promoted),
                     default=self.now)
        promoted = sum(t.promoted for t in self.adm.running.values())
        limit = max(1, int(self.adm.fair_share() * admission.PROMOTED_SHARE))
        start, raised = self.adm.promote(self.now, silent)
        assert promoted + len(start) + len(raised) <= max(limit, promoted)
        if promoted < limit and self.now - oldest >= admission.STARVE_S:
            # The ticket that has waited longest gets the slot, at any tier.
            assert oldest in {t.arrived for t in start + raised}
        for ticket in start + raised:
            assert ticket.priority == admission.TOP_PRIORITY

    def _check_order(self, started):
        for ticket in started:
            for waiting in self.adm.waiting():
                assert ticket.tier <= waiting.tier
                if ticket.tier == waiting.tier:
                    assert (ticket.group != waiting.group or
                            ticket.arrived <= waiting.arrived)

    @stateful.invariant()
    def nothing_lost(self):
        tracked = set(self.adm.running) | {t.rid for t in self.adm.waiting()}
        assert tracked == set(self.live), (tracked, set(self.live))
        assert not tracked & self.ended

    @stateful.invariant()
    def limits_balance(self):
        assert self.adm.limiter.inflight(('c', 'k')) == len(self.live)

    @stateful.invariant()
    def top_tier_never_waits_for_lower_ones(self):
        waiting = [t for t in self.adm.waiting() if t.tier == 1]
        if not waiting or self.adm.limiter.shares.entries > 1:
            return
        top = sum(1 for t in self.adm.running.values() if t.priority == 1)
        assert top >= CAPACITY - 3, 'waits while lower tiers run'


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=150,
                                  stateful_step_count=50,
                                  deadline=None,
                                  derandomize=True)


def test_low_tier_is_served_within_a_bound_under_sustained_top_load():
    """A low class is never served during a long burst.

    Requests of tier 1 arrive faster than the pool can serve them, and requests
    are served by tier alone.
    """
    adm = admission.TierAdmission(2, 1000)
    adm.arrive(admission.Ticket('low', 5, 0.0), 0.0)
    now, n = 0.0, 0
    while 'low' not in adm.running or not adm.running['low'].promoted:
        now += 0.1
        n += 1
        adm.arrive(admission.Ticket(f'top{n}', 1, now), now)
        if 'low' in adm.running:
            adm.promote(now, {'low': 0.0})
        adm.finish(next(r for r in adm.running if r != 'low'), now, 0.1)
        assert now < admission.STARVE_S + 0.5, 'still starved'
    assert adm.running['low'].priority == 1
