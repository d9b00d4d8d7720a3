"""The decode partition: engines of a service for decode-heavy requests.

An engine step with prefill takes ten times as long as one without, and an event
takes several steps, so that a single long prompt delays the streams beside it.
"""

import math
import statistics

from gorsefall.policy import rendezvous

PEAK_DEVIATIONS = 1.0
"""Standard deviations by which the number of decode-heavy requests may rise
while the partition still has slots for all of them."""

AGREED_QUANTILE = 0.75
"""Quantile of the sizes that all entries report at which they agree."""

SHRINK_DELAY_S = 20.0
"""Time for which fewer engines must be sufficient before the partition shrinks
by one, s. Each change moves sessions, whose prompts are then prefilled
again."""


class DecodePartition:
    """Adapts the size of the decode partition to the decode-heavy requests.

    Attributes:
        size: Number of its engines as of the last request.
    """

    def __init__(self):
        self._count = 1
        self._shrink_at = None
        self._reported = ()
        self.size = 1

    @property
    def own_count(self):
        """The size that this entry would choose alone."""
        return self._count

    def record_reports(self, counts):
        """Records the sizes that the other entries report."""
        self._reported = tuple(counts)

    def _agreed_count(self):
        """Returns the size that all entries use.

        Each entry knows the requests of others as of another time. If each
        used its own size, prompts of some would go to the engines that others
        use for decode-heavy requests, whose events would be late.
        """
        counts = sorted([self._count, *self._reported])
        return counts[math.ceil(AGREED_QUANTILE * (len(counts) - 1))]

    def decode_engines(self, engines, requests, now, unreported=0.0):
        """Returns the names of its engines, at most half of all engines.

        Args:
            engines: The ``knowledge.ReplicaView`` of each engine of the
                service.
            requests: Decode-heavy requests at all of them.
            now: Time, s (monotonic).
            unreported: Decode-heavy requests that other entries may have sent
                since their last reports.
        """
        limit = len(engines) // 2
        if not limit:
            return set()
        slots = statistics.fmean(v.slots for v in engines)
        peak = requests + PEAK_DEVIATIONS * math.sqrt(requests) + unreported
        needed = min(limit, max(1, math.ceil(peak / slots)))
        self._adapt(needed, now)
        self.size = min(self._agreed_count(), limit)
        return select_engines(engines, self.size)

    def _adapt(self, needed, now):
        if needed >= self._count:
            self._count = needed
            self._shrink_at = None
        elif self._shrink_at is None:
            self._shrink_at = now + SHRINK_DELAY_S
        elif now >= self._shrink_at:
            self._count -= 1
            self._shrink_at = None


def select_engines(engines, count):
    """Returns the names of ``count`` engines, the same ones at every entry."""
    ordered = sorted(engines, key=lambda v: rendezvous.rank('quiet', v))
    return {v.name for v in ordered[:count]}
