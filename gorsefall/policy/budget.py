"""How many requests an entry may send a second time.

All entries share one allowance per service: a part of the requests for it
plus a fixed number a window. An entry keeps to the same part of its own
requests, whose sum can never be over the part of all, and of the fixed number
to the part of the traffic that it carries, so nobody has to be asked per retry.
"""

import collections

import msgspec

USED_RATIO_SHARE = 0.7
"""Part of the allowed ratio that is used: requests are counted by when they
arrive, retries come later and may fall into a window with fewer requests."""

MIN_FIXED_RETRIES = 1.0
"""Retries of the fixed number that an entry takes in any case: with little
traffic nothing is seen of the others, and the number is for just that."""

MAX_FIXED_SHARE_ALONE = 1 / 12
"""Largest part of the fixed number that an entry takes which hears no other:
half of what it carries in today's deployments of 6 and 7, as restarted ones
start afresh. With 80 entries this alone would add up to seven times the
number."""


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all entries together may send beyond first tries.

    Attributes:
        ratio: Retries allowed for each request.
        window_s: Window they are counted in, s.
        slack: Retries allowed in a window beside the ratio.
    """
    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 10.0


class Budget:
    """One entry's retries to one service.

    Attributes:
        allowance: The ``Allowance`` of all entries.
    """

    def __init__(self, allowance, part, others=lambda: None):
        """Creates a budget from which nothing is taken.

        Args:
            allowance: The ``Allowance`` of all entries.
            part: The ``traffic_share.TrafficShare`` that it estimates
                by itself.
            others: Returns the requests that the other entries had in the
                window; None while none is heard.
        """
        self._others = others
        self.allowance = allowance
        self._part = part
        self._firsts = collections.deque()
        self._retries = collections.deque()

    def record_first_attempt(self, now):
        """Notes a request's first send at ``now``, s (monotonic)."""
        self._expire(now)
        self._firsts.append(now)

    def first_attempts(self, now):
        """Returns the first sends in the window that ends now."""
        self._expire(now)
        return len(self._firsts)

    def available(self, now):
        """Returns how many more retries may be sent now."""
        self._expire(now)
        a = self.allowance
        allowed = self._fixed() + USED_RATIO_SHARE * a.ratio * len(self._firsts)
        return int(allowed - len(self._retries))

    def _fixed(self):
        """Returns the part of the fixed number that this entry may take.

        When an engine crashes, each of its streams that goes on elsewhere is
        a retry; the least part alone would let most of them break off.
        """
        slack = self.allowance.slack
        others = self._others()
        if others is None:
            fixed = max(MIN_FIXED_RETRIES,
                        USED_RATIO_SHARE * self._part.value * slack)
            return min(MAX_FIXED_SHARE_ALONE * slack, fixed)
        own = len(self._firsts)
        return max(MIN_FIXED_RETRIES,
                   USED_RATIO_SHARE * slack * own / max(1, own + others))

    def acquire(self, now):
        """Takes one retry; returns whether it may be sent."""
        if self.available(now) < 1:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now):
        since = now - self.allowance.window_s
        for times in (self._firsts, self._retries):
            while times and times[0] <= since:
                times.popleft()
