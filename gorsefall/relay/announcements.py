"""Records what replicas announce about new requests."""

from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import acceptance
from gorsefall.policy import entrystatus
from gorsefall.relay import brittlereplicas
from gorsefall.relay import demands
from gorsefall.relay import replicalimits
from gorsefall.relay import warmingreplicas

REPORT_TRUST_S = 30.0
"""Time after another entry's last report of an exit for which it is believed,
s. Leaving replicas have exited by then, and a false report is forgotten."""

MAX_REPORTS = 16
"""Maximum number of announced exits in a status message, the last ones."""


class AnnouncementTracker:
    """Updates the ``acceptance.Acceptance`` of each replica.

    What a replica announced to this entry is binding. What another entry
    reports only makes a replica a last resort, so that a false report cannot
    leave a service without replicas.

    Attributes:
        demand: The ``demands.DemandTracker`` by which limits are divided.
        limits: The ``replicalimits.LimitTracker``.
        brittle: The ``brittlereplicas.BrittleTracker``.
        warm_ups: The ``warmingreplicas.WarmUpTracker``.
    """

    def __init__(self, loop, fleet, members):
        """Creates a tracker without announcements; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            members: The ``membership.Members``; has this entry's ``name``.
        """
        self._loop = loop
        self._fleet = fleet
        self._leaving_since = {}
        self._log = logs.get('announcing')
        self.demand = demands.DemandTracker(members, lambda: loop.now)
        self.limits = replicalimits.LimitTracker(loop, fleet, members,
                                                 self.demand)
        self.brittle = brittlereplicas.BrittleTracker(loop, fleet, members)
        self.warm_ups = warmingreplicas.WarmUpTracker(loop, fleet, members)

    def start(self):
        """Begins to update this entry's shares of limits."""
        self.limits.start()
        self.brittle.start()
        self.warm_ups.start()

    def record_response(self, replica, response, sent_at):
        """Records the announcements in the head of a response.

        Args:
            replica: The ``replicas.Replica``.
            response: The ``model.Response``. One for a request that was meant
                for another replica says nothing of this one.
            sent_at: When the request was sent, s (monotonic).
        """
        if response.misdirected:
            return
        self.limits.record_response(replica, response.limit_per_s, sent_at)
        self.brittle.record_response(replica, response.rejections_per_s,
                                     sent_at)
        if response.leaving:
            self.record_leaving(replica)
        if response.pause_s is not None:
            self._record_pause(replica, response.pause_s)
        else:
            replica.acceptance.record_accepted(sent_at)

    def _record_pause(self, replica, asked_s):
        now = self._loop.now
        pause_s = min(asked_s, acceptance.MAX_PAUSE_S)
        if now >= replica.acceptance.paused_until:
            metrics.ANNOUNCEMENTS.labels('pause').inc()
            self._log.info('replica_paused',
                           replica=replica.record.id,
                           for_s=round(pause_s, 3),
                           asked_s=asked_s)
        replica.acceptance.pause(now + pause_s)

    def record_leaving(self, replica):
        """Records that a response of a replica announced its exit."""
        if replica.acceptance.leaving:
            return
        replica.acceptance.leaving = True
        self._leaving_since[replica] = self._loop.now
        metrics.ANNOUNCEMENTS.labels('leaving').inc()
        self._log.info('replica_leaving',
                       replica=replica.record.id,
                       record=replica.record.status.value)

    def demand_report(self):
        """Returns the demand for services with limits, for a status."""
        return self.demand.report(self.limits.limited_services())

    def recent_leaving(self, now):
        """Returns the ``entrystatus.LeavingReplica`` objects for a status."""
        self._leaving_since = {
            replica: at
            for replica, at in self._leaving_since.items()
            if now - at < entrystatus.REPORT_WINDOW_S
        }
        return tuple(
            entrystatus.LeavingReplica(r.record.id, r.record.started_at_ms)
            for r in list(self._leaving_since)[-MAX_REPORTS:])

    def handle_status(self, status):
        """Handles the ``entrystatus.Status`` of another entry."""
        self.demand.handle_status(status)
        self.limits.handle_status(status)
        self.brittle.handle_status(status)
        for report in status.leaving_replicas:
            replica = self._fleet.find(report)
            if replica is not None:
                self._record_report(replica, status.name)

    def _record_report(self, replica, entry):
        now = self._loop.now
        if not replica.is_reported_leaving(now):
            self._log.info('replica_reported_leaving',
                           replica=replica.record.id,
                           entry=entry)
        replica.reported_leaving_until = now + REPORT_TRUST_S
