"""Tracks the rate limits of replicas and reports them to other entries."""

import typing

from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import announced_limits
from gorsefall.policy import entrystatus
from gorsefall.relay import replicas

MAX_REPORTS = 16
"""Maximum number of limits in a status message, the last ones announced."""

LOGGED_CHANGE = 2.0
"""Factor by which the share of a limit must change to be logged."""

SHARE_UPDATE_PERIOD_S = 0.5
"""Pause between updates of the entries that share a limit, s."""


class _Announcement(typing.NamedTuple):
    """What a response to a request of this entry announced.

    Attributes:
        replica: The ``replicas.Replica``.
        per_s: Its limit, requests per second; None for no limit any more.
        at: When, s (monotonic).
    """
    replica: replicas.Replica
    per_s: float | None
    at: float


class LimitTracker:
    """Updates the ``announced_limits.AnnouncedLimit`` of each replica."""

    def __init__(self, loop, fleet, members, demand):
        """Creates a tracker without limits; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            members: The ``membership.Members``; has this entry's ``name``.
            demand: The ``demands.DemandTracker`` by which limits are divided.
        """
        self._loop = loop
        self._fleet = fleet
        self._members = members
        self._demand = demand
        self._limited_replicas = {}
        self._announcements = {}
        self._log = logs.get('announcing')

    def start(self):
        """Updates this entry's shares now and periodically."""
        self._loop.call_later(SHARE_UPDATE_PERIOD_S, self.start)
        self._limited_replicas = {
            name: replica
            for name, replica in self._limited_replicas.items()
            if self._fleet.replicas.get(name) is replica
        }
        for replica in self._limited_replicas.values():
            self._update_share(replica)

    def _update_share(self, replica):
        limit = replica.limit
        if limit.per_s is None:
            return
        before = limit.share
        limit.share = announced_limits.own_share(
            replica.record.id, self._members.name,
            self._demand.shares(replica.record.service), limit.per_s)
        if max(before, limit.share) > LOGGED_CHANGE * min(before, limit.share):
            self._log.info('limit_part_changed',
                           replica=replica.record.id,
                           part=round(limit.share, 3),
                           before=round(before, 3))

    def limited_services(self):
        """Returns the names of services whose replicas announce limits."""
        return {
            r.record.service
            for r in self._limited_replicas.values()
            if r.limit.per_s is not None
        }

    def record_response(self, replica, per_s, sent_at):
        """Records the limit in a response of a ``replicas.Replica``.

        A response may have been under way since before the replica announced
        its limit. So a limit is only raised or lifted by the response to a
        request that was sent after the limit was known.

        Args:
            replica: The replica.
            per_s: Requests a second of all entries; None if it announced none.
            sent_at: When the request was sent, s (monotonic).
        """
        at = self._loop.now
        if replica.limit.is_loosened_by(per_s):
            at = sent_at
        changed = self._update_limit(replica, per_s, at)
        is_stale = replica.limit.announced_at > at
        if changed or (per_s is not None and not is_stale):
            self._announcements[replica.record.id] = _Announcement(
                replica, per_s, at)

    def _update_limit(self, replica, per_s, at):
        """Updates a limit; returns whether it has changed."""
        before = replica.limit.per_s
        if not replica.limit.update(per_s, at):
            return False
        self._limited_replicas[replica.record.id] = replica
        self._update_share(replica)
        metrics.ANNOUNCEMENTS.labels('limit').inc()
        self._log.info('limit_announced',
                       replica=replica.record.id,
                       per_s=per_s,
                       before=before,
                       part=round(replica.limit.share, 3))
        return True

    def recent_reports(self, now):
        """Returns the ``entrystatus.LimitReport`` objects for a status.

        Limits that other entries reported are left out. If every entry
        repeated them, each message would hold all limits of the deployment,
        and the messages of hundreds of entries would fill their links.
        """
        self._announcements = {
            name: announcement
            for name, announcement in self._announcements.items()
            if now - announcement.at < entrystatus.REPORT_WINDOW_S
        }
        newest = sorted(self._announcements.values(),
                        key=lambda announcement: announcement.at,
                        reverse=True)[:MAX_REPORTS]
        return tuple(
            entrystatus.LimitReport(a.replica.record.id, a.replica.record.
                                    started_at_ms, int((now - a.at) *
                                                       1000), a.per_s)
            for a in newest)

    def handle_status(self, status):
        """Handles the ``entrystatus.Status`` of another entry."""
        for limit in status.limit_reports:
            replica = self._fleet.find(limit)
            if replica is not None:
                self._update_limit(replica, limit.per_s,
                                   self._loop.now - limit.age_ms / 1000)
