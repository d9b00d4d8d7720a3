"""Rate limits that replicas announce: requests per second from all entries.

Only a few entries send to a replica with a limit. With hundreds of entries, one
request from each of them would already exceed it. Every entry computes from the
live entries that it has observed which of them may send.
"""

import dataclasses

from gorsefall.policy import rendezvous

USED_SHARE = 0.8
"""Used share of a limit. The rest is a margin: entries that do not receive each
other's status for a while compute different senders, and together they may
exceed the limit."""

MAX_BURST_REQUESTS = 2.0
"""Maximum burst of an entry after a pause, requests. ``MAX_BURST_S`` may allow
more."""

URGENT_RESERVE = 0.5
"""Part of a request that less urgent requests leave in the token bucket, so
that the next request of the most urgent rank waits only half as long."""

MAX_BURST_S = 0.5
"""Maximum burst of an entry as a time at its rate, s."""

MIN_PER_S = 0.05
"""Minimum rate at which requests are sent to a replica, per second. With an
announced limit of 0 it would get none, and only its responses show that the
limit has been lifted."""

MIN_BUSY_RATIO = 4.0
"""Least demand of an entry, relative to that of an average sender, with which
it sends to all replicas."""

PER_SENDER_PER_S = 1.0
"""Part of a limit for which there is one sender, requests per second."""


def own_share(replica, own, shares, per_s):
    """Returns the share of a limit that an entry may use, 0 to 1.

    Args:
        replica: The replica's id.
        own: Name of the entry.
        shares: ``name -> share`` of the demand of all entries.
        per_s: The limit, requests per second.
    """
    sending = senders(replica, shares, per_s)
    if own not in sending:
        return 0.0
    return shares[own] / sum(shares[name] for name in sending)


def senders(replica, shares, per_s):
    """Returns the entries that may send to a replica with a limit, a set.

    They are those whose share of the demand is worth a sender, and as many
    others as the limit bears.

    Args:
        replica: The replica's id.
        shares: ``name -> share`` of the demand of all entries.
        per_s: The limit, requests per second.
    """
    count = max(1, min(len(shares), int(per_s / PER_SENDER_PER_S)))
    chosen = rendezvous.top(replica.encode(), shares, count)
    busy = [n for n, share in shares.items() if share * count >= MIN_BUSY_RATIO]
    return {*chosen, *busy}


@dataclasses.dataclass
class AnnouncedLimit:
    """The last announced limit of one replica, as a token bucket.

    Attributes:
        per_s: Requests per second from all entries; None for no limit.
        announced_at: When the replica announced it, s (monotonic).
        share: Share of it that this entry may use, 0 to 1.
        available: Requests that this entry may send now.
    """
    per_s: float | None = None
    announced_at: float = float('-inf')
    share: float = 0.0
    available: float = 0.0
    _refilled_at: float = 0.0

    def is_loosened_by(self, per_s):
        """Returns whether a new limit allows more than the current one."""
        return self.per_s is not None and (per_s is None or per_s > self.per_s)

    def update(self, per_s, at):
        """Records the limit in a response; a stale one is ignored.

        Args:
            per_s: Requests per second; None for no limit.
            at: When the replica announced it, s (monotonic).

        Returns:
            True if the limit has changed.
        """
        if at <= self.announced_at:
            return False
        self.announced_at = at
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self.available, self._refilled_at = 0.0, at
        self.per_s = per_s
        return True

    def allows(self, now, *, urgent=True):
        """Returns whether a request may be sent now.

        Args:
            now: Time, s (monotonic).
            urgent: Whether the request has the most urgent rank of its
                service.
        """
        if self.per_s is None:
            return True
        self._refill(now)
        return self.available >= 1.0 + (0.0 if urgent else URGENT_RESERVE)

    def allows_in_s(self, now):
        """Returns the time until a request may be sent, s.

        Returns:
            0 if one may be sent now; None if none may until the entries that
            share the limit change.
        """
        if self.allows(now):
            return 0.0
        return (1.0 - self.available) / self._rate() if self.share else None

    def _rate(self):
        """Returns the requests per second that this entry may send."""
        return USED_SHARE * max(MIN_PER_S, self.per_s) * self.share

    def record_sent(self, now):
        """Records a request that is sent now."""
        if self.per_s is not None:
            self._refill(now)
            self.available -= 1.0

    def _refill(self, now):
        per_s = self._rate()
        refill = per_s * max(0.0, now - self._refilled_at)
        capacity = max(MAX_BURST_REQUESTS, MAX_BURST_S * per_s)
        self.available = min(capacity, self.available + refill)
        self._refilled_at = now
