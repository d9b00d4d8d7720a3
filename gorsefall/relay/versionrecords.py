"""The records of the versions and routes of streams, encoded and decoded.

Each software version is a record of its own; the services of all routes are one
(``routerecord``). One more names the era of the store in which all versions are
known to be stored: whoever begins a stream has its version stored before.
"""

import hashlib
import typing

import msgspec

from gorsefall import decoding
from gorsefall import errors
from gorsefall import ids
from gorsefall.policy import softwareversions
from gorsefall.relay import routerecord
from gorsefall.relay import topic

KEY_BYTES = 16
"""Bytes of the hash that is the key of a version."""

ERA_KEY = 'era'
"""Key of the era in which all versions are known to be stored."""

ROUTES_KEY = 'routes'
"""Key of the services that each route has led to of late."""


class _StoredOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The value of a version's record, JSON.

    Attributes:
        service: Name of the service.
        software: The version.
        leaving: Whether its record is to be dropped.
    """
    service: str
    software: str
    leaving: bool = False


_DECODER = decoding.json_decoder(_StoredOrigin)


class StoredVersions(typing.NamedTuple):
    """What a read of the topic shows.

    Attributes:
        origins: The ``softwareversions.Origin`` objects, a frozenset.
        routes: The services of routes of late, see ``routerecord``.
        end: Offset after the last record.
        era: The ``ids.Era`` of the store.
        proven: Whether all versions that may have begun streams are among
            them. A store that came back from an older copy may lack some until
            an entry that outlasted it has written them again.
        in_era: Whether the record of the era says so.
        leaving: Those of ``origins`` whose records are to be dropped: they
            have to be written again before a stream begins there.
    """
    origins: frozenset
    routes: dict
    end: int
    era: ids.Era
    proven: bool
    in_era: bool
    leaving: frozenset = frozenset()


def encode(origin, *, leaving=False):
    """Returns the ``topic.NewRecord`` of a ``softwareversions.Origin``.

    Args:
        origin: The origin.
        leaving: Whether its record is to be dropped.
    """
    value = msgspec.json.encode(tuple(origin))
    # Names may be longer than a key.
    key = hashlib.blake2b(value, digest_size=KEY_BYTES).hexdigest()
    if leaving:
        value = msgspec.json.encode((*origin, True))
    return topic.NewRecord(key, value)


def encode_drop(origin):
    """Returns the ``topic.NewRecord`` that drops the record of an origin."""
    return topic.NewRecord(encode(origin).key, b'')


def decode(snapshot):
    """Returns the ``StoredVersions`` of a ``snapshots.Snapshot``.

    A record that cannot be decoded names some other version, so that nothing is
    proven. A topic that has never been written belongs to a system that has
    just started for the first time.
    """
    origins, leaving, routes = set(), set(), {}
    proven_era, readable = None, True
    for record in snapshot.records:
        try:
            if record.key == ERA_KEY:
                proven_era = record.value
            elif record.key == ROUTES_KEY:
                routes = routerecord.decode(record.value)
            else:
                stored = _DECODER.decode(record.value)
                origin = softwareversions.Origin(stored.service,
                                                 stored.software)
                origins.add(origin)
                if stored.leaving:
                    leaving.add(origin)
        except errors.UndecodableError:
            readable = False
    in_era = proven_era == encode_era(snapshot.era).value or not snapshot.end
    return StoredVersions(frozenset(origins), routes, snapshot.end,
                          snapshot.era, readable and in_era, in_era,
                          frozenset(leaving))


def encode_era(era):
    """Returns the ``topic.NewRecord`` of an ``ids.Era``."""
    return topic.NewRecord(ERA_KEY, b'%d' % era)
