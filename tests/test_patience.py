"""When a silent attempt is given up."""

from gorsefall.policy import attempt_timeouts


def test_overload_makes_attempts_wait_longer():
    """More urgent requests starve in an overload.

    Symptom: a third of a class gets nothing while less urgent requests, which
    may not be repeated and so keep their places, begin. Sequence: replicas
    leave, first events take seconds, each attempt is given up after 1.2 s and
    joins the end of another queue. Cause: a wait that knew nothing of how
    long answers take now.
    Figures: first events of 50 to 100 ms when calm, 1.5 s in that load.
    """
    one = attempt_timeouts.StartLatency()
    for _ in range(50):
        one.record(0.05)
        one.record(0.1)
    assert one.timeout_s(1.2) == 1.2
    for _ in range(8):
        one.record(1.2)
    assert one.timeout_s(1.2) > 2.5
    for _ in range(60):
        one.record(0.07)
    assert one.timeout_s(1.2) == 1.2


def test_one_hanging_replica_does_not_make_all_wait():
    """One in seven attempts hangs: the others' answers keep the wait short."""
    one = attempt_timeouts.StartLatency()
    for i in range(100):
        one.record(1.2 if i % 7 == 0 else 0.07)
    assert one.timeout_s(1.2) < 2.5
