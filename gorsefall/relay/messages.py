"""What entries say to each other, one datagram a message."""

import typing

import msgspec

from gorsefall.policy import membership
from gorsefall.relay import changes

Offsets = dict[str, typing.Annotated[int, msgspec.Meta(ge=0)]]
"""Offset of each topic up to which all is known."""


class Ask(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Asks what is known of the store's topics.

    Attributes:
        number: Names the question; drawn at random.
        store: ``host:port`` of the asker's store; offsets are its own.
        offsets: Offsets that the asker would read from.
        cut_off: Whether it does not reach the store.
    """
    number: int
    store: str
    offsets: Offsets
    cut_off: bool = False


class Told(msgspec.Struct, frozen=True, array_like=True, tag='told'):
    """Answers an ``Ask``.

    Attributes:
        number: That of the question.
        news: ``topic -> changes.News``; a topic that is not known is left out.
    """
    number: int
    news: dict[str, changes.News]


class Hint(msgspec.Struct, frozen=True, array_like=True, tag='hint'):
    """Says that there is something to ask for; proves nothing.

    Attributes:
        store: ``host:port`` of the store.
        ends: Offset of each topic after its last record.
    """
    store: str
    ends: Offsets


class Suspects(msgspec.Struct, frozen=True, array_like=True, tag='suspects'):
    """Tells of requests under which replicas crashed.

    Attributes:
        sightings: The ``membership.RunReport`` objects.
    """
    sightings: tuple[membership.RunReport, ...] = ()


class AskSuspects(msgspec.Struct,
                  frozen=True,
                  array_like=True,
                  tag='ask-suspects'):
    """Asks for the gravest ``Suspects``."""


Message = membership.Status | Ask | Told | Hint | Suspects | AskSuspects

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message):
    """Returns the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data):
    """Returns the message of a datagram.

    Raises:
        msgspec.DecodeError: It is no message of an entry.
    """
    return _DECODER.decode(data)
