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

    def find_break(self, attempt, part):
        """Returns the ``outbound.Failure`` that an end shows, or None.

        Args:
            attempt: The ``sending.Attempt`` whose response has ended.
            part: The ``delivery.PartialResponse``, what was received of it.
        """
        self.ending = attempt.ending
        self.verdict = None
        if part.splitter is None:
            return None
        self.verdict = streamend.judge(part.splitter.partial,
                                       has_events=part.splitter.count > 0,
                                       framed=attempt.ending
                                       is outbound.Ending.FRAMED,
                                       declared=part.response.declares_events)
        metrics.STREAM_ENDS.labels(attempt.ending.value,
                                   self.verdict.value).inc()
        if self.verdict is streamend.Verdict.WHOLE:
            return None
        return _lost(self.verdict.reason)

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
                exchange.on_attempt_failed(
                    attempt, _lost('closed as its replica exited'))
            else:
                exchange.on_whole_response(attempt, response)

        exchange.node.crashes.check_exit(attempt.replica, on_checked)


def _lost(reason):
    """Returns the failure of a response that was broken off."""
    return outbound.Failure(True, reason, outbound.Fault.LOST)
