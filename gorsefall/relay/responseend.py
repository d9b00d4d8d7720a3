"""Finds out whether a response that has ended is whole."""

from gorsefall import metrics
from gorsefall.net import outbound
from gorsefall.policy import streamend


class ResponseEnd:
    """The end of the responses of one exchange.

    Attributes:
        ending: The ``outbound.Ending`` of the last one; None before.
        verdict: The ``streamend.Verdict`` on it, if it was a stream.
    """

    def __init__(self, exchange):
        """Creates the state before any response has ended.

        Args:
            exchange: The ``exchange.Exchange``.
        """
        self._exchange = exchange
        self.ending = self.verdict = None

    def is_whole(self, attempt, part):
        """Returns whether a response may be whole; else its attempt fails.

        Args:
            attempt: The ``sending.Attempt``.
            part: The ``delivery.PartialResponse``, what was received of it.
        """
        self.ending = attempt.ending
        self.verdict = None
        if not part.streaming:
            return True
        self.verdict = streamend.judge(part.incomplete_event,
                                       has_events=attempt.event_count > 0,
                                       framed=attempt.ending
                                       is outbound.Ending.FRAMED,
                                       declared=part.response.declares_events)
        metrics.STREAM_ENDS.labels(attempt.ending.value,
                                   self.verdict.value).inc()
        if not self.verdict.is_whole:
            self._fail(attempt, self.verdict.reason)
        return self.verdict.is_whole

    def confirm(self, attempt, response):
        """Has a response end, if need be only when its replica is found alive.

        The kernel closes the connections of a process that crashes, which is
        the proper end of a response without length and chunks, wherever it was
        cut.

        Args:
            attempt: The ``sending.Attempt``.
            response: The ``model.Response``.
        """
        exchange = self._exchange
        if not response.usable or attempt.ending is outbound.Ending.FRAMED:
            exchange.on_whole_response(attempt, response)
            return
        exchange.silence.stop()

        def on_checked(exited):
            if exchange.done or exchange.attempt is not attempt:
                return
            if exited:
                self._fail(attempt, 'closed as its replica exited')
            else:
                exchange.on_whole_response(attempt, response)

        exchange.node.crashes.check_exit(attempt.replica, on_checked)

    def _fail(self, attempt, reason):
        self._exchange.on_attempt_failed(
            attempt, outbound.Failure(True, reason, outbound.Fault.LOST))
