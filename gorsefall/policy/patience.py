"""How long an attempt may be silent before another replica is asked.

Under overload every replica is slow. Asking another one then gives up a place
in a queue for the end of another, and the work done so far with it.
"""

SMOOTHING = 0.125
DEVIATION_SMOOTHING = 0.25
DEVIATIONS = 4
"""The usual estimate of a retransmission timeout: smoothed time plus four
times its smoothed deviation, which few answers exceed."""


class Patience:
    """The usual time until an answer begins, of one service and kind."""

    def __init__(self):
        self._mean_s = None
        self._deviation_s = 0.0

    def began(self, after_s):
        """Notes an answer that began after ``after_s``.

        Attempts that are given up count too, with the time they waited: else
        only the quick ones would be seen, and the more are given up the
        shorter the wait would seem.
        """
        if self._mean_s is None:
            self._mean_s = after_s
            self._deviation_s = after_s / 2
            return
        gap = abs(after_s - self._mean_s)
        self._deviation_s += DEVIATION_SMOOTHING * (gap - self._deviation_s)
        self._mean_s += SMOOTHING * (after_s - self._mean_s)

    def wait_s(self, floor_s):
        """Returns how long to wait, at least ``floor_s``."""
        if self._mean_s is None:
            return floor_s
        return max(floor_s, self._mean_s + DEVIATIONS * self._deviation_s)
