"""Further orders of events in which streams may be joined, or refused long."""

from unittest import mock

import pytest
import stream_entries

from gorsefall.policy import rendezvous
from gorsefall.policy import softwareversions
from gorsefall.relay import crashes
from gorsefall.relay import prober
from gorsefall.relay import streamorigins
from gorsefall.relay import versionrecords
from gorsefall.relay import versionstore

SERVICE = stream_entries.SERVICE

OTHER = 'other'
"""Another service."""

OUTAGE_S = 5.0
"""Length of an outage, s: too long for an entry to observe versions in it."""

MAX_REFUSED_S = 6.0
"""Longest time of refusals after an older copy that all entries outlast, s."""


def _at(version, service=SERVICE):
    return softwareversions.Origin(service, version)


def _fleet(count, versions, **kw):
    fleet = stream_entries.Fleet(count, versions, stored=True, **kw)
    fleet.run(stream_entries.OBSERVED_S)
    return fleet


def _keeper(hosts):
    return rendezvous.top(b'versions', hosts, 1)[0]


def _stored(fleet):
    newest = {r.key: r.value for r in fleet.store.records}
    return {k for k, v in newest.items() if v and k not in ('era', 'routes')}


def _put(fleet, host, version, service):
    """Has an entry see the first replica of a version of a service."""
    entry = fleet.entries[host]
    new = version not in entry.versions.served(service, fleet.now)
    entry.versions.add(service, version)
    if new:
        entry.on_version_added(_at(version, service))


def _route(fleet, hosts, services):
    """Has entries adopt a configuration, ``key of a route -> services``."""
    for host in hosts:
        fleet.entries[host].origins.routes.adopt(services, fleet.now)


def _kill_all(fleet, replicas, services=None):
    """Starts all entries anew, which see ``(service, version)`` pairs."""
    for host in fleet.hosts:
        fleet.entries[host].alive = False
        fleet.entries[host] = stream_entries.Entry(fleet, host, fleet.store)
    for host in fleet.hosts:
        for service, version in replicas:
            _put(fleet, host, version, service)
    if services is not None:
        _route(fleet, fleet.hosts, services)


def _run_past_upkeep(fleet):
    """Runs until all entries have just had an upkeep."""
    since_s = fleet.now - 100.0 - versionstore.STARTING_S
    period_s = versionstore.UPKEEP_PERIOD_S
    fleet.run(period_s - since_s % period_s + 0.5)


# -- versions: joined ----------------------------------------------------------


def test_a_first_version_is_stored_though_the_keeper_died():
    """The keeper dies, a service gets its first version, streams begin, another
    version replaces it, and all entries are killed before the next upkeep."""
    fleet = _fleet(3, ['v1'])
    keeper = _keeper(fleet.hosts)
    left = [h for h in fleet.hosts if h != keeper]
    _run_past_upkeep(fleet)
    fleet.entries[keeper].alive = False
    for host in left:
        _put(fleet, host, 'v1', OTHER)
    fleet.run(2.0)
    fleet.begin(left[0], 'x', 'v1', services=(OTHER,))
    fleet.run(0.5)
    _kill_all(fleet, [(SERVICE, 'v1'), (OTHER, 'v2')])
    fleet.run(1.0)
    decision, _ = fleet.take_up(left[0], 'x', services=(OTHER,))
    assert decision.origin in (None, _at('v1', OTHER)), decision


def test_a_first_version_is_stored_though_the_keeper_does_not_see_it():
    """The keeper's view lags by two seconds, a service gets its first version,
    and all entries are killed before the keeper has seen it."""
    fleet = _fleet(3, ['v1'])
    others = [h for h in fleet.hosts if h != _keeper(fleet.hosts)]
    for host in others:
        _put(fleet, host, 'v1', OTHER)
    fleet.run(1.0)
    fleet.begin(others[0], 'x', 'v1', services=(OTHER,))
    fleet.run(1.0)
    _kill_all(fleet, [(SERVICE, 'v1'), (OTHER, 'v2')])
    fleet.run(1.0)
    decision, _ = fleet.take_up(others[0], 'x', services=(OTHER,))
    assert decision.origin in (None, _at('v1', OTHER)), decision


