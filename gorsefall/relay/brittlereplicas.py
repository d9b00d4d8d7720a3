"""Tracks which services' replicas are brittle, and what they may be sent."""

from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import brittleness

UPDATE_PERIOD_S = 0.5
"""Pause between updates of this entry's places, s."""


class BrittleTracker:
    """Updates the ``brittleness.ServiceRoom`` of each brittle service."""

    def __init__(self, loop, fleet, members):
        """Creates a tracker without brittle services; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            members: The ``membership.Members``; has this entry's ``name``.
        """
        self._loop = loop
        self._fleet = fleet
        self._members = members
        self._rooms = {}
        self._log = logs.get('announcing')

    def start(self):
        """Updates this entry's places now and periodically."""
        self._loop.call_later(UPDATE_PERIOD_S, self.start)
        now = self._loop.now
        for service, room in list(self._rooms.items()):
            if not room.is_brittle(now):
                del self._rooms[service]
                self._log.info('no_longer_brittle', service=service)
            else:
                self._update_places(service, room)

    def _update_places(self, service, room):
        names = {
            *self._members.probable_names(self._loop.now), self._members.name
        }
        replicas = [
            r for r in self._fleet.of_service(service)
            if not r.is_leaving and r.exited_at is None
        ]
        room.forget(r.record.id for r in self._fleet.of_service(service))
        room.own = brittleness.own_places(
            self._members.name, names,
            [(r.record.id, r.record.slots) for r in replicas])

    def record_response(self, replica, rejections_per_s, sent_at):
        """Records what a response of a ``replicas.Replica`` announced.

        Args:
            replica: The replica.
            rejections_per_s: Requests that it may turn away in a second
                without falling over; None if it is not brittle.
            sent_at: When the request was sent, s (monotonic).
        """
        service = replica.record.service
        room = self._rooms.get(service)
        if room is None:
            if rejections_per_s is None:
                return
            room = self._rooms[service] = brittleness.ServiceRoom()
            self._update_places(service, room)
            metrics.ANNOUNCEMENTS.labels('brittle').inc()
            self._log.info('replicas_brittle',
                           service=service,
                           replica=replica.record.id,
                           rejections_per_s=rejections_per_s,
                           places=sum(room.own.values()))
        room.record_announcement(replica.record.id, rejections_per_s, sent_at)

    def allows(self, replica):
        """Returns whether a request may be sent to a ``replicas.Replica``."""
        room = self._rooms.get(replica.record.service)
        if room is None:
            return True
        return room.allows(replica.record.id, replica.view.outstanding,
                           self._loop.now)
