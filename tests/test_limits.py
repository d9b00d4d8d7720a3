"""Shares of limits add up, and limits are kept while entries change."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.policy import limits


@given(entries=st.integers(1, 400),
       limit=st.integers(1, 5000),
       key=st.text(max_size=5))
def test_concurrency_shares_add_up_to_the_limit(entries, limit, key):
    shares = [
        limits.Shares(entries, rank).concurrency(key, limit)
        for rank in range(entries)
    ]
    assert min(shares) >= 1
    assert sum(shares) == max(limit, entries)


def test_an_alternating_entry_count_allows_no_new_bursts():
    """A class exceeds its rate while the number of live entries alternates.

    That would happen if a bucket were refilled whenever its rate changes.
    """
    lim = limits.Limits(limits.Shares(entries=2))
    scope = [(('c', 'k'), 10.0, 1000)]
    admitted = 0
    for i in range(1000):
        lim.shares.entries = 1 + i % 2
        try:
            lim.admit(scope, i * 0.001, 0.1)
            admitted += 1
        except errors.RateLimitedError:
            pass
    assert admitted <= 10 + 10 * 1.0, admitted


def test_a_refusal_by_one_scope_uses_nothing_of_another():
    """Refused requests use up a limit.

    The class is below its limit and the customer is not. That would happen if
    the scopes were acquired one after the other.
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


def test_retry_after_is_when_the_bucket_has_a_token_again():
    lim = limits.Limits()
    lim.admit([(('k',), 0.5, 9)], 0.0, 0.1)
    with pytest.raises(errors.RateLimitedError) as info:
        lim.admit([(('k',), 0.5, 9)], 1.0, 0.1)
    assert info.value.retry_after == pytest.approx(1.0)


def _fleet(n):
    return [limits.Limits(limits.Shares(n, i)) for i in range(n)]


def _exchange_reports(fleet, now):
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
def test_entries_with_current_reports_keep_the_limit(entries, limit, moves):
    """A class exceeds its concurrency limit, with arrivals and ends at any
    entries and current reports. That would happen if two entries borrowed the
    same unused slots.
    """
    fleet = _fleet(entries)
    scope = [(('c', 'k'), 1e9, limit)]
    for i, arrive in moves:
        lim = fleet[i % entries]
        _exchange_reports(fleet, 0.0)
        if not arrive and lim.inflight(('c', 'k')):
            lim.release(scope)
        elif arrive:
            try:
                lim.admit(scope, 0.0, 0.1)
            except errors.RateLimitedError:
                pass
        # An entry may always use its own share, even if another borrowed it.
        borrowed = max(
            0,
            max(f.inflight(('c', 'k')) for f in fleet) - limit // entries)
        assert sum(f.inflight(('c', 'k')) for f in fleet) <= limit + borrowed


def test_one_entry_may_use_what_the_others_leave_unused():
    """A customer with a single persistent connection is refused at a seventh of
    its limit: all its requests reach one of seven entries, and the limit is
    divided evenly whatever the demand.
    """
    fleet = _fleet(7)
    admitted = 0
    for i in range(200):
        _exchange_reports(fleet, i * 0.001)
        try:
            fleet[0].admit([(('c', 'k'), 1e9, 35)], i * 0.001, 0.1)
            admitted += 1
        except errors.RateLimitedError:
            pass
    assert admitted >= 28, admitted


def test_a_silent_peer_counts_as_using_its_whole_share():
    fleet = _fleet(2)
    _exchange_reports(fleet, 0.0)
    fleet[0].silent_peers = 1
    admitted = 0
    for _ in range(20):
        try:
            fleet[0].admit([(('c', 'k'), 1e9, 10)], 0.0, 0.1)
            admitted += 1
        except errors.RateLimitedError:
            pass
    assert admitted == 5
