"""Orders of events in which streams may be joined from two versions."""

import functools
from unittest import mock

import entries
import pytest
import stores
import stream_entries

from gorsefall.policy import budget
from gorsefall.policy import freshness
from gorsefall.policy import rendezvous
from gorsefall.policy import softwareversions
from gorsefall.policy import traffic_share
from gorsefall.policy.softwareversions import Reason
from gorsefall.relay import crashes
from gorsefall.relay import fleet as relay_fleet
from gorsefall.relay import model
from gorsefall.relay import prober
from gorsefall.relay import snapshots
from gorsefall.relay import versionrecords
from gorsefall.relay import versionstore

SERVICE = stream_entries.SERVICE

MAX_KEEPER_READS = 8
"""Most reads beyond one of each entry as a version comes."""


def _at(version, service=SERVICE):
    return softwareversions.Origin(service, version)


def _fleet(count, versions, **kw):
    fleet = stream_entries.Fleet(count, versions, stored=True, **kw)
    fleet.run(2.0)
    return fleet


def _stored(fleet):
    newest = {r.key: r.value for r in fleet.store.records}
    return {k for k, v in newest.items() if v and k != 'era'}


def _keeper(fleet):
    return rendezvous.top(b'versions', fleet.hosts, 1)[0]


# -- joined -------------------------------------------------------------------


def test_entries_cut_off_from_store_and_others_do_not_vouch():
    """Two entries are cut off from the store and a third one, which begins
    streams at a new version and is killed; they vouch for the old one."""
    fleet = _fleet(3, ['v2'])
    fleet.run(stream_entries.OBSERVED_S)
    c, *cut = fleet.hosts
    deliver = fleet.deliver
    fleet.deliver = lambda sender, host, message: (None if (sender.host == c) !=
                                                   (host == c) else deliver(
                                                       sender, host, message))
    away = stream_entries.Store(fleet)
    away.away = True
    for host in cut:
        fleet.entries[host].origins.version_store = versionstore.VersionStore(
            fleet.entries[host], away, fleet.entries[host], host, fleet.rng)
    fleet.run(1.0)
    for host in cut:
        fleet.entries[host].store_lost = True
    fleet.entries[c].add('v1')
    fleet.run(1.0)
    assert versionrecords.encode(_at('v1'))[0] in _stored(fleet)
    fleet.begin(c, 'x', 'v1')
    fleet.run(1.0)
    fleet.entries[c].alive = False
    decision, _ = fleet.take_up(cut[0], 'x')
    assert decision.origin in (None, _at('v1')), decision


class _LateDrops(stream_entries.Store):
    """Executes a drop seconds after its caller has given up on it."""
    late_s = 3.0

    def append_all_at(self, records, end, silence_s, done):
        if all(r.value for r in records):
            super().append_all_at(records, end, silence_s, done)
            return
        self.writes += 1
        self._sim.call_later(
            silence_s,
            lambda: done(None, stream_entries.errors.StoreError('lost')))

        def write():
            if len(self.records) == end:
                for record in records:
                    self.put(*record)

        self._sim.call_later(self.late_s, write)


def test_a_drop_that_is_executed_late_is_healed():
    """A drop without response runs after its version has come back; all
    entries think that the version is stored, for ever."""
    with mock.patch.object(stream_entries, 'Store', _LateDrops):
        fleet = _fleet(3, ['v1', 'v2'])
        fleet.run(stream_entries.OBSERVED_S)
        fleet.remove('v1')
        # Until the first drop is sent.
        writes = fleet.store.writes
        while fleet.store.writes == writes:
            fleet.run(0.01)
        fleet.run(0.5)
        fleet.add('v1')
        fleet.run(60.0)
    assert versionrecords.encode(_at('v1'))[0] in _stored(fleet)


def test_a_version_dropped_by_an_entry_that_dies_is_stored_again():
    """The entry that drops has not seen that the version is back, and is gone
    for good; the others think that it is stored."""
    fleet = _fleet(3, ['v1', 'v2'])
    fleet.run(stream_entries.OBSERVED_S)
    keeper = _keeper(fleet)
    fleet.remove('v1')
    fleet.run(18.0)
    # Back within 20 s, seen by the others; the keeper's view lags.
    for host in fleet.hosts:
        if host != keeper:
            fleet.entries[host].add('v1')
    key = versionrecords.encode(_at('v1'))[0]
    while key in _stored(fleet):
        fleet.run(0.01)
        assert fleet.now < 300
    fleet.entries[keeper].alive = False
    fleet.run(versionstore.UPKEEP_PERIOD_S + 1.0)
    assert key in _stored(fleet)


