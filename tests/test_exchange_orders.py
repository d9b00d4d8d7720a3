"""Orders of what replicas and configurations do while a stream is delivered."""

import dataclasses
import unittest.mock

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

import exchange_site

from gorsefall import errors
from gorsefall.net import outbound
from gorsefall.policy import takeover

NOT_RUN_STATUS = 503

_BOTH_REFUSE = [[(2.4, 'refuse')], [(0.01, 'refuse')]]
"""The silent replica refuses as well, after the one asked next has."""

_REFUSED_AFTER_A_BREAK = [[(2.4, 'refuse')], [(0.2, 'reset')]]
"""The silent replica refuses while the break of the next one is looked into."""

_PAUSES = st.sampled_from([0.01, 0.05, 0.2, 0.6, 0.99, 1.1, 1.29, 1.35, 2.4])
_STREAM = st.tuples(
    st.just([(0.05, 'head')]), st.sampled_from([[], [], [(0.0, 'back')]]),
    st.lists(st.tuples(_PAUSES, st.just('event')), min_size=1, max_size=4),
    st.sampled_from([[], [], [(0.3, 'reset')], [(0.3, 'cut')],
                     [(1.2, 'cut')]])).map(lambda p: sum(p, []))
_CLOSED_FIRST = st.just([(0.05, 'head'), (0.05, 'close')])
_REFUSAL = _PAUSES.map(lambda s: [(s, 'refuse')])
_RESET = _PAUSES.map(lambda s: [(s, 'reset')])
_SCRIPTS = st.lists(st.one_of(_STREAM, _STREAM, _REFUSAL, _RESET, _CLOSED_FIRST,
                              st.just([])),
                    min_size=1,
                    max_size=3)
_CHANGES = st.sampled_from([None, 'key', 'route', 'service'])


def _change(site, what):
    table = {
        'key':
            exchange_site.table(2, []),
        'route':
            exchange_site.table(2, ['k'], None),
        'service':
            exchange_site.table(
                2, ['k'],
                dataclasses.replace(exchange_site.ROUTE,
                                    services=(('other', 1.0),))),
    }[what]
    site.node.table = table


def _play(scripts, change, change_at_s):
    """Plays one request to its end; returns the ``exchange_site.Site``."""
    with exchange_site.site(scripts) as site:
        site.deadline = site.loop.now + exchange_site.TIME_LIMIT_S
        if change is not None:
            site.loop.call_later(change_at_s, lambda: _change(site, change))
        site.exchange.start()
        site.loop.run(site.deadline + 1.0)
    return site


def _is_prefix(body):
    whole = b''.join(b'id: %d\ndata: x\n\n' % i
                     for i in range(1, exchange_site.EVENT_COUNT + 1))
    return whole.startswith(body), body == whole


@settings(deadline=None, max_examples=150)
@given(_SCRIPTS, _CHANGES, st.floats(0.0, 3.0))
@example(_BOTH_REFUSE, None, 0.0)
@example(_REFUSED_AFTER_A_BREAK, None, 0.0)
def test_a_response_is_whole_unless_all_its_replicas_ended_it(
        scripts, change, change_at_s):
    """A response is broken off while a replica works on it, or is not whole."""
    site = _play(scripts, change, change_at_s)
    prefix, whole = _is_prefix(site.writer.body)
    assert prefix
    assert site.writer.ended == whole
    assert site.exchange.done
    if site.writer.status == NOT_RUN_STATUS:
        assert all(c.refused for c in site.conns)
    failed_at = site.writer.failed_at
    if failed_at is not None and failed_at < site.deadline:
        assert not [c for c in site.conns if c.cancelled_at == failed_at]


def _takes_over(other, conn, at):
    """Whether another connection has taken the request of one at a time, s."""
    if other.responded_at <= at and not other.refused:
        return True
    unrefused = other.ended_at is None or other.ended_at > at
    asked_for_s = at - other.sent_at
    return (conn.sent_at < other.sent_at and unrefused and
            asked_for_s >= takeover.MAX_OVERLAP_S - 1e-6)


_NEXT_BREAKS = [[], [(0.2, 'reset')]]
"""The next replica breaks off while the silent one is kept."""


@settings(deadline=None, max_examples=150)
@given(_SCRIPTS, _CHANGES, st.floats(0.0, 3.0))
@example(_NEXT_BREAKS, None, 0.0)
@example(_REFUSED_AFTER_A_BREAK, None, 0.0)
def test_an_attempt_is_let_go_of_only_for_one_that_takes_the_request(
        scripts, change, change_at_s):
    """A run that works is cancelled before another replica has accepted."""
    site = _play(scripts, change, change_at_s)
    for conn in site.conns:
        at = conn.cancelled_at
        was_refused = conn.refused and conn.ended_at == at
        if at is not None and at < site.deadline and not was_refused:
            assert any(
                _takes_over(other, conn, at)
                for other in site.conns
                if other is not conn)


