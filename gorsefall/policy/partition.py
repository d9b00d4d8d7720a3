"""Which engines of a service are kept for requests that write.

A step that reads takes ten times as long as one that does not, and an event
takes several steps, so one long prompt beside a stream makes it late.
"""

import math
import statistics

from gorsefall.policy import rendezvous

PEAK_DEVIATIONS = 1.0
"""Standard deviations by which the requests that write may rise over their
number now, while their engines have slots for them."""

SHRINK_DELAY_S = 20.0
"""How long fewer engines have to do before one is given back to the others, s.
Each change moves sessions, whose prompts are then read anew."""


class DecodePartition:
    """How many engines are kept: as many as the requests that write fill."""

    def __init__(self):
        self._count = 1
        self._lower_at = None

    def decode_engines(self, engines, writing, now, unseen=0.0):
        """Returns the names of the engines kept; half of all at most.

        Args:
            engines: The ``knowledge.ReplicaView`` of each engine of the
                service.
            writing: Requests that write, at all of them.
            now: Time, s (monotonic).
            unseen: Those that others may have sent since they spoke.
        """
        most = len(engines) // 2
        if not most:
            return set()
        slots = statistics.fmean(t.slots for t in engines)
        peak = writing + PEAK_DEVIATIONS * math.sqrt(writing) + unseen
        needed = min(most, max(1, math.ceil(peak / slots)))
        self._follow(needed, now)
        return select_engines(engines, min(self._count, most))

    def _follow(self, needed, now):
        if needed >= self._count:
            self._count = needed
            self._lower_at = None
        elif self._lower_at is None:
            self._lower_at = now + SHRINK_DELAY_S
        elif now >= self._lower_at:
            self._count -= 1
            self._lower_at = None


def select_engines(engines, count):
    """Returns the names of the ``count`` engines kept, the same everywhere."""
    ordered = sorted(engines, key=lambda t: rendezvous.rank('quiet', t))
    return {t.name for t in ordered[:count]}
