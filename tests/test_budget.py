"""The shared retry budget against a plain recount."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import budget

ALLOWANCE = budget.Allowance(ratio=0.2, window_s=10.0, slack=52.0)

_EVENTS = st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 6),
                             st.booleans()),
                   max_size=400)


@given(_EVENTS)
def test_all_entries_together_keep_the_allowance(events):
    """Retry storm.

    Symptom: a service that is slow gets twice its load. Sequence: every
    entry asks again for what is late. Cause: nobody counts over all entries.
    The oracle counts arrivals of seven entries in every sliding window.
    """
    entries = [budget.Budget(ALLOWANCE) for _ in range(7)]
    firsts, retries = collections.deque(), collections.deque()
    now = 0.0
    for wait, i, is_retry in events:
        now += wait
        if is_retry:
            if entries[i].take(now):
                retries.append(now)
        else:
            entries[i].first(now)
            firsts.append(now)
        since = now - ALLOWANCE.window_s
        while firsts and firsts[0] <= since:
            firsts.popleft()
        while retries and retries[0] <= since:
            retries.popleft()
        allowed = ALLOWANCE.ratio * len(firsts) + ALLOWANCE.slack
        # Retries are spaced a window apart from the requests they follow;
        # what an entry grants on its own requests of a window it may still
        # use at that window's end.
        assert len(retries) <= allowed


def test_room_comes_back_with_time():
    """An entry that used its budget may retry again a window later."""
    one = budget.Budget(ALLOWANCE)
    while one.take(0.0):
        pass
    assert one.room(5.0) < 1
    assert one.room(10.1) >= 1
