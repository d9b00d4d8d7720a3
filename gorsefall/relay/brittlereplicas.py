"""Tracks which services' replicas are brittle, and what they may be sent."""

import collections

from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import brittleness
from gorsefall.policy import placeloans

UPDATE_PERIOD_S = 0.5
"""Pause between updates of this entry's places, s."""


class _Places:
    """The places of this entry at the replicas of a brittle service.

    Attributes:
        room: The ``brittleness.ServiceRoom``.
        loans: The ``placeloans.Loans``.
        wanted: ``name -> places`` that other entries want.
    """

    def __init__(self):
        self.room = brittleness.ServiceRoom()
        self.loans = placeloans.Loans()
        self.wanted = {}
        self._peaks = collections.defaultdict(placeloans.Peak)
        self._unserved = collections.deque()

    def allows(self, replica, outstanding, now):
        """Returns whether a request may be sent; see ``ServiceRoom.allows``."""
        self._peaks[replica].record(outstanding, now)
        lent = (self.loans.borrowed(replica, now) -
                self.loans.lent(replica, now))
        return self.room.allows(replica, outstanding - lent, now)

    def record_unserved(self, now):
        """Records a request for which there was no place."""
        self._unserved.append(now)

    def own_wanted(self, now):
        """Returns how many places of others this entry wants."""
        while (self._unserved and
               self._unserved[0] <= now - placeloans.PEAK_WINDOW_S):
            self._unserved.popleft()
        peak = sum(self._peak(replica, now) for replica in self._peaks)
        return placeloans.wanted(peak, sum(self.room.own.values()),
                                 len(self._unserved))

    def _peak(self, replica, now):
        return self._peaks[replica].value(now)

    def grant(self, lenders, now):
        """Returns the ``placeloans.Loan`` objects to tell others of.

        Args:
            lenders: Number of entries that may lend to the same borrower.
            now: Time, s (monotonic).
        """
        if not any(self.wanted.values()) or self.own_wanted(now):
            return ()
        spare = {
            replica:
                own - self._peak(replica, now) - self.loans.lent(replica, now)
            for replica, own in self.room.own.items()
        }
        if spare:
            fullest = max(spare, key=lambda r: (spare[r], r))
            spare[fullest] -= placeloans.RESERVED_PLACES
        wanted = {
            name: placeloans.part_of(places, lenders)
            for name, places in self.wanted.items()
            if places
        }
        return self.loans.grant(spare, wanted, now)


class BrittleTracker:
    """Updates this entry's places at the replicas of brittle services."""

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
        self._services = {}
        self._log = logs.get('announcing')

    def start(self):
        """Updates this entry's places now and periodically."""
        self._loop.call_later(UPDATE_PERIOD_S, self.start)
        now = self._loop.now
        for service, places in list(self._services.items()):
            if not places.room.is_brittle(now):
                del self._services[service]
                self._log.info('no_longer_brittle', service=service)
            else:
                self._update_places(service, places)

    def _update_places(self, service, places):
        names = {
            *self._members.probable_names(self._loop.now), self._members.name
        }
        replicas = [
            r for r in self._fleet.of_service(service)
            if not r.is_leaving and r.exited_at is None
        ]
        room = places.room
        room.forget(r.record.id for r in self._fleet.of_service(service))
        room.own = brittleness.own_places(
            self._members.name, names,
            [(r.record.id, r.record.slots) for r in replicas])
        places.wanted = {n: w for n, w in places.wanted.items() if n in names}

    def record_response(self, replica, rejections_per_s, sent_at):
        """Records what a response of a ``replicas.Replica`` announced.

        Args:
            replica: The replica.
            rejections_per_s: Requests that it may turn away in a second
                without falling over; None if it is not brittle.
            sent_at: When the request was sent, s (monotonic).
        """
        service = replica.record.service
        places = self._services.get(service)
        if places is None:
            if rejections_per_s is None:
                return
            places = self._services[service] = _Places()
            self._update_places(service, places)
            metrics.ANNOUNCEMENTS.labels('brittle').inc()
            self._log.info('replicas_brittle',
                           service=service,
                           replica=replica.record.id,
                           rejections_per_s=rejections_per_s,
                           places=sum(places.room.own.values()))
        places.room.record_announcement(replica.record.id, rejections_per_s,
                                        sent_at)

    def allows(self, replica):
        """Returns whether a request may be sent to a ``replicas.Replica``."""
        places = self._services.get(replica.record.service)
        if places is None:
            return True
        return places.allows(replica.record.id, replica.view.outstanding,
                             self._loop.now)

    # -- loans -----------------------------------------------------------------

    def record_unserved(self, service):
        """Records that no replica of a service could take a request."""
        places = self._services.get(service)
        if places is not None:
            places.record_unserved(self._loop.now)

    def wanted_places(self):
        """Returns ``service -> places`` of others that this entry wants."""
        now = self._loop.now
        found = {s: p.own_wanted(now) for s, p in self._services.items()}
        return {service: places for service, places in found.items() if places}

    def grant_loans(self):
        """Returns the ``placeloans.Loan`` objects for the next status."""
        now = self._loop.now
        lenders = len(self._members.probable_names(now))
        return tuple(loan for places in self._services.values()
                     for loan in places.grant(lenders, now))

    def handle_status(self, status):
        """Handles the ``entrystatus.Status`` of another entry."""
        now = self._loop.now
        for service, places in self._services.items():
            places.wanted[status.name] = status.wanted_places.get(service, 0)
            before = places.loans.all_borrowed(now)
            places.loans.take(status.name, [
                loan for loan in status.place_loans
                if loan.borrower == self._members.name and
                self._is_of(loan.replica, service)
            ], now)
            self._log_borrowed(service, before, places.loans.all_borrowed(now))

    def _log_borrowed(self, service, before, borrowed):
        if bool(before) != bool(borrowed):
            self._log.info('places_borrowed',
                           service=service,
                           places=borrowed,
                           before=before)

    def _is_of(self, replica_id, service):
        replica = self._fleet.replicas.get(replica_id)
        return replica is not None and replica.record.service == service
