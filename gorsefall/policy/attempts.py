"""Where one request was sent, and whether it may be sent again.

A request that changes something must not run twice, and nobody may be told
that it did not run while it might have. Both follow from one question: which
replicas may have begun it? Each that it is sent to may have, until it says
otherwise or turns out never to have been reached. Noting doubt only where a
failure is handled missed a path, on which a stream was begun anew beside its
first run.
"""

import dataclasses

from gorsefall import errors


@dataclasses.dataclass(frozen=True)
class RetryTerms:
    """What may be repeated, and how often.

    Attributes:
        repeatable: Whether a second run does no harm.
        most: Replicas that a request may be sent to.
        refusals_free: Whether one that refused it leaves the count as it
            was.
    """
    repeatable: bool
    max_attempts: int
    refusals_uncounted: bool = False


class Attempts:
    """The sends of one request.

    Attributes:
        names: Replicas that it was sent to and may have reached, in order.
        tried: All that were chosen for it; none is chosen twice.
        in_doubt: Those that may have run it, once for each send.
    """

    def __init__(self):
        self.replicas = []
        self.tried = set()
        self.in_doubt = []
        self._refusals = 0

    def record_sent(self, name):
        """Notes that it goes out to ``name``."""
        self.replicas.append(name)
        self.tried.add(name)
        self.in_doubt.append(name)

    def record_unreached(self):
        """Notes that no byte of the last send went out: it was no attempt."""
        self.in_doubt.remove(self.replicas.pop())

    def record_refusal(self):
        """Notes that the last replica says it did not run it."""
        self._refusals += 1
        self.in_doubt.remove(self.replicas[-1])

    def record_withdrawal(self):
        """Notes that the last send was given up before a byte went out."""
        self.in_doubt.remove(self.replicas[-1])

    def has_attempts_left(self, terms):
        """Whether ``terms`` leave it another replica, run or not."""
        free = self._refusals if terms.refusals_uncounted else 0
        return len(self.replicas) - free < terms.max_attempts

    def may_run_concurrently(self, terms):
        """Whether it may be sent beside a run that is under way."""
        return terms.repeatable and self.has_attempts_left(terms)

    def may_retry(self, terms):
        """Whether it may be sent once more after its last run ended."""
        return self.has_attempts_left(terms) and not self.forbids_rerun(terms)

    def forbids_rerun(self, terms):
        """Whether a run that may have begun must not be begun anew."""
        return bool(self.in_doubt) and not terms.repeatable

    def outcome_unknown_error(self, reason):
        """Returns the error that says its last replica may have run it."""
        return errors.OutcomeUnknownError(
            f'{self.replicas[-1]} may have run it: {reason}')

    def reportable_error(self, exc, reason, terms):
        """Returns ``exc``, or what may be said in its place.

        While an earlier run is in doubt, "not run" would be false: a caller
        that believes it may have the request run twice. Nor may a request
        that changes something be called failed: it may have worked.
        """
        claims_too_much = (isinstance(exc, errors.NotRunError) or
                           not terms.repeatable)
        if (self.in_doubt and claims_too_much and
                not isinstance(exc, errors.OutcomeUnknownError)):
            return self.outcome_unknown_error(reason)
        return exc
