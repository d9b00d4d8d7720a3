"""When a silent attempt is abandoned."""

from gorsefall.policy import attempt_timeouts


def test_overload_makes_attempts_wait_longer():
    """More urgent requests starve under overload.

    Replicas leave, first events take seconds instead of 50 to 100 ms, and each
    attempt is abandoned after 1.2 s and joins the end of another queue. Less
    urgent requests, which are not repeatable and so keep their slots, start
    first. The timeout has to follow the current response times.
    """
    latency = attempt_timeouts.StartLatency()
    for _ in range(50):
        latency.record(0.05)
        latency.record(0.1)
    assert latency.timeout_s(1.2) == 1.2
    for _ in range(8):
        latency.record(1.2)
    assert latency.timeout_s(1.2) > 2.5
    for _ in range(60):
        latency.record(0.07)
    assert latency.timeout_s(1.2) == 1.2


def test_one_hanging_replica_does_not_lengthen_the_timeout():
    """One in seven attempts hangs; the others keep the timeout short."""
    latency = attempt_timeouts.StartLatency()
    for i in range(100):
        latency.record(1.2 if i % 7 == 0 else 0.07)
    assert latency.timeout_s(1.2) < 2.5


def test_a_usual_start_is_covered():
    """A response that was lost on its way counts as not begun."""
    latency = attempt_timeouts.StartLatency()
    assert not latency.covers(1.0)
    for _ in range(50):
        latency.record(0.1)
    assert latency.covers(0.11)
    assert not latency.covers(0.02)
