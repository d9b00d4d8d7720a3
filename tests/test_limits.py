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