def test_the_keeper_knows_of_a_sole_version_without_records():
    """A sole version runs on without records, the keeper drops it, its entry is
    killed, and another version comes."""
    fleet = _fleet(3, ['v1'])
    host = next(h for h in fleet.hosts if h != _keeper(fleet.hosts))
    other = next(h for h in fleet.hosts if h != host)
    fleet.begin(host, 'x', 'v1')
    fleet.remove('v1')
    for _ in range(4):
        fleet.run(10.0)
        fleet.begin(host, 'x', 'v1')
    fleet.run(1.0)
    fleet.restart([host])
    fleet.add('v2')
    fleet.run(2.0)
    decision, _ = fleet.take_up(other, 'x')
    assert decision.origin in (None, _at('v1')), decision


def _run_without_records(fleet, host, rid, for_s):
    """Has a stream of v1 go on at an entry, v1 being recorded no more."""
    for _ in range(int(for_s / 10.0)):
        fleet.run(10.0)
        fleet.begin(host, rid, 'v1')


def test_a_new_keeper_does_not_drop_what_the_last_one_was_told_of():
    """A version runs on without records, the keeper that was told of it dies,
    the next one drops it, and all entries are killed."""
    fleet = _fleet(7, ['v1', 'v2'])
    first = _keeper(fleet.hosts)
    second = _keeper([h for h in fleet.hosts if h != first])
    host = next(h for h in fleet.hosts if h not in (first, second))
    origins = fleet.entries[host].origins
    told_by = fleet.entries[host].live_hosts(0)
    assert origins.stream_log.writer(origins.digest('a', '0')) != second
    rid = next(f'{i}' for i in range(100) if second not in rendezvous.top(
        origins.digest('a', f'{i}'), told_by, streamorigins.TOLD_ENTRIES))
    fleet.begin(host, rid, 'v1')
    fleet.remove('v1')
    _run_without_records(fleet, host, rid, 40.0)
    key = versionrecords.encode(_at('v1'))[0]
    assert key in _stored(fleet)
    fleet.entries[first].alive = False
    for _ in range(99):
        fleet.run(0.1)
        if key not in _stored(fleet):
            break
    fleet.restart(fleet.hosts)
    fleet.run(1.0)
    decision, _ = fleet.take_up(host, rid)
    assert decision.origin in (None, _at('v1')), decision


def test_a_short_gap_over_an_older_copy_does_not_prove_it():
    """The keeper's view lags by 2 s, another entry begins a stream at a version
    that was stored, and dies; the store comes back without that version."""
    fleet = _fleet(3, ['v2'])
    keeper = _keeper(fleet.hosts)
    host = next(h for h in fleet.hosts if h != keeper)
    others = [h for h in fleet.hosts if h != host]
    before = len(fleet.store.records)
    for other in others:
        # Their next reads of the replicas get no response.
        fleet.entries[other].observation.record(fleet.now)
        fleet.entries[other].store_lost = True
    _put(fleet, host, 'v1', SERVICE)
    fleet.run(1.2)
    assert versionrecords.encode(_at('v1'))[0] in _stored(fleet)
    # Whom it tells does not hear it.
    fleet.loss = 1.0
    fleet.begin(host, 'x', 'v1')
    fleet.run(0.2)
    fleet.loss = 0.0
    fleet.entries[host].alive = False
    fleet.store.away = True
    fleet.run(1.0)
    fleet.store.away = False
    fleet.store.restore(len(fleet.store.records) - before)
    for other in others:
        fleet.entries[other].store_lost = False
        fleet.entries[other].observation.record(fleet.now)
        fleet.entries[other].origins.version_store.on_store_restored()
    fleet.run(1.0)
    decision, _ = fleet.take_up(keeper, 'x')
    assert decision.origin in (None, _at('v1')), decision