def test_an_entry_that_has_lost_the_store_drops_nothing():
    """It has not seen which versions have come back since."""
    fleet = _fleet(3, ['v1', 'v2'])
    fleet.run(stream_entries.OBSERVED_S)
    keeper = _keeper(fleet)
    fleet.entries[keeper].remove('v1')
    fleet.entries[keeper].store_lost = True
    fleet.run(60.0)
    assert versionrecords.encode(_at('v1'))[0] in _stored(fleet)


def test_no_stream_begins_at_a_version_before_it_is_stored():
    """A version is seen; until the store has answered, streams begin at it."""
    fleet = _fleet(3, ['v1'])
    fleet.add('v2')
    for entry in fleet.entries.values():
        assert entry.origins.unrecorded(SERVICE) == {'v2'}


def test_no_stream_begins_at_a_new_version_while_the_store_is_away():
    """The store is away as a second version comes; streams begin at it, it
    leaves, all entries are killed and the store is back."""
    fleet = _fleet(3, ['v1'])
    fleet.store.away = True
    fleet.add('v2')
    fleet.run(1.0)
    host = fleet.hosts[0]
    if 'v2' not in fleet.entries[host].origins.unrecorded(SERVICE):
        fleet.begin(host, 'x', 'v2')
    else:
        return
    fleet.versions.remove('v2')
    fleet.restart(fleet.hosts)
    fleet.store.away = False
    fleet.run(0.5)
    decision, _ = fleet.take_up(host, 'x')
    assert decision.origin in (None, _at('v2')), decision


def test_an_entry_that_knows_no_replicas_drops_nothing():
    """An entry starts and gets no configuration; after 23 s it drops all
    versions, one after the other."""
    fleet = _fleet(3, ['v1', 'v2'])
    leader = _keeper(fleet)
    fleet.entries[leader].alive = False
    fleet.entries[leader] = stream_entries.Entry(fleet, leader, fleet.store)
    fleet.run(60.0)
    assert _stored(fleet) == {
        versionrecords.encode(_at(v))[0] for v in ['v1', 'v2']
    }


def test_streams_are_not_joined_after_an_entry_without_replicas():
    """The same; then a version leaves, and all entries are killed."""
    fleet = _fleet(3, ['v1', 'v2'])
    leader = _keeper(fleet)
    fleet.entries[leader].alive = False
    fleet.entries[leader] = stream_entries.Entry(fleet, leader, fleet.store)
    fleet.run(60.0)
    for version in ('v1', 'v2'):
        fleet.entries[leader].add(version)
    fleet.entries[leader].alive = False
    others = [h for h in fleet.hosts if h != leader]
    fleet.begin(others[0], 'x', 'v1')
    for host in others:
        fleet.entries[host].remove('v1')
    fleet.versions.remove('v1')
    fleet.restart(fleet.hosts)
    fleet.run(1.5)
    decision, _ = fleet.take_up(others[0], 'x')
    assert decision.origin in (None, _at('v1')), decision


@pytest.mark.parametrize('count', [3, 7])
def test_the_first_versions_are_stored_before_the_store_proves_anything(count):
    """The store proves that all is stored before anything is; many services
    start, all entries are killed 3 s later, and one version has left."""
    fleet = _fleet(count, [])
    services = [f's{i:02}' for i in range(40)]
    for host in fleet.hosts:
        for service in services:
            entry = fleet.entries[host]
            new = 'v1' not in entry.versions.served(service, fleet.now)
            entry.versions.add(service, 'v1')
            if new:
                entry.on_version_added(_at('v1', service))
    fleet.run(3.0)
    found = versionrecords.decode(
        snapshots.Snapshot(fleet.store.records, len(fleet.store.records),
                           fleet.store.era))
    assert not found.proven or len(_stored(fleet)) == len(services), len(
        _stored(fleet))


def test_a_stream_that_runs_on_after_its_record_went_keeps_its_version():
    """A replica serves on for 40 s after its record was dropped."""
    fleet = _fleet(3, ['v1', 'v2'])
    fleet.run(stream_entries.OBSERVED_S)
    host = fleet.hosts[0]
    fleet.begin(host, 'x', 'v1')
    fleet.remove('v1')
    for _ in range(4):
        fleet.run(10.0)
        fleet.begin(host, 'x', 'v1')
    fleet.restart(fleet.hosts)
    fleet.run(1.0)
    decision, _ = fleet.take_up(host, 'x')
    assert decision.origin in (None, _at('v1')), decision


