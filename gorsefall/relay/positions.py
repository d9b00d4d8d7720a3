"""Positions of records in a topic of the store.

A store that comes back from an older copy gives offsets out again. Its era
tells the histories apart, so that positions are compared by era first and an
offset of one history is never taken for one of another.
"""

import typing

import msgspec

from gorsefall import ids

TOKEN_OFFSET_BITS = 32
"""Bits of a fencing token that hold the offset: a claim every second fills them
in 136 years, and the rest leaves room for a million eras in a double."""


class Position(typing.NamedTuple):
    """A position in a topic; positions are ordered by era, then by offset.

    Attributes:
        era: The ``ids.Era`` of the history.
        offset: Offset in that history.
    """
    era: typing.Annotated[ids.Era, msgspec.Meta(ge=0)] = ids.NO_ERA
    offset: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


START = Position()
"""Position before every record."""


def fencing_token(position):
    """Returns the number that grows with positions, also over eras."""
    return position.era << TOKEN_OFFSET_BITS | position.offset
