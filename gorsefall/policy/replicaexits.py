"""Exits of replicas that happen at the same time have a common cause."""

import bisect

COMMON_CAUSE_S = 0.1
"""Time within which exits of several replicas have a common cause, s. Entries
observe an exit with an error of about 10 ms."""

MAX_REPLICA_EXITS = 256
"""Maximum number of replica exits kept to detect common causes; the oldest are
dropped first."""


class ReplicaExits:
    """When replicas were first seen to exit."""

    def __init__(self):
        self._seen_at = {}
        self._in_order = []

    def record(self, crash, at):
        """Records that a ``crashrecords.Crash`` was seen at ``at``, s."""
        known_at = self._seen_at.get(crash)
        if known_at is not None and known_at <= at:
            return
        if known_at is not None:
            self._in_order.remove((known_at, crash))
        self._seen_at[crash] = at
        bisect.insort(self._in_order, (at, crash))
        if len(self._seen_at) > MAX_REPLICA_EXITS:
            _, oldest = self._in_order.pop(0)
            del self._seen_at[oldest]

    def any_other(self, at, crashes):
        """Returns whether a replica exited about then that is not in a set.

        Args:
            at: Time, s (monotonic).
            crashes: The ``crashrecords.Crash`` objects to leave out.
        """
        first = bisect.bisect_left(self._in_order, (at - COMMON_CAUSE_S,))
        for seen_at, crash in self._in_order[first:]:
            if seen_at - at >= COMMON_CAUSE_S:
                return False
            if crash not in crashes:
                return True
        return False
