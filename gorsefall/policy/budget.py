"""Retry budgets: how many requests an entry may send a second time.

All entries share one allowance per service: a ratio of its requests plus a
fixed number per window. An entry applies the ratio to its own requests, so that
the sum of all entries cannot exceed it, and takes a share of the fixed number
in proportion to its traffic. No retry needs a query to other entries.
"""

import collections

import msgspec

USED_RATIO_SHARE = 0.7
"""Used share of the allowed ratio and of the fixed number. Requests are counted
when they arrive; their retries come later, possibly in a window with fewer
requests."""

MIN_FIXED_RETRIES = 1.0
"""Retries of the fixed number that each entry may send in any case: the fixed
number is for services with little traffic, where an entry cannot estimate its
share."""

MAX_FIXED_SHARE_ALONE = 1 / 12
"""Maximum share of the fixed number for an entry that receives no status of
others: half of what an entry carries with 6 or 7 entries, because restarted
entries start with an empty window. With 80 such entries the sum would be seven
times the fixed number."""


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The retries that all entries together may send.

    Attributes:
        ratio: Retries allowed for each request.
        window_s: Length of the counting window, s.
        slack: Retries allowed per window in addition to the ratio.
    """
    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 10.0


class Budget:
    """The retries of one entry at one service.

    Attributes:
        allowance: The ``Allowance`` of all entries.
    """

    def __init__(self, allowance, share, others=lambda: None, began_at=None):
        """Creates an unused budget.

        Args:
            allowance: The ``Allowance`` of all entries.
            share: The ``traffic_share.TrafficShare`` that the entry estimates
                by itself.
            others: Returns the number of first attempts of the other entries
                in the window; None while no other entry is live.
            began_at: When the process of this entry began, s (monotonic); None
                for the first use.
        """
        self._others = others
        self._began_at = began_at
        self.allowance = allowance
        self._share = share
        self._first_attempts = collections.deque()
        self._retries = collections.deque()

    def record_first_attempt(self, now):
        """Records the first attempt of a request at ``now``, s (monotonic)."""
        self._expire(now)
        self._first_attempts.append(now)

    def first_attempts(self, now):
        """Returns the number of first attempts in the window that ends now."""
        self._expire(now)
        return len(self._first_attempts)

    def available(self, now):
        """Returns the number of retries that may be sent now."""
        self._expire(now)
        a = self.allowance
        allowed = self._fixed_share(now) + USED_RATIO_SHARE * a.ratio * len(
            self._first_attempts)
        return int(allowed - len(self._retries))

    def _fixed_share(self, now):
        """Returns this entry's part of the fixed number.

        What an earlier process of this entry has used is not known. So a new
        one takes of its share what accrues in its time, but for
        ``MIN_FIXED_RETRIES``.
        """
        share = self._share_of_fixed()
        age_s = now - self._began_at
        accrued = share * min(1.0, age_s / self.allowance.window_s)
        return max(accrued, min(share, MIN_FIXED_RETRIES))

    def _share_of_fixed(self):
        """Returns this entry's share of the fixed number.

        When an engine crashes, each of its streams that resumes elsewhere is a
        retry; with ``MIN_FIXED_RETRIES`` alone most of them would be lost.
        """
        slack = self.allowance.slack
        others = self._others()
        if others is None:
            fixed = max(MIN_FIXED_RETRIES,
                        USED_RATIO_SHARE * self._share.value * slack)
            return min(MAX_FIXED_SHARE_ALONE * slack, fixed)
        own = len(self._first_attempts)
        return max(MIN_FIXED_RETRIES,
                   USED_RATIO_SHARE * slack * own / max(1, own + others))

    def acquire(self, now):
        """Takes one retry out of the budget; returns False if it is used up."""
        if self.available(now) < 1:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now):
        if self._began_at is None:
            self._began_at = now
        since = now - self.allowance.window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= since:
                times.popleft()
