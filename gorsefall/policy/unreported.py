"""How many requests other entries placed that nobody told of yet.

With many entries what each knows of the others' work is seconds old. All see
the same replica idle, and each sends there: one stands full beside ten empty
ones. So an entry first places, in its mind, those that it cannot know of.
"""

import typing

SMOOTHING = 0.1
"""How fast the share of the requests that write follows: over about ten."""

INITIAL_DECODE_HEAVY_SHARE = 0.3
"""First guess of that share."""

MAX_SIMULATED = 64
"""Most requests that are placed in mind: each takes 10 us, and more than two
for each of today's engines hardly changes where the next one goes."""


class Arrivals(typing.NamedTuple):
    """The others' requests.

    Attributes:
        per_s: Requests they send a second.
        age_s: Mean age of what they told, s.
    """
    per_s: float = 0.0
    age_s: float = 0.0


class Unreported:
    """Estimates the requests of one service that are under way unseen.

    Attributes:
        arrivals: The others' ``Arrivals``.
    """

    def __init__(self):
        self.arrivals = Arrivals()
        self._writing_share = INITIAL_DECODE_HEAVY_SHARE

    def record_request(self, writes):
        """Notes an own request; the others' are taken to be of its kind."""
        self._writing_share += SMOOTHING * (writes - self._writing_share)

    def decode_heavy(self):
        """Returns how many of those that write are unseen."""
        expected = self.arrivals.per_s * self.arrivals.age_s
        return expected * self._writing_share
