"""How old the lists of replicas become while others lose the store."""

from unittest import mock

import leaving_entries
import pytest
import stores

from gorsefall.policy import freshness
from gorsefall.relay import pacing

SETTLED_S = 10.0
TROUBLE_S = 8.0


@pytest.fixture(autouse=True)
def _quiet():
    with mock.patch('gorsefall.logs.get', lambda name: mock.MagicMock()):
        yield


@pytest.fixture(name='site', params=[1, 13, 28])
def _site(request):
    loop = stores.Loop()
    with (mock.patch.object(stores, 'Loop', lambda: loop),
          mock.patch.object(freshness, 'clock', lambda: loop.now)):
        site = leaving_entries.Site(request.param)
        site.run(SETTLED_S)
        yield site


def _lose_store(entry):
    entry.client.unreachable = True


def _kill(entry):
    entry.loop.dead = True


def _change_store(entry):
    # It names the store in another way now, and ignores the others' queries.
    entry.sharing._store = 'another'


@pytest.mark.parametrize('fail', [_lose_store, _kill, _change_store])
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
