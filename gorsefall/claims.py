"""Claims of idempotency keys, agreed by reading one log stream in order.

A request that must run at most once and bears a key is claimed before it is
sent. The first claim of a key wins, for every reader alike, and is never
taken over: an entry that was paused, or died, cannot be overtaken by one
that runs the same key again. The offset of the winning claim is its fencing
number.
"""

import dataclasses
import enum

import msgspec
import xxhash

from gorsefall import ids


class RecordKind(enum.Enum):
    """What a ledger record says."""
    CLAIM = 'claim'
    RELEASE = 'release'
    DONE = 'done'


class Record(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One record of the ledger stream.

    Attributes:
        kind: A ``Kind``: the key is claimed; the claim is given back, as its
            request was never sent; or its request was answered.
        key: Idempotency key, scoped by customer.
        rid: Request that claims.
        entry: Entry that wrote the record.
        at: When it was written, s (epoch of the writer's clock).
        digest: Digest of the request, to notice a key used for another.
        status: HTTP status of the answer (``done``).
        reply: The answer, or None when too large to keep (``done``).
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
        fence: Offset of its record: the fencing number.
        rid: Request that won.
        at: When it was written, s (epoch of the writer's clock).
        digest: Digest of the request.
        seen: When this reader met it, s (monotonic).
        status: HTTP status of the answer; 0 while there is none.
        reply: The answer, when kept.
    """
    fence: ids.Fence
    rid: ids.RequestId
    written_at: float
    digest: str
    seen_at: float
    status: int = 0
    reply: dict | None = None


def call_digest(op, args):
    """Returns a short digest of a call, the same for equal calls."""
    raw = msgspec.json.encode([op, args], order='deterministic')
    return xxhash.xxh64_hexdigest(raw)


class State:
    """The claims as applied so far.

    Attributes:
        claims: ``key -> Claim`` in force.
        offset: Next offset to read.
        ttl_s: How long a key is remembered, s. Decided from the records'
            own times, so that all readers forget a key at the same record.
    """

    def __init__(self, ttl_s):
        self.ttl_s = ttl_s
        self.claims = {}
        self.offset = 0
        self._latest = 0.0

    def apply(self, offset, rec, now):
        """Applies ``rec`` read at ``offset``; returns False on a replay.

        Args:
            offset: Offset of the record.
            rec: A ``Record``.
            now: Time, s (monotonic), noted as when the claim was seen.
        """
        if offset < self.offset:
            return False
        self.offset = offset + 1
        held = self.claims.get(rec.key)
        if rec.kind is RecordKind.CLAIM:
            if held is None or rec.at - held.written_at > self.ttl_s:
                self.claims[rec.key] = Claim(offset, rec.rid, rec.at,
                                             rec.digest, now)
            self._latest = max(self._latest, rec.at)
        elif held is not None and held.rid == rec.rid:
            if rec.kind is RecordKind.DONE:
                held.status, held.reply = rec.status, rec.reply
            elif not held.status:
                del self.claims[rec.key]
        return True

    def drop_expired(self):
        """Drops claims too old for any later record to be compared with.

        Twice the lifetime is kept, as writers' clocks differ.
        """
        old = self._latest - 2 * self.ttl_s
        for key in [k for k, c in self.claims.items() if c.written_at < old]:
            del self.claims[key]