class _RecordsLoss(stores.ObservedState):
    """Records whether the store counts as lost, as ``fleet.Fleet`` does."""
    lost = False

    def on_store_lost(self):
        self.lost = True

    def on_store_regained(self):
        self.lost = False


def test_entries_told_of_an_old_state_do_not_vouch():
    """Entries that do not read the store themselves are told of a state that
    is a minute old, and each time take the store for regained."""
    loop = stores.Loop()
    with mock.patch('gorsefall.logs.get', lambda name: mock.MagicMock()), \
            mock.patch.object(freshness, 'clock', lambda: loop.now):
        site = _site_of(loop)
        site.run(20.0)
        observations = {
            e.own.host: softwareversions.Observation(lambda: loop.now)
            for e in site.entries
        }

        def observe(for_s):
            for _ in range(int(for_s)):
                site.run(1.0)
                for entry in site.entries:
                    observations[entry.own.host].record(loop.now -
                                                        entry.age_s())

        observe(30.0)
        for entry in site.entries:
            entry.client.unreachable = True
        observe(60.0)
        vouch = {h: o.covers() for h, o in observations.items()}
        ages = {e.own.host: round(e.age_s()) for e in site.entries}
        assert not any(vouch.values()), (vouch, ages)


def _site_of(loop):
    holder = []

    def new_listener(entry):
        return _RecordsLoss(entry.site.store)

    with mock.patch.object(stores, 'Loop', lambda: loop):
        holder.append(entries.Site(4, new_listener=new_listener))
    return holder[0]


# -- cut ----------------------------------------------------------------------


def _record(replica_id, started_at_ms=1):
    return model.ReplicaRecord(id=replica_id,
                               service=SERVICE,
                               addr=('127.0.0.1', 1),
                               zone='a',
                               slots=4,
                               status=model.ReplicaStatus.READY,
                               started_at_ms=started_at_ms,
                               spot=False,
                               software='v1',
                               number=1)


class _Service:
    name = SERVICE

    def __getattr__(self, name):
        return 1


class _AliveProber:

    def probe_anew(self, replica, done):
        del replica
        done(prober.Verdict.ALIVE)


@pytest.mark.parametrize('removed', [False, True])
def test_another_record_at_the_address_shows_that_a_replica_is_gone(removed):
    """A replica died behind a cut link and another one has its address; the
    end of its stream arrives when the link is back."""
    loop = mock.MagicMock()
    fleet = relay_fleet.Fleet(loop)
    fleet.set_services({SERVICE: mock.MagicMock()})
    fleet.put(_record('old'))
    replica = fleet.replicas['old']
    fleet.put(_record('new', 2))
    if removed:
        fleet.remove('old', 100.0)
    tracker = crashes.CrashTracker(loop, _AliveProber(), fleet)
    found = []
    tracker.check_exit(replica, found.append)
    assert found == [True]


def test_a_probe_sent_before_a_stream_ended_shows_nothing_about_it():
    """A probe connects, the replica exits, its streams end, and they take the
    verdict of the probe for theirs."""
    watch = prober.ReplicaProber(None)
    sent = []
    watch.probe_from_here = lambda replica, done: sent.append(done)
    replica = mock.MagicMock()
    verdicts = []
    watch.probe(replica, lambda verdict: None)
    # The replica has accepted that connection, and exits. A stream ends.
    watch.probe_anew(replica, verdicts.append)
    sent[0](prober.Verdict.ALIVE)
    assert not verdicts


class _ExitingProber:
    """The listener of an exiting process accepts once more; see
    ``undecidedexits.UndecidedExits``."""

    def __init__(self):
        self._verdicts = iter([prober.Verdict.ALIVE])

    def probe_anew(self, replica, done):
        del replica
        done(next(self._verdicts, prober.Verdict.EXITED))


def test_a_replica_that_accepts_once_more_as_it_exits_has_exited():
    """The connections of the runs close before the listener does."""
    loop = stores.Loop()
    fleet = mock.MagicMock()
    fleet.is_replaced = lambda replica: False
    tracker = crashes.CrashTracker(loop, _ExitingProber(), fleet)
    found = []
    tracker.check_exit(mock.MagicMock(), found.append)
    loop.run(5.0)
    assert found == [True]


# -- refused ------------------------------------------------------------------

# -- calls --------------------------------------------------------------------


