"""The routing configuration in force: routes, services, accounts, keys."""

import random

from gorsefall import errors

RANK_COUNT = 10
"""Ranks a replica tells apart, 0 the most urgent; more are put together."""


def _pair(account_priority, route_priority):
    """Returns the priorities of an account and a route, in their order."""
    if account_priority is None:
        return route_priority, route_priority
    return account_priority, route_priority


def _pairs(of_routes, of_accounts):
    """Returns the pairs of priorities that there can be.

    It goes by the few priorities there are. By each account with each route,
    a table of thousands of both holds up every stream of the entry for as
    long as a pause between events may last.
    """
    return {_pair(a, r) for a in (None, *of_accounts) for r in of_routes}


def _numbered(pairs, key):
    """Returns the rank of each pair, in the order of ``key``."""
    ordered = sorted(pairs, key=key)
    step = min(1.0, (RANK_COUNT - 1) / max(1, len(pairs) - 1))
    return {pair: int(i * step) for i, pair in enumerate(ordered)}


class Table:
    """One version of the configuration, ready to be asked.

    Attributes:
        version: Its version; higher is newer.
        routes: All ``model.Route``.
        services: ``name -> model.Service``.
        limits: The ``model.CallerLimits``.
        accounts: ``key -> model.Account``; empty when no route needs a key.
        requires_key: Whether requests need a key.
    """

    def __init__(self, *, version, routes, services, limits, accounts,
                 requires_key):
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.accounts = accounts
        self.requires_key = requires_key
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

        pairs = _pairs({r.priority for r in routes},
                       {a.priority for a in accounts.values()})
        self._ranks = _numbered(pairs, key=lambda p: p)
        self._urgencies = _numbered(pairs, key=lambda p: (p[1], p[0]))

    def admission_rank(self, account, route):
        """Returns how urgent a request is, 0 the most, below ``RANKS``.

        The account's priority goes first, the route's decides among equals.
        With the account's alone, accounts of one priority put a chat and a
        long digest on one level, and in an overload chats went without any
        answer while digests began.
        """
        return self._ranks[self._key(account, route)]

    def replica_rank(self, account, route):
        """Returns how urgent a request is at a replica, 0 the most.

        The route's priority goes first, the account's decides among equals.
        A replica puts back what runs for what is more urgent. With the
        account's first, digests of a preferred account put back the chats of
        all others, though a chat has begun to be read and is done sooner.
        Which accounts come to a replica at all goes by ``rank``.
        """
        return self._urgencies[self._key(account, route)]

    def _key(self, account, route):
        priority = account.priority if account else None
        return _pair(priority, route.priority)

    def match(self, req):
        """Returns the route of ``req``: its host's longest matching prefix.

        Raises:
            errors.NoRouteError: None matches.
        """
        path = req.path
        prefixes = self._by_host.get(req.host, {})
        # Prefixes end with a slash, so only the path's own slashes can end
        # one; trying each keeps thousands of routes as quick as ten.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[:end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        raise errors.NoRouteError(
            f'no route for {req.host}{path} in configuration {self.version}')

    def account(self, req, route):
        """Returns the account of ``req``; None on public routes.

        Raises:
            errors.UnknownKeyError: The key is missing or unknown.
        """
        if not self.requires_key or route.public:
            return None
        account = self.accounts.get(req.key)
        if account is None:
            raise errors.UnknownKeyError(
                f'key not known to configuration {self.version}')
        return account


def pick_service(route, rng=random):
    """Returns one of the route's services, by weight."""
    if len(route.services) == 1:
        return route.services[0][0]
    names, weights = zip(*route.services, strict=True)
    return rng.choices(names, weights)[0]
