"""Tracks this entry's share of what replicas bear while they warm up."""

from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import warmups

SHARE_UPDATE_PERIOD_S = 0.5
"""Pause between updates of the entries that share a bound, s."""

MEMORY_S = 300.0
"""Time for which an entry that is not heard any more still has its share, s.
It may be cut off from the others alone and go on sending. If it has exited, its
share of the few seconds of a warm-up is unused."""

SETTLE_SILENCES = 2.0
"""Time after its start in which an entry sends nothing to replicas that warm
up, as a multiple of the time after which a silent entry is left out. Before, it
has not heard of most others and would take itself for one of few."""


class WarmUpTracker:
    """Updates the ``warmups.WarmUp`` of each replica."""

    def __init__(self, loop, fleet, members):
        """Creates a tracker; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            members: The ``membership.Members``; has this entry's ``name``.
        """
        self._loop = loop
        self._fleet = fleet
        self._members = members
        self._heard_at = {}
        self._started_at = None
        self._log = logs.get('announcing')
        fleet.on_warm_up = self._handle_warm_up

    def start(self):
        """Updates this entry's shares now and periodically."""
        self._loop.call_later(SHARE_UPDATE_PERIOD_S, self.start)
        now = self._loop.now
        if self._started_at is None:
            self._started_at = now
        self._record_heard(now)
        for replica in self._fleet.replicas.values():
            if replica.acceptance.warm_up.binds(now):
                self._update_share(replica, now)

    def _record_heard(self, now):
        self._heard_at.update(dict.fromkeys(self._members.known_names(), now))
        self._heard_at = {
            name: at
            for name, at in self._heard_at.items()
            if now - at < MEMORY_S
        }

    def _is_settled(self, now):
        return (self._started_at is not None and now - self._started_at
                >= SETTLE_SILENCES * self._members.silent_after_s)

    def _update_share(self, replica, now):
        warm_up = replica.acceptance.warm_up
        if not self._is_settled(now):
            warm_up.share = 0.0
            return
        warm_up.share = warmups.own_share(replica.record.id, self._members.name,
                                          {self._members.name, *self._heard_at},
                                          warm_up.per_s)

    def _handle_warm_up(self, replica, now):
        """Handles a warm-up that has begun; see ``fleet.Fleet``."""
        warm_up = replica.acceptance.warm_up
        if not warm_up.binds(now):
            return
        self._record_heard(now)
        self._update_share(replica, now)
        metrics.ANNOUNCEMENTS.labels('warm_up').inc()
        self._log.info('replica_warming',
                       replica=replica.record.id,
                       per_s=warm_up.per_s,
                       for_s=round(warm_up.until - now, 3),
                       part=round(warm_up.share, 3))
