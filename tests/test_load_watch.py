"""Load reports: how a missed report affects a replica, and for how long.

A load poll that is refused because an engine does not listen yet ejects the
engine for a while. The next report must end that ejection. Otherwise a
request fails with 502 when three other engines crash during the ejection,
although the ejected engine is healthy.
"""

import msgspec

from gorsefall import errors
from gorsefall import messages
from gorsefall.entry import watchers
from gorsefall.policy import health
from gorsefall.policy import routing

REFUSED = errors.LinkError('connection refused')


def _report_callback(replica):
    watcher = watchers.LoadWatch(None, 'entry-a', 0.2, 20, lambda pool: None)
    return watcher._report_handler(replica)


def _replica():
    return routing.Replica('engine-4', ('127.0.0.1', 1), 'llm', 'zone-a')


def _report():
    return msgspec.to_builtins(messages.LoadReport(running=0, waiting=0,
                                                   at=1.0))


def test_a_report_ends_the_ejection_after_a_missed_report():
    replica = _replica()
    on_report = _report_callback(replica)
    on_report(None, None, REFUSED)
    assert replica.eject_until > 0
    on_report(200, _report(), None)
    assert replica.eject_until == 0
    assert replica.failures == 0


def test_a_report_does_not_end_the_ejection_after_a_failed_request():
    replica = _replica()
    on_report = _report_callback(replica)
    on_report(None, None, REFUSED)
    replica.record_failure(1000.0)
    eject_until = replica.eject_until
    on_report(200, _report(), None)
    assert replica.eject_until == eject_until


def test_only_the_first_missed_report_ejects():
    replica = _replica()
    on_report = _report_callback(replica)
    on_report(None, None, REFUSED)
    eject_until = replica.eject_until
    on_report(None, None, REFUSED)
    assert replica.eject_until == eject_until


def test_calls_that_fail_together_eject_a_replica_as_one():
    """A replica that was silent for a second is avoided for ten."""
    replica = _replica()
    for _ in range(8):
        replica.record_failure(1000.0)
    assert replica.eject_until == 1000.0 + health.EJECT_BASE_S
    replica.record_failure(1001.0)
    assert replica.eject_until == 1001.0 + 2 * health.EJECT_BASE_S
