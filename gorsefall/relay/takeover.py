"""Keeps a silent attempt while its request is sent to another replica."""

import time
import typing

from gorsefall import metrics
from gorsefall.net import outbound
from gorsefall.policy import takeover as policy
from gorsefall.relay import delivery
from gorsefall.relay import grant
from gorsefall.relay import replicas
from gorsefall.relay import sending


class KeptAttempt(typing.NamedTuple):
    """A silent attempt, and the state of its request when it was set aside.

    Attributes:
        attempt: The ``sending.Attempt``; its connection stays open.
        terms: The ``grant.Terms`` that it was sent by.
        part: The ``delivery.PartialResponse`` received of it so far.
        backup_holder: The ``replicas.Replica`` that holds its KV backup, or
            None.
    """
    attempt: sending.Attempt
    terms: grant.Terms
    part: delivery.PartialResponse
    backup_holder: replicas.Replica | None


class Takeover:
    """The attempt of one exchange that was set aside, if there is any."""

    def __init__(self, exchange):
        """Creates a takeover of an exchange without a silent attempt.

        Args:
            exchange: The ``exchange.Exchange``.
        """
        self._exchange = exchange
        self._kept = None
        self._timer = None

    @property
    def active(self):
        """Whether an attempt is set aside."""
        return self._kept is not None

    @property
    def kept_part(self):
        """What was received of the response to the attempt set aside."""
        return self._kept.part

    def begin(self, kept):
        """Sets a ``KeptAttempt`` aside, instead of an earlier one."""
        self.settle(policy.Event.OVERLAP_ENDED)
        self._kept = kept

    def keeps(self, attempt):
        """Returns whether ``attempt`` is the one that was set aside."""
        return self._kept is not None and self._kept.attempt is attempt

    def record_sent(self):
        """Records that the request was sent to another replica."""
        if self._kept is None:
            return
        self._stop_timer()
        self._timer = self._exchange.node.loop.call_later(
            policy.MAX_OVERLAP_S,
            lambda: self.settle(policy.Event.OVERLAP_ENDED))

    def record_end(self):
        """Records that the attempt at another replica has ended.

        The one that is set aside is then kept until the next attempt is sent.
        """
        self._stop_timer()

    def on_progress(self, attempt, *, accepted=False):
        """Settles which attempt goes on as more of a response has come.

        Args:
            attempt: The ``sending.Attempt`` whose response it is.
            accepted: Whether it shows that the replica serves the request.
        """
        if self.keeps(attempt):
            self.settle(policy.Event.OLD_RESPONDED)
        elif accepted:
            self.settle(policy.Event.NEW_ACCEPTED)

    def settle(self, event):
        """Decides which attempt goes on, and cancels the other one.

        Does nothing if none is set aside.

        Args:
            event: The ``policy.Event`` that decides.
        """
        if self._kept is None:
            return
        if policy.winner(event) is policy.Winner.NEW:
            self._let_go(self._drop(event))
            return
        kept = self._end(event)
        self._exchange.go_on_with(kept)
        self._exchange.log.info('kept',
                                replica=kept.attempt.name,
                                by=event.value)

    def _let_go(self, attempt):
        """Cancels the attempt, as another one goes on."""
        attempt.conn.cancel()
        attempt.replica.view.record_failure(time.monotonic(), attempt.sent_at)
        if not attempt.response_started:
            self._exchange.record_abandoned(attempt)
        attempt.log_failed('silent')

    def resume(self, exc):
        """Goes on with the attempt if there is any; returns whether.

        Args:
            exc: The error for which no other replica takes the request.
        """
        if self._kept is None:
            return False
        self._exchange.log.info('not_taken_over', code=exc.code, error=str(exc))
        self.settle(policy.Event.NEW_IMPOSSIBLE)
        return True

    def on_error_response(self, response):
        """Ends the attempt, to which its replica responds with an error."""
        attempt = self._drop(policy.Event.OLD_FAILED)
        attempt.conn.cancel()
        if response.not_run:
            self._exchange.attempts.record_refusal(attempt.name)
        attempt.log_failed(f'status {response.status}')

    def on_failed(self, failure):
        """Ends the attempt, whose connection has failed.

        Args:
            failure: The ``outbound.Failure``.
        """
        attempt = self._drop(policy.Event.OLD_FAILED)
        if not failure.sent:
            self._exchange.attempts.record_unreached(attempt.name)
        attempt.replica.view.record_failure(time.monotonic(), attempt.sent_at)
        attempt.log_failed(failure.reason, sent=failure.sent)
        if failure.fault is outbound.Fault.LOST:
            self._exchange.node.crashes.handle_broken_run(
                attempt.replica, self._exchange.broken_run(attempt),
                lambda: None)

    def cancel(self):
        """Cancels the attempt if there is any: the request is over."""
        if self._kept is not None:
            self._drop(policy.Event.REQUEST_ENDED).conn.cancel()

    def _drop(self, event):
        """Ends the attempt that was set aside; returns it."""
        attempt = self._end(event).attempt
        self._exchange.release(attempt)
        return attempt

    def _end(self, event):
        metrics.TAKEOVERS.labels(event.value).inc()
        self._stop_timer()
        kept, self._kept = self._kept, None
        return kept

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
