"""The record of the services that routes have led to of late.

A route is stored as a short hash: there may be thousands of routes, and the
record is read whenever a stream is taken up that no entry knows. If two routes
have the same hash, a stream of either may be refused, but never goes on at a
service that did not begin it.
"""

import collections
import hashlib

import msgspec

from gorsefall import decoding

ROUTE_BYTES = 4
"""Bytes of the hash of a route."""

_ENCODER = msgspec.msgpack.Encoder(order='sorted')
_DECODER = decoding.msgpack_decoder(dict[str, bytes])


def _hash(route):
    return hashlib.blake2b(route.encode(), digest_size=ROUTE_BYTES).digest()


def from_history(services):
    """Returns what is stored of ``key of a route -> names of its services``.

    Returns:
        ``name of a service -> hashes of its routes``, frozensets of bytes.
    """
    routes = collections.defaultdict(set)
    for route, names in services.items():
        for name in names:
            routes[name].add(_hash(route))
    return {name: frozenset(hashes) for name, hashes in routes.items()}


def join(first, second):
    """Returns what either of two such mappings has."""
    return {
        name: first.get(name, frozenset()) | second.get(name, frozenset())
        for name in {*first, *second}
    }


def services_of(route, routes):
    """Returns the names of the services of a route in such a mapping, a set."""
    key = _hash(route)
    return {name for name, hashes in routes.items() if key in hashes}


def has(routes, route, service):
    """Returns whether such a mapping has a route that leads to a service."""
    return _hash(route) in routes.get(service, ())


def without(routes, pairs):
    """Returns a mapping without pairs of a service and the hash of a route."""
    left = {
        name: frozenset(h for h in hashes if (name, h) not in pairs)
        for name, hashes in routes.items()
    }
    return {name: hashes for name, hashes in left.items() if hashes}


def pairs(routes):
    """Returns the pairs of a service and the hash of a route, a set."""
    return {(name, h) for name, hashes in routes.items() for h in hashes}


def encode(routes):
    """Returns the value of the record."""
    return _ENCODER.encode({
        name: b''.join(sorted(hashes)) for name, hashes in routes.items()
    })


def decode(value):
    """Returns the mapping of a record's value.

    Raises:
        errors.UndecodableError: It is malformed.
    """
    return {
        name:
            frozenset(joined[at:at + ROUTE_BYTES]
                      for at in range(0, len(joined), ROUTE_BYTES))
        for name, joined in _DECODER.decode(value).items()
    }
