"""Whether a request may be sent again, against a plain recount.

Symptom: a call that changes something runs twice, or its caller is told that
it did not run while it did. Sequence: it goes to one replica, the answer is
lost, and it goes to another; or an earlier send is forgotten when a later one
is refused. Cause: doubt is kept for the last send alone.
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
    """How one send ended, as the oracle sees it."""
    LOST = 'lost'
    REFUSED = 'refused'
    UNREACHED = 'unreached'
    WITHDRAWN = 'withdrawn'


_NOTES = {
    End.REFUSED: attempts.Attempts.record_refusal,
    End.UNREACHED: attempts.Attempts.record_unreached,
    End.WITHDRAWN: attempts.Attempts.record_withdrawal,
}

# Few names, so that one replica is met again, as the copy of a run is.
_SENDS = st.lists(st.tuples(st.sampled_from('abc'), st.sampled_from(list(End))))
_TERMS = st.builds(attempts.RetryTerms,
                   repeatable=st.booleans(),
                   max_attempts=st.integers(1, 4),
                   refusals_uncounted=st.booleans())


def _play(sends):
    made = attempts.Attempts()
    for name, end in sends:
        made.record_sent(name)
        if end in _NOTES:
            _NOTES[end](made)
    return made


@hypothesis.given(_SENDS, _TERMS)
def test_like_the_recount(sends, terms):
    made = _play(sends)
    lost = [n for n, e in sends if e is End.LOST]
    counted = [
        e for _, e in sends if e is not End.UNREACHED and
        not (e is End.REFUSED and terms.refusals_uncounted)
    ]
    room = len(counted) < terms.max_attempts
    assert sorted(made.in_doubt) == sorted(lost)
    assert made.tried == {n for n, _ in sends}
    assert made.may_run_concurrently(terms) == (room and terms.repeatable)
    assert made.may_retry(terms) == (room and (terms.repeatable or not lost))


@hypothesis.given(_SENDS, _TERMS)
def test_nothing_is_called_not_run_in_doubt(sends, terms):
    made = _play(sends)
    lost = any(e is End.LOST for _, e in sends)
    for exc in (errors.ReplicaRefusedError('no'), errors.DrainingError('no'),
                errors.BackendFailedError('no')):
        said = made.reportable_error(exc, 'why', terms)
        if not lost:
            assert said is exc
        elif isinstance(exc, errors.NotRunError) or not terms.repeatable:
            assert isinstance(said, errors.OutcomeUnknownError)


def test_a_replica_met_again_stays_in_doubt():
    """Symptom: "not run" for a stream that had begun. Sequence: its replica
    breaks it off, a second one goes on and dies, the copy lies at the first,
    which is not there any more. Cause: the doubt of the first send there was
    taken back with that of the second."""
    made = _play([('a', End.LOST), ('b', End.REFUSED), ('a', End.UNREACHED)])
    assert made.in_doubt == ['a']


class _Refusing(serving.ActiveRequest):
    """Was sent once; whatever comes then may not be sent any more."""

    def __init__(self, error, *, repeatable):
        super().__init__(logs.get('test'))
        self._error = error
        self._repeatable = repeatable
        self.told = None
        self.attempts.record_sent('r1')

    @property
    def terms(self):
        return attempts.RetryTerms(repeatable=self._repeatable, max_attempts=2)

    def send_next(self):
        raise self._error

    def send_error(self, exc):
        self.told = exc
        return 'told'

    def record_end(self, outcome, exc):
        pass


@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('error', [
    errors.UnconfirmedError('old'),
    errors.ShedError('late'),
    errors.NoReplicaError('none')
])
def test_what_may_have_run_is_never_called_not_run(error, repeatable):
    """A 503 for a request that ran: its next send was refused by ourselves."""
    request = _Refusing(error, repeatable=repeatable)
    request.retry('silent')
    request.dispatch()
    assert isinstance(request.told, errors.OutcomeUnknownError)
