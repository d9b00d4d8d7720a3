"""Copies of a run's memory at another replica, and when to go on from one."""

import time

from gorsefall.policy import placement
from gorsefall.relay import prober


class KvBackup:
    """The copy of one run; at most one is ordered and used."""

    def __init__(self, replica_ends, replicas):
        """Creates a copy that is not ordered yet.

        Args:
            replica_ends: The ``prober.ReplicaProber``.
            replicas: The ``fleet.Fleet``.
        """
        self._ends = replica_ends
        self._fleet = replicas
        self._holder = None
        self._looking = None

    @property
    def available(self):
        """Whether a replica was told to keep a copy that was not used yet."""
        return self._holder is not None

    def choose_holder(self, candidates, request):
        """Chooses the replica that keeps the copy.

        Args:
            candidates: List of ``fleet.Replica`` beside the one that runs.
            request: The request's id.

        Returns:
            Its ``(host, port)``, or None when there is none.
        """
        target = placement.choose_backup([r.view for r in candidates], request,
                                         time.monotonic())
        if target is None:
            self._holder = None
            return None
        self._holder = self._fleet.replicas[target.name]
        return self._holder.record.addr

    def probe(self, replica, done):
        """Calls ``done(alive)`` with whether ``replica`` is there."""
        if self._looking is not None:
            return
        self._looking = done
        self._ends.probe(replica, self._looked)

    def _looked(self, verdict):
        done, self._looking = self._looking, None
        if done is not None:
            done(verdict is prober.Verdict.ALIVE)

    def claim(self):
        """Returns the ``fleet.Replica`` with the copy, or None.

        One that left has none, nor has one that started again since: then it
        is another ``Replica`` under the same id.
        """
        holder, self._holder = self._holder, None
        known = self._fleet.replicas.get(holder.record.id)
        return holder if known is holder else None

    def cancel_probe(self):
        """Gives up a look that is under way."""
        self._looking = None
