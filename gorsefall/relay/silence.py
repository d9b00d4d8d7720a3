"""Decides what follows when the attempt of an exchange says nothing."""

import time

from gorsefall.net import outbound
from gorsefall.policy import attempt_timeouts


class SilenceWatch:
    """Limits the time for which the attempt of one exchange is silent."""

    def __init__(self, exchange, restorer):
        """Creates a watch that does not run.

        Args:
            exchange: The ``exchange.Exchange``.
            restorer: Its ``restoring.Restorer``.
        """
        self._exchange = exchange
        self._restorer = restorer
        self._timer = None

    def await_response(self):
        """Waits for the start of a response, or for more of it."""
        exchange = self._exchange
        if exchange.attempts.may_run_concurrently(exchange.terms):
            self.wait(
                attempt_timeouts.attempt_s(exchange.start_latency(),
                                           exchange.time_left_s(),
                                           streams=exchange.grant.streams))

    def await_event(self):
        """Waits for the next event of a stream."""
        exchange = self._exchange
        if self._restorer.possible:
            self.wait(attempt_timeouts.BACKUP_GAP_S)
        elif exchange.attempts.may_run_concurrently(exchange.terms):
            self.wait(attempt_timeouts.STREAM_GAP_S)

    def wait(self, wait_s):
        """Waits for ``wait_s``, instead of an earlier wait."""
        self.stop()
        self._timer = self._exchange.node.loop.call_later(
            wait_s, self._on_timeout)

    def stop(self):
        """Stops waiting."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self):
        # A replica that hangs, or a connection dropped without a reset by
        # something on the path, shows no error. Trying another replica while
        # there is time serves the caller; the retry budget keeps this from
        # doubling the load when all replicas are slow.
        exchange = self._exchange
        attempt = exchange.attempt
        if attempt is None or attempt.paused:
            return
        if self._restorer.possible and not self._may_crash():
            self._restorer.probe(attempt)
        elif not self._can_try_another():
            # A run that the replica preempted for more urgent work is silent
            # too, and continues later. Giving up here would lose its response.
            self.await_response()
        elif attempt.conn.sent:
            exchange.begin_takeover()
            exchange.retry_or_fail_unknown('silent')
        else:
            exchange.on_attempt_failed(attempt, self._cancel_unsent(attempt))

    def _may_crash(self):
        """Whether the request may crash the next replica as well."""
        exchange = self._exchange
        return exchange.node.crashes.must_serialize(exchange.causes)

    def _can_try_another(self):
        """Whether a retry is allowed and another replica is available."""
        exchange = self._exchange
        node, grant = exchange.node, exchange.grant
        return (exchange.attempts.may_run_concurrently(exchange.terms) and
                not self._may_crash() and
                grant.permits_another(begun=exchange.bound) and
                exchange.budget.available(time.monotonic()) >= 1 and bool(
                    node.work.candidate_views(grant.service, exchange.unfit())))

    def _cancel_unsent(self, attempt):
        """Cancels an attempt that reached nobody; returns its ``Failure``."""
        paths = self._exchange.node.paths
        attempt.conn.cancel()
        if attempt.conn.via is not None:
            paths.record_no_forwarding(attempt.replica, attempt.conn.via,
                                       'silent')
            return outbound.Failure(False, 'silent', outbound.Fault.FORWARDER)
        paths.record_connect(attempt.replica, False)
        return outbound.Failure(False, 'silent', outbound.Fault.UNREACHED)
