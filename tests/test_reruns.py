"""Whether a request may run again, whatever road its next attempt takes."""

import dataclasses
import typing

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

import exchange_site

from gorsefall.relay import model

_ONCE = dataclasses.replace(exchange_site.ROUTE, resumable=False)
_BROKEN = [(0.05, 'head'), (0.05, 'event'), (0.1, 'reset')]
_SERVES = [(0.05, 'head')] + [(0.05, 'event')] * exchange_site.EVENT_COUNT
_UNREACHED = [(0.25, 'unreached')]

_SCRIPTS = st.lists(st.sampled_from([
    _BROKEN, _SERVES, _UNREACHED, [(0.1, 'reset')], [(0.1, 'refuse')],
    [(0.05, 'head'), (0.05, 'close')], [(0.05, 'head'), (0.05, 'cut')],
    [(0.1, 'stray')], []
]),
                    min_size=3,
                    max_size=3)
_KINDS = st.sampled_from(list(model.RouteKind))


def _play(scripts, route, *, drawn=False, copy_at=None, change=None):
    """Plays one request to its end; returns the ``exchange_site.Site``."""
    with exchange_site.site(scripts, route, drawn=drawn) as site:
        if change is not None:
            site.loop.call_later(
                0.08, lambda: setattr(site.node, 'table',
                                      exchange_site.table(2, ['k'], change)))
        if copy_at is not None:
            site.loop.call_later(0.08, lambda: site.back_up_to(copy_at))
        site.exchange.start()
        site.loop.run(site.loop.now + exchange_site.TIME_LIMIT_S + 1.0)
    return site


def _begun(site):
    """Returns the connections on which a run may have begun anew."""
    return [c for c in site.conns if c.sent and not c.refused]


@pytest.mark.parametrize(
    'kind', [model.RouteKind.STREAM, model.RouteKind.NON_IDEMPOTENT])
def test_a_request_whose_body_comes_late_does_not_run_twice(kind):
    """A body in a packet of its own made its request one that may run twice."""
    route = dataclasses.replace(_ONCE, kind=kind)
    site = _play([_BROKEN, _SERVES], route, drawn=True)
    assert len(_begun(site)) == 1


@pytest.mark.parametrize('drawn', [False, True])
def test_a_copy_that_is_not_reached_is_not_replaced_by_a_second_run(drawn):
    """A stream began anew as the replica with its KV backup was not reached."""
    route = dataclasses.replace(_ONCE, max_attempts=1)
    site = _play([_BROKEN, _UNREACHED, _SERVES],
                 route,
                 drawn=drawn,
                 copy_at='b')
    assert [c.from_copy for c in site.conns] == [False, True]
    assert site.exchange.done


def test_an_attempt_that_was_not_sent_leaves_the_limit_of_attempts():
    """After a copy that was not reached one more replica got the request."""
    route = dataclasses.replace(exchange_site.ROUTE, max_attempts=1)
    site = _play([_BROKEN, _UNREACHED, _SERVES], route, copy_at='b')
    assert len(_begun(site)) == 1
    assert site.exchange.done


def test_a_kept_attempt_does_not_bring_back_what_its_route_allowed():
    """A route that forbids a second run was forgotten with its attempt."""
    silent = [(0.05, 'head'), (0.05, 'event'), (3.0, 'reset')]
    site = _play([silent, [(0.2, 'refuse')], _SERVES],
                 exchange_site.ROUTE,
                 change=_ONCE)
    assert len(_begun(site)) == 1


class _Case(typing.NamedTuple):
    """What may become of a request.

    Attributes:
        kind: Kind of its route.
        later: Kind of that route in the next configuration.
        resumable: Whether a stream of it may be resumed.
        drawn: Whether its body comes late.
        attempts: Limit of attempts of the route.
        later_attempts: The same in the next configuration.
        copy_at: Replica with a KV backup, or None.
    """
    kind: model.RouteKind
    later: model.RouteKind
    resumable: bool = False
    drawn: bool = True
    attempts: int = 1
    later_attempts: int = 1
    copy_at: str | None = None


_CASES = st.builds(_Case, _KINDS, _KINDS, st.booleans(), st.booleans(),
                   st.integers(1, 3), st.integers(1, 3),
                   st.sampled_from([None, 'b', 'c']))


@settings(deadline=None, max_examples=300)
@given(_SCRIPTS, _CASES)
@example([_BROKEN, _UNREACHED, _SERVES],
         _Case(model.RouteKind.STREAM, model.RouteKind.STREAM, copy_at='b'))
@example([_BROKEN, _SERVES, _SERVES],
         _Case(model.RouteKind.NON_IDEMPOTENT,
               model.RouteKind.IDEMPOTENT,
               attempts=2,
               later_attempts=2))
def test_no_road_runs_a_request_again_that_may_run_once(scripts, case):
    """Some roads sent a request again that may run only once."""
    first = dataclasses.replace(exchange_site.ROUTE,
                                kind=case.kind,
                                resumable=case.resumable and
                                case.kind is model.RouteKind.STREAM,
                                max_attempts=case.attempts)
    second = dataclasses.replace(first,
                                 kind=case.later,
                                 max_attempts=case.later_attempts)
    site = _play(scripts,
                 first,
                 drawn=case.drawn,
                 copy_at=case.copy_at,
                 change=second)
    if not first.repeatable:
        assert len([c for c in _begun(site) if not c.from_copy]) <= 1
    sent = [c for c in site.conns if c.sent and not c.from_copy]
    assert len(sent) <= max(case.attempts, case.later_attempts)
