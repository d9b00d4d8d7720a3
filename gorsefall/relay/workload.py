"""What an entry knows of the work at replicas: its own and the others'."""

import time

from gorsefall.policy import overload
from gorsefall.policy import peerview
from gorsefall.policy import placement
from gorsefall.policy import unreported
from gorsefall.relay import model


class Workload:
    """Work at replicas, and what was learned of it by service.

    Attributes:
        view: The ``peerview.PeerView`` of the others' work.
    """

    def __init__(self, name, fleet, window_s):
        """Creates a view without any work.

        Args:
            name: This entry's name.
            fleet: The ``fleet.Fleet``.
            window_s: Time over which entries count their requests, s.
        """
        self._fleet = fleet
        self._window_s = window_s
        self._services = {}
        self._ranks = {}
        self.peer_view = peerview.PeerView(name, self._find)

    def _find(self, replica_id):
        replica = self._fleet.replicas.get(replica_id)
        return replica.view if replica is not None else None

    def service_state(self, name):
        """Returns the ``placement.ServiceState`` of a service, as known now."""
        known = self._services.setdefault(name, placement.ServiceState())
        members = self.peer_view.members
        known.unreported.arrivals = unreported.Arrivals(
            per_s=members.first_attempts(name) / self._window_s,
            age_s=members.mean_status_age_s(time.monotonic()))
        described = self._fleet.service(name)
        if described is not None:
            known.fetch_ms = described.fetch_ms
            known.event_tokens = described.event_tokens
        return known

    def ranks(self, service):
        """Returns the ``overload.RankStats`` of a service."""
        return self._ranks.setdefault(service, overload.RankStats())

    def candidate_views(self, service, exclude, *, urgent=True):
        """Returns the targets that may take a request, with others' work.

        Args:
            service: Name of the service.
            exclude: Ids of the replicas it was sent to.
            urgent: See ``fleet.Fleet.candidates``.
        """
        targets = [
            r.view
            for r in self._fleet.candidates(service, exclude, urgent=urgent)
        ]
        self.peer_view.update_views(targets, time.monotonic())
        return targets

    def draining_views(self, service):
        """Returns the targets of replicas that leave: they still lend."""
        return [
            r.view
            for r in self._fleet.of_service(service)
            if r.record.status is model.ReplicaStatus.DRAINING
        ]

    def replica_addr(self, target):
        """Returns the address of a target's replica; None if it is gone."""
        replica = self._fleet.replicas.get(target.name) if target else None
        return replica.record.addr if replica is not None else None

    def others_first_attempts(self, service):
        """Returns the others' requests in the retry window, None if alone."""
        members = self.peer_view.members
        return None if members.alone else members.first_attempts(service)

    def record_prompt(self, replica, parts):
        """Notes the shared parts that a replica reads for a request."""
        self.peer_view.record_prompt(replica.view, parts, time.monotonic())

    def record_response(self, replica, ok):
        """Notes whether a replica's answer was what the caller needed."""
        self.peer_view.record_response(replica.view, ok, time.monotonic())

    def status(self, boot, seq, hosts, **more):
        """Returns the ``membership.Status`` to tell the other entries.

        Args:
            boot: See ``peerview.PeerView.build_status``.
            seq: See there.
            hosts: See there.
            **more: Its other keywords.
        """
        targets = [r.view for r in self._fleet.replicas.values()]
        return self.peer_view.build_status(boot,
                                           seq,
                                           targets,
                                           time.monotonic(),
                                           known_hosts=hosts,
                                           **more)
