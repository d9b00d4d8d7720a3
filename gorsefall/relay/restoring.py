"""Continues streams from their KV backups when their replicas are gone."""

import time

from gorsefall import errors
from gorsefall.policy import attempt_timeouts
from gorsefall.relay import prober


def is_gone(verdict, *, failed, silent_s):
    """Returns whether a run should continue from its KV backup.

    Args:
        verdict: The ``prober.Verdict`` on the replica that runs it.
        failed: Whether its connection failed.
        silent_s: Time without a byte of the response, s.
    """
    if verdict is prober.Verdict.UNKNOWN:
        return failed or silent_s >= attempt_timeouts.DARK_AFTER_S
    return verdict is prober.Verdict.EXITED


class Restorer:
    """Continues the stream of one exchange from its KV backup."""

    def __init__(self, exchange, backup):
        """Creates a restorer.

        Args:
            exchange: The ``exchange.Exchange``.
            backup: Its ``backups.KvBackup``.
        """
        self._exchange = exchange
        self._backup = backup

    @property
    def possible(self):
        """Whether a KV backup exists and the caller has part of the stream."""
        return (self._backup.available and
                self._exchange.last_event is not None)

    def probe(self, attempt):
        """Probes the replica of a failed or silent stream, then continues."""
        self._backup.probe(attempt.replica,
                           lambda verdict: self._on_probed(attempt, verdict))

    def _on_probed(self, attempt, verdict):
        failed = attempt.failure is not None
        if self._exchange.attempt is not (None if failed else attempt):
            return
        silent_s = attempt.silent_s()
        if is_gone(verdict, failed=failed, silent_s=silent_s):
            self._restore(attempt)
        elif failed:
            self._exchange.retry_or_fail_unknown(attempt.failure.reason)
        else:
            self._exchange.silence.wait(attempt_timeouts.BACKUP_GAP_S)

    def _restore(self, attempt):
        exchange = self._exchange
        replica = self._backup.claim()
        if exchange.attempt is attempt:
            exchange.begin_takeover()
        if replica is None:
            exchange.retry_or_fail_unknown(
                'its replica is gone, and no copy is left')
            return
        if not exchange.budget.acquire(time.monotonic()):
            exchange.fail(
                exchange.attempts.outcome_unknown_error(
                    'its replica is gone, and no retry is left'))
            return
        exchange.log.info('restored',
                          gone=attempt.replica.record.id,
                          replica=replica.record.id,
                          after=exchange.last_event)
        try:
            exchange.send_from_backup(replica)
        except errors.GorsefallError as exc:
            exchange.fail(
                exchange.attempts.reportable_error(exc, str(exc),
                                                   exchange.terms))
