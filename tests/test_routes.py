"""Routes of requests, compared to a plain search, and their ranks."""

import contextlib
import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.net import headers
from gorsefall.relay import model
from gorsefall.relay import routes

_SEGMENTS = st.lists(st.sampled_from(['a', 'b', 'ab', '']), max_size=4)
_PREFIXES = st.lists(st.tuples(st.sampled_from(['h', 'i']), _SEGMENTS),
                     max_size=8)


def _route(host, prefix):
    return model.Route(name=f'{host}{prefix}',
                       host=host,
                       prefix=prefix,
                       kind=model.RouteKind.IDEMPOTENT,
                       timeout_s=1.0,
                       target_s=0.1,
                       priority=1,
                       services=(('s', 1.0),))


def _table(found, accounts=()):
    return routes.Table(version=1,
                        routes=found,
                        services={},
                        limits=model.CallerLimits(),
                        accounts={a.name: a for a in accounts},
                        requires_key=False)


def _request(host, target):
    return model.CallerRequest(id='r',
                               method=b'GET',
                               target=target.encode(),
                               host=host,
                               headers=headers.from_items([]))


@given(_PREFIXES, st.sampled_from(['h', 'i', 'j']), _SEGMENTS,
       st.sampled_from(['', 'a', 'x', '?q=/a/']))
def test_the_longest_prefix_of_the_host_wins(prefixes, host, segments, tail):
    found = [
        _route(h, '/' + ''.join(f'{s}/' for s in segs)) for h, segs in prefixes
    ]
    path = '/' + ''.join(f'{s}/' for s in segments)
    target = path + tail
    plain = target.split('?')[0]
    fits = [r for r in found if r.host == host and plain.startswith(r.prefix)]
    req = _request(host, target)
    if not fits:
        with pytest.raises(errors.NoRouteError):
            _table(found).match(req)
    else:
        best = max(fits, key=lambda r: len(r.prefix))
        assert _table(found).match(req).prefix == best.prefix


def _ranked(account_priorities,
            route_priorities,
            rank_of=routes.Table.admission_rank):
    accounts = [
        model.Account(name=f'a{i}', priority=p)
        for i, p in enumerate(account_priorities)
    ]
    found = [
        dataclasses.replace(_route('h', f'/r{i}/'), priority=p)
        for i, p in enumerate(route_priorities)
    ]
    table = _table(found, accounts)
    return {
        (a.priority, r.priority): rank_of(table, a, r) for a in accounts
        for r in found
    }


class _CountingPrefixes(dict):
    """Prefixes of a host.

    Attributes:
        tried: Number of prefixes that were sought.
    """
    tried = 0

    def get(self, prefix, default=None):
        self.tried += 1
        return super().get(prefix, default)


@pytest.mark.parametrize('target', [b'/a/' + b'/' * 16000, b'/' * 16000])
def test_the_cost_of_a_match_is_bounded_by_the_routes(target):
    """A path of many slashes held the thread for a tenth of a second."""
    table = _table(
        [_route('h', '/a/b/'),
         _route('h', '/c/'),
         _route('h', '/a/')])
    table._by_host['h'] = prefixes = _CountingPrefixes(table._by_host['h'])
    with contextlib.suppress(errors.NoRouteError):
        assert table.match(_request('h', target.decode())).prefix == '/a/'
    assert prefixes.tried <= len('/a/b/')


def test_among_equal_accounts_the_more_urgent_route_goes_first():
    """Guards against starving the most urgent class in an overload.

    Nearly all accounts have the same priority. If it replaces the priority of
    the route, replicas with long queues serve in order of arrival: a quarter
    of the chats get no response while digests of ten times their size start.
    """
    ranks = _ranked([0, 1, 1], [0, 1, 2])
    assert ranks[0, 2] < ranks[1, 0] < ranks[1, 1] < ranks[1, 2]


def test_a_running_chat_is_not_preempted_for_a_digest():
    """Guards against preempting chats for digests of a preferred account.

    If the account's priority goes before the route's at a replica too, such
    digests rank before the chats of all other accounts. On a replica with full
    slots, 32 to 38 chats a day are then preempted while digests keep running.
    """
    ranks = _ranked([0, 1], [0, 1], routes.Table.replica_rank)
    assert ranks[0, 0] < ranks[1, 0] < ranks[0, 1] < ranks[1, 1]


def _accounts_first(pair):
    return pair


def _routes_first(pair):
    return pair[1], pair[0]


@pytest.mark.parametrize('rank_of, order',
                         [(routes.Table.admission_rank, _accounts_first),
                          (routes.Table.replica_rank, _routes_first)])
@given(account_priorities=st.lists(st.none() | st.integers(0, 9),
                                   min_size=1,
                                   max_size=8),
       route_priorities=st.lists(st.integers(0, 9), min_size=1, max_size=8))
def test_ranks_keep_the_order_and_the_bound(rank_of, order, account_priorities,
                                            route_priorities):
    ranks = _ranked(account_priorities, route_priorities, rank_of)
    assert all(0 <= r < routes.RANK_COUNT for r in ranks.values())

    def key(pair):
        return order((pair[1] if pair[0] is None else pair[0], pair[1]))

    ordered = sorted(ranks, key=key)
    values = [ranks[p] for p in ordered]
    assert values == sorted(values)
