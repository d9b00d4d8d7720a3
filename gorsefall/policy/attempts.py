"""The attempts of one request, and whether another attempt is allowed.

A request with side effects must not run twice, and its caller must not get the
response "not run" if it may have run. Both depend on the replicas that may have
run the request. Each replica counts as one of them from the moment of the
attempt, until it refuses the request or turns out not to have been reached.
Recording it only in the failure handlers would miss paths on which an attempt
ends without one, and a second run of a stream would be started beside the
first.
"""

import dataclasses

from gorsefall import errors


@dataclasses.dataclass(frozen=True)
class RetryTerms:
    """Which requests may be sent again, and how often.

    Attributes:
        repeatable: Whether a second run does no harm.
        max_attempts: Maximum number of replicas to send a request to.
        refusals_uncounted: Whether attempts that a replica refused do not count
            towards that number.
    """
    repeatable: bool
    max_attempts: int
    refusals_uncounted: bool = False


class Attempts:
    """The attempts of one request.

    Attributes:
        replicas: Names of the replicas that it may have reached, in order.
        tried: Names of all replicas chosen for it; none is chosen twice.
        in_doubt: Names of the replicas that may have run it, one for each
            attempt.
        made: Number of all attempts, also of those that reached no replica.
    """

    def __init__(self):
        self.replicas = []
        self.tried = set()
        self.in_doubt = []
        self.made = 0
        self._refusals = 0

    def record_sent(self, name):
        """Records an attempt at the replica ``name``."""
        self.made += 1
        self.replicas.append(name)
        self.tried.add(name)
        self.in_doubt.append(name)

    def record_unreached(self, name=None):
        """Drops an attempt of which no byte was sent.

        Args:
            name: The replica's name; None for the last attempt.
        """
        name = self._name(name)
        # The last one of that name, as the others keep their order.
        del self.replicas[len(self.replicas) - 1 -
                          self.replicas[::-1].index(name)]
        self.in_doubt.remove(name)

    def record_untried(self, name=None):
        """Drops an attempt whose replica was not even asked.

        Args:
            name: The replica's name; None for the last attempt.
        """
        name = self._name(name)
        self.tried.discard(name)
        self.record_unreached(name)

    def record_refusal(self, name=None):
        """Records that a replica refused the request without a run.

        Args:
            name: The replica's name; None for the last attempt.
        """
        self._refusals += 1
        self.in_doubt.remove(self._name(name))

    def record_withdrawal(self, name=None):
        """Records that an attempt was withdrawn before it was sent.

        Args:
            name: The replica's name; None for the last attempt.
        """
        self.in_doubt.remove(self._name(name))

    def _name(self, name):
        return self.replicas[-1] if name is None else name

    def has_attempts_left(self, terms):
        """Returns whether the limit of ``terms`` leaves another attempt."""
        uncounted = self._refusals if terms.refusals_uncounted else 0
        return len(self.replicas) - uncounted < terms.max_attempts

    def is_exhausted(self, terms):
        """Returns whether it may have run, and may be sent no more."""
        return bool(self.in_doubt) and not self.has_attempts_left(terms)

    def may_run_concurrently(self, terms):
        """Returns whether the request may be sent during another run of it."""
        return terms.repeatable and self.has_attempts_left(terms)

    def may_retry(self, terms):
        """Returns whether the request may be sent again after its last run."""
        return self.has_attempts_left(terms) and not self.forbids_rerun(terms)

    def forbids_rerun(self, terms):
        """Returns whether a run that may have started rules out another one."""
        return bool(self.in_doubt) and not terms.repeatable

    def outcome_unknown_error(self, reason, cause=None):
        """Returns the error for a request that may have run.

        Args:
            reason: Why its outcome is unknown.
            cause: See ``errors.OutcomeUnknownError``.
        """
        name = (self.in_doubt or self.replicas)[-1]
        return errors.OutcomeUnknownError(f'{name} may have run it: {reason}',
                                          cause)

    def reportable_error(self, exc, reason, terms):
        """Returns ``exc``, or an error with an unknown outcome in its place.

        While an earlier attempt is in doubt, "not run" may be false, and a
        caller that relies on it may have the request run twice. A request that
        is not repeatable must not be reported as failed either: it may have
        succeeded.

        Args:
            exc: The error to report.
            reason: Why the last attempt failed.
            terms: The ``RetryTerms``.
        """
        may_be_false = (isinstance(exc, errors.NotRunError) or
                        not terms.repeatable)
        if (self.in_doubt and may_be_false and
                not isinstance(exc, errors.OutcomeUnknownError)):
            return self.outcome_unknown_error(reason, exc.code)
        return exc
