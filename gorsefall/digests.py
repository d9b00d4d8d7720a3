"""Digests by which two sends of the same request are known to be the same.

Two requests are the same if caller, target and body are. The id of an attempt
does not matter, as each further try of a caller has another.
"""

import hashlib
import struct

from gorsefall import ids

DIGEST_BYTES = 16

LOGGED_DIGEST_BYTES = 6
"""Bytes of a digest in log lines: enough to tell a day's requests apart."""

_SIZE = struct.Struct('>I')


class Body:
    """A request's body, digested as its pieces come.

    Attributes:
        data: What came so far, a bytearray.
    """

    def __init__(self):
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.data = bytearray()

    def add(self, piece):
        """Takes in the next piece."""
        self.data += piece
        self._hash.update(piece)

    @property
    def digest(self):
        """Digest of what came so far, bytes."""
        return self._hash.digest()


def request_digest(key, caller, target, body_digest):
    """Returns the ``ids.RequestDigest`` of a request.

    It is keyed, so that who knows no key cannot find out from a log line
    whether a guessed prompt is the one that was sent.

    Args:
        key: Bytes that all entries share, 64 at most.
        caller: Name of the client account; '' on public routes.
        target: Path and query, bytes.
        body_digest: ``Body.digest``.
    """
    found = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    for part in (caller.encode(), target, body_digest):
        found.update(_SIZE.pack(len(part)))
        found.update(part)
    return ids.RequestDigest(found.digest())


def abbreviate(digest):
    """Returns what log lines show of a digest."""
    return digest[:LOGGED_DIGEST_BYTES].hex()
