"""What replicas announce, compared to a simple model of it."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.emulator import clock
from gorsefall.net import headers
from gorsefall.policy import membership
from gorsefall.relay import announcements
from gorsefall.relay import fleet
from gorsefall.relay import model

NAMES = 'ab'


def _response(**fields):
    values = {
        'status': 200,
        'headers': headers.from_items([]),
        'request_id': 'x',
        'genuine': True,
        'not_run': False,
        'misdirected': False,
        'load': None
    }
    return model.Response(**values | fields)


class _Site:
    """One entry's fleet and tracker."""

    def __init__(self):
        self.loop = clock.Loop()
        self.fleet = fleet.Fleet(self.loop)
        self.fleet.set_services(
            {'s': model.Service(name='s', max_connections=60)})
        self.tracker = announcements.AnnouncementTracker(
            self.loop, self.fleet, membership.Members('own'))
        for name in NAMES:
            self.put(name, 1)

    def put(self, name, started_at_ms, status=model.ReplicaStatus.READY):
        self.fleet.put(
            model.ReplicaRecord(id=name,
                                service='s',
                                addr=('127.0.0.1', 1),
                                zone='z',
                                slots=4,
                                status=status,
                                started_at_ms=started_at_ms))

    def names(self):
        return {r.record.id for r in self.fleet.candidates('s', ())}

    def respond(self, replica, **fields):
        self.tracker.record_response(replica, _response(**fields),
                                     self.loop.now)


_STEPS = st.lists(st.tuples(
    st.sampled_from([
        'leaves', 'answers', 'late answer', 'other replica', 'reported',
        'restarts', 'dropped', 'written', 'outage', 'regained'
    ]), st.sampled_from(NAMES)),
                  max_size=30)


@given(_STEPS)
def test_an_announced_exit_binds_its_incarnation_only(steps):
    """Replicas that announced their exit receive requests because of older
    records, answers, listings or outages, or their successors receive none."""
    site = _Site()
    started = dict.fromkeys(NAMES, 1)
    leaving, earlier = set(), []
    for what, name in steps:
        replica = site.fleet.replicas.get(name)
        if what in ('leaves', 'answers') and replica is not None:
            earlier.append(replica)
            site.respond(replica, leaving=what == 'leaves')
            if what == 'leaves':
                leaving.add((name, started[name]))
        elif what == 'late answer' and earlier:
            old = earlier[0]
            site.respond(old, leaving=True)
            leaving.add((old.record.id, old.record.started_at_ms))
        elif what == 'other replica' and replica is not None:
            site.respond(replica, leaving=True, misdirected=True)
        elif what == 'restarts':
            started[name] += 1
            site.put(name, started[name])
        elif what == 'dropped':
            site.fleet.remove(name, site.loop.now)
        elif what == 'written':
            site.put(name, started[name])
        elif what == 'outage':
            site.fleet.on_store_lost()
        elif what == 'regained':
            site.fleet.on_store_regained(site.loop.now)
        expected = {
            n for n, r in site.fleet.replicas.items()
            if (n, r.record.started_at_ms) not in leaving
        }
        certain = {
            n for n in expected if not site.fleet.replicas[n].record_lapsed
        }
        assert site.names() == (certain or expected)


def test_exits_that_others_report_leave_no_service_empty():
    """A false report of one entry empties a service."""
    site = _Site()
    status = membership.Status('other',
                               1,
                               1,
                               leaving_replicas=tuple(
                                   membership.LeavingReplica(n, born)
                                   for n, born in (('a', 1), ('b', 0))))
    site.tracker.handle_status(status)
    assert site.names() == {'b'}
    site.respond(site.fleet.replicas['b'], leaving=True)
    assert site.names() == {'a'}


def test_an_announced_exit_is_reported_by_the_entry_that_received_it():
    """Entries send requests to a replica until each has received a response
    that announces its exit."""
    one, other = _Site(), _Site()
    one.respond(one.fleet.replicas['a'], leaving=True)
    status = membership.Status('one',
                               1,
                               1,
                               leaving_replicas=one.tracker.recent_leaving(0.0))
    other.tracker.handle_status(status)
    assert other.names() == {'b'}
    assert not other.tracker.recent_leaving(0.0)
    assert not one.tracker.recent_leaving(announcements.REPORT_WINDOW_S + 1)


def test_announcements_of_former_incarnations_are_bounded():
    """Memory grows with each restart of a replica."""
    site = _Site()
    for started_at_ms in range(2, fleet.MAX_RETAINED_ACCEPTANCES + 50):
        site.put('a', started_at_ms)
    assert len(site.fleet._acceptances) <= fleet.MAX_RETAINED_ACCEPTANCES
