"""Slow start: how much a replica that warms up gets from all entries together.

Only a few entries send to such a replica, the same by the computation of each.
They send evenly: with one saved request at hundreds of entries, a replica that
has just become warm enough to be seen would get all of them in one moment.

In any second the senders together send at most
``(SENDERS_PER_PER_S + USED_SHARE)`` times what the replica bears, and one more.
"""

import dataclasses

from gorsefall.policy import rendezvous

SENDERS_PER_PER_S = 0.5
"""Entries that send to a replica, for each request a second that it bears. Each
of them may have saved one request."""

USED_SHARE = 0.8
"""Used share of what a replica bears. The rest is for entries that are cut off
or have just started, and compute other senders."""

MAX_SAVED_REQUESTS = 1.0
"""Requests that an entry may save up for one replica."""

MAX_WARM_UP_S = 60.0
"""Longest warm-up that is believed, s. A replica that names more by mistake
gets its full share after it."""


def senders(replica, names, per_s):
    """Returns the names of the entries that may send, a list.

    Args:
        replica: The replica's id.
        names: Names of all entries.
        per_s: Requests a second that the replica bears from all of them.
    """
    count = max(1, min(len(names), int(per_s * SENDERS_PER_PER_S)))
    return rendezvous.top(replica.encode(), names, count)


def own_share(replica, own, names, per_s):
    """Returns the share of ``per_s`` that the entry ``own`` may use, 0 to 1.

    Args:
        replica: See ``senders``.
        own: Name of the entry.
        names: See ``senders``.
        per_s: See ``senders``.
    """
    chosen = senders(replica, names, per_s)
    return 1 / len(chosen) if own in chosen else 0.0


@dataclasses.dataclass
class WarmUp:
    """The warm-up of one incarnation of a replica, as a token bucket.

    The clocks of machines differ, so the time left counts from when this entry
    saw the record that names it. It ends no earlier than at the replica.

    Attributes:
        per_s: Requests a second that the replica bears from all entries while
            it warms up; None for no bound.
        until: End of the warm-up, s (monotonic).
        share: Share of ``per_s`` that this entry may use, 0 to 1.
    """
    per_s: float | None = None
    until: float = float('-inf')
    share: float = 0.0
    _number: int | None = None
    _available: float = 0.0
    _refilled_at: float = float('-inf')

    def record(self, left_s, number, now):
        """Records the time left that a record names.

        An older record does not shorten a warm-up. It may lengthen it: numbers
        begin anew if a replica restarts that reports no start time.

        Args:
            left_s: How long the replica goes on warming up, s.
            number: Number of its record.
            now: Time, s (monotonic).

        Returns:
            True if a warm-up has begun.
        """
        if number == self._number:
            return False
        until = now + min(left_s, MAX_WARM_UP_S)
        began = left_s > 0 and now >= self.until
        if self._number is None or number > self._number:
            self._number, self.until = number, until
        else:
            self.until = max(self.until, until)
        if began:
            self._available, self._refilled_at = 0.0, now
        return began

    def binds(self, now):
        """Returns whether the replica is warming up and states a bound."""
        return self.per_s is not None and now < self.until

    def allows(self, now):
        """Returns whether a request may be sent now."""
        return self.allows_in_s(now) <= 0

    def allows_in_s(self, now):
        """Returns the time until a request may be sent, s."""
        if not self.binds(now):
            return 0.0
        self._refill(now)
        left_s = self.until - now
        if self._available >= MAX_SAVED_REQUESTS:
            return 0.0
        if not self.share:
            return left_s
        return min(left_s,
                   (MAX_SAVED_REQUESTS - self._available) / self._rate())

    def record_sent(self, now):
        """Records a request that is sent now."""
        if self.binds(now):
            self._refill(now)
            self._available -= 1.0

    def _rate(self):
        return USED_SHARE * self.per_s * self.share

    def _refill(self, now):
        refill = self._rate() * max(0.0, now - self._refilled_at)
        self._available = min(MAX_SAVED_REQUESTS, self._available + refill)
        self._refilled_at = now
