"""Streams whose callers do not read; they yield places that others need.

Nothing more is read of a stream while its caller is behind, so that its replica
cannot go on and its place stays taken. Without this, a few callers hold all
places of a service until their time limits.
"""

import collections

from gorsefall import logs
from gorsefall import metrics
from gorsefall.relay import callerwaits

UNREAD_S = 6.0
"""Time for which a caller that is behind keeps its place in any case, s: sound
callers may pause for some seconds. It has had less than 128 KB in this time,
though its replica had more."""

SWEEP_S = 0.5
"""Period of the checks whether the replicas of such streams are full, s."""


class UnreadStreams:
    """The streams of an entry that wait for their callers."""

    def __init__(self, loop, is_full):
        """Creates a record without streams.

        Args:
            loop: The ``reactor.Reactor``.
            is_full: Returns whether all places of a ``replicas.Replica`` are
                taken, as far as it is known.
        """
        self._loop = loop
        self._is_full = is_full
        self._since = {}
        self._sweeping = False
        self._log = logs.get('callers')

    def __len__(self):
        return len(self._since)

    def add(self, exchange):
        """Records that the caller of a stream is behind from now on."""
        self._since.setdefault(exchange, self._loop.now)
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_S, self._sweep)

    def discard(self, exchange):
        """Records that the caller has caught up, or the stream has ended."""
        self._since.pop(exchange, None)

    def yield_place(self, service):
        """Ends one stream of a service for a request that finds no place.

        Returns:
            Whether there was one.
        """
        return self._end_one(
            [x for x in self._overdue() if x.grant.service == service])

    def _overdue(self):
        """Returns the streams that may be ended, the oldest first."""
        due = self._loop.now - UNREAD_S
        return [x for x, since in self._since.items() if since <= due]

    def _end_one(self, streams):
        """Ends the oldest of the account that has most; returns whether."""
        if not streams:
            return False
        of_account = collections.Counter(x.owner.account for x in streams)
        chosen = max(streams, key=lambda x: of_account[x.owner.account])
        unread_s = self._loop.now - self._since.pop(chosen)
        metrics.CALLERS_YIELDED.labels(callerwaits.Shortage.PLACES.value).inc()
        self._log.info('caller_yielded',
                       reason=callerwaits.Shortage.PLACES.value,
                       rid=chosen.req.id,
                       service=chosen.owner.service,
                       account=chosen.owner.account,
                       replica=chosen.attempt.name,
                       unread_s=round(unread_s, 1))
        chosen.yield_to_others(callerwaits.Shortage.PLACES)
        return True

    def _sweep(self):
        """Ends one stream at each replica whose places are all taken.

        The requests that wait for a place may be at other entries.
        """
        self._sweeping = bool(self._since)
        if self._sweeping:
            self._loop.call_later(SWEEP_S, self._sweep)
        at_replica = collections.defaultdict(list)
        for exchange in self._overdue():
            at_replica[exchange.attempt.replica].append(exchange)
        for replica, streams in at_replica.items():
            if self._is_full(replica):
                self._end_one(streams)
