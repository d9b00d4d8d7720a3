"""Limits how many replicas orders add or take away in a time.

Each replica that comes or goes is several records, which the entries that read
the store pass on to all others. If thousands change at once, their links are
full for minutes, and a new configuration behind them comes too late.
"""

MAX_AT_ONCE = 100
"""Replicas that may change at once after a quiet time: their records take a
second of a small link."""

REFILL_PER_S = 5.0
"""Replicas that may change per second in the long run: their records take a
fifth of a small link at an entry that passes them on to forty others."""


class ChangeBudget:
    """A token bucket of replicas that may change."""

    def __init__(self, now):
        self._available = float(MAX_AT_ONCE)
        self._at = now

    def limit(self, current, target, now):
        """Returns ``pool -> replicas``: as near to ``target`` as may be.

        More replicas come before others leave, so that a fleet that is
        replaced does not shrink meanwhile. The change of each pool is in
        proportion to what it lacks.

        Args:
            current: ``pool -> replicas`` as ordered, or as they run.
            target: ``pool -> replicas`` that are wanted.
            now: Time, s (monotonic).
        """
        self._available = min(MAX_AT_ONCE,
                              self._available + REFILL_PER_S * (now - self._at))
        self._at = now
        deltas = {p: n - current.get(p, 0) for p, n in target.items()}
        limited = {}
        for sign in (1, -1):
            wanted = {p: d for p, d in deltas.items() if d * sign > 0}
            limited |= self._take(current, wanted)
        return limited

    def _take(self, current, deltas):
        total = sum(abs(d) for d in deltas.values())
        allowed = min(total, int(self._available))
        share = allowed / total if total else 0.0
        taken = {p: int(d * share) for p, d in deltas.items()}
        rest = allowed - sum(abs(d) for d in taken.values())
        # What rounding has left goes to the pools that lack most.
        by_lack = sorted(deltas, key=lambda p: -abs(deltas[p] - taken[p]))
        for pool in by_lack[:rest]:
            taken[pool] += 1 if deltas[pool] > 0 else -1
        self._available -= allowed
        return {p: current.get(p, 0) + d for p, d in taken.items() if d}