@settings(deadline=None, max_examples=80)
@given(_SCRIPTS, _CHANGES, st.floats(0.0, 3.0))
def test_nothing_is_left_of_a_request_that_has_ended(scripts, change,
                                                     change_at_s):
    """A replica works on for nobody, or keeps a place that is free."""
    site = _play(scripts, change, change_at_s)
    assert not [c for c in site.conns if c.is_open]
    assert not any(r.in_flight_count for r in site.replicas.values())


@settings(deadline=None, max_examples=80)
@given(_SCRIPTS, _CHANGES, st.floats(0.0, 3.0))
def test_two_replicas_work_on_a_stream_for_a_short_time_only(
        scripts, change, change_at_s):
    """A stream is generated twice, as the silent attempt is kept for good."""
    site = _play(scripts, change, change_at_s)
    for old, new in zip(site.conns, site.conns[1:], strict=False):
        ends = (old.ended_at, old.cancelled_at, new.ended_at, new.cancelled_at)
        both_until = min(t for t in ends if t is not None)
        assert both_until <= new.sent_at + takeover.MAX_OVERLAP_S + 1e-6


def test_a_replica_is_not_silent_while_its_caller_reads_nothing():
    """A run that works is moved, as the entry itself does not read from it."""
    with exchange_site.site([[(0.1, 'head'), (0.1, 'event')], []]) as site:
        began = site.loop.now
        site.writer.keeps_up = False
        site.exchange.start()
        site.loop.run(began + 2.0)
        assert len(site.conns) == 1
        site.exchange.on_caller_drained()
        site.loop.run(began + 4.0)
        assert len(site.conns) == 2


def test_a_run_that_goes_on_after_all_is_read_again():
    """A stream stops, as its caller caught up while a replica was asked."""
    scripts = [[(0.1, 'head'), (0.1, 'event')], [(0.1, 'refuse')]]
    with exchange_site.site(scripts) as site:
        site.writer.keeps_up = False
        site.exchange.start()
        site.loop.run(site.loop.now + 0.3)
        assert site.conns[0].paused
        site.exchange.begin_takeover()
        site.exchange.retry_or_fail_unknown('its replica seems to be gone')
        site.exchange.on_caller_drained()
        site.loop.run(site.loop.now + 0.2)
        assert site.conns[1].refused and site.conns[0].is_open
        assert not site.conns[0].paused


def test_a_stream_that_is_closed_inside_an_event_counts_as_a_broken_run():
    """A request that crashes replicas is cleared by the run that it broke."""
    cut = [(0.1, 'head'), (0.1, 'event'), (0.1, 'cut')]
    with exchange_site.site([cut, cut]) as site:
        site.exchange.start()
        site.loop.run(site.loop.now + 2.0)
    assert len(site.conns) == 2
    assert not site.node.crashes.record_completed_run.called
    assert not site.node.work.record_response.called
    assert not site.replicas['a'].view.record_success.called
    assert site.replicas['a'].view.record_failure.called


def test_a_silent_stream_that_is_closed_inside_an_event_is_given_up():
    """Half a stream of the attempt that was set aside ends as a whole one."""
    silent = [(0.1, 'head'), (0.1, 'event'), (0.1, 'part'), (1.05, 'close')]
    goes_on = [(0.2, 'head')] + 4 * [(0.1, 'event')]
    with exchange_site.site([silent, goes_on]) as site:
        site.exchange.start()
        site.loop.run(site.loop.now + 3.0)
    assert _is_prefix(site.writer.body) == (True, True)
    assert site.writer.ended
    assert len(site.conns) == 2


_BROKEN = [(0.1, 'head'), (0.1, 'event'), (0.5, 'reset')]
_WHOLE = [(0.1, 'head')] + 4 * [(0.1, 'event')]


@pytest.mark.parametrize('steps_back', [1, 2, 3])
def test_a_run_that_repeats_events_goes_on_after_the_last_one(steps_back):
    """A caller gets an event twice, as a run that goes on repeats it."""
    broken = [(0.1, 'head'), (0.1, 'event'), (0.1, 'event'), (0.1, 'cut')]
    repeats = ([(0.1, 'head')] + steps_back * [(0.0, 'back')] +
               5 * [(0.1, 'event')])
    with exchange_site.site([broken, repeats]) as site:
        site.exchange.start()
        site.loop.run(site.loop.now + 3.0)
    assert _is_prefix(site.writer.body) == (True, True)
    assert site.writer.ended


def test_a_stream_goes_on_past_replicas_of_other_versions():
    """A stream holds events of two software versions."""
    with exchange_site.site([_BROKEN, _WHOLE, _WHOLE]) as site:
        site.replicas['b'].record.software = 'v2'
        site.exchange.start()
        site.loop.run(site.loop.now + 3.0)
    assert site.writer.ended
    assert not site.replicas['b'].acceptance.record_sent.called


