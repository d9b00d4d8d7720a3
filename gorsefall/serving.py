"""The life cycle of one request, common to all wire protocols.

A subclass implements the protocol: it finds a replica, sends the request and
writes the response to the caller. This module decides whether a request may
be sent again after a failure, and which error the caller gets.
"""

import time

from gorsefall import errors
from gorsefall.policy import attempts


class ActiveRequest:
    """One request of a caller, from its arrival to its final response.

    Attributes:
        done: Whether it has its final response, or its caller left.
        attempts: The ``attempts.Attempts`` made for it.
        arrived_at: Arrival time, s (monotonic).
        first_byte_at: When the response began, s (monotonic); None before.
        log: Logger bound to the request.
    """

    def __init__(self, log):
        self.done = False
        self.attempts = attempts.Attempts()
        self.arrived_at = time.monotonic()
        self.first_byte_at = None
        self.log = log

    # -- implemented by subclasses ---------------------------------------------

    @property
    def terms(self):
        """The ``attempts.RetryTerms`` of the request."""
        raise NotImplementedError

    def send_next(self):
        """Sends the request to the best replica not tried yet.

        Raises:
            errors.GorsefallError: No attempt is possible; the error describes
                why.
        """
        raise NotImplementedError

    def claim_retry(self):
        """Takes a retry from the budget; returns False if none is available.

        Also returns False if no other replica can take the request.
        """
        return True

    def discard_response(self):
        """Drops what the failed attempt has delivered of its response."""

    def send_error(self, exc):
        """Sends ``exc`` to the caller as final response; returns the outcome.

        The outcome is the one-word result that logs and metrics show.
        """
        raise NotImplementedError

    def record_end(self, outcome, exc):
        """Logs and counts the outcome and releases resources; called once."""
        raise NotImplementedError

    # -- retries ---------------------------------------------------------------

    def dispatch(self):
        """Sends the request to a replica, or fails it with an error."""
        if self.done:
            return
        try:
            if self.attempts.forbids_rerun(self.terms):
                # An earlier attempt may have run the request, and it must not
                # run twice. Checked here so that it holds for every caller of
                # this method.
                raise self.attempts.outcome_unknown_error(
                    'it may not be repeated')
            if self.attempts.is_exhausted(self.terms):
                # As after an attempt beyond their limit that went on with the
                # run of an earlier one, and was not sent.
                raise self.attempts.outcome_unknown_error(
                    'it may be sent to no other replica')
            self.send_next()
        except errors.GorsefallError as exc:
            # No replica can be tried now, but an earlier attempt may have run
            # the request; the error must not claim otherwise.
            self.fail(self.attempts.reportable_error(exc, str(exc), self.terms))

    def retry(self, reason):
        """Sends the request again if that is safe; returns whether it was."""
        if not (self.attempts.may_retry(self.terms) and self.claim_retry()):
            return False
        self.log.info('retry', reason=reason)
        self.restart()
        return True

    def retry_or_fail(self, exc, reason):
        """Sends the request again if that is safe, else fails it."""
        if not self.retry(reason):
            self.fail(self.attempts.reportable_error(exc, reason, self.terms))

    def restart(self):
        """Starts over at another replica."""
        self.discard_response()
        self.dispatch()

    # -- completion ------------------------------------------------------------

    def fail(self, exc):
        """Ends the request with ``exc`` as its final response."""
        if not self.done:
            self.close(self.send_error(exc), exc)

    def close(self, outcome, exc=None):
        """Ends the request; later calls do nothing."""
        if self.done:
            return
        self.done = True
        self.record_end(outcome, exc)
