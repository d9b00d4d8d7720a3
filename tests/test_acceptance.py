"""What replicas announce, compared to a simple model of it."""

from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.emulator import clock
from gorsefall.net import headers
from gorsefall.policy import acceptance
from gorsefall.policy import entrystatus
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
    status = entrystatus.Status('other',
                                1,
                                1,
                                leaving_replicas=tuple(
                                    entrystatus.LeavingReplica(n, born)
                                    for n, born in (('a', 1), ('b', 0))))
    site.loop.run(10.0)
    with mock.patch('time.monotonic', lambda: site.loop.now):
        site.tracker.handle_status(status)
        assert site.names() == {'b'}
        site.respond(site.fleet.replicas['b'], leaving=True)
        assert site.names() == {'a'}


def test_a_false_report_of_an_exit_is_forgotten():
    """A replica that was reported by mistake is avoided for ever."""
    site = _Site()
    report = entrystatus.LeavingReplica('a', 1)
    with mock.patch('time.monotonic', lambda: site.loop.now):
        site.tracker.handle_status(
            entrystatus.Status('other', 1, 1, leaving_replicas=(report,)))
        assert site.names() == {'b'}
        site.loop.run(announcements.REPORT_TRUST_S + 1.0)
        assert site.names() == {'a', 'b'}


def test_an_announced_exit_is_reported_by_the_entry_that_received_it():
    """Entries send requests to a replica until each has received a response
    that announces its exit."""
    one, other = _Site(), _Site()
    one.respond(one.fleet.replicas['a'], leaving=True)
    status = entrystatus.Status(
        'one', 1, 1, leaving_replicas=one.tracker.recent_leaving(0.0))
    with mock.patch('time.monotonic', lambda: other.loop.now):
        other.tracker.handle_status(status)
        assert other.names() == {'b'}
    assert not other.tracker.recent_leaving(0.0)
    assert not one.tracker.recent_leaving(entrystatus.REPORT_WINDOW_S + 1)


def test_announcements_of_former_incarnations_are_bounded():
    """Memory grows with each restart of a replica."""
    site = _Site()
    for started_at_ms in range(2, fleet.MAX_RETAINED_ACCEPTANCES + 50):
        site.put('a', started_at_ms)
    assert len(site.fleet._acceptances) <= fleet.MAX_RETAINED_ACCEPTANCES


_PAUSE_STEPS = st.lists(st.tuples(
    st.sampled_from(['refuses', 'accepts', 'accepted before', 'asks']),
    st.floats(0.0, 3.0), st.floats(0.1, 5.0)),
                        max_size=25)


@given(_PAUSE_STEPS)
def test_the_latest_end_of_all_pauses_holds(steps):
    """A replica that asked for a pause receives requests because another
    response, of before or with a shorter pause, ended it."""
    site = _Site()
    replica = site.fleet.replicas['a']
    paused_until = 0.0
    for what, wait_s, pause_s in steps:
        site.loop.run(site.loop.now + wait_s)
        now = site.loop.now
        if what == 'refuses':
            site.respond(replica, status=503, not_run=True, pause_s=pause_s)
            paused_until = max(paused_until, now + pause_s)
        elif what == 'accepts':
            site.respond(replica)
        elif what == 'accepted before':
            site.tracker.record_response(replica, _response(), now - 2.0)
        if now < paused_until:
            assert replica.refusal(now) is acceptance.Refusal.PAUSED
            assert replica.acceptance.accepts_in_s(now) == paused_until - now
        else:
            assert replica.refusal(now) is None


def test_after_a_pause_requests_are_sent_one_at_a_time():
    """The requests of many callers reach a replica at once after its pause."""
    accepts = acceptance.Acceptance()
    accepts.pause(10.0)
    assert accepts.refusal(9.9)
    assert accepts.refusal(10.0, urgent=False)
    assert accepts.refusal(10.0) is None
    accepts.record_sent(10.0)
    assert accepts.refusal(10.5)
    lost_at = 10.0 + acceptance.TRIAL_TIMEOUT_S
    assert accepts.refusal(lost_at, urgent=False) is None
    accepts.record_accepted(10.0)
    assert accepts.refusal(10.5) is None


def test_a_pause_is_not_for_ever():
    """A replica that asks for a year by mistake is never used again."""
    site = _Site()
    replica = site.fleet.replicas['a']
    site.respond(replica, status=503, not_run=True, pause_s=3e7)
    assert replica.refusal(acceptance.MAX_PAUSE_S - 1.0)
    assert replica.refusal(acceptance.MAX_PAUSE_S + 1.0) is None


def test_a_pause_is_no_failure():
    """A replica that asked for a pause stays ejected after it."""
    site = _Site()
    replica = site.fleet.replicas['a']
    site.respond(replica, status=503, not_run=True, pause_s=1.0)
    assert not replica.view.failures and not replica.view.error_share


NOON = 1767268800.0
"""2026-01-01 12:00 UTC, s since 1970."""


@pytest.mark.parametrize('value, delay_s', [
    (b'3', 3.0),
    (b' 0.25 ', 0.25),
    (b'Thu, 01 Jan 2026 12:00:30 GMT', 30.0),
    (b'Thu, 01 Jan 2026 11:59:30 GMT', None),
    (b'0', None),
    (b'-5', None),
    (b'nan', None),
    (b'inf', None),
    (b'soon', None),
    (b'', None),
    (b'\xff', None),
])
def test_values_of_retry_after(value, delay_s):
    """A malformed delay ends an entry's connection to its replica."""
    assert headers.parse_retry_after(value, NOON) == delay_s


@given(st.binary(max_size=40))
def test_no_value_of_retry_after_is_an_error(value):
    """A malformed delay ends an entry's connection to its replica."""
    delay_s = headers.parse_retry_after(value, NOON)
    assert delay_s is None or 0 < delay_s < float('inf')


def test_callers_are_told_when_the_first_replica_accepts_requests():
    """Callers return while all replicas still want no requests."""
    site = _Site()
    one, other = site.fleet.replicas.values()
    with mock.patch('time.monotonic', lambda: site.loop.now):
        site.respond(one, status=503, not_run=True, pause_s=3.0)
        assert site.fleet.accepts_in_s('s') == 0.0
        site.respond(other, status=503, not_run=True, pause_s=2.0)
        site.loop.run(0.5)
        assert site.fleet.accepts_in_s('s') == 1.5
        site.put('b', 1, model.ReplicaStatus.DRAINING)
        assert site.fleet.accepts_in_s('s') == 2.5
        assert site.fleet.describe_refusals('s') == 'a paused, b leaving'
