"""Simulated time: a clock and its timers."""

import heapq
import itertools


class Loop:
    """An event loop in simulated time.

    Attributes:
        now: Simulated time, s.
    """

    def __init__(self):
        self.now = 0.0
        self._due = []
        self._count = itertools.count()

    def call_later(self, delay_s, callback):
        """Calls ``callback()`` after ``delay_s`` seconds."""
        heapq.heappush(self._due,
                       (self.now + delay_s, next(self._count), callback))

    def run(self, until_s):
        """Advances the clock to ``until_s`` and runs the timers due by then."""
        while self._due and self._due[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = until_s
