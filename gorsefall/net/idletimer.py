"""Notices a peer that has stopped sending."""


class IdleTimer:
    """Calls back once when nothing was received from a peer for a while.

    The time counts from the last byte, not from the start of a call. If a
    device on the path has dropped the state of a connection, the connection
    shows no error, only missing data. A limit on the total time would abort a
    long response, or one over a slow link, on every retry.
    """

    def __init__(self, loop, idle_s, on_timeout, *, first_s=0.0):
        """Starts the timer.

        Args:
            loop: The ``reactor.Reactor``.
            idle_s: Longest silence, s.
            on_timeout: Called once when nothing came for that long.
            first_s: How much longer the first byte may take, s.
        """
        self._loop = loop
        self._idle_s = idle_s
        self._on_timeout = on_timeout
        self._last_activity_at = loop.now + first_s
        self._timer = loop.call_later(first_s + idle_s, self._check)

    def reset(self):
        """Restarts the idle time; called whenever bytes arrive."""
        self._last_activity_at = self._loop.now

    def cancel(self):
        """Cancels the timer."""
        self._timer.cancel()

    def _check(self):
        silent_s = self._loop.now - self._last_activity_at
        if silent_s < self._idle_s:
            self._timer = self._loop.call_later(self._idle_s - silent_s,
                                                self._check)
            return
        self._on_timeout()
