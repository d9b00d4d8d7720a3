"""Detects a peer that has stopped sending."""


class IdleTimer:
    """Calls back once when nothing was received from a peer for some time.

    If a device on the path has dropped the state of a connection, the
    connection shows no error, only missing data. The time counts from the last
    byte, not from the start of the call: a limit on the total time would
    abort a long response, or one over a slow link, on every retry.
    """

    def __init__(self, loop, timeout_s, on_timeout, *, first_byte_extra_s=0.0):
        """Starts the timer.

        Args:
            loop: The ``reactor.Reactor``.
            timeout_s: Longest time without a byte, s.
            on_timeout: Called once when that time has passed.
            first_byte_extra_s: Additional time for the first byte, s.
        """
        self._loop = loop
        self._timeout_s = timeout_s
        self._on_timeout = on_timeout
        self._last_activity_at = loop.now + first_byte_extra_s
        self._timer = loop.call_later(first_byte_extra_s + timeout_s,
                                      self._check)

    def reset(self):
        """Restarts the idle time; called whenever bytes arrive."""
        self._last_activity_at = self._loop.now

    def cancel(self):
        """Cancels the timer."""
        self._timer.cancel()

    def _check(self):
        idle_for_s = self._loop.now - self._last_activity_at
        if idle_for_s < self._timeout_s:
            self._timer = self._loop.call_later(self._timeout_s - idle_for_s,
                                                self._check)
            return
        self._on_timeout()
