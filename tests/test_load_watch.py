"""Reading load reports: what a missed report means, and for how long.

Symptom: just after a start a request was answered 502 (three engines had
failed) while a fourth engine was sound. Sequence: an entry asks an engine
for its load before the engine listens; the refused connection sends the
engine into a pause; the engine listens; three others crash their answers
while the pause lasts, so the sound one is never asked. Cause: the pause
outlived the reason for it, since no later report ended it.
"""

import msgspec

from gorsefall import errors
from gorsefall import messages
from gorsefall.entry import watchers
from gorsefall.policy import routing

REFUSED = errors.LinkError('connection refused')


def _watch(rep):
    watch = watchers.LoadWatch(None, 'entry-a', 0.2, 20, lambda pool: None)
    return watch._reader(rep)


def _replica():
    return routing.Replica('engine-4', ('127.0.0.1', 1), 'llm', 'zone-a')


def _report():
    return msgspec.to_builtins(messages.LoadReport(running=0, waiting=0,
                                                   at=1.0))


def test_a_report_ends_the_pause_of_a_missed_report():
    rep = _replica()
    read = _watch(rep)
    read(None, None, REFUSED)
    assert rep.eject_until > 0
    read(200, _report(), None)
    assert rep.eject_until == 0
    assert rep.failures == 0


def test_a_report_does_not_end_the_pause_of_a_failed_request():
    rep = _replica()
    read = _watch(rep)
    read(None, None, REFUSED)
    rep.record_failure(1000.0)
    until = rep.eject_until
    read(200, _report(), None)
    assert rep.eject_until == until


def test_only_the_first_missed_report_pauses():
    rep = _replica()
    read = _watch(rep)
    read(None, None, REFUSED)
    until = rep.eject_until
    read(None, None, REFUSED)
    assert rep.eject_until == until