@pytest.mark.parametrize('cut_off_s', [15.0, 30.0])
def test_entries_on_one_side_of_a_partition_do_not_prove_an_older_copy(
        cut_off_s):
    """Two of three entries are cut off from the third and the store; the third
    begins a stream at a new version and dies, and an older copy comes back."""
    fleet = _fleet(3, ['v2'])
    keeper = _keeper(fleet.hosts)
    c = next(h for h in fleet.hosts if h != keeper)
    cut = [h for h in fleet.hosts if h != c]
    before, cut_at = len(fleet.store.records), fleet.now
    deliver = fleet.deliver
    fleet.deliver = lambda sender, host, message: (None if (sender.host == c) !=
                                                   (host == c) else deliver(
                                                       sender, host, message))
    away = stream_entries.Store(fleet)
    away.away = True
    for host in cut:
        entry = fleet.entries[host]
        entry.store_lost = True
        source = entry.origins.version_store
        source._source = source._reader._source = away
        # The third one was last heard as the partition began.
        entry.heard_since = lambda at, host=host: [
            h for h in fleet.hosts if h != host and (h != c or cut_at >= at)
        ]
    fleet.run(cut_off_s - 3.0)
    _put(fleet, c, 'v1', SERVICE)
    fleet.run(2.0)
    fleet.begin(c, 'x', 'v1')
    fleet.run(1.0)
    fleet.entries[c].alive = False
    fleet.deliver = deliver
    fleet.store.restore(len(fleet.store.records) - before)
    for host in cut:
        entry = fleet.entries[host]
        source = entry.origins.version_store
        source._source = source._reader._source = fleet.store
        entry.store_lost = False
    for host in cut:
        fleet.entries[host].origins.version_store.on_store_restored()
    fleet.run(1.0)
    decision, _ = fleet.take_up(keeper, 'x')
    assert decision.origin in (None, _at('v1')), decision


# -- services: joined ----------------------------------------------------------


def _fleet_of_services(count=3, versions=('v1',)):
    fleet = _fleet(count, list(versions))
    for service in (OTHER, 'third'):
        for host in fleet.hosts:
            _put(fleet, host, 'v1', service)
    _route(fleet, fleet.hosts, {'h/': (SERVICE,)})
    fleet.run(stream_entries.OBSERVED_S)
    return fleet


_REPLICAS = [(SERVICE, 'v1'), (OTHER, 'v1'), ('third', 'v1')]


@pytest.mark.parametrize('killed', ['one', 'all'])
@pytest.mark.parametrize('more_specific', ['before', 'after'])
def test_a_stream_does_not_go_on_where_another_prefix_leads(
        killed, more_specific):
    """A route with a longer prefix is added, or removed: the stream is taken up
    on another route than it began on, at a service that did not begin it."""
    fleet = _fleet_of_services()
    host, other = fleet.hosts[0], fleet.hosts[2]
    both = {'h/': (SERVICE,), 'h/chat/': (OTHER,)}
    only = {'h/': (SERVICE,)}
    before, after = (both, only) if more_specific == 'before' else (only, both)
    began_at, leads_to, route = ((OTHER, SERVICE,
                                  'h/') if more_specific == 'before' else
                                 (SERVICE, OTHER, 'h/chat/'))
    _route(fleet, fleet.hosts, before)
    fleet.run(stream_entries.OBSERVED_S)
    fleet.begin(host, 'x', 'v1', services=(began_at,))
    fleet.run(1.0)
    _route(fleet, fleet.hosts, after)
    fleet.run(1.0)
    if killed == 'all':
        _kill_all(fleet, _REPLICAS, after)
    else:
        fleet.entries[host].alive = False
    fleet.run(1.0)
    decision, _ = fleet.take_up(other, 'x', services=(leads_to,), route=route)
    assert decision.origin in (None, _at('v1', began_at)), decision


def test_services_of_a_configuration_that_the_keeper_skipped_are_known():
    """A route is moved and moved back within a second in which the keeper is
    frozen; streams began meanwhile, and all entries are killed."""
    fleet = _fleet_of_services()
    others = [h for h in fleet.hosts if h != _keeper(fleet.hosts)]
    _route(fleet, others, {'h/': (OTHER,)})
    fleet.run(0.3)
    fleet.begin(others[0], 'x', 'v1', services=(OTHER,), route='h/')
    fleet.run(0.5)
    _route(fleet, fleet.hosts, {'h/': (SERVICE,)})
    fleet.run(3.0)
    _kill_all(fleet, _REPLICAS, {'h/': (SERVICE,)})
    fleet.run(1.0)
    decision, _ = fleet.take_up(others[0], 'x', route='h/')
    assert decision.origin in (None, _at('v1', OTHER)), decision


def test_a_new_route_is_stored_though_the_keeper_died():
    """The keeper dies as a route is added; streams begin, the route is moved,
    and all are killed before the next upkeep."""
    fleet = _fleet_of_services()
    keeper = _keeper(fleet.hosts)
    left = [h for h in fleet.hosts if h != keeper]
    new = {'h/': (SERVICE,), 'h/new/': (OTHER,)}
    _run_past_upkeep(fleet)
    fleet.entries[keeper].alive = False
    _route(fleet, left, new)
    fleet.run(2.0)
    fleet.begin(left[0], 'x', 'v1', services=(OTHER,))
    fleet.run(1.0)
    moved = {**new, 'h/new/': ('third',)}
    _route(fleet, left, moved)
    fleet.run(1.0)
    _kill_all(fleet, _REPLICAS, moved)
    fleet.run(1.0)
    decision, _ = fleet.take_up(left[0],
                                'x',
                                services=('third',),
                                route='h/new/')
    assert decision.origin in (None, _at('v1', OTHER)), decision


