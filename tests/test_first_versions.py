"""Streams begin only at what the store has, whichever entry is held up."""

import random

import held_up_entries
import pytest

from gorsefall.policy import softwareversions
from gorsefall.relay import missingrecords
from gorsefall.relay import recordwaits
from gorsefall.relay import versionrecords

Origin = softwareversions.Origin

POOL_V1, POOL_V2 = Origin('pool', 'v1'), Origin('pool', 'v2')

TAKEN_UP_S = 15.0
"""Longest time after which a caller takes its stream up, s."""


def _fleet(count=3, seed=1):
    """Returns entries that have run for long before a service of one version.

    Another service, to which no route leads, has none yet.
    """
    fleet = held_up_entries.Fleet(count, [('old', 'v7')], {'r-old': 'old'},
                                  seed=seed)
    fleet.services = ['old', 'other', 'pool']
    return fleet


def _others(fleet):
    return [h for h in fleet.hosts if h != fleet.keeper()]


def _add_service(fleet, version='v1'):
    fleet.world.replicas.add(Origin('pool', version))
    fleet.world.routes['r'] = 'pool'


def _replace_all(fleet, origins):
    """Kills all entries, and starts them before other replicas of the pool."""
    fleet.kill(fleet.hosts)
    fleet.world.replicas = {
        o for o in fleet.world.replicas if o.service != 'pool'
    } | set(origins)
    fleet.start(fleet.hosts)
    fleet.run(1.5)


def _stored(fleet):
    newest = {r.key: r.value for r in fleet.store.records}
    return {k for k, v in newest.items() if v}


def _key(origin):
    return versionrecords.encode(origin).key


def _take_up(fleet, host, rid):
    service = fleet.entries[host].service_of('r')
    decision, _ = fleet.take_up(host, rid, services=(service,), route='r')
    return decision


@pytest.mark.parametrize('trouble', ['frozen', 'dead', 'cut', 'slow', 'none'])
@pytest.mark.parametrize('count', [3, 7, 87])
@pytest.mark.parametrize('stays', [False, True])
def test_a_first_version_is_stored_before_streams_begin(trouble, count, stays):
    """The keeper is held up as a service gets its first version, and all
    entries are killed as the first events arrive."""
    fleet = _fleet(count)
    others = _others(fleet)
    keeper = fleet.entries[fleet.keeper()]
    if trouble == 'frozen':
        keeper.set_frozen(True)
    elif trouble == 'dead':
        fleet.kill([keeper.host])
    elif trouble == 'cut':
        keeper.set_cut(True)
    elif trouble == 'slow':
        keeper.answer_s = 0.24
    _add_service(fleet)
    for number in range(200):
        fleet.run(0.01)
        for host in others:
            fleet.begin_stream(host, f'{host} {number}', 'r')
        if len(fleet.begun) >= len(others):
            break
    assert fleet.begun
    _replace_all(fleet, [POOL_V1 if stays else POOL_V2])
    decisions = [
        _take_up(fleet, others[0], rid) for rid in list(fleet.begun)[:20]
    ]
    if stays:
        went_on = [d for d in decisions if d.origin == POOL_V1]
        assert len(went_on) >= len(decisions) / 2, decisions
    else:
        assert not any(d.origin for d in decisions), decisions


@pytest.mark.parametrize('count', [3, 87])
def test_a_stream_waits_for_the_store_for_a_moment_only(count):
    """Streams wait for as long as the entries that write leave to the keeper,
    though nobody else writes."""
    fleet = _fleet(count)
    others = _others(fleet)
    fleet.entries[fleet.keeper()].set_frozen(True)
    _add_service(fleet)
    while not fleet.entries[others[0]].listed('pool'):
        fleet.run(0.01)
    asked_at = fleet.now
    fleet.begin_stream(others[0], 'x', 'r')
    fleet.run(0.2)
    assert fleet.begun['x'].began_at - asked_at <= 0.1


def test_a_stream_begins_while_the_store_does_not_answer():
    """Nothing is served at a new service while the store is away."""
    fleet = _fleet()
    host = _others(fleet)[0]
    entry = fleet.entries[host]
    _add_service(fleet)
    while not entry.listed('pool'):
        fleet.run(0.01)
    for other in fleet.entries.values():
        other.set_cut(True)
    asked_at = fleet.now
    fleet.begin_stream(host, 'x', 'r')
    fleet.run(recordwaits.MAX_WAIT_S + 0.1)
    assert fleet.begun['x'].began_at - asked_at <= recordwaits.MAX_WAIT_S + 0.01
    # Later ones do not wait.
    asked_at = fleet.now
    fleet.begin_stream(host, 'y', 'r')
    fleet.run(0.01)
    assert fleet.begun['y'].began_at - asked_at <= 0.01


