"""Entries on small links, together and over time, in simulated time."""

import pytest

from gorsefall.emulator import announcing

CONTACT_S = 4.0
"""Time after which a limit has to be kept, s."""

MAX_CANCEL_S = 0.5
"""Time within which a run has to end after its caller left, s."""

CONFIGURATION_BYTES = 800_000
GROWTHS_AT_S = [5.0 + 0.8 * i for i in range(7)]


def _site(entries, seed, **fields):
    site = announcing.Site(entries, 10, seed, **fields)
    site.submit_at_random(3.0 * entries, 14.0)

    def limit():
        for replica in site.replicas[:4]:
            replica.set_limit(1.0, site.loop.now)

    site.loop.call_later(1.0, limit)
    return site


def _grow_repeatedly(site):
    for at in GROWTHS_AT_S:
        site.loop.call_later(
            at, lambda: site.grow_configuration(CONFIGURATION_BYTES))


@pytest.mark.parametrize('entries, seed', [(9, 1), (87, 2), (195, 4)])
def test_a_limit_is_kept_while_configurations_fill_all_links(entries, seed):
    """Entries that receive no status for some seconds each send the whole
    limit of a replica."""
    site = _site(entries, seed)
    _grow_repeatedly(site)
    site.loop.run(14.0)
    assert sum(e.inbound.dropped for e in site.entries) > entries
    assert site.worst_excess(CONTACT_S) <= 0
    assert max(site.cancel_waits_s) <= MAX_CANCEL_S


def test_a_limit_is_kept_while_entries_freeze_and_restart():
    """Entries that start without knowing others send the whole limit."""
    site = _site(30, 3)
    for i, entry in enumerate(site.entries[:18]):
        at = 4.0 + 0.4 * i
        site.loop.call_later(at, lambda entry=entry: entry.freeze(2.0))
        if i % 2:
            site.loop.call_later(at + 2.0, entry.start)
    site.loop.run(14.0)
    assert site.worst_excess(CONTACT_S) <= 0
