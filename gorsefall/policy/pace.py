"""How quickly replicas work, learned from their own answers.

Data sheets differ from site to site, and a replica may turn slow. What is
needed is learned: how long a prompt token takes to be read, how long a
request stays, and which replica is slower than the others of its service.
"""

import math
import statistics

INITIAL_PREFILL_MS_PER_TOKEN = 0.02
"""First guess of the time to read one prompt token, ms; engines of today take
0.017 to 0.024."""

MIN_PREFILL_TOKENS = 1000
"""Tokens to be read, for an answer's start to tell the reading speed: with
fewer the way there and back and a step or two count as much."""

INITIAL_RESIDENCE_MS = 50.0
"""First guess of how long a request stays at a replica, ms: a short call."""

PREFILL_QUANTILE = 0.3
"""Quantile of the times seen that is taken for what the work itself takes; the
others waited behind work that this entry did not know of."""

INITIAL_PAUSE_MS = 20.0
"""First guess of the pause between two events, ms; 17 to 35 today."""

PAUSE_QUANTILE = 0.1
"""Quantile of the pauses that is taken for a replica's own: most others come
while prompts are read beside the stream."""

MIN_PAUSE_STEP = 0.1
"""Least step with which pauses are followed: two usual long answers show an
engine that turned five times slower."""

MIN_PAUSE_SAMPLES = 20
"""Pauses seen of a replica before its speed is told from the others': less
than half of a usual long answer."""

MIN_SLOWNESS = 2.0
"""From when on a replica counts as slower: less than this differs by what is
read beside its streams, and by machines of two makes."""

MAX_SLOWNESS = 20.0
"""Most that one replica counts as slower than the others."""


class Quantile:
    """Follows a quantile of positive values, with steps in proportion.

    Attributes:
        value: The quantile as far as known.
        seen: Values seen.
    """
    _FIRST_STEP = 0.5
    """First step, of the logarithm: a first guess that is far off is soon made
    good, and later one value counts little."""

    def __init__(self, share, guess, last_step=0.05):
        self._share = share
        self._last_step = last_step
        self.value = guess
        self.samples = 0

    def record(self, value):
        """Notes a value; what is not positive is passed over."""
        if value <= 0:
            return
        step = max(self._last_step, self._FIRST_STEP / (1 + self.samples))
        self.samples += 1
        towards = self._share if value > self.value else self._share - 1
        self.value *= math.exp(step * towards)


class ResidenceTime:
    """Smoothed time that requests stay at the replicas of a service."""
    _SMOOTHING = 0.05

    def __init__(self):
        self.ms = INITIAL_RESIDENCE_MS
        self._seen = 0

    def record(self, ms):
        """Notes a request that ended whole after ``ms``."""
        self._seen += 1
        self.ms += max(self._SMOOTHING, 1 / self._seen) * (ms - self.ms)


class ServiceSpeed:
    """What was learned of the replicas of one service.

    Attributes:
        stay: The ``Stay`` of its requests.
    """

    def __init__(self):
        self._read = Quantile(PREFILL_QUANTILE, INITIAL_PREFILL_MS_PER_TOKEN)
        self.residence = ResidenceTime()

    @property
    def prefill_ms_per_token(self):
        """Time to read one prompt token at a usual replica, ms."""
        return self._read.value

    def record_start(self, after_ms, tokens, slowness):
        """Notes an answer's start.

        Args:
            after_ms: Time from its send, ms.
            tokens: Prompt tokens that were to be read before it, its own
                included.
            slowness: Of the replica; see ``slowness``.
        """
        if tokens >= MIN_PREFILL_TOKENS:
            self._read.record(after_ms / tokens / slowness)


def pause_quantile():
    """Returns a ``Quantile`` for the pauses in a replica's streams, ms."""
    return Quantile(PAUSE_QUANTILE, INITIAL_PAUSE_MS, MIN_PAUSE_STEP)


def usual_pause_ms(targets):
    """Returns the usual pause between events at ``targets``, ms, or None.

    Args:
        targets: Have ``pause``, a ``Quantile`` of pauses, ms.
    """
    known = [
        t.pause.value for t in targets if t.pause.samples >= MIN_PAUSE_SAMPLES
    ]
    return statistics.median_low(known) if len(known) > 1 else None


def slowness(target, usual_ms):
    """Returns how many times slower a replica is than usual, 1.0 at least."""
    if usual_ms is None or target.pause.samples < MIN_PAUSE_SAMPLES:
        return 1.0
    ratio = target.pause.value / usual_ms
    return min(MAX_SLOWNESS, ratio) if ratio >= MIN_SLOWNESS else 1.0
