"""KV backups: copies of a run's KV cache at another replica."""

import functools
import time

from gorsefall.policy import placement


class KvBackup:
    """The KV backup of one run; a run restores from a backup at most once.

    Attributes:
        holder: The ``replicas.Replica`` chosen to hold it; None if there is
            none, or it was claimed.
    """

    def __init__(self, replica_prober, replicas, current_list, log):
        """Creates the state of a run without a backup.

        Args:
            replica_prober: The ``prober.ReplicaProber``.
            replicas: The ``fleet.Fleet``.
            current_list: The ``currentlist.CurrentList`` of these replicas.
            log: Logger of the request.
        """
        self._prober = replica_prober
        self._fleet = replicas
        self._current_list = current_list
        self._log = log
        self.holder = None
        self._on_probed = None

    @property
    def available(self):
        """Whether a replica was chosen and its backup was not claimed yet."""
        return self.holder is not None

    def choose_holder(self, candidates, request_id):
        """Chooses the replica that receives the backup.

        Args:
            candidates: List of ``replicas.Replica`` without the one that runs
                the request.
            request_id: The request's id.

        Returns:
            Its ``(host, port)``, or None when there is none.
        """
        chosen = placement.choose_backup([r.view for r in candidates],
                                         request_id, time.monotonic())
        if chosen is None:
            self.holder = None
            return None
        self.holder = self._fleet.replicas[chosen.name]
        return self.holder.record.addr

    def probe(self, replica, done):
        """Calls ``done(verdict)`` with the ``prober.Verdict`` on ``replica``.

        By then the list of replicas is recent enough to send by. Does nothing
        while an earlier probe is in progress.
        """
        if self._on_probed is not None:
            return
        self._on_probed = done
        self._prober.probe(replica, functools.partial(self._handle_verdict,
                                                      done))

    def _handle_verdict(self, done, verdict):
        if self._on_probed is not done:
            # It was cancelled.
            return
        retry = functools.partial(self._handle_verdict, done, verdict)
        if self._current_list.admit(retry, self._log):
            self._on_probed = None
            done(verdict)

    def claim(self):
        """Returns the ``replicas.Replica`` that holds the backup, or None.

        The backup is lost if the replica has left or restarted. After a
        restart another ``Replica`` object has the same id. A replica that
        accepts no request does not continue the run either.
        """
        holder, self.holder = self.holder, None
        current = self._fleet.replicas.get(holder.record.id)
        if current is not holder or holder.refusal(time.monotonic()):
            return None
        return holder

    def cancel_probe(self):
        """Ignores the result of a probe that is in progress."""
        self._on_probed = None
