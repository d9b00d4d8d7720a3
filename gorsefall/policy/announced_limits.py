"""Limits that replicas announce: requests a second from all entries together.

Few entries send to a replica with a limit, so that it holds for hundreds of
them too: a part of one request for each would already be more than it takes.
Every entry works out for itself, from whom it hears, which those are.
"""

import dataclasses

from gorsefall.policy import rendezvous

USED_SHARE = 0.8
"""Part of a limit that is used: entries that do not hear of each other for a
while count more senders than there are, or fewer."""

MAX_BURST_REQUESTS = 2.0
"""Requests that an entry may send at once after a pause, if that is more."""

URGENT_RESERVE = 0.5
"""Part of a request that is left for the most urgent: it is saved up twice as
soon again."""

MAX_BURST_S = 0.5
"""The same as time of its part, s."""

MIN_PER_S = 0.05
"""Least rate at which a replica is sent requests, a second: only an answer
tells that its limit is over."""

PER_SENDER_PER_S = 1.0
"""Limit for which one entry sends, requests a second."""


def senders(replica, entries, per_s):
    """Returns the entries that send to a replica with a limit, a list.

    Args:
        replica: The replica's id.
        entries: Objects with a ``name``, this entry's own among them.
        per_s: The limit, requests a second.
    """
    count = max(1, min(len(entries), int(per_s / PER_SENDER_PER_S)))
    return sorted(entries,
                  key=lambda e: rendezvous.rank(replica, e),
                  reverse=True)[:count]


@dataclasses.dataclass
class AnnouncedLimit:
    """What one replica announced last, and what this entry may send it.

    Attributes:
        per_s: Requests a second from all entries; None for no limit.
        heard_at: When that was answered, s (monotonic).
        part: Part of it that is this entry's, 0 to 1.
        saved: Requests that this entry may send now.
    """
    per_s: float | None = None
    announced_at: float = float('-inf')
    share: float = 0.0
    available: float = 0.0
    _counted_at: float = 0.0

    def update(self, per_s, at):
        """Notes what an answer said; returns whether that is a change.

        What comes late says nothing of now.
        """
        if at <= self.announced_at:
            return False
        self.announced_at = at
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self.available, self._counted_at = 0.0, at
        self.per_s = per_s
        return True

    def allows(self, now, *, urgent=True):
        """Returns whether a request may be sent now.

        Args:
            now: Time, s (monotonic).
            urgent: Whether no other is more urgent at its service.
        """
        if self.per_s is None:
            return True
        self._count(now)
        return self.available >= 1.0 + (0.0 if urgent else URGENT_RESERVE)

    def record_sent(self, now):
        """Notes a request that is sent now."""
        if self.per_s is not None:
            self._count(now)
            self.available -= 1.0

    def _count(self, now):
        per_s = USED_SHARE * max(MIN_PER_S, self.per_s) * self.share
        gained = per_s * max(0.0, now - self._counted_at)
        most = max(MAX_BURST_REQUESTS, MAX_BURST_S * per_s)
        self.available = min(most, self.available + gained)
        self._counted_at = now
