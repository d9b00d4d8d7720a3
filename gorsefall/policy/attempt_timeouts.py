"""How long an attempt may be silent before another replica is asked.

Under overload every replica is slow. Asking another one then gives up a place
in a queue for the end of another, and the work done so far with it.
"""

SMOOTHING = 0.125
DEVIATION_SMOOTHING = 0.25
DEVIATIONS = 4
"""The usual estimate of a retransmission timeout: smoothed time plus four
times its smoothed deviation, which few answers exceed."""

ATTEMPT_SHARE = 0.4
"""Part of the time left that an attempt which may be repeated waits for its
answer to begin, before another replica is asked."""

MIN_ATTEMPT_S = 0.15
"""Shortest such wait, s: over three times the slowest usual call (110 ms is
the longest on the services' data sheet, at five times the usual 22)."""

MIN_STREAM_ATTEMPT_S = 1.2
"""The same for streams, whose first event waits for its prompt to be read."""

STREAM_GAP_S = 1.0
"""Silence within a stream that may be resumed, after which another replica
is asked, s: over twice the longest pause that callers take for on time."""

BACKUP_GAP_S = 0.5
"""Silence within a stream that has a copy, after which its replica is looked
for, s: twice the longest pause that callers take for on time, a quarter of
what they bear."""


class StartLatency:
    """The usual time until an answer begins, of one service and kind."""

    def __init__(self):
        self._mean_s = None
        self._deviation_s = 0.0

    def record(self, after_s):
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

    def timeout_s(self, floor_s):
        """Returns how long to wait, at least ``floor_s``."""
        if self._mean_s is None:
            return floor_s
        return max(floor_s, self._mean_s + DEVIATIONS * self._deviation_s)


def attempt_s(usual, left_s, *, streams):
    """Returns how long an attempt's answer may take to begin, s.

    Args:
        usual: The ``Patience`` of its service and kind.
        left_s: Time the request has left, s.
        streams: Whether the answer is a stream.
    """
    floor_s = MIN_STREAM_ATTEMPT_S if streams else MIN_ATTEMPT_S
    return max(ATTEMPT_SHARE * left_s, usual.timeout_s(floor_s))
