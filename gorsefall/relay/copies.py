"""Copies of a run's memory at another replica, and when to go on from one."""

import time

from gorsefall.net import tcp
from gorsefall.policy import placement
from gorsefall.relay import fleet


class Probe:
    """Finds out whether a replica's process is there, by connecting to it.

    A stream that breaks says nothing of its replica: that one may have
    crashed, or cut just this answer and live on. Only one that is gone for
    certain may be replaced in the middle of an answer.
    """

    def __init__(self, loop, addr, timeout_s, done):
        """Starts connecting; ``done(alive)`` gets the outcome."""
        self._done = done
        self._conn = tcp.Connection(loop, self)
        self._timer = loop.later(timeout_s, lambda: self._end(False))
        self._conn.connect(addr)

    def cancel(self):
        """Gives up; ``done`` is not called after this."""
        self._done = None
        self._end(False)

    def on_connected(self):
        """See ``tcp.Connection``."""
        self._end(True)

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        del reason
        self._end(False)

    def on_drained(self):
        """See ``tcp.Connection``."""

    def on_bytes(self, data):
        """See ``tcp.Connection``; nothing was asked."""

    def _end(self, alive):
        self._timer.cancel()
        self._conn.close()
        done, self._done = self._done, None
        if done is not None:
            done(alive)


class Copy:
    """The copy of one run; at most one is ordered and used."""

    def __init__(self, loop, replicas):
        """Creates a copy that is not ordered yet.

        Args:
            loop: The ``reactor.Reactor``.
            replicas: The ``fleet.Fleet``.
        """
        self._loop = loop
        self._fleet = replicas
        self._holder = None
        self._probe = None

    @property
    def held(self):
        """Whether a replica was told to keep a copy that was not used yet."""
        return self._holder is not None

    def order(self, candidates, request):
        """Chooses the replica that keeps the copy.

        Args:
            candidates: List of ``fleet.Replica`` beside the one that runs.
            request: The request's id.

        Returns:
            Its ``(host, port)``, or None when there is none.
        """
        target = placement.backup([r.target for r in candidates], request,
                                  time.monotonic())
        if target is None:
            self._holder = None
            return None
        self._holder = self._fleet.replicas[target.name]
        return self._holder.record.addr

    def look(self, replica, done):
        """Calls ``done(alive)`` with whether ``replica`` is there."""
        if self._probe is not None:
            return

        def looked(alive):
            self._probe = None
            done(alive)

        self._probe = Probe(self._loop, replica.record.addr,
                            fleet.CONNECT_TIMEOUT_S, looked)

    def take(self):
        """Returns the ``fleet.Replica`` with the copy, or None.

        One that left has none, nor has one that started again since: then it
        is another ``Replica`` under the same id.
        """
        holder, self._holder = self._holder, None
        known = self._fleet.replicas.get(holder.record.id)
        return holder if known is holder else None

    def cancel(self):
        """Gives up a look that is under way."""
        if self._probe is not None:
            self._probe.cancel()
