"""What every request goes through on any wire, up to its one final answer.

A wire gives how a replica is found and spoken to and how the caller is told;
whether the request may be sent again, and what may be said of it, is decided
here.
"""

import time

from gorsefall import errors
from gorsefall.policy import attempts


class ActiveRequest:
    """One request of a caller; owns its answer.

    Attributes:
        done: Whether it has its final answer, or its caller left.
        attempts: The ``attempts.Attempts`` made for it.
        arrived: When it came, s (monotonic).
        first_at: When the first of its answer came, s; None before.
        log: Logger bound to the request.
    """

    def __init__(self, log):
        self.done = False
        self.attempts = attempts.Attempts()
        self.arrived_at = time.monotonic()
        self.first_byte_at = None
        self.log = log

    # -- what a wire gives -----------------------------------------------------

    @property
    def terms(self):
        """The ``attempts.RetryTerms`` on which it may be sent again."""
        raise NotImplementedError

    def send_next(self):
        """Sends it to the best replica that was not tried.

        Raises:
            errors.GorsefallError: It cannot be sent, and what is to be said.
        """
        raise NotImplementedError

    def claim_retry(self):
        """Whether there is a replica, and a retry, to spare; takes it."""
        return True

    def discard_response(self):
        """Forgets what came of the answer of a run that ended."""

    def send_error(self, exc):
        """Gives the caller the final answer ``exc``; returns the outcome."""
        raise NotImplementedError

    def record_end(self, outcome, exc):
        """Counts, logs and gives back what it held; called once."""
        raise NotImplementedError

    # -- sending it again ------------------------------------------------------

    def dispatch(self):
        """Sends it on its way, or gives it up."""
        if self.done:
            return
        try:
            if self.attempts.forbids_rerun(self.terms):
                # Whatever led here, a run that may have begun is not begun
                # anew.
                raise self.attempts.outcome_unknown_error(
                    'it may not be repeated')
            self.send_next()
        except errors.GorsefallError as exc:
            # Whatever forbids a further send, an earlier one may have run.
            self.fail(self.attempts.reportable_error(exc, str(exc), self.terms))

    def retry(self, reason):
        """Sends it once more where that is safe; returns whether it is."""
        if not (self.attempts.may_retry(self.terms) and self.claim_retry()):
            return False
        self.log.info('retry', reason=reason)
        self.restart()
        return True

    def retry_or_fail(self, exc, reason):
        """Sends it once more where that is safe, or ends it with ``exc``."""
        if not self.retry(reason):
            self.fail(self.attempts.reportable_error(exc, reason, self.terms))

    def restart(self):
        """Begins anew at another replica."""
        self.discard_response()
        self.dispatch()

    # -- endings ---------------------------------------------------------------

    def fail(self, exc):
        """Gives the caller its final answer ``exc`` now."""
        if not self.done:
            self.close(self.send_error(exc), exc)

    def close(self, outcome, exc=None):
        """Ends it; later calls do nothing."""
        if self.done:
            return
        self.done = True
        self.record_end(outcome, exc)
