"""The agreement on the holder of the duties, under failures."""

import itertools

import duty_site
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gorsefall.duties import claims
from gorsefall.duties import coordinator
from gorsefall.duties import lease

SETTLE_S = 9.0
"""Time after the last fault within which there is one holder again, s: the
silence of the last one, a lease, and the turns of a few candidates."""


def _site(count=3, seed=1):
    site = duty_site.Site(count, seed)
    site.run(SETTLE_S)
    assert len(site.holders()) == 1
    return site


def _add_work(site, seconds):
    """Has requests run at all entries, so that the holder has reports."""
    for _ in range(int(seconds * 5)):
        for entry in site.entries.values():
            entry.run('a')
        site.run(0.2)


def test_entries_that_start_together_do_not_storm_the_store():
    """All of tens of entries read and claim at their start."""
    site = duty_site.Site(40)
    site.run(SETTLE_S)
    assert len(site.holders()) == 1
    assert site.store.calls <= 6


@pytest.mark.parametrize('fault', ['kill', 'freeze', 'store', 'peers'])
def test_another_entry_takes_over(fault):
    """The duties end with the entry that holds them."""
    site = _site()
    old, = site.holders()
    _add_work(site, 6.0)
    if fault == 'kill':
        old.kill()
    elif fault == 'freeze':
        old.freeze(12.0)
    elif fault == 'store':
        old.source.up = False
    else:
        old.peers_up = False
    _add_work(site, 16.0)
    assert {e.name for e in site.holders()} - {old.name}
    assert site.platform.sent[-1][1] != old.name
    assert not site.platform.violations


def test_a_stopped_holder_hands_over_at_once():
    """The lease of an entry that was stopped as planned has to run out."""
    site = _site()
    old, = site.holders()
    old.lease.release(for_good=True)
    site.run(2 * coordinator.TURN_S + coordinator.VACANCY_S + 1.5)
    new, = site.holders()
    assert new is not old


def test_a_frozen_holder_does_not_act_when_it_continues():
    """A holder that was frozen sends its call although another one claimed."""
    site = _site()
    old, = site.holders()
    _add_work(site, 3.0)
    old.freeze(15.0)
    _add_work(site, 30.0)
    assert not site.platform.violations
    assert not old.lease.held


def test_all_entries_killed_at_once_recover():
    """After a restart of all, the last lease is never over or never known."""
    site = _site()
    _add_work(site, 6.0)
    for entry in site.entries.values():
        entry.restart()
    _add_work(site, 14.0)
    assert len(site.holders()) == 1
    assert not site.platform.violations


@pytest.mark.parametrize('fault', ['lost', 'dropped', 'late'])
def test_an_append_without_an_answer(fault):
    """A claim whose answer was lost blocks the holder, or is acted on twice."""
    site = _site()
    holder, = site.holders()
    holder.source.faults.extend([fault])
    _add_work(site, 14.0)
    assert len(site.holders()) == 1
    assert len(site.platform.usage) >= 2
    assert not site.platform.violations


def test_an_outage_of_the_store_for_all():
    """Candidates that lost the store together storm it or give up for good."""
    site = _site(5)
    site.store.up = False
    calls = site.store.calls
    site.run(20.0)
    assert site.store.calls - calls < 150
    site.store.up = True
    _add_work(site, 12.0)
    assert len(site.holders()) == 1
    assert not site.platform.violations


def test_an_unreadable_claim_is_replaced():
    """One malformed record ends the duties for good."""
    site = duty_site.Site(2)
    site.store.records = [(lease.CLAIM_KEY, b'\xc1')]
    site.store.holders = {0: '?'}
    _add_work(site, 26.0)
    assert len(site.holders()) == 1
    assert site.platform.usage


def test_a_partition_of_the_entries_does_not_make_two_act():
    """Both sides hold the duties, and their calls alternate."""
    site = _site(6)
    side = list(site.entries.values())[:3]
    sender = site.send

    def send(source, data, host):
        if (source in side) == (site.entries[host] in side):
            sender(source, data, host)

    site.send = send
    _add_work(site, 40.0)
    assert not site.platform.violations
    _check_alternation(site.platform.sent)


def _check_alternation(sent):
    """No holder acts again within a lease if another acted in between."""
    last = {}
    for at, holder in sent:
        if holder in last and any(
                last[holder] < t for h, t in last.items() if h != holder):
            assert at - last[holder] >= duty_site.LEASE_S
        last[holder] = at


