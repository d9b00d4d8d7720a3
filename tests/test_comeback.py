"""When refused callers return: later after longer queues, never together."""

import random

from gorsefall.policy import retry_delay


def test_spread_and_never_before_the_queue_is_worked_off():
    rng = random.Random(1)
    times = [retry_delay.after_queue_s(2.0, rng) for _ in range(200)]
    assert min(times) >= 2.0 and max(times) <= 4.0
    assert max(times) - min(times) > 1.5


def test_a_short_queue_still_spreads():
    rng = random.Random(1)
    times = [retry_delay.after_queue_s(0.0, rng) for _ in range(200)]
    assert min(times) >= 0.25 and max(times) - min(times) > 0.2
