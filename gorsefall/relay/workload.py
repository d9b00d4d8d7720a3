"""Requests in flight at replicas, from this entry and from all others."""

import time

from gorsefall.policy import overload
from gorsefall.policy import peerview
from gorsefall.policy import placement
from gorsefall.policy import unreported

PARTITION_REFRESH_S = 0.25
"""Period in which the reported sizes of a decode partition are read, s."""


class Workload:
    """Requests in flight at replicas, and statistics by service.

    Attributes:
        peer_view: The ``peerview.PeerView`` of what other entries have in
            flight.
    """

    def __init__(self, name, fleet, window_s):
        """Creates a workload without requests in flight.

        Args:
            name: This entry's name.
            fleet: The ``fleet.Fleet``.
            window_s: Time over which entries count their requests, s.
        """
        self._fleet = fleet
        self._window_s = window_s
        self._services = {}
        self._ranks = {}
        self._partition_read_at = {}
        self.peer_view = peerview.PeerView(name, self._find_view)

    def _find_view(self, replica_id):
        replica = self._fleet.replicas.get(replica_id)
        return replica.view if replica is not None else None

    def service_state(self, name):
        """Returns the current ``placement.ServiceState`` of a service."""
        state = self._services.setdefault(name, placement.ServiceState())
        members = self.peer_view.members
        state.unreported.arrivals = unreported.Arrivals(
            per_s=members.first_attempts(name) / self._window_s,
            age_s=members.mean_status_age_s(time.monotonic()))
        self._update_partition(name, state.partition)
        service = self._fleet.service(name)
        if service is not None:
            state.fetch_ms = service.fetch_ms
            state.event_tokens = service.event_tokens
        return state

    def _update_partition(self, name, partition):
        now = time.monotonic()
        read_at = self._partition_read_at.get(name, float('-inf'))
        if now - read_at >= PARTITION_REFRESH_S:
            self._partition_read_at[name] = now
            partition.record_reports(
                self.peer_view.members.decode_engines(name))

    def ranks(self, service):
        """Returns the ``overload.RankStats`` of a service."""
        return self._ranks.setdefault(service, overload.RankStats())

    def candidate_views(self, service, exclude, *, urgent=True):
        """Returns the views of replicas that may take a request.

        They include the requests that other entries have in flight.

        Args:
            service: Name of the service.
            exclude: Ids of the replicas that it was sent to before.
            urgent: See ``fleet.Fleet.candidates``.
        """
        views = [
            r.view
            for r in self._fleet.candidates(service, exclude, urgent=urgent)
        ]
        self.peer_view.update_views(views, time.monotonic())
        return views

    def is_full(self, replica):
        """Returns whether all places of a ``replicas.Replica`` are taken."""
        view = replica.view
        self.peer_view.update_views([view], time.monotonic())
        return (replica.pool.is_full() or
                view.outstanding + view.others_requests >= view.slots)

    def leaving_views(self, service):
        """Returns the views of replicas that are leaving.

        Others can still fetch cached prompts from them.
        """
        return [r.view for r in self._fleet.of_service(service) if r.is_leaving]

    def replica_addr(self, view):
        """Returns the address of a view's replica; None if it was dropped."""
        replica = self._fleet.replicas.get(view.name) if view else None
        return replica.record.addr if replica is not None else None

    def others_first_attempts(self, service):
        """Returns the first attempts of other entries in the retry window.

        Returns None if there are no other entries.
        """
        members = self.peer_view.members
        return None if members.alone else members.first_attempts(service)

    def record_prompt(self, replica, parts):
        """Records the shared prompt parts that a replica prefills."""
        self.peer_view.record_prompt(replica.view, parts, time.monotonic())

    def record_response(self, replica, ok):
        """Records whether a replica's response was what the caller needed."""
        self.peer_view.record_response(replica.view, ok, time.monotonic())

    def status(self, started_at_ms, seq, **fields):
        """Returns the ``entrystatus.Status`` to send to the other entries.

        Args:
            started_at_ms: See ``peerview.PeerView.build_status``.
            seq: See there.
            **fields: See there.
        """
        views = [r.view for r in self._fleet.replicas.values()]
        fields['decode_engines'] = {
            name: state.partition.own_count
            for name, state in self._services.items()
            if state.gap_ms
        }
        return self.peer_view.build_status(started_at_ms, seq, views,
                                           time.monotonic(), **fields)
