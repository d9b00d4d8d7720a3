"""What one incarnation of a replica has announced about new requests.

A replica announces in its responses that it is leaving, that it wants no
request from an entry for a while, or how many requests per second it accepts
from all entries. Each holds for every later request to that incarnation,
whatever its record in the store or other entries say.
"""

import dataclasses
import enum

from gorsefall.policy import announced_limits


class Refusal(enum.Enum):
    """Why a replica may not receive a request now; the values are logged."""
    LEAVING = 'leaving'
    LIMITED = 'limited'


@dataclasses.dataclass
class Acceptance:
    """The announcements of one incarnation of a replica.

    Attributes:
        limit: Its ``announced_limits.AnnouncedLimit``.
        leaving: Whether a response announced that it is leaving. This is never
            withdrawn: the next incarnation has its own announcements.
    """
    limit: announced_limits.AnnouncedLimit = dataclasses.field(
        default_factory=announced_limits.AnnouncedLimit)
    leaving: bool = False

    def refusal(self, now, *, urgent=True):
        """Returns the ``Refusal`` of a request now; None if it may be sent.

        Args:
            now: Time, s (monotonic).
            urgent: Whether the request has the most urgent rank of its
                service.
        """
        if self.leaving:
            return Refusal.LEAVING
        if not self.limit.allows(now, urgent=urgent):
            return Refusal.LIMITED
        return None

    def record_sent(self, now):
        """Records a request that is sent now."""
        self.limit.record_sent(now)
