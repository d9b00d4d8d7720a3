"""What one incarnation of a replica has announced about new requests.

A replica announces in its responses that it is leaving, that it wants no
request from an entry for a while, or how many requests per second it accepts
from all entries. Each holds for every later request to that incarnation,
whatever its record in the store or other entries say. That it warms up is
announced in its record.
"""

import dataclasses
import enum

from gorsefall.policy import announced_limits
from gorsefall.policy import warmups

MAX_PAUSE_S = 3600.0
"""Longest pause that is granted, s. A replica that asks for more by mistake is
used again after it."""

URGENT_LEAD_S = 0.1
"""Time after a pause in which only the most urgent requests are sent, s."""

TRIAL_TIMEOUT_S = 1.0
"""Time after which the first request after a pause counts as lost, s."""


class Refusal(enum.Enum):
    """Why a replica may not receive a request now; the values are logged."""
    LEAVING = 'leaving'
    UNREADABLE = 'unreadable'
    PAUSED = 'paused'
    LIMITED = 'limited'
    BRITTLE = 'brittle'
    WARMING = 'warming'


@dataclasses.dataclass
class Acceptance:
    """The announcements of one incarnation of a replica.

    Attributes:
        limit: Its ``announced_limits.AnnouncedLimit``.
        warm_up: Its ``warmups.WarmUp``.
        leaving: Whether a response announced that it is leaving. This is never
            withdrawn: the next incarnation has its own announcements.
        paused_until: No requests before this time, s (monotonic).
        on_trial: Whether no request was accepted since the last pause. Until
            then requests are sent one at a time, so that the requests of many
            callers do not arrive at once when the pause ends.
    """
    limit: announced_limits.AnnouncedLimit = dataclasses.field(
        default_factory=announced_limits.AnnouncedLimit)
    warm_up: warmups.WarmUp = dataclasses.field(default_factory=warmups.WarmUp)
    leaving: bool = False
    paused_until: float = float('-inf')
    on_trial: bool = False
    _trial_sent_at: float = float('-inf')

    def pause(self, until):
        """Pauses requests; of several pauses the latest end holds.

        Args:
            until: End of the pause, s (monotonic).
        """
        self.paused_until = max(self.paused_until, until)
        self.on_trial = True
        self._trial_sent_at = float('-inf')

    def record_accepted(self, sent_at):
        """Records that a request that was sent at a time, s, was accepted."""
        if sent_at >= self.paused_until:
            self.on_trial = False

    def refusal(self, now, *, urgent=True):
        """Returns the ``Refusal`` of a request now; None if it may be sent.

        Args:
            now: Time, s (monotonic).
            urgent: Whether the request has the most urgent rank of its
                service.
        """
        if self.leaving:
            return Refusal.LEAVING
        if self.on_trial and not self._allows_trial(now, urgent):
            return Refusal.PAUSED
        if not self.limit.allows(now, urgent=urgent):
            return Refusal.LIMITED
        if not self.warm_up.allows(now):
            return Refusal.WARMING
        return None

    def _allows_trial(self, now, urgent):
        start = self.paused_until + (0.0 if urgent else URGENT_LEAD_S)
        return now >= max(start, self._trial_sent_at + TRIAL_TIMEOUT_S)

    def accepts_in_s(self, now):
        """Returns the time until it accepts the next request, s.

        Returns:
            0 if it accepts one now; None if that time is not known.
        """
        if self.leaving:
            return None
        pause_s = max(0.0, self.paused_until - now) if self.on_trial else 0.0
        limit_s = self.limit.allows_in_s(now)
        if limit_s is None:
            return None
        return max(pause_s, limit_s, self.warm_up.allows_in_s(now))

    def record_sent(self, now):
        """Records a request that is sent now."""
        if self.on_trial:
            self._trial_sent_at = now
        self.limit.record_sent(now)
        self.warm_up.record_sent(now)
