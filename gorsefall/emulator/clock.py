"""Time as emulated processes see it: timers in order, and nothing else."""

import heapq
import itertools


class Loop:
    """A clock and its timers."""

    def __init__(self):
        self.now = 0.0
        self._due = []
        self._count = itertools.count()

    def call_later(self, delay_s, callback):
        """Calls ``callback()`` after a time, s."""
        heapq.heappush(self._due,
                       (self.now + delay_s, next(self._count), callback))

    def run(self, until_s):
        """Lets time pass."""
        while self._due and self._due[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = until_s
