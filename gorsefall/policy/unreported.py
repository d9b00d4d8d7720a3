"""Estimates the requests that other entries sent and have not reported yet.

With many entries the reports of their work are seconds old. If all of them see
the same replica idle, all send to it, and it is full beside ten idle ones. So
an entry simulates the placement of these requests before its own.
"""

import typing

SMOOTHING = 0.1
"""Smoothing of the share of decode-heavy requests: over about ten requests."""

INITIAL_DECODE_HEAVY_SHARE = 0.3
"""Initial value of that share."""

MAX_SIMULATED = 64
"""Maximum number of simulated requests. Each takes 10 us, and more than two per
engine hardly change the placement of the next one."""


class Arrivals(typing.NamedTuple):
    """The requests of other entries.

    Attributes:
        per_s: Requests that they send per second.
        age_s: Mean age of their last statuses, s.
    """
    per_s: float = 0.0
    age_s: float = 0.0


class Unreported:
    """Estimates the unreported requests of one service.

    Attributes:
        arrivals: The ``Arrivals`` of other entries.
    """

    def __init__(self):
        self.arrivals = Arrivals()
        self._decode_heavy_share = INITIAL_DECODE_HEAVY_SHARE

    def record_request(self, decode_heavy):
        """Records an own request; others are assumed to be of the same kind."""
        self._decode_heavy_share += SMOOTHING * (decode_heavy -
                                                 self._decode_heavy_share)

    def _expected(self):
        return self.arrivals.per_s * self.arrivals.age_s

    def decode_heavy(self):
        """Returns the expected number of unreported decode-heavy requests."""
        return self._expected() * self._decode_heavy_share

    def prefill(self):
        """Returns the expected number of other unreported requests."""
        return self._expected() * (1 - self._decode_heavy_share)