def test_a_stream_of_a_split_route_does_not_change_its_service():
    """A split route loses the service at which a stream began, and all entries
    are killed."""
    fleet = _fleet_of_services()
    split = {'h/': (SERVICE, OTHER)}
    _route(fleet, fleet.hosts, split)
    fleet.run(stream_entries.OBSERVED_S)
    fleet.begin(fleet.hosts[0], 'x', 'v1', services=(OTHER, SERVICE))
    fleet.run(1.0)
    _route(fleet, fleet.hosts, {'h/': (SERVICE,)})
    fleet.run(0.1)
    _kill_all(fleet, _REPLICAS, {'h/': (SERVICE,)})
    fleet.run(0.5)
    decision, _ = fleet.take_up(fleet.hosts[1], 'x', route='h/')
    assert decision.origin is None, decision


def test_a_moved_route_that_an_older_copy_lost_is_not_forgotten():
    """A route is added and moved, the store comes back from before both, and
    all entries are killed as soon as the store counts as proven."""
    fleet = _fleet_of_services()
    before = len(fleet.store.records)
    new = {'h/': (SERVICE,), 'h/new/': (OTHER,)}
    _route(fleet, fleet.hosts, new)
    fleet.run(2.0)
    fleet.begin(fleet.hosts[0], 'x', 'v1', services=(OTHER,))
    moved = {**new, 'h/new/': ('third',)}
    _route(fleet, fleet.hosts, moved)
    fleet.run(2.0)
    fleet.set_away(True)
    fleet.run(OUTAGE_S)
    fleet.store.restore(len(fleet.store.records) - before)
    fleet.set_away(False)
    for entry in fleet.entries.values():
        entry.origins.version_store.on_store_restored()
    newest = {}
    while newest.get('era') != b'1':
        fleet.run(0.001)
        newest = {r.key: r.value for r in fleet.store.records}
    _kill_all(fleet, _REPLICAS, moved)
    fleet.run(1.0)
    decision, _ = fleet.take_up(fleet.hosts[1],
                                'x',
                                services=('third',),
                                route='h/new/')
    assert decision.origin is None, decision


# -- cut -----------------------------------------------------------------------


def test_a_successor_at_the_address_does_not_vouch_at_the_second_look():
    """A replica accepts once more as it exits, and its successor, whose record
    has come meanwhile, accepts the second probe."""
    loop, probes, found = mock.MagicMock(), mock.MagicMock(), []
    fleet = mock.MagicMock()
    fleet.is_replaced.return_value = False
    probes.probe_anew = lambda replica, done: done(prober.Verdict.ALIVE)
    tracker = crashes.CrashTracker(loop, probes, fleet)
    tracker.check_exit(mock.MagicMock(), found.append)
    (_, look_again), _ = loop.call_later.call_args
    fleet.is_replaced.return_value = True
    look_again()
    assert found == [True]


# -- refused -------------------------------------------------------------------


def _refused_s(fleet, host, for_s):
    """Returns for how long a stream that nobody knows is refused, s."""
    began = fleet.now
    while fleet.now - began < for_s:
        decision, _ = fleet.take_up(host, f'{fleet.now}')
        if decision.origin is not None:
            return fleet.now - began
    return for_s


def _outlast_older_copy(fleet):
    fleet.set_away(True)
    fleet.run(OUTAGE_S)
    fleet.store.restore(0)
    fleet.set_away(False)
    for entry in fleet.entries.values():
        entry.origins.version_store.on_store_restored()


@pytest.mark.parametrize('loss', [0.005, 0.02])
@pytest.mark.parametrize('count', [7, 87, 195])
def test_few_lost_messages_do_not_refuse_streams_for_long(count, loss):
    """Few messages are lost, and some witness is not heard at each try."""
    fleet = _fleet(count, ['v2'], loss=loss)
    _outlast_older_copy(fleet)
    assert _refused_s(fleet, fleet.hosts[0], 30.0) <= MAX_REFUSED_S


