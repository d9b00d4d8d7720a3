"""Estimates the speed of replicas from their responses.

Speeds differ between sites, and a replica may become slow. The estimates are
the time to prefill a prompt token, the time that a request stays at a replica,
and how much slower a replica is than the others of its service.
"""

import math
import statistics

INITIAL_PREFILL_MS_PER_TOKEN = 0.02
"""Initial estimate of the time to prefill one prompt token, ms; engines take
0.017 to 0.024."""

MIN_PREFILL_TOKENS = 1000
"""Minimum number of prefilled tokens for a response to count as a sample of the
prefill speed: with fewer, the round trip and a step or two take as long."""

INITIAL_RESIDENCE_MS = 50.0
"""Initial estimate of the time that a request stays at a replica, ms: a short
call."""

PREFILL_QUANTILE = 0.3
"""Quantile of the prefill times that is taken as the speed of the replica
itself; longer times include waiting behind work that this entry has not
observed."""

INITIAL_PAUSE_MS = 20.0
"""Initial estimate of the pause between two events, ms; engines have 17 to
35."""

PAUSE_QUANTILE = 0.1
"""Quantile of the pauses that is taken as a replica's own speed: most longer
ones occur while prompts are prefilled beside the stream."""

MIN_PAUSE_STEP = 0.1
"""Minimum step of the pause estimate: with it, two usual long responses reveal
an engine that became five times slower."""

MIN_PAUSE_SAMPLES = 20
"""Minimum number of pauses of a replica before its speed is compared with
others: less than half of a usual long response."""

MIN_SLOWNESS = 2.0
"""Minimum ratio at which a replica counts as slower. Smaller differences come
from prefill beside its streams and from different hardware."""

MAX_SLOWNESS = 20.0
"""Maximum ratio by which a replica counts as slower than the others."""


class Quantile:
    """Estimates a quantile of positive values, with steps in proportion to it.

    Attributes:
        value: The current estimate.
        samples: Number of recorded values.
    """
    _FIRST_STEP = 0.5
    """First step, of the logarithm. Early steps are large, so that a wrong
    initial value is soon corrected; later a single value has little effect."""

    def __init__(self, share, initial, last_step=0.05):
        self._share = share
        self._last_step = last_step
        self.value = initial
        self.samples = 0

    def record(self, value):
        """Records a value; ignores it unless it is positive."""
        if value <= 0:
            return
        step = max(self._last_step, self._FIRST_STEP / (1 + self.samples))
        self.samples += 1
        direction = self._share if value > self.value else self._share - 1
        self.value *= math.exp(step * direction)


class ResidenceTime:
    """Smoothed time that requests stay at the replicas of a service.

    Attributes:
        ms: The estimate, ms.
    """
    _SMOOTHING = 0.05

    def __init__(self):
        self.ms = INITIAL_RESIDENCE_MS
        self._count = 0

    def record(self, ms):
        """Records a request that was completed after ``ms``."""
        self._count += 1
        self.ms += max(self._SMOOTHING, 1 / self._count) * (ms - self.ms)


class ServiceSpeed:
    """The estimated speed of the replicas of one service.

    Attributes:
        residence: The ``ResidenceTime`` of its requests.
    """

    def __init__(self):
        self._prefill = Quantile(PREFILL_QUANTILE, INITIAL_PREFILL_MS_PER_TOKEN)
        self.residence = ResidenceTime()

    @property
    def prefill_ms_per_token(self):
        """Time to prefill one prompt token at a usual replica, ms."""
        return self._prefill.value

    def record_start(self, after_ms, tokens, slowness):
        """Records the start of a response.

        Args:
            after_ms: Time since the attempt was sent, ms.
            tokens: Prompt tokens that were prefilled before it, including its
                own.
            slowness: The replica's result of ``slowness``.
        """
        if tokens >= MIN_PREFILL_TOKENS:
            self._prefill.record(after_ms / tokens / slowness)


def pause_quantile():
    """Returns a new ``Quantile`` for the pauses in a replica's streams, ms."""
    return Quantile(PAUSE_QUANTILE, INITIAL_PAUSE_MS, MIN_PAUSE_STEP)


def usual_pause_ms(views):
    """Returns the usual pause between events at the replicas, ms.

    The result is None if fewer than two replicas have enough samples.

    Args:
        views: Objects with ``pause``, a ``Quantile`` of pauses, ms.
    """
    known = [
        v.pause.value for v in views if v.pause.samples >= MIN_PAUSE_SAMPLES
    ]
    return statistics.median_low(known) if len(known) > 1 else None


def slowness(view, usual_ms):
    """Returns how many times slower a replica is than usual, 1.0 at least."""
    if usual_ms is None or view.pause.samples < MIN_PAUSE_SAMPLES:
        return 1.0
    ratio = view.pause.value / usual_ms
    return min(MAX_SLOWNESS, ratio) if ratio >= MIN_SLOWNESS else 1.0
