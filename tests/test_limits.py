"""The split of limits over entries adds up and is kept while they change."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.policy import limits


@given(entries=st.integers(1, 400),
       limit=st.integers(1, 5000),
       key=st.text(max_size=5))
def test_concurrency_shares_add_up_to_the_limit(entries, limit, key):
    parts = [
        limits.Shares(entries, rank).concurrency(key, limit)
        for rank in range(entries)
    ]
    assert min(parts) >= 1
    assert sum(parts) == max(limit, entries)


def test_a_flapping_entry_count_hands_out_no_fresh_bursts():
    """Symptom: a class far over its rate while the VM list flaps.

    Sequence: the number of live entries alternates at every request.
    Cause it would have: refilling a bucket whenever its rate changes.
    """
    lim = limits.Limits(limits.Shares(entries=2))
    scope = [(('c', 'k'), 10.0, 1000)]
    taken = 0
    for i in range(1000):
        lim.shares.entries = 1 + i % 2
        try:
            lim.admit(scope, i * 0.001, 0.1)
            taken += 1
        except errors.RateLimitedError:
            pass
    assert taken <= 10 + 10 * 1.0, taken


def test_a_refusal_by_one_scope_takes_nothing_from_another():
    """Symptom: a customer's budget shrinks by requests that were refused.

    Sequence: the class has room, the customer has none. Cause it would
    have: taking from the scopes one after the other.
    """
    lim = limits.Limits()
    tight, wide = ('c',), ('c', 'k')
    lim.admit([(wide, 100.0, 10), (tight, 100.0, 1)], 0.0, 0.1)
    with pytest.raises(errors.RateLimitedError) as info:
        lim.admit([(wide, 100.0, 10), (tight, 100.0, 1)], 0.0, 0.25)
    assert info.value.retry_after == 0.25
    assert lim.inflight(wide) == 1
    lim.release([(wide, 100.0, 10), (tight, 100.0, 1)])
    assert lim.inflight(wide) == 0 and lim.inflight(tight) == 0


def test_the_retry_hint_is_when_the_bucket_has_a_request_again():
    lim = limits.Limits()
    lim.admit([(('k',), 0.5, 9)], 0.0, 0.1)
    with pytest.raises(errors.RateLimitedError) as info:
        lim.admit([(('k',), 0.5, 9)], 1.0, 0.1)
    assert info.value.retry_after == pytest.approx(1.0)


def _fleet(n):
    return [limits.Limits(limits.Shares(n, i)) for i in range(n)]


def _tell(fleet, now):
    for me in fleet:
        total = {}
        for peer in fleet:
            if peer is not me:
                for key, inflight, rate in peer.report(now):
                    use = total.setdefault(tuple(key), limits.Usage())
                    use.inflight += inflight
                    use.rate += rate
        me.peer_usage, me.silent_peers = total, 0


@given(entries=st.integers(1, 7),
       limit=st.integers(7, 60),
       moves=st.lists(st.tuples(st.integers(0, 6), st.booleans()),
                      max_size=200))
def test_told_of_each_other_entries_keep_the_limit(entries, limit, moves):
    """Symptom: a class beyond its concurrency limit. Sequence: arrivals and
    ends at any entries, each told of the others. Cause it would have:
    lending the same spare places to more than one entry.
    """
    fleet = _fleet(entries)
    scope = [(('c', 'k'), 1e9, limit)]
    for i, arrive in moves:
        lim = fleet[i % entries]
        _tell(fleet, 0.0)
        if not arrive and lim.inflight(('c', 'k')):
            lim.release(scope)
        elif arrive:
            try:
                lim.admit(scope, 0.0, 0.1)
            except errors.RateLimitedError:
                pass
        # An entry may always take its own part back from a borrower.
        lent = max(
            0,
            max(f.inflight(('c', 'k')) for f in fleet) - limit // entries)
        assert sum(f.inflight(('c', 'k')) for f in fleet) <= limit + lent


def test_demand_at_one_entry_may_use_what_the_others_leave():
    """Symptom: a customer on one kept connection is refused at a seventh of
    its limit. Sequence: all its requests reach one of seven entries. Cause:
    limits split evenly, whatever the demand.
    """
    fleet = _fleet(7)
    admitted = 0
    for i in range(200):
        _tell(fleet, i * 0.001)
        try:
            fleet[0].admit([(('c', 'k'), 1e9, 35)], i * 0.001, 0.1)
            admitted += 1
        except errors.RateLimitedError:
            pass
    assert admitted >= 28, admitted


def test_a_silent_peer_counts_as_using_its_whole_part():
    fleet = _fleet(2)
    _tell(fleet, 0.0)
    fleet[0].silent_peers = 1
    admitted = 0
    for _ in range(20):
        try:
            fleet[0].admit([(('c', 'k'), 1e9, 10)], 0.0, 0.1)
            admitted += 1
        except errors.RateLimitedError:
            pass
    assert admitted == 5