def _fleet_before_a_drop():
    """Returns entries that have seen v2 replace v1 a moment ago."""
    fleet = _fleet()
    _add_service(fleet)
    fleet.run(5.0)
    fleet.world.replicas = {*fleet.world.replicas, POOL_V2} - {POOL_V1}
    return fleet


def test_a_version_that_comes_back_is_not_dropped_by_a_keeper_that_sees_late():
    """A version returns as its record is about to be dropped; streams begin at
    it, the keeper drops it, and all entries are killed."""
    fleet = _fleet_before_a_drop()
    while _key(POOL_V1) in _stored(fleet):
        fleet.run(0.1)
        assert fleet.now < 300.0
    dropped_at = fleet.now
    for before_s in [0.5, 1.0, 2.0, 3.0]:
        fleet = _fleet_before_a_drop()
        fleet.run(dropped_at - before_s - fleet.now)
        keeper = fleet.entries[fleet.keeper()]
        keeper.observe = lambda k=keeper: k.observation.record(k.now)
        fleet.world.replicas.add(POOL_V1)
        fleet.run(before_s + 0.5)
        assert _key(POOL_V1) in _stored(fleet)


def test_an_entry_that_was_frozen_reads_before_a_stream_begins():
    """It wakes, believes what it had read, and a version was dropped since."""
    fleet = _fleet()
    _add_service(fleet)
    fleet.run(30.0)
    host = _others(fleet)[0]
    entry = fleet.entries[host]
    entry.set_frozen(True)
    fleet.run(5.0)
    reads = fleet.store.reads
    entry.set_frozen(False)
    fleet.run(0.01)
    beginning = missingrecords.Beginning('pool', frozenset(), 'r')
    if not entry.origins.admit(beginning, lambda: None):
        fleet.run(0.1)
    assert entry.origins.admit(beginning, lambda: None)
    fleet.run(1.1)
    assert fleet.store.reads > reads


def test_a_record_that_cannot_be_decoded_does_not_refuse_streams_for_good():
    """Another writer's record is taken for the loss of a version."""
    fleet = _fleet()
    _add_service(fleet)
    fleet.run(30.0)
    fleet.store.put('foreign', b'[[[')
    fleet.begin_stream(fleet.hosts[0], 'x', 'r')
    fleet.run(0.1)
    fleet.kill(fleet.hosts[:1])
    fleet.start(fleet.hosts[:1])
    fleet.run(1.5)
    assert _take_up(fleet, fleet.hosts[0], 'x').origin == POOL_V1


