"""Graceful shutdown of a process that serves requests.

First the process reports that it is not ready, so that the load balancer stops
sending requests. Until the balancer has noticed, new requests are still served:
refusing them at once would fail callers that are still sent here. Then no new
ones are accepted, and the process exits after its last response or at a time
limit.
"""

import math


class Shutdown:
    """The state of a process between its stop signal and its exit."""

    def __init__(self):
        self._refuse_at = math.inf
        self._overdue_at = math.inf

    @property
    def has_begun(self):
        """Whether the shutdown has begun."""
        return self._overdue_at < math.inf

    def begin(self, now, lame_duck_s, limit_s):
        """Begins the shutdown.

        Args:
            now: Time, s (monotonic).
            lame_duck_s: Time for which new requests are still accepted, s.
            limit_s: Time for which running requests may continue, s.

        Returns:
            False if it had begun before; later signals change nothing.
        """
        if self.has_begun:
            return False
        self._refuse_at = now + lame_duck_s
        self._overdue_at = now + limit_s
        return True

    def accepts_requests(self, now):
        """Returns whether new requests are accepted."""
        return now < self._refuse_at

    def is_overdue(self, now):
        """Returns whether requests that are still running must end now."""
        return now >= self._overdue_at

    def is_finished(self, now, busy):
        """Returns whether the process may exit.

        Args:
            now: Time, s (monotonic).
            busy: Whether any response is outstanding.
        """
        return not self.accepts_requests(now) and (not busy or
                                                   self.is_overdue(now))
