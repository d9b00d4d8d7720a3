"""Messages between two entries of which one forwards requests of the other.

They travel as frames on a TCP connection, one request at a time: ``Open``,
``Opened``, ``Request``, then the response as ``Interim``, ``Head``, ``Data``
and ``End``. ``Refused`` or ``Failed`` may come instead of what is missing.
"""

import msgspec

from gorsefall import decoding
from gorsefall import errors
from gorsefall import ids
from gorsefall.net import outbound

Fields = list[tuple[bytes, bytes]]
"""Header fields of a request or response, in order."""


class Target(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a replica.

    Attributes:
        replica: The replica's id.
        started_at_ms: When the incarnation started, ms since 1970; 0 if not
            known.
    """
    replica: ids.ReplicaName
    started_at_ms: int


class Open(msgspec.Struct, frozen=True, array_like=True, tag='open'):
    """Asks whether the entry forwards a request to a replica.

    No part of the request is sent before the answer, so that the caller of an
    entry that does not answer can be told that its request has not run.
    """
    target: Target


class Opened(msgspec.Struct, frozen=True, array_like=True, tag='opened'):
    """The entry forwards the request."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag='refused'):
    """The entry does not forward the request, of which it has no part."""
    reason: str


class Request(msgspec.Struct, frozen=True, array_like=True, tag='request'):
    """The request to the replica, complete.

    Attributes:
        id: The request's id, which the response must bear.
        method: HTTP method.
        path: Path and query.
        fields: Header fields.
        body: Request body.
        time_limit_s: Longest time until the end of the response, s; 0 if not
            known.
        fresh: Whether to send it on a new connection to the replica.
    """
    id: ids.RequestId
    method: bytes
    path: bytes
    fields: Fields
    body: bytes
    time_limit_s: float = 0.0
    fresh: bool = False


class Interim(msgspec.Struct, frozen=True, array_like=True, tag='interim'):
    """Head of an interim (1xx) response."""
    status: int
    fields: Fields


class Head(msgspec.Struct, frozen=True, array_like=True, tag='head'):
    """Head of the response."""
    status: int
    fields: Fields


class Data(msgspec.Struct, frozen=True, array_like=True, tag='data'):
    """A piece of the response's body."""
    data: bytes


class End(msgspec.Struct, frozen=True, array_like=True, tag='end'):
    """The response is complete.

    Attributes:
        ending: What marked its end at the entry that forwards.
    """
    ending: outbound.Ending = outbound.Ending.FRAMED


class Failed(msgspec.Struct, frozen=True, array_like=True, tag='failed'):
    """There is no complete response; see ``outbound.Failure``."""
    sent: bool
    reason: str
    fault: outbound.Fault


class Probe(msgspec.Struct, frozen=True, array_like=True, tag='probe'):
    """Asks what connecting to a replica shows about it."""
    target: Target


class Probed(msgspec.Struct, frozen=True, array_like=True, tag='probed'):
    """The answer, the value of a ``prober.Verdict``."""
    verdict: str


Message = (Open | Opened | Refused | Request | Interim | Head | Data | End |
           Failed | Probe | Probed)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.msgpack_decoder(Message)


def encode(message):
    """Returns the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data):
    """Returns the message of a frame.

    Raises:
        errors.FrameError: It is not a message of an entry.
    """
    try:
        return _DECODER.decode(data)
    except errors.UndecodableError as exc:
        raise errors.FrameError(str(exc)) from exc