class _Day:
    """A random series of events, and what may not happen in it."""

    def __init__(self, seed, *, changes):
        self.rng = random.Random(seed)
        self.fleet = _fleet(self.rng.choice([2, 3, 5]), seed)
        self.service, self.route = 'pool', 'r'
        self.past = ['v1']
        self.fleet.world.replicas |= {POOL_V1, Origin('other', 'w1')}
        self.fleet.world.routes['r'] = 'pool'
        self.fleet.run(self.rng.choice([1.0, 30.0]))
        self.steps = [
            'begin', 'begin', 'begin', 'freeze', 'kill', 'kill all', 'cut',
            'slow'
        ]
        if changes:
            self.steps += ['release', 'replace', 'return', 'move', 'calm']
            self.steps += ['new service', 'crisis', 'crisis']
        self.went_on = self.taken_up = 0

    def play(self, count):
        for number in range(count):
            step = self.rng.choice(self.steps)
            getattr(self, '_' + step.replace(' ', '_'))(number)
            self.fleet.run(self.rng.choice([0.01, 0.05, 0.3, 1.0, 4.0]))
            self._take_up()

    def _host(self):
        keeper = self.fleet.keeper()
        keepers = [] if keeper is None else [keeper]
        return self.rng.choice([*keepers, *self.fleet.hosts])

    def _begin(self, number):
        for host in self.fleet.hosts:
            if self.rng.random() < 0.6:
                self.fleet.begin_stream(host, f'{number} {host}', self.route)

    def _freeze(self, number):
        del number
        entry = self.fleet.entries[self._host()]
        entry.set_frozen(True)
        self.fleet.call_later(self.rng.uniform(0.2, 4.0),
                              lambda: entry.set_frozen(False))

    def _cut(self, number):
        del number
        entry = self.fleet.entries[self._host()]
        entry.set_cut(True)
        self.fleet.call_later(self.rng.uniform(0.5, 6.0),
                              lambda: entry.set_cut(False))

    def _slow(self, number):
        del number
        entry = self.fleet.entries[self._host()]
        entry.answer_s = self.rng.choice([0.0, 0.05, 0.24])

    def _kill(self, number):
        del number
        host = self._host()
        self.fleet.kill([host])
        self.fleet.start([host])

    def _kill_all(self, number):
        self.fleet.kill(self.fleet.hosts)
        if 'replace' in self.steps and self.rng.random() < 0.7:
            self._replace(f'{number}b')
        self.fleet.start(self.fleet.hosts)

    def _calm(self, number):
        """Time in which versions are dropped."""
        del number
        self.fleet.run(self.rng.uniform(40.0, 60.0))

    def _new_service(self, number):
        """A route to a service that has no version yet."""
        self.service, self.route = f's{number}', f'r{number}'
        self.fleet.services.append(self.service)
        self.fleet.world.routes[self.route] = self.service
        self._release(number)

    def _crisis(self, number):
        """All are killed soon after streams have begun at something new."""
        hold_up = self.rng.choice(['freeze', 'kill', 'cut', 'slow', 'begin'])
        getattr(self, f'_{hold_up}')(number)
        change = self.rng.choice(
            ['release', 'replace', 'return', 'move', 'new_service'])
        getattr(self, f'_{change}')(number)
        for tick in range(self.rng.choice([5, 20, 60])):
            self.fleet.run(0.02)
            self._begin(f'{number} {tick}')
        self._kill_all(number)

    def _release(self, number):
        """Another version comes beside those there are."""
        self.past.append(f'v{number}')
        self.fleet.world.replicas.add(Origin(self.service, f'v{number}'))

    def _replace(self, number):
        """Another version takes the place of all."""
        self._leave()
        self._release(number)

    def _return(self, number):
        """One that there was takes the place of all."""
        del number
        self._leave()
        version = self.rng.choice(self.past)
        self.fleet.world.replicas.add(Origin(self.service, version))

    def _leave(self):
        self.fleet.world.replicas = {
            o for o in self.fleet.world.replicas if o.service != self.service
        }

    def _move(self, number):
        """The route leads to another service, or back."""
        del number
        routes = self.fleet.world.routes
        routes[self.route] = ('other' if routes[self.route] == self.service else
                              self.service)

    def _take_up(self):
        """Takes streams up; asserts that none goes on elsewhere."""
        fresh = [
            rid for rid, stream in self.fleet.begun.items()
            if not stream.excused and self.fleet.now -
            stream.began_at < TAKEN_UP_S
        ]
        for rid in self.rng.sample(fresh, min(3, len(fresh))):
            stream = self.fleet.begun[rid]
            host = self.rng.choice(self.fleet.hosts)
            entry = self.fleet.entries[host]
            service = entry.service_of(stream.route)
            if entry.frozen or not entry.alive or service is None:
                continue
            decision, _ = self.fleet.take_up(host,
                                             rid,
                                             services=(service,),
                                             route=stream.route)
            self.taken_up += 1
            self.went_on += decision.origin is not None
            assert decision.origin in (None, stream.origin), (rid, stream,
                                                              decision)


@pytest.mark.parametrize('seed', range(80))
def test_no_order_of_events_joins_streams(seed):
    """Entries freeze, die together and lose the store as versions and routes
    come, go and return."""
    _Day(seed, changes=True).play(60)


def test_streams_of_a_version_that_stays_go_on():
    """Entries freeze, die together and lose the store, and most streams of the
    only version that there ever was are refused."""
    went_on = taken_up = 0
    for seed in range(20):
        day = _Day(seed, changes=False)
        day.play(40)
        went_on += day.went_on
        taken_up += day.taken_up
    assert taken_up > 100
    assert went_on >= taken_up / 2, (went_on, taken_up)


def test_a_read_whose_handling_failed_is_not_the_last():
    """What one entry had seen was never stored again, and each stream at it
    waited in vain."""
    fleet = _fleet()
    host = fleet.keeper()
    store = fleet.entries[host].origins.version_store
    sync, store._sync = store._sync, lambda stored, exc: None
    fleet.run(11.0)
    store._sync = sync
    fleet.kill(h for h in fleet.hosts if h != host)
    _add_service(fleet)
    fleet.run(20.0)
    assert _key(POOL_V1) in _stored(fleet)


def test_what_an_older_copy_lost_is_written_before_anyone_is_asked():
    """Streams went on and began at a version that was not stored for seconds,
    as an entry that had died did not answer."""
    fleet = _fleet()
    before = len(fleet.store.records)
    _add_service(fleet)
    fleet.run(30.0)
    fleet.kill(_others(fleet)[:1])
    fleet.store.restore(len(fleet.store.records) - before)
    assert _key(POOL_V1) not in _stored(fleet)
    for entry in fleet.entries.values():
        if entry.alive:
            entry.origins.version_store.on_store_restored()
    fleet.run(0.1)
    assert _key(POOL_V1) in _stored(fleet)
