"""How a process that answers requests ends without cutting one.

Readiness goes first, so that the balancer stops sending here. Until it has
noticed, new requests are still served: refusing them at once would fail
callers that could not know. Then nothing new is taken, and the process ends
with its last answer, or when the time for that is over.
"""

import math


class Shutdown:
    """Where a process stands between its stop signal and its end."""

    def __init__(self):
        self._refuse_at = math.inf
        self._late_at = math.inf

    @property
    def has_begun(self):
        """Whether the process is to end."""
        return self._late_at < math.inf

    def begin(self, now, lame_duck_s, limit_s):
        """Notes the stop signal.

        Args:
            now: Time, s (monotonic).
            lame_duck_s: How long new requests are still taken, s.
            limit_s: How long what runs may take, s.

        Returns:
            False when it had begun before; later signals change nothing.
        """
        if self.has_begun:
            return False
        self._refuse_at = now + lame_duck_s
        self._late_at = now + limit_s
        return True

    def accepts_requests(self, now):
        """Whether new requests are taken."""
        return now < self._refuse_at

    def is_overdue(self, now):
        """Whether what still runs must end now."""
        return now >= self._late_at

    def is_finished(self, now, busy):
        """Whether the process may end; ``busy`` while any answer is due."""
        return not self.accepts_requests(now) and (not busy or
                                                   self.is_overdue(now))
