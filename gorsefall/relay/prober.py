"""Determines whether a replica whose connection broke has exited."""

import enum

from gorsefall import logs
from gorsefall.net import tcp
from gorsefall.relay import replicas


class Verdict(enum.Enum):
    """What connecting to a replica shows about it."""
    ALIVE = 'alive'
    EXITED = 'ended'
    UNKNOWN = 'unknown'


class ConnectProbe:
    """Determines whether a replica's process runs, by connecting to it."""

    def __init__(self, loop, addr, timeout_s, done):
        """Starts connecting.

        Args:
            loop: The ``reactor.Reactor``.
            addr: ``(host, port)``.
            timeout_s: Longest time to connect, s.
            done: Called with the ``Verdict``.
        """
        self._done = done
        self._conn = tcp.Connection(loop, self)
        self._timer = loop.call_later(timeout_s,
                                      lambda: self._finish(Verdict.UNKNOWN))
        self._conn.connect(addr)

    def on_connected(self):
        """See ``tcp.Connection``."""
        self._finish(Verdict.ALIVE)

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        del reason
        # Only a refusal comes from the VM itself and shows that no process
        # listens there. A network partition shows as a timeout.
        self._finish(
            Verdict.EXITED if self._conn.was_refused else Verdict.UNKNOWN)

    def on_drained(self):
        """See ``tcp.Connection``."""

    def on_bytes(self, data):
        """See ``tcp.Connection``; no request was sent."""

    def _finish(self, verdict):
        self._timer.cancel()
        self._conn.close()
        done, self._done = self._done, None
        if done is not None:
            done(verdict)


class ReplicaProber:
    """Probes replicas whose connections broke, once for all callers.

    A broken connection does not show whether its replica exited: it may have
    aborted this response only. If only the path to the replica broke,
    connecting may be refused as well. So an exit counts only while another
    replica can be connected to, from here or from another entry.

    Attributes:
        paths: The ``paths.Paths``; None to connect from here alone.
    """

    def __init__(self, loop):
        """Creates a prober without probes in progress.

        Args:
            loop: The ``reactor.Reactor``.
        """
        self._loop = loop
        self._callbacks = {}
        self.paths = None
        self._log = logs.get('ends')

    def probe(self, replica, done):
        """Calls ``done(verdict)`` with the state of a ``replicas.Replica``."""
        callbacks = self._callbacks.get(replica)
        if callbacks is not None:
            callbacks.append(done)
            return
        self._callbacks[replica] = [done]

        def on_verdict(verdict):
            self._on_verdict(replica, verdict)

        if self.paths is not None and self.paths.needs_detour(replica):
            self._probe_elsewhere(replica, on_verdict)
        else:
            self.probe_from_here(
                replica, lambda verdict: self._on_own_verdict(
                    replica, verdict, on_verdict))

    def probe_anew(self, replica, done):
        """Calls ``done`` with a verdict of a probe that begins only now.

        One that is under way may have connected before what it is asked for.
        """
        if replica in self._callbacks:
            self.probe(replica, lambda verdict: self.probe(replica, done))
        else:
            self.probe(replica, done)

    def probe_from_here(self, replica, done):
        """Calls ``done`` with what connecting from here shows.

        Args:
            replica: The ``replicas.Replica``.
            done: Called with the ``Verdict``; None if this entry may have lost
                its paths, so that it cannot tell.
        """
        if self.paths is None:
            ConnectProbe(self._loop, replica.record.addr,
                         replicas.CONNECT_TIMEOUT_S, done)
            return

        def on_probed(verdict):
            if verdict is Verdict.ALIVE:
                done(verdict)
            else:
                self.paths.check(
                    replica, lambda reached: done(verdict if reached else None))

        self.paths.connect(replica, on_probed)

    def _on_own_verdict(self, replica, verdict, done):
        if verdict is None:
            self._probe_elsewhere(replica, done)
        else:
            done(verdict)

    def _probe_elsewhere(self, replica, done):
        self.paths.probe_elsewhere(
            replica, lambda verdict: done(verdict or Verdict.UNKNOWN))

    def _on_verdict(self, replica, verdict):
        callbacks = self._callbacks.pop(replica)
        self._log.info('replica_looked_after',
                       replica=replica.record.id,
                       status=replica.record.status.value,
                       verdict=verdict.value,
                       runs=len(callbacks))
        for done in callbacks:
            done(verdict)
