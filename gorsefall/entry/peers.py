"""What the other entries use of the limits, read from each in turn."""

import collections
import math
import time

import msgspec

from gorsefall import logs
from gorsefall import messages
from gorsefall.entry import watchers
from gorsefall.net import links
from gorsefall.policy import limits

MAX_REPORT_AGE_S = 5.0
IDLE_POLL_PERIODS = 4
IDLE_TIMEOUT_S = 1.0


class PeerWatch(watchers.Watcher):
    """Polls each peer's usage and keeps ``limits.Limits`` up to date.

    A peer that does not answer counts as using its whole part of every
    limit after ``MAX_AGE_S``: a partition makes entries cautious, never
    generous.
    """

    def __init__(self, fleet, limiter, period_s):
        """Creates the watcher.

        Args:
            fleet: The ``fleet.Fleet``, for the peers' addresses.
            limiter: The ``limits.Limits`` to keep up to date.
            period_s: Seconds between rounds.
        """
        super().__init__(period_s, channel='peer-watch')
        self.fleet = fleet
        self.limiter = limiter
        self._reports = {}
        self._pending = 0
        self._asked_at = -math.inf
        self._log = logs.get('peers')

    def is_due(self):
        """While this entry uses no limit, peers are asked less often.

        Not asking at all made the first second of every burst meet the
        fixed shares, as nothing was known of the peers.
        """
        unheard = self.fleet.peers.keys() - self._reports.keys()
        if unheard or self.limiter.report(time.monotonic()):
            return True
        idle_s = time.monotonic() - self._asked_at
        return idle_s >= (IDLE_POLL_PERIODS - 0.5) * self.period_s

    def poll(self):
        """Asks every peer once."""
        peers = self.fleet.peers
        self._asked_at = time.monotonic()
        self._reports = {
            n: r for n, r in self._reports.items() if n in self.fleet.peers
        }
        self._pending = len(peers)
        self.busy = bool(peers)
        for name, addr in peers.items():
            links.fetch_json(self,
                             addr,
                             'GET',
                             '/peer/usage',
                             idle_s=IDLE_TIMEOUT_S,
                             done=self._reader(name))
        if not peers:
            self._sum_up()

    def _reader(self, name):

        def done(status, obj, exc):
            self._pending -= 1
            self.busy = self._pending > 0
            if exc is None and status == 200:
                report = msgspec.convert(obj, messages.PeerUsage)
                self._reports[name] = (time.monotonic(), report)
            else:
                self._log.warning('peer_silent',
                                  peer=name,
                                  status=status,
                                  error=str(exc))
            if not self.busy:
                self._sum_up()

        return done

    def _sum_up(self):
        now = time.monotonic()
        total = collections.defaultdict(limits.Usage)
        fresh = [
            r for at, r in self._reports.values() if now - at < MAX_REPORT_AGE_S
        ]
        for report in fresh:
            for key, inflight, rate in report.use:
                use = total[tuple(key)]
                use.inflight += inflight
                use.rate += rate
        self.limiter.peer_usage = dict(total)
        self.limiter.silent_peers = self.fleet.shares.entries - 1 - len(fresh)
