"""Messages between entries, one datagram each."""

import typing

import msgspec

from gorsefall import decoding
from gorsefall import ids
from gorsefall.duties import reports
from gorsefall.policy import entrystatus
from gorsefall.policy import softwareversions
from gorsefall.relay import changes
from gorsefall.relay import positions

Positions = dict[str, positions.Position]
"""For each topic, the position after the last record that was read."""


class Ask(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Queries the changes of the store's topics.

    Attributes:
        query_id: Identifies the query; drawn at random.
        store: ``host:port`` of the sender's store, to which positions refer.
        positions: Positions that the sender would read from; topics that it
            has not read are left out.
        store_unreachable: Whether the sender cannot reach the store.
        versions: The ``topic.Listener.version`` of the topics that have one.
    """
    query_id: int
    store: str
    positions: Positions
    store_unreachable: bool = False
    versions: dict[str, typing.Annotated[int, msgspec.Meta(ge=0)]] = {}


class Told(msgspec.Struct, frozen=True, array_like=True, tag='told'):
    """The response to an ``Ask``.

    Attributes:
        query_id: That of the query.
        topic_changes: ``topic -> changes.ChangeSet``; topics that the sender
            has not read are left out.
        independent: Whether the sender knows more than what it has read in the
            store since it started, see ``lostversions``.
    """
    query_id: int
    topic_changes: dict[str, changes.ChangeSet]
    independent: bool = False


class Hint(msgspec.Struct, frozen=True, array_like=True, tag='hint'):
    """Announces that topics have changed; does not confirm any state.

    Attributes:
        store: ``host:port`` of the store.
        ends: Position after the last record of each topic.
    """
    store: str
    ends: Positions


class Suspects(msgspec.Struct, frozen=True, array_like=True, tag='suspects'):
    """Reports runs of requests under which replicas crashed.

    Attributes:
        run_reports: The ``entrystatus.RunReport`` objects.
    """
    run_reports: tuple[entrystatus.RunReport, ...] = ()


class AskSuspects(msgspec.Struct,
                  frozen=True,
                  array_like=True,
                  tag='ask-suspects'):
    """Requests the ``Suspects`` with the highest weights."""


class StreamsBegun(msgspec.Struct,
                   frozen=True,
                   array_like=True,
                   tag='streams-begun'):
    """Tells where streams began.

    Attributes:
        service: Name of their service.
        streams: ``(digest, software version)`` of each.
        to_store: Whether the receiver stores them.
    """
    service: ids.ServiceName
    streams: tuple[tuple[ids.StreamDigest, ids.SoftwareVersion], ...]
    to_store: bool = False


class AskStream(msgspec.Struct, frozen=True, array_like=True, tag='ask-stream'):
    """Asks where a stream began.

    Attributes:
        query_id: Identifies the question at the sender.
        digest: The stream's digest; empty to ask for the versions only.
        services: Names of the services of its route.
        route: ``model.Route.key`` of its route.
    """
    query_id: int
    digest: ids.StreamDigest
    services: tuple[ids.ServiceName, ...]
    route: str = ''


class StreamKnown(msgspec.Struct,
                  frozen=True,
                  array_like=True,
                  tag='stream-known'):
    """The response to an ``AskStream``.

    Attributes:
        query_id: That of the question.
        began: The stream's ``softwareversions.Origin``; None if not known.
        served: The origins that have served of late.
        covers: See ``softwareversions.Knowledge``.
    """
    query_id: int
    began: softwareversions.Origin | None
    served: tuple[softwareversions.Origin, ...]
    covers: bool = False


class AskVersions(msgspec.Struct,
                  frozen=True,
                  array_like=True,
                  tag='ask-versions'):
    """Asks which versions have served of late.

    Attributes:
        query_id: Identifies the question at the sender.
    """
    query_id: int


class VersionsKnown(msgspec.Struct,
                    frozen=True,
                    array_like=True,
                    tag='versions-known'):
    """The response to an ``AskVersions``.

    Attributes:
        query_id: That of the question.
        age_s: Time for which the process has run, s.
        origins: The ``softwareversions.Origin`` objects that it knows.
    """
    query_id: int
    age_s: float
    origins: tuple[softwareversions.Origin, ...]


Message = (entrystatus.Status | Ask | Told | Hint | Suspects | AskSuspects |
           reports.EntryReport | StreamsBegun | AskStream | StreamKnown |
           AskVersions | VersionsKnown)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = decoding.msgpack_decoder(Message)


def encode(message):
    """Returns the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data):
    """Returns the message of a datagram.

    Raises:
        errors.UndecodableError: It is not a message of an entry.
    """
    return _DECODER.decode(data)
