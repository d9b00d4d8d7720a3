"""When a silent attempt is given up."""

from gorsefall.policy import patience


def test_overload_makes_attempts_wait_longer():
    """More urgent requests starve in an overload.

    Symptom: a third of a class gets nothing while less urgent requests, which
    may not be repeated and so keep their places, begin. Sequence: replicas
    leave, first events take seconds, each attempt is given up after 1.2 s and
    joins the end of another queue. Cause: a wait that knew nothing of how
    long answers take now.
    Figures: first events of 50 to 100 ms when calm, 1.5 s in that load.
    """
    one = patience.Patience()
    for _ in range(50):
        one.began(0.05)
        one.began(0.1)
    assert one.wait_s(1.2) == 1.2
    for _ in range(8):
        one.began(1.2)
    assert one.wait_s(1.2) > 2.5
    for _ in range(60):
        one.began(0.07)
    assert one.wait_s(1.2) == 1.2


def test_one_hanging_replica_does_not_make_all_wait():
    """One in seven attempts hangs: the others' answers keep the wait short."""
    one = patience.Patience()
    for i in range(100):
        one.began(1.2 if i % 7 == 0 else 0.07)
    assert one.wait_s(1.2) < 2.5
