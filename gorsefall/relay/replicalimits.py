"""Keeps the limits that replicas announce, and tells the others of them."""

import typing

from gorsefall import logs
from gorsefall.policy import announced_limits
from gorsefall.policy import membership

REPORT_WINDOW_S = 6.0
"""Time for which a message tells of an answer, s: twice and more to each of
hundreds of entries."""

SHARE_UPDATE_PERIOD_S = 0.5
"""Pause after which the entries that send are worked out anew, s."""


class _Sender(typing.NamedTuple):
    name: str


class LimitTracker:
    """The ``announced_limits.AnnouncedLimit`` of all replicas of a fleet."""

    def __init__(self, loop, fleet, members):
        """Creates it.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            members: The ``membership.Members``; has this entry's ``name``.
        """
        self._loop = loop
        self._fleet = fleet
        self._members = members
        self._announced = {}
        self._log = logs.get('announcing')

    def start(self):
        """Begins to follow which entries are there."""
        self._loop.call_later(SHARE_UPDATE_PERIOD_S, self.start)
        self._announced = {
            name: replica
            for name, replica in self._announced.items()
            if self._fleet.replicas.get(name) is replica
        }
        for replica in self._announced.values():
            self._set_part(replica)

    def _set_part(self, replica):
        limit = replica.limit
        if limit.per_s is None:
            return
        own = _Sender(self._members.name)
        others = [
            _Sender(status.name)
            for _, status in self._members.live_statuses(self._loop.now)
        ]
        found = announced_limits.senders(replica.record.id, [own, *others],
                                         limit.per_s)
        limit.share = 1 / len(found) if own in found else 0.0

    def record_response(self, replica, per_s):
        """Notes what an answer of a ``fleet.Replica`` said.

        Args:
            replica: The replica.
            per_s: Requests a second of all entries; None where it named none.
        """
        self._heard(replica, per_s, self._loop.now)

    def _heard(self, replica, per_s, at):
        before = replica.limit.per_s
        if not replica.limit.update(per_s, at):
            return
        self._announced[replica.record.id] = replica
        self._set_part(replica)
        self._log.info('limit_announced',
                       replica=replica.record.id,
                       per_s=per_s,
                       before=before,
                       part=round(replica.limit.share, 3))

    def recent_reports(self, now):
        """Returns the ``membership.LimitReport`` objects for a status."""
        return tuple(
            membership.LimitReport(
                name, replica.record.started_at_ms,
                int((now - replica.limit.announced_at) *
                    1000), replica.limit.per_s)
            for name, replica in self._announced.items()
            if now - replica.limit.announced_at < REPORT_WINDOW_S)

    def handle_status(self, status):
        """Takes in what the ``membership.Status`` of another entry tells."""
        for limit in status.limit_reports:
            replica = self._fleet.replicas.get(limit.replica)
            if (replica is not None and
                    replica.record.started_at_ms == limit.started_at_ms):
                self._heard(replica, limit.per_s,
                            self._loop.now - limit.age_ms / 1000)
