"""Typed JSON messages between gorsefall's processes and other systems."""

import msgspec

PRIORITIES = range(1, 6)


class GenerateOrder(msgspec.Struct, kw_only=True):
    """Entry to engine: generate tokens for one request.

    Attributes:
        id: Request ID; the same for all attempts of a request.
        entry: Name of the sending entry, repeated in load reports.
        model: Model name.
        prompt: Prompt text.
        max_tokens: Maximum number of generated tokens.
        priority: 1 is the most urgent and runs first.
        preempt: Whether it may preempt a less urgent running request.
        resume_from: Number of tokens already delivered; generation resumes
            after them.
        prior: Text of those tokens, which the engine prefills with the prompt.
    """
    id: str
    entry: str = ''
    model: str = 'default'
    prompt: str = ''
    max_tokens: int = 256
    priority: int = 3
    preempt: bool = True
    resume_from: int = 0
    prior: str = ''


class Event(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Engine to entry: one line of the NDJSON stream.

    ``t`` contains ``n`` tokens, of which the first has the index ``i``. A line
    without tokens and without ``done`` is a heartbeat: the request waits or is
    preempted, and the connection is alive. The last line has ``done`` and
    ``reason``; its ``n`` is the length of the response in tokens.
    """
    i: int = -1
    t: str = ''
    n: int = 0
    done: bool = False
    reason: str = ''


class LoadReport(msgspec.Struct, kw_only=True):
    """The load that a back end reports.

    Attributes:
        running: Requests in the batch, or being served.
        waiting: Requests accepted and waiting, including preempted ones.
        at: Time of the report, s (epoch).
        by_entry: ``entry -> [requests by priority 1..5]``, running or waiting,
            so that an entry can distinguish other entries' work from its own.
    """
    running: int
    waiting: int
    at: float
    by_entry: dict[str, list[int]] = {}

    def others(self, entry):
        """Returns other entries' requests by priority, index 1 to 5."""
        out = [0] * (PRIORITIES.stop)
        for name, counts in self.by_entry.items():
            if name != entry:
                for prio in PRIORITIES:
                    out[prio] += counts[prio - 1]
        return tuple(out)


class PeerUsage(msgspec.Struct, kw_only=True):
    """Entry to entry: usage of the shared limits.

    Attributes:
        entry: Name of the reporting entry.
        use: ``[key parts, requests in flight, requests per second]`` for each
            limit in use.
    """
    entry: str
    use: list[tuple[list[str], int, float]]


class StreamRecord(msgspec.Struct):
    """One record of a stream of the log service."""
    offset: int
    data: dict


class StreamPage(msgspec.Struct):
    """Log service to reader: a page of records.

    Attributes:
        start: Offset of the oldest retained record.
        end: Offset after the newest record.
        records: The ``StreamRecord`` objects from the requested offset on.
        expired: Whether the requested offset is below ``start``.
    """
    start: int
    end: int
    records: list[StreamRecord] = []
    expired: bool = False


class CacheEvent(msgspec.Struct, kw_only=True):
    """A prompt block that enters (``stored``) or leaves an engine's cache."""
    seq: int
    kind: str
    block: str


class ServiceCall(msgspec.Struct, kw_only=True):
    """Entry to plain service: one call.

    Attributes:
        id: Request ID.
        entry: Name of the sending entry.
        op: Operation name, e.g. ``seat_query`` or ``charge``.
        args: Operation arguments.
        key: Idempotency key, scoped by customer; empty if none.
        fence: Fencing token of the key's claim; 0 if none.
    """
    id: str
    entry: str = ''
    op: str = ''
    args: dict = {}
    key: str = ''
    fence: int = 0


class VmEntry(msgspec.Struct, kw_only=True):
    """A VM in the VM list.

    Attributes:
        name: VM name.
        addr: ``host:port``.
        zone: Availability zone.
        state: ``live`` or ``leaving``.
        role: ``backend`` or ``entry``.
        pool: Pool of a back end.
    """
    name: str
    addr: str = ''
    zone: str = ''
    state: str = 'live'
    role: str = 'backend'
    pool: str = ''
