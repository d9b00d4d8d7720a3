"""Whether a request may be sent again, against a plain recount.

Guards against a call with side effects that runs twice, or whose caller gets
"not run" although it ran. That happens if the response of one replica is lost
and the call goes to another one, or if an earlier attempt is forgotten when a
later one is refused, because only the last attempt is kept in doubt.
"""

import enum

import hypothesis
import pytest
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall import logs
from gorsefall import serving
from gorsefall.policy import attempts


class End(enum.Enum):
    """The true end of one attempt."""
    LOST = 'lost'
    REFUSED = 'refused'
    UNREACHED = 'unreached'
    WITHDRAWN = 'withdrawn'


_RECORDERS = {
    End.REFUSED: attempts.Attempts.record_refusal,
    End.UNREACHED: attempts.Attempts.record_unreached,
    End.WITHDRAWN: attempts.Attempts.record_withdrawal,
}

# Few names, so that a replica occurs again, as with the KV backup of a run.
_ATTEMPTS = st.lists(
    st.tuples(st.sampled_from('abc'), st.sampled_from(list(End))))
_TERMS = st.builds(attempts.RetryTerms,
                   repeatable=st.booleans(),
                   max_attempts=st.integers(1, 4),
                   refusals_uncounted=st.booleans())


def _record(sends):
    tracked = attempts.Attempts()
    for name, end in sends:
        tracked.record_sent(name)
        if end in _RECORDERS:
            _RECORDERS[end](tracked)
    return tracked


@hypothesis.given(_ATTEMPTS, _TERMS)
def test_matches_a_recount(sends, terms):
    tracked = _record(sends)
    lost = [n for n, e in sends if e is End.LOST]
    counted = [
        e for _, e in sends if e is not End.UNREACHED and
        not (e is End.REFUSED and terms.refusals_uncounted)
    ]
    allowed = len(counted) < terms.max_attempts
    assert sorted(tracked.in_doubt) == sorted(lost)
    assert tracked.tried == {n for n, _ in sends}
    assert tracked.may_run_concurrently(terms) == (allowed and terms.repeatable)
    assert tracked.may_retry(terms) == (allowed and
                                        (terms.repeatable or not lost))


@hypothesis.given(_ATTEMPTS, _TERMS)
def test_no_request_in_doubt_is_reported_as_not_run(sends, terms):
    tracked = _record(sends)
    lost = any(e is End.LOST for _, e in sends)
    for exc in (errors.ReplicaRefusedError('no'), errors.DrainingError('no'),
                errors.BackendFailedError('no')):
        reported = tracked.reportable_error(exc, 'why', terms)
        if not lost:
            assert reported is exc
        elif isinstance(exc, errors.NotRunError) or not terms.repeatable:
            assert isinstance(reported, errors.OutcomeUnknownError)


def test_a_replica_that_is_tried_twice_stays_in_doubt():
    """A stream that had started is reported as "not run".

    Its replica aborts it, a second one resumes it and crashes, and the KV
    backup is at the first one, which is gone. The second attempt at the first
    replica must not remove the doubt about the first attempt.
    """
    tracked = _record([('a', End.LOST), ('b', End.REFUSED),
                       ('a', End.UNREACHED)])
    assert tracked.in_doubt == ['a']


class _Refusing(serving.ActiveRequest):
    """A request with one attempt, whose next attempt is refused locally."""

    def __init__(self, error, *, repeatable):
        super().__init__(logs.get('test'))
        self._error = error
        self._repeatable = repeatable
        self.reported = None
        self.attempts.record_sent('r1')

    @property
    def terms(self):
        return attempts.RetryTerms(repeatable=self._repeatable, max_attempts=2)

    def send_next(self):
        raise self._error

    def send_error(self, exc):
        self.reported = exc
        return 'told'

    def record_end(self, outcome, exc):
        pass


@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('error', [
    errors.UnconfirmedError('old'),
    errors.ShedError('late'),
    errors.NoReplicaError('none')
])
def test_a_request_that_may_have_run_is_not_reported_as_not_run(
        error, repeatable):
    """A request that ran gets a 503 because its next attempt is refused."""
    request = _Refusing(error, repeatable=repeatable)
    request.retry('silent')
    request.dispatch()
    assert isinstance(request.reported, errors.OutcomeUnknownError)


def test_attempts_that_reach_no_replica_are_not_forgotten():
    """A request counts as a new one each time that nobody is reached, and so
    allows more retries than there are requests."""
    made = attempts.Attempts()
    made.record_sent('a')
    made.record_unreached()
    made.record_sent('b')
    made.record_untried()
    assert made.made == 2
    assert not made.in_doubt
    assert made.tried == {'a'}
