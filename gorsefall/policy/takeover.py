"""Which of two attempts of a request goes on.

An attempt that says nothing may be lost, or may say more a moment later. Its
request is sent to another replica, and the silent attempt is kept until that
one has taken the request: a replica may refuse it, a configuration may forbid
it, and no replica may be left.
"""

import enum

MAX_OVERLAP_S = 0.3
"""Longest time for which a silent attempt is kept after another replica was
sent its request, s. A replica that refuses does so at once; two replicas must
not work on a stream for 0.4 s."""


class Event(enum.Enum):
    """What happens while a silent attempt is kept; the values are logged."""
    OLD_RESPONDED = 'old_responded'
    OLD_FAILED = 'old_failed'
    NEW_ACCEPTED = 'new_accepted'
    NEW_IMPOSSIBLE = 'new_impossible'
    OVERLAP_ENDED = 'overlap_ended'
    REQUEST_ENDED = 'request_ended'


class Winner(enum.Enum):
    """The attempt that goes on; any other one is cancelled."""
    OLD = 'old'
    NEW = 'new'
    NONE = 'none'


_WINNERS = {
    Event.OLD_RESPONDED: Winner.OLD,
    Event.OLD_FAILED: Winner.NEW,
    Event.NEW_ACCEPTED: Winner.NEW,
    Event.NEW_IMPOSSIBLE: Winner.OLD,
    Event.OVERLAP_ENDED: Winner.NEW,
    Event.REQUEST_ENDED: Winner.NONE,
}


def winner(event):
    """Returns the ``Winner`` after an ``Event``."""
    return _WINNERS[event]
