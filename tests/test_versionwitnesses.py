"""What all entries together know after a store came back from an older copy."""

import random

import pytest
import stream_entries

from gorsefall.policy import softwareversions
from gorsefall.policy.softwareversions import Reason

MAX_READS_AT_ONCE = 10
"""Most reads of the versions in the first tenth of a second of a return."""

OUTAGE_S = 5.0
"""Length of an outage, s: too long for an entry to observe versions in it."""


def _at(version):
    return softwareversions.Origin(stream_entries.SERVICE, version)


def _fleet(count, versions, **kw):
    fleet = stream_entries.Fleet(count, versions, stored=True, **kw)
    fleet.run(stream_entries.OBSERVED_S)
    return fleet


def _restore(fleet, lost):
    """Has the store back after an outage, without the last ``lost`` records."""
    fleet.store.restore(lost)
    fleet.set_away(False)
    for entry in fleet.entries.values():
        entry.origins.version_store.on_store_restored()


def _lose_version(fleet):
    """Has the store lose a version at which the first entry began a stream."""
    before = len(fleet.store.records)
    fleet.add('v1')
    fleet.run(2.0)
    fleet.begin(fleet.hosts[0], 'x', 'v1')
    fleet.remove('v1')
    fleet.set_away(True)
    fleet.run(OUTAGE_S)
    return len(fleet.store.records) - before


@pytest.mark.parametrize('count', [1, 3, 7, 87, 195])
def test_entries_that_all_outlast_an_older_copy_prove_the_versions(count):
    """Streams are refused for 23 s though nobody can have missed a version."""
    fleet = _fleet(count, ['v2'])
    fleet.set_away(True)
    fleet.run(OUTAGE_S)
    _restore(fleet, 0)
    fleet.run(1.0)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (_at('v2'), Reason.SOLE_VERSION)


@pytest.mark.parametrize('count', [3, 7, 87])
def test_what_others_know_is_stored_before_the_store_proves_it(count):
    """The store lost a version that one entry alone still knows."""
    fleet = _fleet(count, ['v2'])
    lost = _lose_version(fleet)
    for host in fleet.hosts[1:]:
        fleet.entries[host].versions = softwareversions.VersionHistory()
        fleet.entries[host].add('v2')
    _restore(fleet, lost)
    fleet.run(1.0)
    fleet.restart(fleet.hosts)
    fleet.run(1.0)
    decision, _ = fleet.take_up(fleet.hosts[-1], 'y')
    assert decision.origin is None, decision


@pytest.mark.parametrize('replaced', [False, True])
def test_a_process_that_ended_of_late_leaves_an_older_copy_unproven(replaced):
    """The process that began a stream at a lost version is gone, or another one
    answers at its address."""
    fleet = _fleet(3, ['v2'])
    lost = _lose_version(fleet)
    host = fleet.hosts[0]
    if replaced:
        fleet.restart([host])
    else:
        fleet.entries[host].alive = False
    for other in fleet.hosts[1:]:
        fleet.entries[other].versions = softwareversions.VersionHistory()
        fleet.entries[other].add('v2')
    _restore(fleet, lost)
    fleet.run(3.0)
    decision, _ = fleet.take_up(fleet.hosts[1], 'y')
    assert decision.origin is None, decision


def test_lost_messages_are_made_up_for():
    """One lost datagram has all unknown streams refused for 23 s."""
    fleet = _fleet(7, ['v2'])
    fleet.set_away(True)
    fleet.run(OUTAGE_S)
    fleet.loss = 1.0
    _restore(fleet, 0)
    fleet.run(1.0)
    fleet.loss = 0.0
    fleet.run(3.0)
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision == (_at('v2'), Reason.SOLE_VERSION)


class _Day:
    """Releases, kills and older copies in a random order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = stream_entries.Fleet(3, ['v1'],
                                          seed=seed,
                                          stored=True,
                                          loss=self.rng.choice([0.0, 0.2]))
        self.begun = {}

    def begin(self, name):
        """Begins a stream at a version at which streams may begin."""
        fleet, rng = self.fleet, self.rng
        host = rng.choice(fleet.hosts)
        origins = fleet.entries[host].origins
        unrecorded = origins.unrecorded(stream_entries.SERVICE)
        free = [v for v in fleet.versions if v not in unrecorded]
        if free:
            version = rng.choice(free)
            self.begun[name] = version, fleet.now
            fleet.begin(host, name, version)

    def release(self, name):
        """Adds a version, and mostly removes the oldest one."""
        self.fleet.add(f'v{name}x')
        self.fleet.run(self.rng.uniform(0.1, 2.5))
        if self.rng.random() < 0.8:
            self.fleet.remove(self.fleet.versions[0])

    def kill(self, name):
        """Restarts some entries."""
        del name
        hosts = self.fleet.hosts
        self.fleet.restart(self.rng.sample(hosts, self.rng.choice([1, 1, 2,
                                                                   3])))

    def restore(self, name):
        """Has the store away, and back as it was a few records ago."""
        fleet, rng = self.fleet, self.rng
        fleet.set_away(True)
        fleet.run(rng.uniform(0.5, 6.0))
        if rng.random() < 0.4:
            self.kill(name)
        _restore(fleet, min(rng.choice([0, 1, 2, 4]), len(fleet.store.records)))

    def check(self):
        """Takes all streams up that may be taken up."""
        fleet = self.fleet
        host = self.rng.choice(fleet.hosts)
        for name, (version, at) in self.begun.items():
            if fleet.now - at < 15:
                decision, _ = fleet.take_up(host, name)
                assert decision.origin in (None, _at(version)), decision


@pytest.mark.parametrize('seed', range(40))
def test_no_stream_is_joined_whatever_older_copies_lose(seed):
    """Versions, entries and the store's records come and go at any time."""
    day = _Day(seed)
    day.fleet.run(stream_entries.OBSERVED_S)
    for i in range(40):
        step = day.rng.choice([
            day.begin, day.begin, day.begin, day.release, day.kill, day.restore
        ])
        step(f'{i}')
        day.fleet.run(day.rng.uniform(0.05, 4.0))
        day.check()


@pytest.mark.parametrize('count', [7, 87, 195])
def test_entries_do_not_all_read_at_the_moment_of_a_return(count):
    """Hundreds of reads meet a store that has just come back."""
    fleet = _fleet(count, ['v2'])
    fleet.set_away(True)
    fleet.run(OUTAGE_S)
    _restore(fleet, 0)
    before = fleet.store.reads
    fleet.run(0.1)
    assert fleet.store.reads - before <= MAX_READS_AT_ONCE
