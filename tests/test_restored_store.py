"""Versions of a configuration in a store that comes back from older copies."""

import collections
import types
from unittest import mock

import entries
import pytest
import stores
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gorsefall.policy import freshness
from gorsefall.policy import readers
from gorsefall.relay import configurationlistener
from gorsefall.relay import lostversions
from gorsefall.relay import peers
from gorsefall.relay import topiclisteners

APPLY_S = 2.0
"""Time within which a version that was confirmed has to be in force, s."""

IN_TOUCH_S = 3.0
"""Time without a fault after which that bound holds, s."""

AWAY_S = 1.0

READ_WAIT_S = 1.3
"""Time after which a read that waits at the store has ended, s."""

CONFIG = 'config'


@pytest.fixture(autouse=True)
def _quiet():
    with mock.patch('gorsefall.logs.get', lambda name: mock.MagicMock()):
        yield


class _Records(topiclisteners.RecordDecoder):

    def decode_table(self, record):
        return types.SimpleNamespace(version=int(record.value))


class _Node:
    """One process: its active version, and what its confirmations claim."""

    def __init__(self, site, loop):
        self._site = site
        self._loop = loop
        self.table = None
        self.confirmed_at = float('-inf')

    def adopt(self, table):
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def on_store_restored(self):
        pass

    def record_confirmation(self, sent_at):
        self._site.check_confirmation(self.table.version, sent_at)
        self.confirmed_at = max(self.confirmed_at, sent_at)


class _Site(entries.Site):
    """Entries that follow the versions that an operator writes.

    Attributes:
        versions: ``(written at, version)`` of each version, also of lost ones.
        violations: What must not happen, a list of str.
    """

    def __init__(self, *args, **options):
        self.versions = [(-1.0, 1)]
        self.violations = []
        super().__init__(*args,
                         new_listener=self._new_listener,
                         first=(CONFIG, b'1'),
                         **options)

    def _new_listener(self, entry):
        entry.node = _Node(self, entry.loop)
        return configurationlistener.ConfigurationListener(
            entry.node, _Records())

    def reach_version_6(self, pause_s=1.0):
        """Writes versions 2 to 6, and waits until entries are in touch."""
        self.run(8.0)
        for version in range(2, 7):
            self.write(version)
            self.run(pause_s)
        self.run(IN_TOUCH_S)

    def write(self, version):
        self.versions.append((self.loop.now, version))
        self.store.put(CONFIG, b'%d' % version)

    def check_confirmation(self, version, sent_at):
        newest = max(v for at, v in self.versions if at < sent_at)
        if version < newest:
            self.violations.append(
                f'{version} confirmed as of {sent_at:.2f}, {newest} is newer')

    def away(self, lost):
        """The store is away for a moment, and back without the last records."""
        for entry in self.entries:
            entry.client.unreachable = True
        self.run(AWAY_S)
        self.store.restore(lost)
        for entry in self.entries:
            entry.client.unreachable = False

    def check_versions_7_and_8(self):
        """Two versions at once; the newest has to be in force in time."""
        for version in (7, 8):
            self.write(version)
            self.run(0.1)
        self.run(APPLY_S - 0.1)
        assert set(self.active_versions()) == {8}
        assert self.violations == []

    def active_versions(self):
        """Returns the active version of each running entry, 0 for none."""
        return [
            e.node.table.version if e.node.table else 0
            for e in self.entries
            if not e.loop.dead
        ]


