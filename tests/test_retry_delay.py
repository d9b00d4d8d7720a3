"""Retry-after times: longer after longer queues, and randomized."""

import random

from gorsefall.policy import retry_delay


def test_delays_are_spread_and_not_shorter_than_the_queue():
    rng = random.Random(1)
    times = [retry_delay.after_queue_s(2.0, rng) for _ in range(200)]
    assert min(times) >= 2.0 and max(times) <= 4.0
    assert max(times) - min(times) > 1.5


def test_delays_after_a_short_queue_are_spread():
    rng = random.Random(1)
    times = [retry_delay.after_queue_s(0.0, rng) for _ in range(200)]
    assert min(times) >= 0.25 and max(times) - min(times) > 0.2
