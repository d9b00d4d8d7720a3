"""Demand for services at this entry and at others."""

import collections
import time

from gorsefall.policy import demandshares


class DemandTracker:
    """Tells this entry's share of what all entries may send to a service."""

    def __init__(self, members, clock=time.monotonic):
        """Creates a tracker without demand.

        Args:
            members: The ``membership.Members``; has this entry's ``name``.
            clock: Returns the time, s (monotonic).
        """
        self._members = members
        self._clock = clock
        self._meter = demandshares.DemandMeter()
        self._reported = collections.defaultdict(dict)
        self.heartbeat_s = lambda: 0.0

    def record_arrival(self, service):
        """Records that a request for a service has arrived."""
        self._meter.record(service, self._clock())

    def report(self, services):
        """Returns ``service -> requests per second`` for a status.

        Args:
            services: Names of the services whose demand others need.
        """
        now = self._clock()
        demand = {s: round(self._meter.per_s(s, now), 1) for s in services}
        for service, per_s in demand.items():
            self._record(self._members.name, service, per_s, now)
        return demand

    def handle_status(self, status):
        """Handles the ``entrystatus.Status`` of another entry."""
        now = self._clock()
        for service, per_s in status.demand_per_s.items():
            self._record(status.name, service, per_s, now)

    def _record(self, name, service, per_s, at):
        reports = self._reported[service]
        if name not in reports:
            reports[name] = demandshares.Reported()
        reports[name].record(per_s, at)

    def shares(self, service):
        """Returns ``name -> share`` of this entry and all other live ones.

        Args:
            service: Name of the service.
        """
        now = self._clock()
        own, others = self._members.name, self._members.probable_names(now)
        reports = self._reported[service]
        for name in set(reports) - {own, *others}:
            del reports[name]
        settle_s = max(demandshares.SETTLE_S,
                       demandshares.SETTLE_HEARTBEATS * self.heartbeat_s())
        nothing = demandshares.Reported()
        demands = {
            name: reports.get(name, nothing).highest(now, settle_s)
            for name in others
        }
        demands[own] = reports.get(own, nothing).lowest(now, settle_s)
        return demandshares.shares(demands)
