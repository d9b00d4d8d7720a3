"""Retry-after times for refused callers.

Callers that were refused at the same time must not retry at the same time, or
they form the same queue again. So these times are randomized.
"""

import random

SHORT_DELAY_S = (0.05, 0.25)
"""Range of delays after a refusal that indicates no long queue, s. Its cause
usually lasts only a moment or affects a single replica: 18 slots process a
queue of 64 calls of 22 ms in 80 ms."""

QUEUE_WAIT_FACTORS = (1.0, 2.0)
"""Range of delays after a refusal because of a long queue, as factors of the
wait in it: the queue has been processed by about then."""

MIN_QUEUE_DELAY_S = 0.25
"""Minimum delay after a refusal because of a long queue, s: enough to prefill a
few long prompts."""


def short_delay_s(rng=random):
    """Returns a random delay after a refusal of short duration, s."""
    return rng.uniform(*SHORT_DELAY_S)


def after_queue_s(wait_s, rng=random):
    """Returns a random delay by which a queue has been processed, s.

    Args:
        wait_s: Expected wait in the queue, s.
        rng: Random generator.
    """
    return max(MIN_QUEUE_DELAY_S, wait_s) * rng.uniform(*QUEUE_WAIT_FACTORS)
