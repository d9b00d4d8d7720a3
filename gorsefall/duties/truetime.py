"""True time, estimated from the clocks of all entries.

The time of day of a VM may jump by seconds. Every entry includes its own in
its status, and the median of all of them is right as long as most are.
"""

import statistics
import time

from gorsefall.policy import freshness

MAX_CLOCK_AGE_S = 10.0
"""Age from which on the clock of an entry no longer counts, s: an entry that
is heard of sends one every few seconds at most."""

REFRESH_S = 0.5
"""Period in which the median is computed anew, s."""


class TrueTime:
    """Estimates true time for one entry."""

    def __init__(self, clock=freshness.clock, wall_time=time.time):
        """Creates an estimate from the own clock alone.

        Args:
            clock: Returns a steady time that also counts while the VM is
                suspended, s.
            wall_time: Returns the time of day of this VM, s since 1970.
        """
        self._clock = clock
        self._wall_time = wall_time
        self._offsets = {}
        self._offset = None
        self._computed_at = float('-inf')

    def own_clock_ms(self):
        """Returns the time of day of this VM, ms since 1970."""
        return int(self._wall_time() * 1000)

    def record_clock(self, host, wall_s):
        """Records the time of day that another entry has just sent."""
        now = self._clock()
        self._offsets[host] = (wall_s - now, now)

    def now(self):
        """Returns true time, s since 1970."""
        now = self._clock()
        if now - self._computed_at >= REFRESH_S:
            self._computed_at = now
            self._offset = self._median_offset(now)
        return now + self._offset

    def _median_offset(self, now):
        self._offsets = {
            host: (offset, at)
            for host, (offset, at) in self._offsets.items()
            if now - at <= MAX_CLOCK_AGE_S
        }
        offsets = [offset for offset, _ in self._offsets.values()]
        offsets.append(self._wall_time() - now)
        return statistics.median_low(offsets)
