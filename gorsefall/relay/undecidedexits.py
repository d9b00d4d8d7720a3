"""Broken runs of which it is not known yet whether their replica exited."""

import collections
import typing

from gorsefall import logs
from gorsefall.relay import prober
from gorsefall.relay import replicas

CHECK_PERIOD_S = 0.5
"""Pause between two checks, s."""

MAX_WAIT_S = 10.0
"""Time after which a run is dropped without a verdict, s: crashed replicas are
back by then, and their old records gone."""

RECHECK_S = 1.0
"""The same for a replica that was alive just after the run broke, s."""

MAX_RUNS = 256
"""Maximum number of runs that wait; of the replica with the most of them one is
dropped for another."""


class _Undecided(typing.NamedTuple):
    """A broken run that waits for a verdict.

    Attributes:
        replica: The ``replicas.Replica``.
        until: When it is dropped without a verdict, s (monotonic).
        on_exited: Called if the replica exited.
    """
    replica: replicas.Replica
    until: float
    on_exited: typing.Callable


class UndecidedExits:
    """Finds out later whether replicas exited that could not be probed.

    While no replica of a service can be reached, a refused connection may be
    the fault of the path. If these exits were dropped, a request that takes all
    replicas down would never be known, as nobody has any evidence of it. The
    exit shows later: the probe succeeds elsewhere, another entry reports it,
    or the replica's record is dropped though it did not announce its exit.

    A process that ends closes its sockets one after the other, so that the
    listener may accept a probe after the connections of the runs have closed.
    """

    def __init__(self, loop, fleet, replica_prober, clock):
        """Creates the state without runs.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            replica_prober: The ``prober.ReplicaProber``.
            clock: Returns the time, s (monotonic).
        """
        self._loop = loop
        self._fleet = fleet
        self._prober = replica_prober
        self._clock = clock
        self._runs = []
        self._alive = set()
        self._scheduled = False
        self._log = logs.get('ends')

    def add(self, replica, on_exited, wait_s=MAX_WAIT_S):
        """Has ``on_exited()`` called if a replica turns out to have exited.

        Args:
            replica: The ``replicas.Replica``.
            on_exited: Called without arguments.
            wait_s: Time after which it is not called any more, s.
        """
        self._runs.append(_Undecided(replica,
                                     self._clock() + wait_s, on_exited))
        if len(self._runs) > MAX_RUNS:
            self._drop_one()
        self._schedule()

    def _drop_one(self):
        """Drops the newest run of the replica that has the most."""
        counts = collections.Counter(run.replica for run in self._runs)
        fullest, _ = counts.most_common(1)[0]
        newest = max(
            i for i, run in enumerate(self._runs) if run.replica is fullest)
        del self._runs[newest]
        self._log.warning('exit_not_followed', replica=fullest.record.id)

    def _schedule(self):
        if self._runs and not self._scheduled:
            self._scheduled = True
            self._loop.call_later(CHECK_PERIOD_S, self._check)

    def _check(self):
        self._scheduled = False
        now = self._clock()
        runs, self._runs = self._runs, []
        for run in runs:
            if self._has_exited(run.replica):
                run.on_exited()
            elif (now < run.until and not run.replica.is_leaving and
                  not run.replica.is_reported_leaving(now)):
                self._runs.append(run)
        waiting = {run.replica for run in self._runs}
        self._alive &= waiting
        for replica in waiting - self._alive:
            self._probe(replica)
        self._schedule()

    def _has_exited(self, replica):
        return (replica.exited_at is not None or
                self._fleet.replicas.get(replica.record.id) is not replica)

    def _probe(self, replica):

        def on_probed(verdict):
            if verdict is prober.Verdict.EXITED:
                self._fleet.record_exit(replica, self._clock())
            elif verdict is prober.Verdict.ALIVE:
                # Something listens there: the replica, or its successor, whose
                # record shows it soon.
                self._alive.add(replica)

        self._prober.probe(replica, on_probed)