@pytest.mark.parametrize('lost', [1, 2, 5, 100])
@pytest.mark.parametrize('fault', [None, 'kill', 'freeze'])
def test_a_store_that_comes_back_from_an_older_copy(lost, fault):
    """Two holders use one token, or a window is counted again."""
    site = _site()
    _add_work(site, 30.0)
    old, = site.holders()
    if fault:
        _inject(site, old, fault, 15.0)
    _restore(site, 1.0, lost)
    _add_work(site, 30.0)
    assert len(site.holders()) == 1
    assert not site.platform.violations
    _check_alternation(site.platform.sent)
    last = int((duty_site.EPOCH_S + site.loop.now) // duty_site.WINDOW_S)
    assert last - 2 in site.platform.usage


def test_the_store_loses_claims_twice_within_a_second():
    """A holder takes a claim of the first return for one of the second."""
    site = _site()
    _add_work(site, 20.0)
    _restore(site, 0.4, 2)
    _add_work(site, 0.6)
    _restore(site, 0.4, 1)
    _add_work(site, 25.0)
    assert len(site.holders()) == 1
    assert not site.platform.violations


def test_a_store_that_lost_all_claims():
    """A window that a lost claim had fixed is counted again, as no claim is
    taken for none before."""
    site = _site()
    _add_work(site, 12.0)
    old, = site.holders()
    old.kill()
    _restore(site, 0.5, 100)
    _add_work(site, 20.0)
    first = claims.decode(site.store.records[0][1])
    assert first.follows_loss and first.holder != old.name
    assert not site.platform.violations


def test_a_process_that_starts_hears_of_claims_that_are_gone():
    """It takes a store that lost all claims for one that had none, and counts
    again what its predecessor has reported."""
    site = _site()
    _add_work(site, 12.0)
    old, = site.holders()
    old.restart()
    _restore(site, 0.5, 100)
    _add_work(site, 20.0)
    assert claims.decode(site.store.records[0][1]).follows_loss
    assert not site.platform.violations


def test_a_claim_for_a_lost_history_counts_for_nothing():
    """A holder that was frozen claims at an offset that was given out again,
    and its decisions replace those of its successor."""
    site = _site()
    _add_work(site, 20.0)
    old, = site.holders()
    old.freeze(12.0)
    _restore(site, 0.5, 3)
    _add_work(site, 40.0)
    assert not site.platform.violations
    new, = site.holders()
    key, _ = site.store.records[-1]
    assert key == lease.claim_key(site.store.era)
    assert new is not old


FAULTS = ('kill', 'freeze', 'store', 'cloud', 'peers', 'outage', 'cloud_down',
          'lost', 'dropped', 'late', 'call_lost', 'call_late', 'clock',
          'older_copy')


def _restore(site, away_s, lost):
    """The store is away, and comes back without its last records."""

    def come_back():
        site.store.restore(lost)
        site.store.up = True

    site.store.up = False
    site.loop.call_later(away_s, come_back)


def _inject(site, entry, fault, for_s):
    """Injects a fault that ends after ``for_s``."""

    def switch(target, name):
        setattr(target, name, False)
        site.loop.call_later(for_s, lambda: setattr(target, name, True))

    if fault == 'kill':
        entry.kill()
        site.loop.call_later(for_s, entry.restart)
    elif fault == 'freeze':
        entry.freeze(for_s)
    elif fault == 'older_copy':
        _restore(site, min(for_s, 2.0), int(for_s))
    elif fault == 'clock':
        entry.clock_step_s += 7.0 if for_s > 3 else -7.0
    elif fault in ('lost', 'dropped', 'late'):
        entry.source.faults.append(fault)
    elif fault.startswith('call_'):
        entry.client.faults.append(fault.removeprefix('call_'))
    else:
        target, name = {
            'store': (entry.source, 'up'),
            'cloud': (entry.client, 'up'),
            'peers': (entry, 'peers_up'),
            'outage': (site.store, 'up'),
            'cloud_down': (site.platform, 'up'),
        }[fault]
        switch(target, name)


@hypothesis_settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 10**6), st.integers(2, 6),
    st.lists(st.tuples(st.floats(0.1, 5.0), st.integers(0, 5),
                       st.sampled_from(FAULTS), st.floats(0.5, 8.0)),
             max_size=14))
def test_faults_in_any_order(seed, count, faults):
    """Under several faults two entries act, or none ever again."""
    site = duty_site.Site(count, seed)
    site.loss = 0.05
    for pause_s, number, fault, for_s in faults:
        _add_work(site, pause_s)
        # The holder as often as not: it matters most.
        holders = site.holders()
        victims = holders if number % 2 and holders else list(
            site.entries.values())
        _inject(site, victims[number % len(victims)], fault, for_s)
    _add_work(site, 8.0 + 2 * SETTLE_S)
    assert not site.platform.violations
    _check_alternation(site.platform.sent)
    # A holder that was replaced may not have heard of it yet.
    site.run(1.0)
    assert site.holders()
    if not any(f[2] == 'clock' for f in faults):
        last = int((duty_site.EPOCH_S + site.loop.now) // duty_site.WINDOW_S)
        assert last - 2 in site.platform.usage


@pytest.mark.parametrize('fault', [None, 'lost', 'dropped', 'late'])
def test_every_interleaving_of_two_candidates(fault):
    """Two candidates claim with the same token, or act beside each other.

    All sequences of five steps: in each, none, one or both of them are frozen.
    """
    for schedule in itertools.product(range(4), repeat=5):
        site = duty_site.Site(2, 1)
        site.run(6.5)
        first, second = site.entries.values()
        if fault:
            for entry in (first, second):
                entry.source.faults.append(fault)
        for step in schedule:
            for bit, entry in ((1, first), (2, second)):
                if step & bit:
                    entry.freeze(1.8)
            for entry in (first, second):
                entry.run('a')
            site.run(1.8)
        assert not site.platform.violations, schedule
        _check_alternation(site.platform.sent)


def test_claims_keep_what_was_decided():
    """A later claim counts a window again, or forgets the orders."""
    claim = claims.Claim().with_window(7, {'a': 3})
    with pytest.raises(ValueError):
        claim.with_window(7, {'a': 4})
    assert claim.counts_of(7) == {'a': 3}
    copy = claims.decode(claims.encode(claim))
    assert copy == claim


def test_the_action_window_is_shorter_than_the_lease():
    """A call that is sent last arrives after a successor may have claimed."""
    assert lease.ACTION_SHARE < 0.5
