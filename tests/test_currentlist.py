"""Requests that wait for a current list of the replicas."""

import types
from unittest import mock

import pytest
import stores

from gorsefall.policy import freshness
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
        if self.list.admit(request):
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