class _Counting(stream_entries.Store):
    """Counts reads, and can refuse at once."""
    refuses = False

    def __init__(self, loop):
        super().__init__(loop)
        self.read_at = []

    def read_snapshot(self, after, silence_s, done):
        self.read_at.append(self._sim.now)
        if self.refuses:
            self._sim.call_later(
                0.004,
                lambda: done(None, stream_entries.errors.StoreError('503')))
            return
        super().read_snapshot(after, silence_s, done)

    def most(self, window_s=1.0):
        best = first = 0
        for last, at in enumerate(self.read_at):
            while at - self.read_at[first] > window_s:
                first += 1
            best = max(best, last - first + 1)
        return best


@pytest.mark.parametrize('count', [7, 87, 195, 350])
def test_a_release_has_the_store_read_once_by_each_entry(count):
    """All entries read and write again and again as a version comes."""
    with mock.patch.object(stream_entries, 'Store', _Counting):
        fleet = _fleet(count, ['v1'])
        fleet.store.read_at.clear()
        fleet.add('v2')
        fleet.run(4.0)
        assert len(fleet.store.read_at) <= count + MAX_KEEPER_READS


# -- hangs --------------------------------------------------------------------


class _ShortKeys(stream_entries.Store):
    """Has keys of up to 255 bytes, as the platform's client."""

    def append_all_at(self, records, end, silence_s, done):
        for record in records:
            bytes([len(record.key.encode())])
        super().append_all_at(records, end, silence_s, done)


def test_a_long_version_does_not_keep_others_from_being_stored():
    """A version of 300 characters raises; nothing is stored any more."""
    with mock.patch.object(stream_entries, 'Store', _ShortKeys):
        fleet = _fleet(1, ['v1'])
        try:
            fleet.add('a' * 300)
            fleet.run(2.0)
        except ValueError:
            # The reactor logs it and goes on.
            pass
        fleet.add('v3')
        fleet.run(5.0)
    assert versionrecords.encode(_at('v3'))[0] in _stored(fleet)


# -- elsewhere -----------------------------------------------------------------


def _add_service(fleet, service):
    for entry in fleet.entries.values():
        entry.versions.add(service, 'v1')
        entry.on_version_added(_at('v1', service))
    fleet.run(3.0)


@pytest.mark.parametrize('killed', [1, 3])
@pytest.mark.parametrize('told', [False, True])
def test_a_stream_does_not_go_on_where_its_route_was_moved_to(killed, told):
    """A stream begins, its route is moved to another service, its entry is
    killed, and the stream goes on at a service that did not begin it."""
    fleet = _fleet(3, ['v1', 'v2'] if told else ['v1'])
    _add_service(fleet, 'other')
    fleet.run(stream_entries.OBSERVED_S)
    for entry in fleet.entries.values():
        entry.origins.routes.adopt({'r': (SERVICE,)}, fleet.now)
    fleet.begin(fleet.hosts[0], 'x', 'v1')
    fleet.run(1.0)
    for entry in fleet.entries.values():
        entry.origins.routes.adopt({'r': ('other',)}, fleet.now)
    for host in fleet.hosts[:killed]:
        fleet.entries[host].alive = False
        fleet.entries[host] = stream_entries.Entry(fleet, host, fleet.store)
        for service in (SERVICE, 'other'):
            fleet.entries[host].versions.add(service, 'v1')
            fleet.entries[host].on_version_added(_at('v1', service))
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[2],
                                'x',
                                services=('other',),
                                route='r')
    assert decision.origin is None, decision


def test_streams_go_on_after_an_outage_and_an_older_copy():
    """The store is down for 5 s and comes back with all records, in a new era;
    one version has ever served, and all streams of dead entries are refused."""
    fleet = _fleet(3, ['v1'])
    fleet.run(stream_entries.OBSERVED_S)
    fleet.store.away = True
    for entry in fleet.entries.values():
        entry.store_lost = True
    fleet.run(5.0)
    fleet.store.away = False
    fleet.store.restore(0)
    for entry in fleet.entries.values():
        entry.store_lost = False
        entry.origins.version_store.on_store_restored()
    refused_s = 0
    for _ in range(40):
        fleet.run(0.8)
        decision, _ = fleet.take_up(fleet.hosts[1], 'x')
        refused_s += decision.origin is None
    assert refused_s <= 3, refused_s


def test_an_older_entry_is_asked_if_there_is_one():
    """The store is away; the five entries asked have just started, 81 others
    have observed the whole time."""
    fleet = _fleet(87, ['v1'])
    fleet.run(stream_entries.OBSERVED_S)
    taker = fleet.entries[fleet.hosts[0]]
    digest = taker.origins.digest('a', 'x')
    asked = rendezvous.top(digest, taker.live_hosts(0), 5)
    fleet.store.away = True
    fleet.restart([*asked, fleet.hosts[0]])
    decision, _ = fleet.take_up(fleet.hosts[0], 'x')
    assert decision.reason is Reason.SOLE_VERSION, decision