def test_a_witness_that_is_frozen_for_some_seconds_is_asked_again():
    """One entry is frozen for 7 s as the store comes back; all are alive."""
    fleet = _fleet(7, ['v2'])
    keeper = _keeper(fleet.hosts)
    frozen = next(h for h in fleet.hosts if h != keeper)
    deliver = fleet.deliver
    fleet.deliver = lambda sender, host, message: (None if frozen in (
        sender.host, host) else deliver(sender, host, message))
    _outlast_older_copy(fleet)
    fleet.run(7.0)
    fleet.deliver = deliver
    assert _refused_s(fleet, keeper, 30.0) <= versionstore.UPKEEP_PERIOD_S


def test_a_keeper_whose_topics_return_in_turn_asks_the_witnesses():
    """The topic of the configuration tells of the older copy half a second
    before that of the replicas shows that the store is back."""
    fleet = _fleet(7, ['v2'])
    fleet.set_away(True)
    fleet.run(OUTAGE_S)
    fleet.store.restore(0)
    fleet.store.away = False
    for entry in fleet.entries.values():
        entry.origins.version_store.on_store_restored()
    fleet.run(0.5)
    fleet.set_away(False)
    assert _refused_s(fleet, fleet.hosts[0], 30.0) <= 3.0


# -- calls ---------------------------------------------------------------------


class _Timed(stream_entries.Store):
    """Records when it is called."""

    def __init__(self, loop):
        super().__init__(loop)
        self.called_at = []

    def read_snapshot(self, after, silence_s, done):
        self.called_at.append(self._sim.now)
        super().read_snapshot(after, silence_s, done)

    def append_all_at(self, records, end, silence_s, done):
        self.called_at.append(self._sim.now)
        super().append_all_at(records, end, silence_s, done)

    def most_in_a_second(self):
        best = first = 0
        for last, at in enumerate(self.called_at):
            while at - self.called_at[first] > 1.0:
                first += 1
            best = max(best, last - first + 1)
        return best


@pytest.mark.parametrize('count', [7, 87, 195, 350])
def test_quick_configurations_do_not_cost_more_with_more_entries(count):
    """Routes move ten times a second, and the store is called for each."""
    with mock.patch.object(stream_entries, 'Store', _Timed):
        fleet = _fleet(count, ['v1'])
        fleet.store.called_at.clear()
        for i in range(50):
            _route(fleet, fleet.hosts, {f'h/{i}/': (SERVICE,)})
            fleet.run(0.1)
        fleet.run(2.0)
    assert fleet.store.most_in_a_second() <= 12, (
        fleet.store.most_in_a_second(), len(fleet.store.called_at))


@pytest.mark.parametrize('count', [7, 87, 195, 350])
def test_an_older_copy_has_the_store_read_once_by_each_entry(count):
    """Every entry reads again and again until the copy is proven."""
    with mock.patch.object(stream_entries, 'Store', _Timed):
        fleet = _fleet(count, ['v1', 'v2'])
        fleet.store.called_at.clear()
        _outlast_older_copy(fleet)
        fleet.store.called_at = [
            at for at in fleet.store.called_at if at >= fleet.now
        ]
        fleet.run(3.0)
    assert len(
        fleet.store.called_at) <= count + 12, (fleet.store.most_in_a_second(),
                                               len(fleet.store.called_at))


@pytest.mark.parametrize('age', ['old', 'new'])
def test_a_record_that_cannot_be_decoded_is_not_written_about_again(age):
    """A record of another software version is in the topic: nothing counts as
    proven, and the keeper writes the era again and again without a pause."""
    fleet = _fleet(3, ['v1'])
    if age == 'old':
        fleet.store.put('newer', b'\xff')
        fleet.run(versionstore.UPKEEP_PERIOD_S)
    else:
        fleet.store.put('newer', b'\xff')
        fleet.add('v2')
    writes = fleet.store.writes
    fleet.run(versionstore.UPKEEP_PERIOD_S)
    assert fleet.store.writes - writes <= 10, fleet.store.writes - writes


def test_routes_that_are_gone_are_forgotten():
    """Each configuration brings another route, and all are kept for ever."""
    routes = softwareversions.RouteHistory()
    for i in range(1000):
        routes.adopt({f'h/{i}/': (SERVICE,)}, now=float(i))
    assert len(routes._left_at) <= 2 * softwareversions.SERVED_WINDOW_S
