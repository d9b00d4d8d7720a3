"""Claims of idempotency keys, decided by the order of one log stream.

Before a request with an idempotency key is sent, its entry appends a claim to
the stream. The first claim of a key wins for all readers alike. A claim is
never transferred, so a key does not run twice when the entry that holds it is
paused and resumes, or has crashed. The offset of the winning claim is its
fencing token.
"""

import dataclasses
import enum

import msgspec
import xxhash

from gorsefall import ids


class RecordKind(enum.Enum):
    """Kind of a ledger record."""
    CLAIM = 'claim'
    RELEASE = 'release'
    DONE = 'done'


class Record(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One record of the ledger stream.

    Attributes:
        kind: ``CLAIM`` claims the key, ``RELEASE`` gives the claim up as its
            request was never sent, ``DONE`` records the response.
        key: Idempotency key, scoped by customer.
        rid: ID of the claiming request.
        entry: Entry that wrote the record.
        at: When it was written, s (epoch of the writer's clock).
        digest: Digest of the request, to detect a key reused for another one.
        status: HTTP status of the response (``DONE``).
        reply: JSON body of the response, or None if it was too large to store
            (``DONE``).
    """
    kind: RecordKind
    key: str
    rid: str
    entry: str = ''
    at: float = 0.0
    digest: str = ''
    status: int = 0
    reply: dict | None = None


@dataclasses.dataclass
class Claim:
    """The winning claim of a key.

    Attributes:
        fence: Offset of the claim's record, used as fencing token.
        rid: ID of the request that won.
        written_at: When it was written, s (epoch of the writer's clock).
        digest: Digest of the request.
        seen_at: When this reader read it, s (monotonic).
        status: HTTP status of the response; 0 while there is none.
        reply: JSON body of the response, if stored.
    """
    fence: ids.Fence
    rid: ids.RequestId
    written_at: float
    digest: str
    seen_at: float
    status: int = 0
    reply: dict | None = None


def call_digest(op, args):
    """Returns a short digest of a call; equal calls have equal digests."""
    raw = msgspec.json.encode([op, args], order='deterministic')
    return xxhash.xxh64_hexdigest(raw)


class State:
    """The claims after the records applied so far.

    Attributes:
        claims: ``key -> Claim`` in effect.
        offset: Next offset to read.
        ttl_s: Lifetime of a key, s. Compared with the times in the records,
            so that a key expires at the same record for all readers.
    """

    def __init__(self, ttl_s):
        self.ttl_s = ttl_s
        self.claims = {}
        self.offset = 0
        self._latest = 0.0

    def apply(self, offset, rec, now):
        """Applies the record at ``offset``; returns False on a replay.

        Args:
            offset: Offset of the record.
            rec: A ``Record``.
            now: Time, s (monotonic), stored as ``Claim.seen_at``.
        """
        if offset < self.offset:
            return False
        self.offset = offset + 1
        claim = self.claims.get(rec.key)
        if rec.kind is RecordKind.CLAIM:
            if claim is None or rec.at - claim.written_at > self.ttl_s:
                self.claims[rec.key] = Claim(offset, rec.rid, rec.at,
                                             rec.digest, now)
            self._latest = max(self._latest, rec.at)
        elif claim is not None and claim.rid == rec.rid:
            if rec.kind is RecordKind.DONE:
                claim.status, claim.reply = rec.status, rec.reply
            elif not claim.status:
                del self.claims[rec.key]
        return True

    def drop_expired(self):
        """Drops claims that no later record can refer to.

        Claims are kept for twice the lifetime, as writers' clocks differ.
        """
        oldest = self._latest - 2 * self.ttl_s
        for key in [k for k, c in self.claims.items() if c.written_at < oldest]:
            del self.claims[key]
