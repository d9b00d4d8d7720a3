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
        query_id: Names the question; drawn at random.
        store: ``host:port`` of the asker's store; offsets are its own.
        offsets: Offsets that the asker would read from.
        store_unreachable: Whether it does not reach the store.
    """
    query_id: int
    store: str
    offsets: Offsets
    store_unreachable: bool = False


class Told(msgspec.Struct, frozen=True, array_like=True, tag='told'):
    """Answers an ``Ask``.

    Attributes:
        query_id: That of the question.
        topic_changes: ``topic -> changes.ChangeSet``; unknown topics are left
            out.
    """
    query_id: int
    topic_changes: dict[str, changes.ChangeSet]


class Hint(msgspec.Struct, frozen=True, array_like=True, tag='hint'):
    """Says that there is something to ask for; proves nothing.

    Attributes:
        store: ``host:port`` of the store.
        end_offsets: Offset of each topic after its last record.
    """
    store: str
    end_offsets: Offsets


class Suspects(msgspec.Struct, frozen=True, array_like=True, tag='suspects'):
    """Tells of requests under which replicas crashed.

    Attributes:
        run_reports: The ``membership.RunReport`` objects.
    """
    run_reports: tuple[membership.RunReport, ...] = ()


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
