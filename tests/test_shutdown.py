"""When a process that was told to stop takes requests, cuts them, ends.

Symptom: answers cut, or callers refused that could not know. Sequence: the
stop signal; the balancer notices only at its next questions; something still
runs when the platform's patience is over. Cause: one moment for all of it.
"""

from gorsefall.policy import shutdown


def _begun():
    stop = shutdown.Shutdown()
    assert stop.begin(100.0, lame_duck_s=3.0, limit_s=7.3)
    return stop


def test_before_the_signal_nothing_ends():
    stop = shutdown.Shutdown()
    assert stop.accepts_requests(1e9) and not stop.is_overdue(1e9)
    assert not stop.is_finished(1e9, busy=False)


def test_requests_are_taken_until_the_balancer_has_noticed():
    stop = _begun()
    assert stop.accepts_requests(102.9) and not stop.is_finished(102.9,
                                                                 busy=False)
    assert not stop.accepts_requests(103.0) and stop.is_finished(103.0,
                                                                 busy=False)


def test_what_runs_may_end_until_it_is_late():
    stop = _begun()
    assert not stop.is_finished(107.2, busy=True) and not stop.is_overdue(107.2)
    assert stop.is_finished(107.3, busy=True) and stop.is_overdue(107.3)


def test_a_second_signal_changes_nothing():
    stop = _begun()
    assert not stop.begin(106.0, lame_duck_s=3.0, limit_s=7.3)
    assert stop.is_finished(107.3, busy=True)
