"""Has requests wait until the runs under way could refute a new cause."""

from gorsefall.policy import crashrecords
from gorsefall.relay import survivals

CONFIRM_S = (crashrecords.YOUNG_RUN_S + survivals.CHECK_PERIOD_S + 0.1)
"""Time after a crash within which runs that began before it have gone on, and
other entries have learned of it, s."""


class UnconfirmedCauses:
    """Causes that were found just now, and the exchanges parked for them.

    The crashes that show a cause arrive within milliseconds; a run that clears
    it shows so half a second after its first event. Requests that were refused
    in between would be refused for good, though nothing is wrong with them.
    """

    def __init__(self, loop, clock, on_confirmed):
        """Creates the state without causes.

        Args:
            loop: The ``reactor.Reactor``.
            clock: Returns the time, s (monotonic).
            on_confirmed: Called with the digest of a cause that nothing has
                refuted in time.
        """
        self._loop = loop
        self._clock = clock
        self._on_confirmed = on_confirmed
        self._due_at = {}
        self._parked = []

    def __contains__(self, digest):
        return digest in self._due_at

    def __iter__(self):
        return iter(list(self._due_at))

    def add(self, digest, crashed_at):
        """Adds a cause whose last crash was at ``crashed_at``, s (monotonic).

        One whose time is over is confirmed at once.
        """
        due_at = crashed_at + CONFIRM_S
        wait_s = due_at - self._clock()
        if wait_s <= 0:
            self._on_confirmed(digest)
            return
        self._due_at[digest] = due_at
        self._loop.call_later(wait_s, lambda: self._on_due(digest, due_at))

    def _on_due(self, digest, due_at):
        if self._due_at.get(digest) != due_at:
            return
        del self._due_at[digest]
        self._on_confirmed(digest)
        self._dispatch()

    def drop(self, digest):
        """Drops a cause that was refuted."""
        del self._due_at[digest]
        self._dispatch()

    def park(self, exchange):
        """Has ``exchange.dispatch`` called when a cause is decided."""
        self._parked.append(exchange)

    def _dispatch(self):
        parked, self._parked = self._parked, []
        for exchange in parked:
            self._loop.call_later(0, exchange.dispatch)
