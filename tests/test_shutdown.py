"""When a stopping process accepts requests, ends them, and exits.

Guards against aborted responses, and against refused callers that could not
know: after the stop signal the load balancer notices only at its next probes,
and requests may still run at the time limit. Each step needs its own time.
"""

from gorsefall.policy import shutdown


def _begun():
    stop = shutdown.Shutdown()
    assert stop.begin(100.0, lame_duck_s=3.0, limit_s=7.3)
    return stop


def test_nothing_ends_before_the_signal():
    stop = shutdown.Shutdown()
    assert stop.accepts_requests(1e9) and not stop.is_overdue(1e9)
    assert not stop.is_finished(1e9, busy=False)


def test_requests_are_accepted_until_the_balancer_has_noticed():
    stop = _begun()
    assert stop.accepts_requests(102.9) and not stop.is_finished(102.9,
                                                                 busy=False)
    assert not stop.accepts_requests(103.0) and stop.is_finished(103.0,
                                                                 busy=False)


def test_running_requests_may_end_until_the_time_limit():
    stop = _begun()
    assert not stop.is_finished(107.2, busy=True) and not stop.is_overdue(107.2)
    assert stop.is_finished(107.3, busy=True) and stop.is_overdue(107.3)


def test_a_second_signal_changes_nothing():
    stop = _begun()
    assert not stop.begin(106.0, lame_duck_s=3.0, limit_s=7.3)
    assert stop.is_finished(107.3, busy=True)
