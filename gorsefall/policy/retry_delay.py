"""When refused callers had better return.

Callers that were refused together must not return together: they would meet
the queue that they made. So each is told another time.
"""

import random

SHORT_DELAY_S = (0.05, 0.25)
"""Range after a refusal that is no sign of a queue, s: what refuses is mostly
one replica or one moment, and a queue of 64 calls of 22 ms on 18 places is
worked off in 80 ms."""

QUEUE_WAIT_FACTORS = (1.0, 2.0)
"""The same after a queue that was too long, in times of the wait in it: about
then the queue that was seen is worked off."""

MIN_QUEUE_DELAY_S = 0.25
"""Shortest such time, s: a few long prompts are read in it."""


def short_delay_s(rng=random):
    """Returns a time after which what refused is likely to be over, s."""
    return rng.uniform(*SHORT_DELAY_S)


def after_queue_s(wait_s, rng=random):
    """Returns a time after which a queue is worked off, s.

    Args:
        wait_s: Expected wait in it, s.
        rng: Source of the spread.
    """
    return max(MIN_QUEUE_DELAY_S, wait_s) * rng.uniform(*QUEUE_WAIT_FACTORS)
