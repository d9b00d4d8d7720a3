"""Requests that wait for a current list of the replicas."""

import types
from unittest import mock

import pytest
import stores

from gorsefall.policy import freshness
from gorsefall.relay import backups
from gorsefall.relay import currentlist

BOUND_S = 1.7


class _Site:
    """An entry's list, and requests that are sent by it."""

    def __init__(self):
        self.loop = stores.Loop()
        self.confirmation = freshness.Confirmation(BOUND_S)
        self.list = currentlist.CurrentList(self.loop, self.confirmation)
        self.list.read_now = self._read
        self.read_s = 0.004
        self.sent_at = []

    def _read(self):
        sent_at = self.loop.now
        if self.read_s is not None:
            self.loop.call_later(self.read_s, lambda: self.confirm(sent_at))

    def confirm(self, sent_at):
        self.confirmation.record_read(sent_at)
        self.list.on_confirmed()

    def send(self):
        request = types.SimpleNamespace()
        request.dispatch = lambda: self._dispatch(request)
        request.dispatch()

    def _dispatch(self, request):
        if self.list.admit(request.dispatch, mock.MagicMock()):
            self.sent_at.append(self.loop.now)


@pytest.fixture(name='site')
def _site():
    with mock.patch('gorsefall.logs.get', lambda name: mock.MagicMock()):
        site = _Site()
        with mock.patch.object(freshness, 'clock', lambda: site.loop.now):
            site.confirm(0.0)
            yield site


def test_requests_after_a_pause_go_by_a_list_that_was_read_since(site):
    """An entry that was held up sent to replicas that had left meanwhile."""
    site.loop.run(5.0)
    site.send()
    site.send()
    assert site.sent_at == []
    site.loop.run(5.1)
    assert site.sent_at == [5.004, 5.004]


def test_a_read_from_before_the_pause_does_not_count(site):
    """Its late response made an old list look as if it had just been read."""
    site.loop.run(5.0)
    site.list.read_now = lambda: None
    site.send()
    site.list.read_now = site._read
    site.confirm(0.5)
    site.loop.run(5.1)
    assert site.sent_at == [5.004]


def test_requests_are_served_while_the_store_is_away(site):
    """Callers got nothing for want of a list that nobody could read."""
    site.read_s = None
    site.loop.run(5.0)
    site.send()
    site.loop.run(5.0 + currentlist.MAX_WAIT_S)
    site.send()
    assert site.sent_at == [5.0 + currentlist.MAX_WAIT_S] * 2


def test_the_age_counts_again_once_the_store_is_back(site):
    """After one outage the age of the list was looked at no more."""
    site.read_s = None
    site.loop.run(5.0)
    site.send()
    site.loop.run(6.0)
    site.confirm(6.0)
    site.read_s = 0.004
    site.loop.run(9.0)
    site.send()
    assert len(site.sent_at) == 1
    site.loop.run(9.1)
    assert site.sent_at[1:] == [9.004]


def test_a_current_list_costs_no_wait(site):
    site.loop.run(BOUND_S)
    site.send()
    assert site.sent_at == [BOUND_S]


class _Backup:
    """A run's backup at a replica, and what it was claimed to be."""

    def __init__(self, site):
        self._probes = []
        self.replicas = {'r': mock.MagicMock()}
        self.replicas['r'].record.id = 'r'
        self.replicas['r'].refusal.return_value = None
        self.verdicts = []
        self.claimed = []
        prober = types.SimpleNamespace(
            probe=lambda replica, done: self._probes.append(done))
        self.copy = backups.KvBackup(prober, self, site.list, mock.MagicMock())
        self.copy.holder = self.replicas['r']

    def probe(self):
        self.copy.probe(None, self._on_probed)

    def finish_probe(self, verdict):
        self._probes.pop(0)(verdict)

    def _on_probed(self, verdict):
        self.verdicts.append(verdict)
        self.claimed.append(self.copy.claim())


def test_a_run_goes_on_from_a_backup_by_a_list_that_was_read_since(site):
    """An entry that was held up went on at a replica that had left."""
    backup = _Backup(site)
    site.list.read_now = lambda: (backup.replicas.clear(), site._read())
    site.loop.run(5.0)
    backup.probe()
    backup.finish_probe('exited')
    site.loop.run(5.1)
    assert (backup.verdicts, backup.claimed) == (['exited'], [None])


def test_a_run_whose_caller_leaves_meanwhile_does_not_go_on(site):
    """Guards against runs from backups for callers that are gone."""
    backup = _Backup(site)
    site.loop.run(5.0)
    backup.probe()
    backup.finish_probe('exited')
    backup.copy.cancel_probe()
    site.loop.run(5.1)
    assert backup.claimed == []


def test_the_verdict_on_an_earlier_attempt_is_not_taken_for_the_next(site):
    """Guards against a sound replica that is left for its backup."""
    backup = _Backup(site)
    backup.probe()
    backup.copy.cancel_probe()
    backup.probe()
    backup.finish_probe('exited')
    backup.finish_probe('alive')
    assert backup.verdicts == ['alive']
