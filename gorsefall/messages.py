"""Typed messages exchanged between gorsefall's own processes (JSON)."""

import msgspec


class GenerateOrder(msgspec.Struct, kw_only=True):
    """Entry to engine: generate tokens for one request.

    Attributes:
        id: Request id, unique per attempt family.
        model: Model name.
        prompt: Prompt text.
        max_tokens: Upper bound on generated tokens.
        priority: 1 is the highest tier.
        resume_from: Tokens already delivered; the engine skips them.
    """
    id: str
    model: str = 'default'
    prompt: str = ''
    max_tokens: int = 256
    priority: int = 3
    resume_from: int = 0


class Token(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Engine to entry: one line of the NDJSON stream.

    ``i`` is the token's index from 0; the last line has ``done`` set.
    """
    i: int = -1
    t: str = ''
    done: bool = False
    reason: str = ''
    n: int = 0


class LoadReport(msgspec.Struct, kw_only=True):
    """A back end's own view of its load, as of ``at`` (epoch s)."""
    running: int
    waiting: int
    at: float


class CacheEvent(msgspec.Struct, kw_only=True):
    """A prefix entering (``stored``) or leaving the engine's cache."""
    seq: int
    kind: str
    prefix: str


class ServiceCall(msgspec.Struct, kw_only=True):
    """Entry to plain service: one call.

    Attributes:
        id: Request id.
        op: Operation name, e.g. ``seat_query`` or ``charge``.
        args: Operation arguments.
        key: Idempotency key; a not-repeatable call is run once per key.
        fence: Fencing number of the entry's ledger claim; 0 when none.
    """
    id: str
    op: str
    args: dict = {}
    key: str = ''
    fence: int = 0


class Record(msgspec.Struct, kw_only=True):
    """One record of a log-service stream as read back."""
    offset: int
    data: dict


class ReadReply(msgspec.Struct, kw_only=True):
    """Log service reply to a read: records plus the stream's bounds.

    ``start`` is the oldest retained offset; ``end`` the next to be written.
    """
    records: list[Record]
    start: int
    end: int


class VmEntry(msgspec.Struct, kw_only=True):
    """A VM as the VM list shows it."""
    name: str
    addr: str
    zone: str
    state: str
