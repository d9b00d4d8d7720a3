"""How old the lists of replicas become while others lose the store."""

import leaving_entries
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gorsefall.relay import pacing

TROUBLE_S = 8.0


@pytest.fixture(name='site', params=[1, 13, 28])
def _site(request):
    with leaving_entries.settled(leaving_entries.Site, request.param) as site:
        yield site


def _lose_store(entry):
    entry.client.unreachable = True


def _kill(entry):
    entry.loop.dead = True


def _refuse(entry):
    # Its calls fail at once, as with a reset.
    entry.client.refusing = True


def _freeze(entry):
    entry.loop.frozen_until = entry.loop.now + 5.0


def _change_store(entry):
    # It names the store in another way now, and ignores the others' queries.
    entry.sharing._store = 'another'


@pytest.mark.parametrize('fail',
                         [_lose_store, _refuse, _kill, _freeze, _change_store])
@pytest.mark.parametrize('wait_s', [0.0, 0.3, 0.6])
def test_calm_entries_have_a_current_list_while_readers_fail(
        site, fail, wait_s):
    """Entries that reach the store go by what failing readers told them."""
    site.run(wait_s)
    failing = site.readers()
    for entry in failing:
        fail(entry)
    calm = [e for e in site.entries if e not in failing]
    assert site.oldest_s(calm, TROUBLE_S) <= pacing.max_replicas_age_s(site.cfg)


@pytest.mark.parametrize('fail',
                         [_lose_store, _refuse, _kill, _freeze, _change_store])
def test_half_of_the_time_is_left_for_the_way_to_a_replica(site, fail):
    """A slow machine took longer for a request than the list's age left."""
    failing = site.readers()
    for entry in failing:
        fail(entry)
    calm = [e for e in site.entries if e not in failing]
    assert site.oldest_s(calm, TROUBLE_S) <= site.cfg.leave_s / 2


@pytest.mark.parametrize('fail', [_lose_store, _refuse])
def test_readers_that_lose_the_store_go_by_what_others_read(site, fail):
    """An entry that read for others went by its own list for four seconds."""
    failing = site.readers()[:1]
    for entry in failing:
        fail(entry)
    assert site.oldest_s(failing,
                         TROUBLE_S) <= pacing.max_replicas_age_s(site.cfg)


@pytest.mark.parametrize('fail', [_lose_store, _kill, _change_store])
@pytest.mark.parametrize('per_zone', [1, 13])
def test_calm_entries_have_a_current_configuration_while_readers_fail(
        per_zone, fail):
    """A new configuration was as late as the lists of replicas were."""
    with leaving_entries.settled(leaving_entries.ConfigurationSite,
                                 per_zone) as site:
        failing = site.readers()
        for entry in failing:
            fail(entry)
        calm = [e for e in site.entries if e not in failing]
        assert site.oldest_s(calm,
                             TROUBLE_S) <= pacing.max_config_age_s(site.cfg)


_STEPS = st.lists(st.tuples(
    st.sampled_from(
        ['lose_store', 'kill', 'change_store', 'cut', 'freeze', 'wait']),
    st.integers(0, 6), st.floats(0.0, 1.5)),
                  max_size=8)
_OUTCOMES = st.lists(st.sampled_from(
    ['ok', 'ok', 'late', 'lost', 'twice', 'slow']),
                     max_size=80)


def _apply_step(site, what, entry):
    if what == 'cut':
        site.network.cut.add(entry.own.host)
    elif what == 'freeze':
        entry.loop.frozen_until = site.loop.now + 3.0
    elif what != 'wait':
        {
            'lose_store': _lose_store,
            'kill': _kill,
            'change_store': _change_store
        }[what](entry)


@settings(max_examples=150, deadline=None)
@given(_STEPS, _OUTCOMES)
def test_an_entry_that_reaches_the_store_has_a_current_list(steps, outcomes):
    """Its list was as old as others, and lost messages, made it."""
    with leaving_entries.settled(leaving_entries.Site, 1) as site:
        site.network.outcomes = iter(outcomes)
        troubled = {
            site.entries[n]
            for what, n, _ in steps
            if what not in ('wait', 'cut', 'change_store')
        }
        calm = [e for e in site.entries if e not in troubled]
        for entry in calm:
            entry.observed.restart()
        for what, number, wait_s in steps:
            _apply_step(site, what, site.entries[number])
            site.run(wait_s)
        site.run(TROUBLE_S)
        for entry in calm:
            entry.observed.age()
            assert entry.observed.oldest_s <= pacing.max_replicas_age_s(
                site.cfg)