def test_a_stream_ends_once_another_version_has_its_replicas_id():
    """A stream goes on at the version of a record that came after another one
    had begun it under the same id."""
    with exchange_site.site([_BROKEN, _WHOLE]) as site:
        site.exchange.start()
        site.loop.run(site.loop.now + 0.4)
        site.replicas['a'] = exchange_site.Replica('a', [], 'v2')
        site.loop.run(site.loop.now + 3.0)
    assert len(site.conns) == 1
    assert site.writer.failed_at is not None


def test_a_stream_that_is_taken_up_is_not_shed():
    """A caller loses half a stream to new requests in a queue."""
    whole = [(0.1, 'head')] + 4 * [(0.1, 'event')]
    with exchange_site.site([whole]) as site:
        site.let_stream_go_on('v1')
        site.exchange.start()
        site.loop.run(site.loop.now + 2.0)
    assert site.writer.ended
    assert site.may_shed is False


def test_a_caller_that_leaves_during_a_look_up_gets_nothing():
    """A request is sent whose caller left before its version was found."""
    with exchange_site.site([[(0.1, 'head')]]) as site:
        site.let_stream_go_on('v1')
        found = []

        def look_up(digest, services, done, *, route):
            del digest, services, route
            found.append(done)

        site.node.streams.look_up = look_up
        site.exchange.start()
        site.exchange.on_caller_disconnected('closed')
        found[0](exchange_site.found_at('v1'), 1)
        site.loop.run(site.loop.now + 1.0)
    assert not site.conns


def test_a_silent_request_that_may_crash_replicas_is_waited_for():
    """A stream ends as it is silent, as it must not run at a second replica."""
    late = [(0.1, 'head'), (0.1, 'event'), (2.0, 'event'), (0.1, 'event'),
            (0.1, 'event')]
    with exchange_site.site([late, []]) as site:
        site.node.crashes.must_serialize.return_value = True
        site.exchange.start()
        site.loop.run(site.loop.now + 4.0)
    assert site.writer.ended
    assert len(site.conns) == 1


def test_a_silent_run_that_may_crash_replicas_is_not_restored_elsewhere():
    """A run that may crash its replica is continued at another one."""
    late = [(0.1, 'head'), (0.1, 'event'), (2.0, 'event'), (0.1, 'event'),
            (0.1, 'event')]
    with exchange_site.site([late, []]) as site:
        site.node.crashes.must_serialize.return_value = True
        site.exchange.start()
        restorer = site.exchange.silence._restorer = unittest.mock.MagicMock()
        restorer.possible = True
        site.loop.run(site.loop.now + 4.0)
    assert site.writer.ended
    assert not restorer.probe.called


@pytest.mark.parametrize('script, status, is_withdrawn', [
    ([(2.0, 'head')], 400, True),
    ([(0.1, 'head'), (0.1, 'event'), (2.0, 'event')], None, False),
])
def test_what_waits_at_a_replica_is_withdrawn_when_it_is_blamed(
        script, status, is_withdrawn):
    """Requests that wait at replicas crash them after the cause is known."""
    with exchange_site.site([script]) as site:
        site.exchange.start()
        site.loop.run(site.loop.now + 0.5)
        site.node.crashes.check.side_effect = errors.PoisonRequestError('x')
        site.exchange.withdraw_if_blocked()
        assert (site.conns[0].cancelled_at is not None) == is_withdrawn
        assert site.writer.status == status


@pytest.mark.parametrize('scripts, status', [
    ([[(0.1, 'stray')], [(0.1, 'head'), *[(0.1, 'event')] * 4]], None),
    ([[(0.1, 'stray')]], 502),
])
def test_a_denial_that_no_replica_sent_is_not_passed_on(scripts, status):
    """Another program at a replica's address denies a proper request."""
    with exchange_site.site(scripts) as site:
        site.exchange.start()
        site.loop.run(site.loop.now + 3.0)
    assert site.writer.ended == (status is None)
    assert site.writer.status == status


_EVENTS = [(0.05, 'event')] * exchange_site.EVENT_COUNT


@pytest.mark.parametrize('begun', [0, 2])
def test_a_stream_goes_on_elsewhere_if_its_replica_sends_bytes_without_end(
        begun):
    """The bytes of one replica are kept without bound, until the time is up."""
    flooding = [(0.05, 'head'), *_EVENTS[:begun], (0.05, 'flood')]
    site = _play([flooding, [(0.05, 'head'), *_EVENTS]], None, 0.0)
    assert site.writer.ended
    assert _is_prefix(site.writer.body) == (True, True)


def test_an_attempt_that_was_withheld_says_nothing_of_its_replica():
    """A suspended entry takes the replicas that it did not ask for failed."""
    stream = [(0.1, 'head')] + [(0.0, 'event')] * exchange_site.EVENT_COUNT
    with exchange_site.site([stream]) as site:
        site.exchange.start()
        call = site.conns[0]._call
        site.conns[0].cancelled_at = site.loop.now
        call.on_fail(
            outbound.Failure(False, 'withheld', outbound.Fault.WITHHELD))
        site.loop.run(site.loop.now + 1.0)
    assert site.writer.ended
    assert not site.replicas['a'].view.record_failure.called
