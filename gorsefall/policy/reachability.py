"""Whether an entry reaches the replicas of a service itself.

An entry may lose its paths to all replicas while other entries keep theirs. A
connection that still works shows nothing about new ones, so only attempts to
connect count. Failures alone do not tell a lost path from replicas that have
failed: the paths count as lost once another entry has reached a replica to
which this entry could not connect.
"""

SUSPECT_REPLICAS = 2
"""Replicas to which connecting failed, with no connection established in
between, from which on another entry is asked. A single replica that crashed
costs no detour."""

EVIDENCE_S = 5.0
"""Time for which a failure to connect counts, s."""

SAME_TIME_S = 0.5
"""Longest time from a failure to connect to the moment at which another entry
reached the replica, s. A replica that had exited may have been started again
after a longer one; this entry tries it anew."""

REFUTED_S = 1.0
"""Time for which a replica that other entries did not reach either is taken to
have failed, s. Those entries may have lost their paths as well without knowing
it yet, so others are asked soon."""


class ServicePaths:
    """The paths of this entry to the replicas of one service.

    Attributes:
        lost_since: When they were found to be lost, s (monotonic); None while
            they are not.
    """

    def __init__(self, count_replicas, others_lost=lambda: False):
        """Creates paths of which nothing is known.

        Args:
            count_replicas: Returns the number of replicas of the service.
            others_lost: Returns whether the paths to another service are lost:
                one failure to connect then shows as much as several.
        """
        self._count_replicas = count_replicas
        self._others_lost = others_lost
        self.lost_since = None
        self._failed_at = {}
        self._refuted_at = {}
        self._regained = set()

    # -- evidence --------------------------------------------------------------

    def record_connect(self, replica, established, now):
        """Records the outcome of a new connection to a replica.

        Args:
            replica: The replica's id.
            established: Whether the connection was established.
            now: Time, s (monotonic).

        Returns:
            True if the lost paths are back with it.
        """
        if not established:
            self._failed_at[replica] = now
            self._regained.discard(replica)
            return False
        if self.lost_since is None:
            self._failed_at.clear()
            return False
        self._failed_at.pop(replica, None)
        self._regained.add(replica)
        if len(self._regained) < self._enough():
            return False
        self.lost_since = None
        self._failed_at.clear()
        return True

    def record_elsewhere(self, replica, reached, now):
        """Records whether another entry reached a replica.

        Args:
            replica: The replica's id.
            reached: Whether the other entry connected to it.
            now: Time, s (monotonic).

        Returns:
            True if the paths are found to be lost with it.
        """
        self._refuted_at = {
            n: at
            for n, at in self._refuted_at.items()
            if n != replica and now - at < EVIDENCE_S
        }
        if not reached:
            self._refuted_at[replica] = now
            return False
        if self.lost_since is not None or replica not in self.suspects(now):
            return False
        if now - self._failed_at[replica] > SAME_TIME_S:
            return False
        self.lost_since = now
        self._regained.clear()
        return True

    # -- conclusions -----------------------------------------------------------

    def _enough(self):
        """Returns the number of replicas that shows something, int."""
        return min(SUSPECT_REPLICAS, self._count_replicas())

    def failed(self, now):
        """Returns the replicas to which connecting failed of late, a set.

        It is empty if they are too few to show something.
        """
        names = {
            n for n, at in self._failed_at.items() if now - at < EVIDENCE_S
        }
        if not names or (len(names) < self._enough() and
                         not self._others_lost()):
            return set()
        return names

    def is_in_doubt(self, now):
        """Returns whether the paths are lost, or may be."""
        return self.lost_since is not None or bool(self.failed(now))

    def suspects(self, now):
        """Returns the replicas whose paths may be lost, a set.

        Replicas that another entry did not reach either are left out.
        """
        if self.lost_since is not None or not self._failed_at:
            return set()
        return {
            n for n in self.failed(now)
            if now - self._refuted_at.get(n, float('-inf')) >= REFUTED_S
        }

    def needs_detour(self, replica, now):
        """Returns whether a request to a replica needs another entry.

        Args:
            replica: The replica's id.
            now: Time, s (monotonic).
        """
        if self.lost_since is not None:
            return replica not in self._regained
        return replica in self.suspects(now)

    def next_to_probe(self, replicas, now, rng):
        """Returns the replica to connect to next, to end a doubt.

        Args:
            replicas: The ids of the replicas of the service, a list.
            now: Time, s (monotonic).
            rng: Random generator.

        Returns:
            Its id, preferably one to which no connection has failed; None if
            there is no doubt.
        """
        if not replicas or not self.is_in_doubt(now):
            return None
        return rng.choice(self.untried(replicas) or replicas)

    def untried(self, replicas):
        """Returns those of ``replicas`` of whose paths nothing is known."""
        return [
            n for n in replicas
            if n not in self._failed_at and n not in self._regained
        ]