class _SeededSite(_Site):
    """Entries that start know their seeds only, and others by statuses.

    Attributes:
        starters: Entries that ``restart`` has started anew.
    """
    seed_count = 3

    def __init__(self, *args, **options):
        self._heard = collections.defaultdict(set)
        self.starters = []
        super().__init__(*args, **options)
        for entry in self.entries:
            self._send_statuses(entry, entry.loop)

    def others_of(self, entry):
        """See ``entries.Site``."""
        hosts = dict.fromkeys(list(self.network.entries)[:self.seed_count])
        hosts.update(dict.fromkeys(sorted(self._heard[entry.loop])))
        hosts.pop(entry.own.host, None)
        return [self.network.entries[h] for h in hosts]

    def others(self, entry):
        """See ``entries.Site``."""
        heard = self._heard[entry.loop]
        return [c for c in super().others(entry) if c.host in heard]

    def restart(self, entry):
        entry.loop.dead = True
        entry.start()
        self.starters.append(entry)
        self._send_statuses(entry, entry.loop)

    def _send_statuses(self, entry, process):
        if entry.loop is not process:
            return
        count = len(self.entries)
        pause_s = max(peers.MAX_PAUSE_S, count / peers.MAX_MESSAGES_PER_S)
        process.call_later(pause_s * self.rng.uniform(0.9, 1.1),
                           lambda: self._send_statuses(entry, process))
        heard = sorted(self._heard[process])
        listed = self.rng.sample(
            heard,
            min(
                len(heard), peers.MAX_HOSTS_PER_MESSAGE
                if count <= peers.SMALL_DEPLOYMENT_ENTRIES else 1))
        version = entry.node.table.version if entry.node.table else 0
        self.loop.call_later(
            0.002, lambda: [
                self._receive(other, entry.own.host, version, listed)
                for other in self.others_of(entry)
            ])

    def _receive(self, entry, host, version, listed):
        if {entry.own.host, host} & self.network.cut or entry.loop.dead:
            return
        if entry.loop.now >= entry.loop.frozen_until:
            self._heard[entry.loop].update({host, *listed} - {entry.own.host})
            entry.sharing.handle_versions({'t': version}, host)

    def write_to_one(self, version):
        """One entry, which is no seed and runs on, learns of it before."""
        alone = self.entries[-1]
        hosts = {e.own.host for e in self.entries}
        for entry in self.entries:
            entry.client.unreachable = entry is not alone
        self.network.cut |= hosts
        # Reads that wait at the store end without it.
        self.run(READ_WAIT_S)
        self.write(version)
        alone.follower.read_once()
        self.run(0.3)
        assert self.active_versions().count(version) == 1
        self.network.cut.clear()

    def lose_versions(self, lost):
        """The store loses them while over half of the entries restart."""
        self.away(lost)
        self.run(0.2)
        for entry in self.entries[:len(self.entries) * 11 // 20]:
            self.restart(entry)

    def ready_after_s(self, share=1.0, within_s=3.0):
        """Returns how long it takes until those started serve, s."""
        began_at = self.loop.now
        while self.loop.now < began_at + within_s:
            ready = sum(
                e.node.confirmed_at > began_at - 1.0 for e in self.starters)
            if ready >= share * len(self.starters):
                break
            self.run(0.01)
        return self.loop.now - began_at


@pytest.fixture(name='site_of')
def _site_of():
    """Creates sites whose clock is that of the simulation."""
    loops = []

    def now():
        return loops[-1].now

    def create(*args, kind=_Site, **options):
        return kind(*args, **options)

    original = stores.Loop

    def new_loop():
        loops.append(original())
        return loops[-1]

    with (mock.patch.object(stores, 'Loop', new_loop),
          mock.patch.object(freshness, 'clock', now)):
        yield create


SIZES = [('a', 7), ('abc', 29), ('abcde', 39)]
"""Zones and entries of each: 7, 87 and 195 entries."""


@pytest.mark.parametrize('size', SIZES, ids=lambda s: str(len(s[0]) * s[1]))
@pytest.mark.parametrize('lost', [1, 4])
@pytest.mark.parametrize('wait_s', [0.0, 1.0, 4.0])
def test_versions_after_the_return_are_in_force_in_time(site_of, size, lost,
                                                        wait_s):
    """Entries drop what has an offset that they have seen before."""
    zones, per_zone = size
    site = site_of(per_zone, zones)
    site.reach_version_6()
    before = site.calls()
    site.away(lost)
    site.run(wait_s)
    assert set(site.active_versions()) == {6}
    site.check_versions_7_and_8()
    # The store that has just come back is not stormed by all entries.
    reader_count = max(readers.MIN_READERS,
                       -(-len(site.entries) // readers.ENTRIES_PER_READER))
    per_s = (site.calls() - before) / (AWAY_S + wait_s + APPLY_S)
    assert per_s <= 2.0 * len(site.entries) + 20.0 * reader_count


@pytest.mark.parametrize('seed', [3, 14, 33])
def test_an_entry_that_begins_to_read_after_the_return(site_of, seed):
    """It waits in the lost history for records that the copy gave to others."""
    site = site_of(39, 'abcde', seed=seed)
    site.reach_version_6()
    site.away(4)
    site.check_versions_7_and_8()


@pytest.mark.parametrize('size', SIZES, ids=lambda s: str(len(s[0]) * s[1]))
def test_an_entry_that_starts_gets_what_the_store_has_lost(site_of, size):
    """It would use the version of the copy, with keys that were revoked."""
    zones, per_zone = size
    site = site_of(per_zone, zones)
    site.reach_version_6(pause_s=0.5)
    site.away(4)
    site.run(1.5)
    for entry in site.entries[::5]:
        entry.loop.dead = True
        entry.start()
    for _ in range(30):
        site.run(0.1)
        assert set(site.active_versions()) <= {0, 6}
    assert set(site.active_versions()) == {6}
    assert site.violations == []


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('reads', [False, True])
@pytest.mark.parametrize('cut', ['store', 'others', 'both'])
def test_an_entry_that_is_cut_off_through_a_return(site_of, cut, reads, seed):
    """It confirms what is gone, or compares with it what it reads later."""
    site = site_of(7, 'abc', seed=seed)
    site.reach_version_6()
    entry = next(e for e in site.entries if e.sharing.is_reader == reads)
    if cut != 'store':
        site.network.cut.add(entry.own.host)
    entry.client.unreachable = cut != 'others'
    site.run(0.5)
    site.away(4)
    entry.client.unreachable = cut != 'others'
    site.run(2.0)
    site.write(7)
    site.run(APPLY_S)
    assert set(site.active_versions()) == ({6, 7} if cut == 'both' else {7})
    site.network.cut.clear()
    entry.client.unreachable = False
    site.run(IN_TOUCH_S)
    assert set(site.active_versions()) == {7}
    site.write(8)
    site.run(APPLY_S)
    assert set(site.active_versions()) == {8}
    assert site.violations == []


def test_a_lost_answer_does_not_hide_a_lost_version(site_of):
    """An entry that starts uses the copy as a datagram was lost."""
    site = site_of(2, 'a')
    site.run(8.0)
    site.write(2)
    site.run(1.0)
    site.away(1)
    site.run(2.0)
    entry = site.entries[0]
    entry.loop.dead = True
    site.network.outcomes = iter(['lost'])
    entry.start()
    for _ in range(20):
        site.run(0.05)
        assert set(site.active_versions()) <= {0, 2}
    assert set(site.active_versions()) == {2}


def test_settings_that_change_at_the_start_do_not_end_the_inquiry(site_of):
    """An entry that starts uses the copy, and denies what was added since, as
    its settings changed before others have told what they know."""
    site = site_of(3, 'ab')
    site.run(8.0)
    site.write(2)
    site.run(1.0)
    site.away(1)
    site.run(2.0)
    entry = site.entries[0]
    entry.loop.dead = True
    site.network.outcomes = iter(['lost'] * len(site.entries[1:]))
    entry.start()
    site.run(0.05)
    entry.follower.stop()
    entry.follow()
    for _ in range(40):
        site.run(0.05)
        assert set(site.active_versions()) <= {0, 2}
    assert set(site.active_versions()) == {2}
    assert site.violations == []


def test_entries_that_all_start_use_what_the_store_has(site_of):
    """They would wait for others that know no more than the copy holds."""
    site = site_of(3, 'ab')
    site.run(8.0)
    site.write(2)
    site.run(1.0)
    site.away(1)
    for entry in site.entries:
        entry.loop.dead = True
        entry.start()
    # Nobody knows the lost version any more.
    site.versions.pop()
    site.run(2.0)
    assert set(site.active_versions()) == {1}
    site.write(2)
    site.run(APPLY_S)
    assert set(site.active_versions()) == {2}
    assert site.violations == []


@pytest.mark.parametrize('size', SIZES, ids=lambda s: str(len(s[0]) * s[1]))
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_entries_that_start_together_do_not_confirm_the_copy(
        site_of, size, seed):
    """Their seeds have just started as well and know no more than the copy:
    requests with a key that was revoked run there."""
    zones, per_zone = size
    site = site_of(per_zone, zones, kind=_SeededSite, seed=seed)
    site.reach_version_6(pause_s=0.5)
    site.lose_versions(1)
    assert site.ready_after_s() < APPLY_S
    site.run(APPLY_S)
    assert set(site.active_versions()) == {6}
    assert site.violations == []


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_version_that_one_entry_alone_knows_is_not_lost(site_of, seed):
    """Entries that start ask others that know no more than they do; the status
    of the one that does comes later."""
    site = site_of(7, 'a', kind=_SeededSite, seed=seed)
    site.reach_version_6(pause_s=0.5)
    site.write_to_one(7)
    site.lose_versions(1)
    site.run(2 * APPLY_S)
    assert set(site.active_versions()) == {7}
    assert site.violations == []


@pytest.mark.parametrize('size', SIZES, ids=lambda s: str(len(s[0]) * s[1]))
@pytest.mark.parametrize('share', [0.2, 1.0])
def test_entries_that_start_without_trouble_are_ready_soon(
        site_of, size, share):
    """They wait for evidence that nobody has, or that others have at hand."""
    zones, per_zone = size
    site = site_of(per_zone, zones, kind=_SeededSite)
    site.run(8.0)
    for entry in site.entries[::round(1 / share)]:
        site.restart(entry)
    bound_s = (lostversions.INQUIRY_TIMEOUT_S
               if share < 1.0 else lostversions.UNPROVEN_WAIT_S)
    assert site.ready_after_s() <= bound_s + 0.1
    assert set(site.active_versions()) == {1}
    assert site.violations == []


@pytest.mark.parametrize('era, bound_s', [(0, 0.1), (1, 1.1)])
def test_entries_that_were_all_killed_are_ready_soon(site_of, era, bound_s):
    """They wait for evidence that nobody has, though a store that names no era
    can have lost nothing."""
    site = site_of(7, 'a', kind=_SeededSite)
    site.store.era = era
    site.run(8.0)
    for entry in site.entries:
        site.restart(entry)
    assert site.ready_after_s() <= bound_s


def test_a_version_of_another_store_holds_nothing_up_for_long(site_of):
    """Entries whose settings name another store state versions of that store,
    which nobody here can learn: requests are refused for good."""
    site = site_of(7, 'a')
    site.run(8.0)
    entry = site.entries[0]
    for _ in range(60):
        entry.sharing.handle_versions({'t': 99}, 'elsewhere')
        site.run(0.1)
        assert (site.loop.now - entry.node.confirmed_at
                < entries.MAX_CONFIRMATION_AGE_S)


_STEPS = st.lists(st.tuples(
    st.sampled_from(
        ['write', 'write', 'away', 'away', 'freeze', 'restart', 'wait']),
    st.integers(0, 7), st.floats(0.0, 3.0)),
                  max_size=12)


@settings(max_examples=120, deadline=None)
@given(_STEPS, st.integers(0, 1000))
@example([('write', 0, 1.0), ('freeze', 3, 0.0), ('write', 0, 1.0),
          ('away', 1, 0.2), ('away', 1, 0.5)], 1)
def test_drills_in_any_order(steps, seed):
    """Under several returns, restarts and frozen entries one of them confirms
    or goes back to an older version, or never follows again."""
    loops = []
    original = stores.Loop

    def new_loop():
        loops.append(original())
        return loops[-1]

    with (mock.patch.object(stores, 'Loop', new_loop),
          mock.patch.object(freshness, 'clock', lambda: loops[-1].now)):
        site = _Site(4, 'ab', seed=seed)
        site.run(6.0)
        version = 1
        for what, number, wait_s in steps:
            entry = site.entries[number]
            if what == 'write':
                version += 1
                site.write(version)
                # Readers have it before the next fault.
                site.run(1.0)
            elif what == 'away':
                site.away(number % 4)
            elif what == 'freeze':
                entry.loop.frozen_until = site.loop.now + 4.0
            elif what == 'restart' and number < 4:
                # The others know what the store may have lost.
                entry.loop.dead = True
                entry.start()
            site.run(wait_s)
        site.run(6.0)
        version += 1
        site.write(version)
        site.run(APPLY_S + 0.5)
        assert set(site.active_versions()) == {version}
        assert site.violations == []
        for entry in site.entries:
            age_s = site.loop.now - entry.node.confirmed_at
            assert age_s < entries.MAX_CONFIRMATION_AGE_S
