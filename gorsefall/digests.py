"""Digests that identify repeated requests, and parts that they share.

Two requests have the same digest if caller, target and body are equal. The
request ID is not part of it, as a caller's retry has a new ID.
"""

import functools
import hashlib
import struct

from gorsefall import ids

DIGEST_BYTES = 16

MAX_CACHED_PARTS = 4096
"""Parts whose digests are kept: twice the parts in use at the two-year size."""

LOGGED_DIGEST_BYTES = 6
"""Length of a digest in log lines; enough to distinguish a day's requests."""

_SIZE = struct.Struct('>I')


class Body:
    """A request body, hashed as its parts arrive.

    Attributes:
        data: The body, a bytearray; once reserved, what is to come is zeros.
        size: Number of bytes received so far.
        hold: The ``memory.Hold`` of the memory it takes; None if it has none.
    """

    def __init__(self):
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.data = bytearray()
        self.size = 0
        self.hold = None

    def reserve(self, length):
        """Takes the memory for a body that has not begun to arrive.

        A large buffer that grows leaves holes of each size that it had.

        Args:
            length: The length of the body, bytes.
        """
        self.data = bytearray(length)

    def add(self, data):
        """Appends the next part of the body."""
        end = self.size + len(data)
        self.data[self.size:end] = data
        self.size = end
        self._hash.update(data)

    @property
    def digest(self):
        """Digest of the body received so far, bytes."""
        return self._hash.digest()


def request_digest(key, caller, target, body_digest):
    """Returns the ``ids.RequestDigest`` of a request.

    The digest is keyed, so that a reader of the logs without the key cannot
    verify a guess of what a request contained.

    Args:
        key: Key shared by all entries, at most 64 bytes.
        caller: Name of the client account; '' on public routes.
        target: Path and query, bytes.
        body_digest: ``Body.digest``.
    """
    return ids.RequestDigest(_digest(key, caller.encode(), target, body_digest))


@functools.lru_cache(MAX_CACHED_PARTS)
def part_digest(key, service, name):
    """Returns the ``ids.PartDigest`` of a part of prompts at a service.

    Args:
        key: Key shared by all entries, at most 64 bytes.
        service: Name of the service; another one may run another model.
        name: Name of the part.
    """
    return ids.PartDigest(
        _digest(key, b'part', service.encode(), name.encode('latin-1')))


def stream_digest(key, caller, request_id):
    """Returns the ``ids.StreamDigest`` of a stream.

    Args:
        key: Key shared by all entries, at most 64 bytes.
        caller: Name of the client account; '' on public routes.
        request_id: Id of the request that brought its first event.
    """
    return ids.StreamDigest(
        _digest(key, caller.encode(), request_id.encode('latin-1')))


def _digest(key, *parts):
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    for part in parts:
        digest.update(_SIZE.pack(len(part)))
        digest.update(part)
    return digest.digest()


def abbreviate(digest):
    """Returns the abbreviated digest for log lines, as hex."""
    return digest[:LOGGED_DIGEST_BYTES].hex()


def abbreviate_all(digests):
    """Returns the abbreviated digests for log lines, a list."""
    return [abbreviate(digest) for digest in digests]
