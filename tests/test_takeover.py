"""Which of two attempts of a request goes on, against an oracle."""

import dataclasses
import enum

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import takeover


class Fate(enum.Enum):
    """What a replica does when it says something at last."""
    RESPONDS = 'responds'
    FAILS = 'fails'
    NEVER = 'never says anything'


@dataclasses.dataclass(frozen=True)
class Replica:
    """A replica at which an attempt is under way.

    Attributes:
        fate: What it does.
        after_s: When, counted from the second attempt, s.
    """
    fate: Fate
    after_s: float

    @property
    def responds(self):
        return self.fate is Fate.RESPONDS


_TIMES = st.floats(0.001, 2.0)
_REPLICAS = st.builds(Replica, st.sampled_from(Fate), _TIMES)


def _events(old, new):
    """Returns the ``(time, event)`` of two attempts, in order."""
    events = [(takeover.MAX_OVERLAP_S, takeover.Event.OVERLAP_ENDED)]
    for replica, on_response, on_failure in ((old, takeover.Event.OLD_RESPONDED,
                                              takeover.Event.OLD_FAILED),
                                             (new, takeover.Event.NEW_ACCEPTED,
                                              takeover.Event.NEW_IMPOSSIBLE)):
        if replica.fate is not Fate.NEVER:
            events.append((replica.after_s,
                           on_response if replica.responds else on_failure))
    return sorted(events, key=lambda e: e[0])


def _outcome(old, new):
    """Plays two attempts; returns ``(is answered, overlap in s)``."""
    at, event = _events(old, new)[0]
    winner = (old if takeover.winner(event) is takeover.Winner.OLD else new)
    return winner.responds, at


@given(_REPLICAS, _REPLICAS)
def test_a_response_is_whole_or_none_was_possible(old, new):
    """A run that goes on is let go of for a replica that refuses."""
    answered, _ = _outcome(old, new)
    if new.responds:
        possible = True
    else:
        # What is refused later than the overlap lasts cannot be foreseen.
        decided_s = (takeover.MAX_OVERLAP_S if new.fate is Fate.NEVER else min(
            new.after_s, takeover.MAX_OVERLAP_S))
        settled_for_old = (new.fate is Fate.FAILS and
                           new.after_s < takeover.MAX_OVERLAP_S)
        possible = old.responds and (settled_for_old or old.after_s < decided_s)
    if old.fate is Fate.FAILS and old.after_s < takeover.MAX_OVERLAP_S:
        possible = new.responds
    assert answered == possible


@given(_REPLICAS, _REPLICAS)
def test_two_replicas_do_not_work_on_a_request_for_long(old, new):
    """A stream is generated twice, as the silent attempt is kept for good."""
    _, overlap_s = _outcome(old, new)
    assert overlap_s <= takeover.MAX_OVERLAP_S < 0.4


def test_every_event_is_decided():
    """An attempt stays aside for good after an event nobody thought of."""
    assert {takeover.winner(e) for e in takeover.Event} == set(takeover.Winner)
