"""Decides at which service and software version a stream may go on.

Replicas of several versions serve side by side, and events of two versions do
not fit together. A stream goes on only at the version that began it. Entries
remember where streams began while more than one version serves; while a single
version serves, a stream can only have begun at that one.
"""

import collections
import enum
import typing

from gorsefall import ids

SERVED_WINDOW_S = 20.0
"""Time for which a version counts as serving after its last replica was
dropped, s: longer than a stream lasts and its caller may take it up."""

MAX_GAP_S = 3.0
"""Longest time without a confirmed view of the replicas that is no gap, s:
those that have exited are listed for longer."""


class Reason(enum.Enum):
    """Why a stream may go on, or may not; the values are logged."""
    KNOWN = 'known'
    """An entry knows at which version it began."""
    STORED = 'stored'
    """No entry knows it, but it was stored at which version it began."""
    SOLE_VERSION = 'sole_version'
    """No other version has served of late, wherever it began."""
    SEVERAL_VERSIONS = 'several_versions'
    """Several have served, and no entry knows where it began."""
    CONTRADICTION = 'contradiction'
    """Entries name different versions."""
    NO_VERSION = 'no_version'
    """No replica has served of late."""
    MOVED = 'moved'
    """Its route does not lead to the service where it began any more."""
    UNPROVEN = 'unproven'
    """One version is known, but neither an entry nor the store shows that no
    other one has served while the stream may have begun."""
    OUTDATED = 'outdated'
    """No other entry answers, and the store cannot be read: another version
    may serve that this entry does not know of."""


class Origin(typing.NamedTuple):
    """The replicas that a stream may have begun at.

    Attributes:
        service: Name of their service.
        software: Version of their software.
    """
    service: ids.ServiceName
    software: ids.SoftwareVersion


class Knowledge(typing.NamedTuple):
    """What one entry knows of a stream and the services of its route.

    Attributes:
        began: The ``Origin`` of the stream; None if not known.
        served: The origins that have served of late.
        covers: Whether the entry has observed for all that time which serve.
    """
    began: Origin | None
    served: frozenset[Origin]
    covers: bool = False


class Decision(typing.NamedTuple):
    """Where a stream may go on.

    Attributes:
        origin: The ``Origin`` of the replicas; None if it may go on at none.
        reason: The ``Reason``.
    """
    origin: Origin | None
    reason: Reason


def decide(services,
           own,
           others,
           *,
           view_current,
           stored,
           stored_services=frozenset(),
           older_copy=False):
    """Returns the ``Decision`` on a stream that is taken up.

    Args:
        services: Names of the services of its route now.
        own: The ``Knowledge`` of this entry.
        others: That of the other entries that have answered; all of it also
            of services that the route has led to of late.
        view_current: Whether this entry reads the store.
        stored: The origins at which streams may have begun, as the store has
            them, a frozenset; None if it does not show them.
        stored_services: Names of the services that its route has led to of
            late, as the store has them.
        older_copy: Whether the store has come back from an older copy, and no
            entry has shown what it lacks.
    """
    everyone = (own, *others)
    began = {k.began for k in everyone if k.began is not None}
    if len(began) > 1:
        return Decision(None, Reason.CONTRADICTION)
    if began:
        origin = began.pop()
        if origin.service not in services:
            return Decision(None, Reason.MOVED)
        return Decision(origin, Reason.KNOWN)
    served = frozenset().union(*(k.served for k in everyone))
    possible = {*services, *stored_services, *(o.service for o in served)}
    served |= {o for o in stored or () if o.service in possible}
    if len(served) > 1:
        return Decision(None, Reason.SEVERAL_VERSIONS)
    if not (others or view_current):
        return Decision(None, Reason.OUTDATED)
    vouched = stored is not None or any(k.covers for k in everyone)
    if older_copy or not vouched:
        return Decision(None, Reason.UNPROVEN)
    if not served:
        return Decision(None, Reason.NO_VERSION)
    origin, = served
    if origin.service not in services:
        return Decision(None, Reason.MOVED)
    return Decision(origin, Reason.SOLE_VERSION)


def decide_stored(origin, services):
    """Returns the ``Decision`` on a stream that no entry knows.

    Args:
        origin: The ``Origin`` that is stored for it; None if there is none.
        services: Names of the services of its route.
    """
    if origin is None:
        return Decision(None, Reason.SEVERAL_VERSIONS)
    if origin.service not in services:
        return Decision(None, Reason.MOVED)
    return Decision(origin, Reason.STORED)


class Observation:
    """For how long this entry has observed without a gap which versions serve.

    A process that has just started, was frozen, or could not read the store has
    missed versions that came and went meanwhile.
    """

    def __init__(self, clock):
        """Creates an observation that has not begun.

        Args:
            clock: Returns the time, s, which goes on while the VM is suspended.
        """
        self._clock = clock
        self._began_at = self._confirmed_at = self._gap_at = float('-inf')

    def record(self, at):
        """Records that all replicas as of the time ``at``, s, are known."""
        if at - self._confirmed_at > MAX_GAP_S:
            self._gap_at = self._confirmed_at
            self._began_at = at
        self._confirmed_at = max(self._confirmed_at, at)

    @property
    def age_s(self):
        """Time since the last gap, s; 0 if there is one now."""
        now = self._clock()
        if now - self._confirmed_at > MAX_GAP_S:
            return 0.0
        return now - self._began_at

    @property
    def missed_for_s(self):
        """Time since the first version may have come that was missed, s.

        It is 0 if none was missed that still counts as serving.
        """
        if self.covers():
            return 0.0
        in_gap = not self.age_s
        return self._clock() - (self._confirmed_at if in_gap else self._gap_at)

    def covers(self):
        """Returns whether it lasts as long as a version counts as serving."""
        return self.age_s > SERVED_WINDOW_S + MAX_GAP_S


