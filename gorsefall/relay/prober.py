"""Whether a replica whose channel broke has ended."""

import enum

from gorsefall import logs
from gorsefall.net import tcp
from gorsefall.relay import fleet


class Verdict(enum.Enum):
    """What connecting to a replica shows of it."""
    ALIVE = 'alive'
    EXITED = 'ended'
    UNKNOWN = 'unknown'


class _Probe:
    """Finds out whether a replica's process is there, by connecting to it."""

    def __init__(self, loop, addr, timeout_s, done):
        self._done = done
        self._conn = tcp.Connection(loop, self)
        self._timer = loop.call_later(timeout_s,
                                      lambda: self._end(Verdict.UNKNOWN))
        self._conn.connect(addr)

    def on_connected(self):
        """See ``tcp.Connection``."""
        self._end(Verdict.ALIVE)

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        del reason
        # Only a refusal is the VM's own word that no process listens there;
        # a way that is cut shows as nothing at all.
        self._end(Verdict.EXITED if self._conn.was_refused else Verdict.UNKNOWN)

    def on_drained(self):
        """See ``tcp.Connection``."""

    def on_bytes(self, data):
        """See ``tcp.Connection``; nothing was asked."""

    def _end(self, verdict):
        self._timer.cancel()
        self._conn.close()
        done, self._done = self._done, None
        if done is not None:
            done(verdict)


class ReplicaProber:
    """Looks after replicas whose channels broke, once for all who ask.

    A channel that breaks says nothing of its replica: that one may have
    ended, or have cut just this answer and live on.
    """

    def __init__(self, loop):
        """Creates it.

        Args:
            loop: The ``reactor.Reactor``.
        """
        self._loop = loop
        self._asked = {}
        self._log = logs.get('ends')

    def probe(self, replica, done):
        """Calls ``done(verdict)`` with whether a ``fleet.Replica`` is there."""
        waiting = self._asked.get(replica)
        if waiting is not None:
            waiting.append(done)
            return
        self._asked[replica] = [done]
        _Probe(self._loop, replica.record.addr, fleet.CONNECT_TIMEOUT_S,
               lambda verdict: self._looked(replica, verdict))

    def _looked(self, replica, verdict):
        waiting = self._asked.pop(replica)
        self._log.info('replica_looked_after',
                       replica=replica.record.id,
                       status=replica.record.status.value,
                       verdict=verdict.value,
                       runs=len(waiting))
        for done in waiting:
            done(verdict)
