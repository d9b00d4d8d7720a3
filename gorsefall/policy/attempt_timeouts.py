"""Attempt timeouts: how long to wait before another replica is tried.

Under overload every replica is slow. Trying another one then gives up a place
in a queue for the end of another queue, and loses the work done so far.
"""

import collections

SMOOTHING = 0.125
DEVIATION_SMOOTHING = 0.25
DEVIATIONS = 4
"""As in the estimate of TCP's retransmission timeout: smoothed time plus four
times its smoothed deviation, which few responses exceed."""

ATTEMPT_SHARE = 0.4
"""Share of the remaining time that a repeatable attempt waits for the start of
its response before another replica is tried."""

MIN_ATTEMPT_S = 0.15
"""Minimum timeout of an attempt, s: over three times the slowest usual call.
The longest call of any service takes 110 ms, five times the usual 22 ms."""

MIN_STREAM_ATTEMPT_S = 1.2
"""Minimum timeout of an attempt at a stream, s; its first event follows the
prefill of the prompt."""

STREAM_GAP_S = 1.0
"""Silence within a resumable stream after which another replica is tried, s:
over twice the longest gap that counts as on time."""

DARK_AFTER_S = 1.4
"""Silence after which a stream continues from its KV backup although nothing
shows that its replica has exited, s. A sound replica may be silent for a second
or so, also to new connections, and would go on beside the other run; callers
tolerate two seconds."""

BACKUP_GAP_S = 0.5
"""Silence within a stream with a KV backup after which its replica is probed,
s: twice the longest gap that counts as on time, a quarter of the gap that
callers tolerate."""

MAX_REPLICAS = 256
"""Most replicas whose last abandoned attempt is remembered."""


class StartLatency:
    """Smoothed time until the start of a response, of one service and kind."""

    def __init__(self):
        self._mean_s = None
        self._deviation_s = 0.0
        self._abandoned_at = collections.OrderedDict()

    def record_abandoned(self, replica, sent_at, now):
        """Records an attempt that was abandoned before its response started.

        Otherwise only fast responses would count, and the estimate would become
        shorter the more attempts are abandoned. Those that waited at a replica
        at the same time waited for one cause, and count once.

        Args:
            replica: The replica's id.
            sent_at: When it was sent, s (monotonic).
            now: Time, s (monotonic).
        """
        if sent_at < self._abandoned_at.get(replica, float('-inf')):
            return
        self._abandoned_at[replica] = now
        self._abandoned_at.move_to_end(replica)
        if len(self._abandoned_at) > MAX_REPLICAS:
            self._abandoned_at.popitem(last=False)
        self.record(now - sent_at)

    def record(self, after_s):
        """Records a response that started after ``after_s``."""
        if self._mean_s is None:
            self._mean_s = after_s
            self._deviation_s = after_s / 2
            return
        gap = abs(after_s - self._mean_s)
        self._deviation_s += DEVIATION_SMOOTHING * (gap - self._deviation_s)
        self._mean_s += SMOOTHING * (after_s - self._mean_s)

    def covers(self, after_s):
        """Returns whether a usual response has started by then.

        Args:
            after_s: Time since the request was sent, s.
        """
        return (self._mean_s is not None and
                after_s >= self._mean_s - self._deviation_s)

    def timeout_s(self, floor_s):
        """Returns the estimated timeout, at least ``floor_s``."""
        if self._mean_s is None:
            return floor_s
        return max(floor_s, self._mean_s + DEVIATIONS * self._deviation_s)


def attempt_s(latency, left_s, *, streams):
    """Returns the time within which the response to an attempt must start, s.

    Args:
        latency: The ``StartLatency`` of its service and kind.
        left_s: Remaining time of the request, s.
        streams: Whether the response is a stream.
    """
    floor_s = MIN_STREAM_ATTEMPT_S if streams else MIN_ATTEMPT_S
    return max(ATTEMPT_SHARE * left_s, latency.timeout_s(floor_s))
