"""Usage reports after the store has lost claims that it had confirmed."""

import collections

from unittest import mock

import duty_site
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gorsefall.duties import claims
from gorsefall.duties import lease
from gorsefall.duties import pastcalls
from gorsefall.duties import reports

AWAY_S = 1.0


class _Play:
    """Requests at all entries; the store comes back without its last claims.

    Attributes:
        site: The ``duty_site.Site``.
        expected: ``window -> requests``.
    """

    def __init__(self,
                 seed,
                 lost,
                 *,
                 count=3,
                 lease_s=1.0,
                 loss=0.0,
                 due_s=duty_site.DUE_S):
        self.site = duty_site.Site(count, seed, 1.0, lease_s, due_s)
        self.site.loss = loss
        self.expected = collections.Counter()
        self._lost = lost
        self.site.run(9.07)

    def serve(self, seconds):
        """Runs one request an entry and step of 0.2 s."""
        for _ in range(int(seconds * 5)):
            true_s = duty_site.EPOCH_S + self.site.loop.now
            for entry in self.site.entries.values():
                if not entry.loop.dead:
                    entry.run('a')
                    self.expected[int(true_s // self.site.window_s)] += 1
            self.site.run(0.2)

    def lose_claims(self, away_s=AWAY_S, lost=None):
        """The store is away for a moment, and back without its last claims."""
        self.site.store.up = False
        self.serve(away_s)
        self.site.store.restore(self._lost if lost is None else lost)
        self.site.store.up = True

    def windows_missing(self):
        """Returns the windows with requests that were never reported."""
        # The last ones may be under way.
        due = sorted(self.expected)[:-6]
        return [w for w in due if w not in self.site.platform.usage]

    def overdue_at(self, at):
        """Returns the last window that could not be reported any more."""
        ended_s = duty_site.EPOCH_S + at - duty_site.DUE_S
        return int(ended_s // self.site.window_s) - 1

    def reported_share(self):
        """Returns the part of all requests that was reported."""
        due = sorted(self.expected)[:-6]
        reported = sum(
            sum(self.site.platform.usage.get(w, {}).values()) for w in due)
        return reported / sum(self.expected[w] for w in due)


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('lost', [1, 3, 100])
@pytest.mark.parametrize('lease_s', [1.0, 3.0])
def test_windows_are_reported_by_a_successor_that_lacks_claims(
        lease_s, lost, seed):
    """Another entry takes over after lost claims and leaves out windows that
    entries which are there know all about."""
    play = _Play(seed, lost, lease_s=lease_s)
    play.serve(4.0)
    old, = play.site.holders()
    # With the longer lease its calls fail for longer than those of the others.
    old.source.up = lease_s < 3.0
    play.lose_claims()
    play.serve(2.0)
    old.source.up = True
    play.serve(24.0)
    assert not play.site.platform.violations
    assert play.site.holders()
    if lease_s < 3.0:
        assert play.windows_missing() == []
        assert play.reported_share() == 1.0
    else:
        # The takeover itself lasts longer than a window may wait.
        taken_at = next(
            at for at, name in play.site.platform.sent if name != old.name)
        overdue = play.overdue_at(taken_at)
        assert all(w <= overdue for w in play.windows_missing())
        assert len(play.windows_missing()) <= 1


def _fix_without_an_entry(lease_s=1.0, seed=1):
    """Returns a play whose holder fixed windows without what one entry counted.

    Anybody who counts them again now gets other counts.

    Returns:
        The ``_Play``, its holder, the entry that could not report.
    """
    # Reports are due late, so that those of low windows are not overdue.
    play = _Play(seed, 100, lease_s=lease_s, due_s=16.0)
    old, = play.site.holders()
    late = next(e for e in play.site.entries.values() if e is not old)
    play.serve(1.0)
    late.peers_up = False
    # A holder gives the reports of a window 0.35 * 16 s.
    play.serve(9.0)
    play.site.loop.call_later(0.5, lambda: setattr(late, 'peers_up', True))
    assert any(c['a'] < 15 for c in play.site.platform.usage.values())
    return play, old, late


@pytest.mark.parametrize('lease_s', [1.0, 3.0])
@pytest.mark.parametrize(
    'fault', [None, 'cut', 'kill', 'restart', 'restart late', 'freeze'])
def test_windows_that_were_reported_are_not_counted_again(fault, lease_s):
    """A successor counts again what a lost claim had fixed, whether the one
    that reported it is there, is gone, or is there as another process."""
    play, old, _ = _fix_without_an_entry(lease_s)
    if fault == 'cut':
        old.source.up = False
    elif fault == 'kill':
        old.kill()
    elif fault == 'restart':
        old.restart()
    elif fault == 'restart late':
        old.kill()
        play.site.loop.call_later(5.0, old.restart)
    elif fault == 'freeze':
        old.freeze(4.0)
    play.lose_claims()
    play.serve(25.0)
    assert not play.site.platform.violations
    assert play.site.holders()
    last = max(play.expected)
    assert last - 6 in play.site.platform.usage


def test_a_holder_that_reported_and_took_over_again_repeats_its_counts():
    """It asks the others alone, and counts again what it reported itself."""
    play, old, late = _fix_without_an_entry()
    for entry in play.site.entries.values():
        entry.source.up = entry is old
    # Else the windows are overdue.
    with mock.patch.object(lease, 'UNFIT_S', 0.5):
        play.lose_claims()
        play.serve(20.0)
    assert [e.name for e in play.site.holders()] == [old.name]
    assert late.name != old.name
    assert not play.site.platform.violations


def test_an_entry_that_does_not_answer_is_taken_for_one_that_reported():
    """An entry of an earlier version knows of no question, and its calls are
    taken for none."""
    play, old, _ = _fix_without_an_entry()
    old.duties._own_calls.answer = lambda *args: None
    before = set(play.site.platform.usage)
    play.lose_claims()
    play.serve(25.0)
    assert not play.site.platform.violations
    assert not play.site.platform.usage.keys() >= set(play.expected) - before


def test_answers_to_an_earlier_holder_do_not_count():
    """A process that answered and held the duties afterwards has acted."""
    recall = pastcalls.Recall(7, pastcalls.OwnCalls(4), 100.0)
    recall.record('b', reports.PastCalls(6, 50.0), 200.0)
    assert recall.lacking('a', {'a', 'b'}) == {'b'}
    recall.record('b', reports.PastCalls(7, 50.0), 200.0)
    assert not recall.lacking('a', {'a', 'b'})
    assert recall.complete_since == 150.0 + pastcalls.START_MARGIN_S


def test_entries_that_only_others_remember_are_asked():
    """An entry that started during a cut does not know who acted beyond it."""
    recall = pastcalls.Recall(7, pastcalls.OwnCalls(4), 100.0)
    recall.record('b', reports.PastCalls(7, 50.0, ('a', 'c')), 200.0)
    assert recall.lacking('a', {'b'}) == {'c'}


def test_a_holder_repeats_its_own_calls():
    """It asks the others alone, and counts again what it reported itself
    without an answer."""
    own = pastcalls.OwnCalls(4)
    own.record(3, {'a': 1})
    recall = pastcalls.Recall(7, own, 100.0)
    answer = reports.PastCalls(7, 50.0, (), (claims.WindowCounts(4, {'a': 2}),))
    recall.record('b', answer, 200.0)
    assert recall.windows == {3: {'a': 1}, 4: {'a': 2}}


def test_the_last_calls_are_remembered():
    """The calls of a holder for long take ever more memory, or the last one
    is forgotten for one that was made earlier."""
    calls = pastcalls.OwnCalls(2)
    for window in (1, 2, 1, 3):
        calls.record(window, {'a': window})
    assert calls.windows == {1: {'a': 1}, 3: {'a': 3}}


_FAULTS = ('copy', 'copy', 'kill', 'restart', 'freeze', 'mute', 'cut', 'store',
           'call_lost', 'call_late', 'lost', 'dropped', 'late')


@hypothesis_settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 10**6), st.integers(2, 5), st.sampled_from([1.0, 3.0]),
    st.lists(st.tuples(st.sampled_from(_FAULTS), st.integers(0, 9),
                       st.floats(0.0, 4.0)),
             max_size=12))
def test_losses_and_other_faults_in_any_order(seed, count, lease_s, faults):
    """Under several losses, kills and cuts a window is reported with two
    counts, or no window any more."""
    play = _Play(seed, 0, count=count, lease_s=lease_s, loss=0.1)
    site = play.site
    for fault, number, pause_s in faults:
        holders = site.holders()
        some = holders if number % 2 and holders else list(
            site.entries.values())
        entry = some[number % len(some)]
        for_s = 0.7 * number

        def later(name, target, for_s=for_s):
            setattr(target, name, False)
            site.loop.call_later(for_s, lambda: setattr(target, name, True))

        if fault == 'copy':
            play.lose_claims(number * 0.2, lost=1 + number // 2)
        elif fault == 'kill':
            entry.kill()
            site.loop.call_later(for_s, entry.restart)
        elif fault == 'restart':
            entry.restart()
        elif fault == 'freeze':
            entry.freeze(for_s)
        elif fault in ('mute', 'cut'):
            later('peers_up', entry, for_s if fault == 'mute' else 4 * for_s)
        elif fault == 'store':
            later('up', entry.source)
        elif fault.startswith('call_'):
            entry.client.faults.append(fault.removeprefix('call_'))
        else:
            entry.source.faults.append(fault)
        play.serve(pause_s)
    play.serve(32.0)
    assert not site.platform.violations
    site.run(1.0)
    assert site.holders()
    assert max(play.expected) - 8 in site.platform.usage
