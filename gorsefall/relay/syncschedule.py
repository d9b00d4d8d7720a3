"""When an entry reads what is stored and writes what is missing there."""

MAX_SYNC_S = 5.0
"""Longest time from the beginning of a read to its result, s. One without any
by then has failed here, and must not be the last."""


class SyncSchedule:
    """The one read that is due or under way, and how urgent it is.

    Attributes:
        urgent: Whether streams wait for what is missing, or have begun there.
        waited: Whether others had time to write what is missing.
        failed: Whether the last call failed.
    """

    def __init__(self, loop, rng, begin):
        """Creates a schedule in which nothing is due.

        Args:
            loop: The ``reactor.Reactor``.
            rng: A ``random.Random``.
            begin: Called when a read is due; ``again_within`` or ``end`` has
                to follow.
        """
        self._loop = loop
        self._rng = rng
        self._begin = begin
        self._timer = None
        self._due_at = float('-inf')
        self._active = False
        self.urgent = self.waited = self.failed = False

    def begin_in(self, delay_s):
        """Has a read begin after a delay, s, or sooner if one is due."""
        due_at = self._loop.now + delay_s
        if self._timer is not None and due_at < self._due_at:
            self._timer.cancel()
        elif self._active and not self._is_lost():
            return
        self._active = True
        self._due_at = due_at
        self._timer = self._loop.call_later(delay_s, self._on_due)

    def begin_within(self, range_s):
        """Has a read begin after a random delay out of a range, s."""
        self.begin_in(self._rng.uniform(*range_s))

    def again_within(self, range_s):
        """Has another read follow the one that has ended."""
        self._active = False
        self.begin_within(range_s)

    def hasten(self, spread_s):
        """Has a read begin within ``spread_s`` and what is missing written."""
        if not self.urgent:
            self.urgent = True
            if not self.failed:
                self.begin_within((0.0, spread_s))

    def end(self):
        """Records that nothing is left to be written."""
        self._active = self.urgent = self.waited = False

    def _on_due(self):
        self._timer = None
        self._begin()

    def _is_lost(self):
        return (self._timer is None and
                self._loop.now - self._due_at > MAX_SYNC_S)