def _others_attempts(entries_, now):
    return sum(e.first_attempts(now) for e in entries_) * 6 // 7


def test_retries_are_bounded_when_all_entries_were_killed():
    """All entries use their budgets up, are killed and use new ones up."""
    allowance = budget.Allowance(ratio=0.2, window_s=10.0, slack=52.0)
    retries = requests = 0
    for start in (0.0, 4.0):
        entries_ = []
        for _ in range(7):
            one = budget.Budget(
                allowance, traffic_share.TrafficShare(),
                functools.partial(_others_attempts, entries_, start))
            entries_.append(one)
        for one in entries_:
            for _ in range(8):
                one.record_first_attempt(start)
                requests += 1
        for one in entries_:
            while one.acquire(start + 1.0):
                retries += 1
    assert retries <= 0.2 * requests + 52.0, (retries, requests)


def test_a_version_is_dropped_though_one_entry_never_reads_the_store():
    """The entry that drops by hash is cut off from the store, and all others
    leave it to that one: what is unknown is refused for ever."""
    fleet = _fleet(3, ['v1', 'v2'])
    fleet.run(stream_entries.OBSERVED_S)
    leader = _keeper(fleet)
    fleet.entries[leader].store_lost = True
    fleet.run(5.0)
    fleet.remove('v1')
    fleet.run(300.0)
    assert versionrecords.encode(_at('v1'))[0] not in _stored(fleet)


@pytest.mark.parametrize('seen_before_s', [0.0, 1.1])
def test_an_entry_that_was_cut_off_does_not_prove_an_older_copy(seen_before_s):
    """A is cut off for 15 s; meanwhile C begins a stream at a new version and
    dies, and the store comes back without that version."""
    fleet = _fleet(2, ['v2'])
    fleet.run(stream_entries.OBSERVED_S)
    a, c = fleet.hosts
    before = len(fleet.store.records)
    fleet.entries[a].store_lost = True
    source = fleet.entries[a].origins.version_store
    away = stream_entries.Store(fleet)
    away.away = True
    source._source = source._reader._source = away
    fleet.run(5.0)
    fleet.entries[c].add('v1')
    fleet.run(2.0)
    fleet.loss = 1.0
    fleet.begin(c, 'x', 'v1')
    fleet.run(1.0)
    fleet.loss = 0.0
    fleet.entries[c].alive = False
    fleet.run(7.0)
    fleet.store.restore(len(fleet.store.records) - before)
    source._source = source._reader._source = fleet.store
    fleet.entries[a].store_lost = False
    fleet.run(seen_before_s)
    source.on_store_restored()
    fleet.run(1.0)
    decision, _ = fleet.take_up(a, 'x')
    assert decision.origin in (None, _at('v1')), decision


@pytest.mark.parametrize('seen_before_s', [0.0, 1.1])
def test_streams_go_on_after_an_older_copy(seen_before_s):
    """As above with a store that was down for 5 s for all; one version."""
    fleet = _fleet(3, ['v1'])
    fleet.run(stream_entries.OBSERVED_S)
    fleet.store.away = True
    for entry in fleet.entries.values():
        entry.store_lost = True
    fleet.run(5.0)
    fleet.store.away = False
    fleet.store.restore(0)
    for entry in fleet.entries.values():
        entry.store_lost = False
    fleet.run(seen_before_s)
    for entry in fleet.entries.values():
        entry.origins.version_store.on_store_restored()
    refused = [
        fleet.take_up(fleet.hosts[1], f'{i}')[0].origin is None
        for i in range(150)
    ]
    assert sum(refused) * 0.2 < 3.0, sum(refused) * 0.2


def test_take_ups_of_one_entry_read_the_store_seldom():
    """Callers that retry at once have the store read for each of them."""
    with mock.patch.object(stream_entries, 'Store', _Counting):
        fleet = _fleet(1, ['v1', 'v2'])
        fleet.run(stream_entries.OBSERVED_S)
        fleet.store.read_at.clear()
        origins = fleet.entries[fleet.hosts[0]].origins
        for i in range(1000):
            fleet.call_later(
                i / 1000,
                lambda i=i: origins.look_up(origins.digest('a', f'{i}'),
                                            (SERVICE,), lambda d, n: None))
        fleet.run(2.0)
        assert len(fleet.store.read_at) <= 50, len(fleet.store.read_at)
