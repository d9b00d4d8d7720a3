"""Polls the other entries for their usage of the shared limits."""

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
    """Polls each peer's usage and updates the ``limits.Limits``.

    A peer without a report within ``MAX_REPORT_AGE_S`` counts as using its
    whole share of every limit, so that entries never exceed a limit because
    of a network partition.
    """

    def __init__(self, fleet, limiter, period_s):
        """Creates the watcher.

        Args:
            fleet: The ``fleet.Fleet``, for the peers' addresses.
            limiter: The ``limits.Limits`` to update.
            period_s: Seconds between polls of all peers.
        """
        super().__init__(period_s, channel='peer-watch')
        self.fleet = fleet
        self.limiter = limiter
        self._reports = {}
        self._polls_in_flight = 0
        self._last_poll_at = -math.inf
        self._log = logs.get('peers')

    def is_due(self):
        """Returns True if the peers should be polled on this tick.

        While this entry uses no limit, peers are polled less often. Without
        any polls in that time, the peers' usage would be unknown in the first
        second of a burst, and only the fixed shares could be used.
        """
        unknown_peers = self.fleet.peers.keys() - self._reports.keys()
        if unknown_peers or self.limiter.report(time.monotonic()):
            return True
        idle_s = time.monotonic() - self._last_poll_at
        return idle_s >= (IDLE_POLL_PERIODS - 0.5) * self.period_s

    def poll(self):
        """Polls every peer once."""
        peers = self.fleet.peers
        self._last_poll_at = time.monotonic()
        self._reports = {
            n: r for n, r in self._reports.items() if n in self.fleet.peers
        }
        self._polls_in_flight = len(peers)
        self.busy = bool(peers)
        for name, addr in peers.items():
            links.fetch_json(self,
                             addr,
                             'GET',
                             '/peer/usage',
                             idle_s=IDLE_TIMEOUT_S,
                             done=self._response_handler(name))
        if not peers:
            self._update_limiter()

    def _response_handler(self, name):

        def done(status, obj, exc):
            self._polls_in_flight -= 1
            self.busy = self._polls_in_flight > 0
            if exc is None and status == 200:
                report = msgspec.convert(obj, messages.PeerUsage)
                self._reports[name] = (time.monotonic(), report)
            else:
                self._log.warning('peer_silent',
                                  peer=name,
                                  status=status,
                                  error=str(exc))
            if not self.busy:
                self._update_limiter()

        return done

    def _update_limiter(self):
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
