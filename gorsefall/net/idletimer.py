"""Notices a peer that has stopped sending."""


class IdleTimer:
    """Calls back once when nothing was heard from a peer for a while.

    The time counts from the last byte, not from the start of a call. A
    connection that something between the ends has lost track of shows no
    error of its own, only silence; an answer that is long, or comes over a
    slow link, is not silent. Bounded in all, it would be cut off each time
    and asked for again for ever.
    """

    def __init__(self, loop, idle_s, on_silent, *, first_s=0.0):
        """Starts watching.

        Args:
            loop: The ``reactor.Reactor``.
            idle_s: Longest silence, s.
            on_silent: Called when it is over.
            first_s: How much longer the first byte may take, s.
        """
        self._loop = loop
        self._idle_s = idle_s
        self._on_silent = on_silent
        self._heard_at = loop.now + first_s
        self._timer = loop.call_later(first_s + idle_s, self._check)

    def reset(self):
        """Notes that something came."""
        self._heard_at = self._loop.now

    def cancel(self):
        """Ends the watch."""
        self._timer.cancel()

    def _check(self):
        silent_s = self._loop.now - self._heard_at
        if silent_s < self._idle_s:
            self._timer = self._loop.call_later(self._idle_s - silent_s,
                                                self._check)
            return
        self._on_silent()
