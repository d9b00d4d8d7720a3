"""What streams may begin at and the store is not known to have.

An entry goes by what it has read of the store itself. What it sees for the
first time counts as missing until a read shows its record, whoever writes it.
"""

import collections
import typing

from gorsefall import ids
from gorsefall.relay import routerecord


class Beginning(typing.NamedTuple):
    """Where a stream is about to begin.

    Attributes:
        service: Name of the service.
        versions: Versions one of which has to be stored before, a frozenset;
            empty if replicas of one that is stored can take it.
        route: ``model.Route.key`` of its route.
    """
    service: ids.ServiceName
    versions: frozenset[ids.SoftwareVersion]
    route: str


def lacking(stored, versions, now):
    """Returns the origins that have to be written, a set.

    Args:
        stored: The ``versionrecords.StoredVersions``.
        versions: The ``softwareversions.VersionHistory``.
        now: Time, s (monotonic).
    """
    back = {o for o in stored.leaving if versions.has_replicas(o)}
    return (versions.all_origins(now) - stored.origins) | back


class MissingRecords:
    """The versions and routes that the store lacks, as far as is known."""

    def __init__(self):
        """Creates the state of an entry that has seen nothing."""
        self._origins = set()
        self._routes = collections.defaultdict(set)

    @property
    def origins(self):
        """The ``softwareversions.Origin`` objects that lack, a frozenset."""
        return frozenset(self._origins)

    def add_origins(self, origins):
        """Counts origins as missing until the next read."""
        self._origins |= set(origins)

    def add_routes(self, pairs):
        """Counts pairs of a route and a service of it as missing."""
        for route, service in pairs:
            self._routes[service].add(route)

    def update(self, stored, origins, routes):
        """Goes by what was read.

        Args:
            stored: The ``versionrecords.StoredVersions``.
            origins: The origins that lack, see ``lacking``.
            routes: The ``softwareversions.RouteHistory``.
        """
        self._origins = set(origins)
        self._routes = collections.defaultdict(
            set, {
                service: left
                for service, all_routes in self._routes.items()
                if (left := {
                    r for r in all_routes if routes.leads_to(r, service) and
                    not routerecord.has(stored.routes, r, service)
                })
            })

    def versions(self, service):
        """Returns the versions of a service that lack, a set."""
        return {o.software for o in self._origins if o.service == service}

    def has_routes(self, service):
        """Returns whether a route to a service lacks."""
        return service in self._routes

    def any_routes(self):
        """Returns whether any route lacks."""
        return bool(self._routes)

    def bars(self, beginning):
        """Returns whether a stream should wait before it begins.

        Args:
            beginning: The ``Beginning``.
        """
        service = beginning.service
        return (beginning.route in self._routes.get(service, ()) or
                bool(beginning.versions) and
                beginning.versions <= self.versions(service))