class VersionHistory:
    """The versions that serve or have served of late, by service."""

    def __init__(self):
        self._counts = collections.defaultdict(collections.Counter)
        self._gone_at = collections.defaultdict(dict)

    def add(self, service, software):
        """Records a replica."""
        self._counts[service][software] += 1

    def remove(self, service, software, now):
        """Records that a replica was dropped.

        Args:
            service: Name of its service.
            software: Its version.
            now: Time, s (monotonic).
        """
        counts = self._counts[service]
        counts[software] -= 1
        if not counts[software]:
            del counts[software]
            self._gone_at[service][software] = now

    def has_replicas(self, origin):
        """Returns whether a replica of an ``Origin`` is known now."""
        return bool(self._counts[origin.service][origin.software])

    def left_for_s(self, origin, now):
        """Returns for how long an ``Origin`` has served no more, s.

        Args:
            origin: The ``Origin``.
            now: Time, s (monotonic).

        Returns:
            0 while it has replicas, infinity if it has not served of late.
        """
        if self.has_replicas(origin):
            return 0.0
        gone_at = self._gone_at[origin.service].get(origin.software)
        return float('inf') if gone_at is None else now - gone_at

    def record_running(self, origin, now):
        """Records that a stream of an origin runs, though its replicas left.

        Args:
            origin: The ``Origin``.
            now: Time, s (monotonic).
        """
        if not self.has_replicas(origin):
            self._gone_at[origin.service][origin.software] = now

    def origins(self, services, now):
        """Returns the origins at services that have served of late.

        Args:
            services: Names of the services.
            now: Time, s (monotonic).

        Returns:
            A frozenset of ``Origin`` objects.
        """
        return frozenset(
            Origin(service, software)
            for service in services
            for software in self.served(service, now))

    def all_origins(self, now):
        """Returns the origins that have served of late, a frozenset."""
        return self.origins({*self._counts, *self._gone_at}, now)

    def served(self, service, now):
        """Returns the versions that have served of late, a frozenset."""
        gone = self._gone_at[service]
        for software, at in list(gone.items()):
            if now - at > SERVED_WINDOW_S:
                del gone[software]
        return frozenset(self._counts[service]) | frozenset(gone)


def _less_specific(route, services):
    """Returns the route that gets a route's requests without it, or None.

    Args:
        route: Key of the route: its host and the prefix of its paths.
        services: Has the keys of the routes there are.
    """
    end = route.rfind('/', 0, -1)
    while end >= 0 and route[:end + 1] not in services:
        end = route.rfind('/', 0, end)
    return route[:end + 1] or None


def _pairs(services):
    """Returns the pairs of a route's key and a service of it, a set."""
    return {(route, name) for route, names in services.items() for name in names
           }


class RouteHistory:
    """The services that routes have led to of late.

    Attributes:
        on_changed: Called when routes lead to other services, with the pairs
            of a route's key and the name of a service that are new, a set.
    """

    def __init__(self):
        self._services = {}
        self._left_at = {}
        self.on_changed = lambda added: None

    def adopt(self, services, now):
        """Records a new configuration.

        Args:
            services: ``key of a route -> names of its services``, of routes
                whose streams may be taken up.
            now: Time, s (monotonic).
        """
        for route, names in self._services.items():
            for name in set(names) - set(services.get(route, ())):
                self._left_at.setdefault(route, {})[name] = now
        for route in services.keys() ^ self._services.keys():
            self._record_other_prefix(route, services, now)
        self._left_at = {
            route: left_at
            for route, left_at in self._left_at.items()
            if now - max(left_at.values()) <= SERVED_WINDOW_S
        }
        before, self._services = self._services, services
        if before != services:
            self.on_changed(_pairs(services) - _pairs(before))

    def _record_other_prefix(self, route, services, now):
        """Records where requests were led that another route gets now."""
        shorter = _less_specific(
            route, self._services if route in services else services)
        if shorter is not None:
            new, old = ((route, shorter) if route in services else
                        (shorter, route))
            for name in self.of_late(old, now):
                self._left_at.setdefault(new, {})[name] = now

    def leads_to(self, route, service):
        """Returns whether a route leads to a service now."""
        return service in self._services.get(route, ())

    def current(self):
        """Returns the pairs of a route's key and a service of it now."""
        return _pairs(self._services)

    def all_of_late(self, now):
        """Returns ``key of a route -> names of its services of late``."""
        routes = {*self._services, *self._left_at}
        found = {route: frozenset(self.of_late(route, now)) for route in routes}
        return {route: names for route, names in found.items() if names}

    def of_late(self, route, now):
        """Returns the services that a route leads or has led to, a set."""
        left_at = self._left_at.get(route, {})
        return {
            *self._services.get(route, ()),
            *(name for name, at in left_at.items()
              if now - at <= SERVED_WINDOW_S)
        }
