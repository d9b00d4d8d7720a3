"""The load that callers put on a service, from what all entries report."""

import collections
import dataclasses

import msgspec

from gorsefall.policy import entrystatus
from gorsefall.policy import membership

RATE_WINDOW_S = 3
"""Time over which a rate is taken, s: entries report at most every second or
two, and a burst shall show within this time."""


class Totals(msgspec.Struct, frozen=True, array_like=True):
    """What one process has received for a service since its start.

    Attributes:
        requests: Requests of callers.
        prefill_tokens: Prompt tokens to be prefilled for them.
    """
    requests: entrystatus.Count = 0
    prefill_tokens: entrystatus.Count = 0

    def minus(self, other):
        """Returns the difference, with 0 where it would be negative."""
        return Totals(max(0, self.requests - other.requests),
                      max(0, self.prefill_tokens - other.prefill_tokens))


NOTHING = Totals()


@dataclasses.dataclass(frozen=True)
class Demand:
    """The demand for one service.

    Attributes:
        requests_per_s: Requests that arrive per second.
        prefill_tokens_per_s: Prompt tokens to be prefilled per second.
        decode_heavy: Requests in flight that mostly decode.
    """
    requests_per_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    decode_heavy: int = 0


class DemandCounter:
    """Counts what this entry receives."""

    def __init__(self):
        self._totals = {}

    def record(self, service, prefill_tokens):
        """Records a request of a caller."""
        old = self._totals.get(service, NOTHING)
        self._totals[service] = Totals(old.requests + 1,
                                       old.prefill_tokens + prefill_tokens)

    def totals(self):
        """Returns ``service -> Totals``."""
        return dict(self._totals)


class DemandTracker:
    """Rates of all entries together, from differences of their totals."""

    def __init__(self):
        self._last = {}
        self._seconds = collections.defaultdict(
            lambda: collections.defaultdict(lambda: [0, 0]))

    def record(self, reporter, totals, now):
        """Records the totals of one process.

        Args:
            reporter: Identifies the process.
            totals: ``service -> Totals``.
            now: Time, s (monotonic).
        """
        before = self._last.pop(reporter, None)
        self._last[reporter] = totals
        if len(self._last) > membership.MAX_PROCESSES:
            del self._last[next(iter(self._last))]
        if before is None:
            # Its totals may be hours old.
            return
        for service, total in totals.items():
            added = total.minus(before.get(service, NOTHING))
            self._drop_old_seconds(service, now)
            sums = self._seconds[service][int(now)]
            sums[0] += added.requests
            sums[1] += added.prefill_tokens

    def _drop_old_seconds(self, service, now):
        seconds = self._seconds[service]
        for second in [s for s in seconds if s < int(now) - RATE_WINDOW_S]:
            del seconds[second]

    def rates(self, service, now):
        """Returns ``(requests, prefill tokens)`` per second, floats."""
        self._drop_old_seconds(service, now)
        recent = [v for s, v in self._seconds[service].items() if s < int(now)]
        return (sum(v[0] for v in recent) / RATE_WINDOW_S,
                sum(v[1] for v in recent) / RATE_WINDOW_S)
