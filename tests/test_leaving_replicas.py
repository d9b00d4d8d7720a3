"""Responses that end with the connection of a replica that may be gone."""

import types

import pytest
import stores

from gorsefall.relay import crashes
from gorsefall.relay import prober

Verdict = prober.Verdict


class _Prober:

    def __init__(self, verdict):
        self.verdict = verdict

    def probe_anew(self, replica, done):
        del replica
        done(self.verdict)


def _check(fleet, verdict, replica):
    loop = stores.Loop()
    tracker = crashes.CrashTracker(loop, _Prober(verdict), fleet)
    found = []
    tracker.check_exit(replica, found.append)
    loop.run(1.0)
    return found


def _replica(**fields):
    record = types.SimpleNamespace(id='e1', started_at_ms=1)
    return types.SimpleNamespace(record=record,
                                 **({
                                     'is_leaving': False,
                                     'record_lapsed': False,
                                     'is_reported_leaving': lambda now: False
                                 } | fields))


@pytest.mark.parametrize('why', [{}, {
    'is_leaving': True
}, {
    'record_lapsed': True
}, {
    'is_reported_leaving': lambda now: True
}])
@pytest.mark.parametrize(('verdict', 'expected'), [(Verdict.EXITED, True),
                                                   (Verdict.UNKNOWN, True),
                                                   (Verdict.ALIVE, False)])
@pytest.mark.parametrize('dropped', [False, True])
def test_a_response_is_whole_only_if_its_replica_runs(why, verdict, expected,
                                                      dropped):
    """A stream that a leaving replica cut as it went looks complete."""
    replica = _replica(**why)
    fleet = types.SimpleNamespace(is_replaced=lambda r: False,
                                  replicas={} if dropped else {'e1': replica})
    assert _check(fleet, verdict, replica) == [expected]


def test_a_response_of_a_replica_whose_address_has_another_one_is_cut():
    """The process that answers at the address did not send the response."""
    fleet = types.SimpleNamespace(is_replaced=lambda r: True, replicas={})
    assert _check(fleet, Verdict.ALIVE, _replica()) == [True]
