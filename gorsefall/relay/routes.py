"""The active routing configuration: routes, services, accounts, keys."""

import random

from gorsefall import errors

RANK_COUNT = 10
"""Number of ranks that a replica distinguishes; 0 is the most urgent. If there
are more pairs of priorities, several share a rank."""


def _pair(account_priority, route_priority):
    """Returns the priorities of an account and a route, as a pair."""
    if account_priority is None:
        return route_priority, route_priority
    return account_priority, route_priority


def _all_pairs(route_priorities, account_priorities):
    """Returns all pairs of priorities that can occur.

    Combines the few distinct priorities. Combining each account with each
    route would, with thousands of both, stall every stream of the entry for
    as long as the longest allowed pause between events.
    """
    return {
        _pair(a, r)
        for a in (None, *account_priorities)
        for r in route_priorities
    }


def _assign_ranks(pairs, key):
    """Returns the rank of each pair, in the order of ``key``."""
    ordered = sorted(pairs, key=key)
    step = min(1.0, (RANK_COUNT - 1) / max(1, len(pairs) - 1))
    return {pair: int(i * step) for i, pair in enumerate(ordered)}


class Table:
    """One version of the configuration, indexed for requests.

    Attributes:
        version: Its version; higher is newer.
        routes: All ``model.Route``.
        services: ``name -> model.Service``.
        limits: The ``model.CallerLimits``.
        accounts: ``key -> model.Account``; empty if no route needs a key.
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
        self._longest_prefix = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
            self._longest_prefix[route.host] = max(
                self._longest_prefix.get(route.host, 0), len(route.prefix))

        pairs = _all_pairs({r.priority for r in routes},
                           {a.priority for a in accounts.values()})
        self._admission_ranks = _assign_ranks(pairs, key=lambda p: p)
        self._replica_ranks = _assign_ranks(pairs, key=lambda p: (p[1], p[0]))

    def admission_rank(self, account, route):
        """Returns the rank of a request at the entry, below ``RANK_COUNT``.

        The account's priority goes first, the route's decides among equals.
        With the account's alone, a chat and a long digest of accounts of equal
        priority would share a rank, and in an overload chats would get no
        response while digests start.
        """
        return self._admission_ranks[self._priorities(account, route)]

    def replica_rank(self, account, route):
        """Returns the rank of a request at a replica, below ``RANK_COUNT``.

        The route's priority goes first, the account's decides among equals.
        A replica preempts running requests for more urgent ones. With the
        account's priority first, digests of a preferred account would preempt
        the chats of all others, though these have begun prefill and complete
        sooner. ``admission_rank`` decides which requests reach a replica.
        """
        return self._replica_ranks[self._priorities(account, route)]

    def _priorities(self, account, route):
        priority = account.priority if account else None
        return _pair(priority, route.priority)

    def match(self, req):
        """Returns the route of ``req``: its host's longest matching prefix.

        Raises:
            errors.NoRouteError: None matches.
        """
        path = req.path
        prefixes = self._by_host.get(req.host, {})
        # Prefixes end with a slash, so a matching one ends at a slash of the
        # path. The cost of trying each slash does not depend on the number of
        # routes, nor on the length of the path: a caller chooses that, and the
        # cost is the square of what is tried.
        end = path.rfind('/', 0, self._longest_prefix.get(req.host, 0))
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
