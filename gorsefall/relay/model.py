"""What the relay knows of requests, answers, routes and replicas."""

import dataclasses
import enum
import typing

from gorsefall import ids
from gorsefall.net import headers
from gorsefall.policy import prompts


class RouteKind(enum.Enum):
    """What may be repeated on a route."""
    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class ReplicaStatus(enum.Enum):
    """A replica as its own record says."""
    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go, and on what terms.

    Attributes:
        name: Route name.
        host: Host the route belongs to, lowercase.
        prefix: Path prefix, begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time a caller is kept waiting, s.
        target_s: Time to the answer, or its first event, for full worth, s.
        gap_target_s: Longest pause between events of a stream for full worth,
            s; 0 for no target.
        priority: Rank, 0 is the most urgent.
        services: ``(service, weight)`` pairs the route's requests go to.
        max_attempts: Replicas one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a broken stream may go on at another replica.
        model: Whether its requests carry prompts that replicas cache.
    """
    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    priority: int
    services: tuple[tuple[ids.ServiceName, float], ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    model: bool = False
    gap_target_s: float = 0.0

    @property
    def repeatable(self):
        """Whether a request may run a second time from its start."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A group of replicas.

    Attributes:
        name: Service name.
        max_connections: Connections one replica accepts from all entries.
        engine: Whether its replicas are model engines.
        kv_backups: Whether a replica can copy a run's memory to another one.
        kv_tokens: Tokens that an engine has memory for; 0 if not told.
        fetch_ms: Time in which an engine fetches a cached prompt token from
            another, ms; 0 where it cannot.
        event_tokens: Tokens that an event of a stream holds.
    """
    name: ids.ServiceName
    max_connections: int
    engine: bool = False
    kv_backups: bool = False
    kv_tokens: int = 0
    fetch_ms: float = 0.0
    event_tokens: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    Attributes:
        header_bytes: Largest request head, bytes.
        body_bytes: Largest request body, bytes.
        header_timeout_s: Longest time for a request head, s.
        idle_timeout_s: Longest quiet time between requests, s.
    """
    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """A client account.

    Attributes:
        name: Its name, which replicas are told.
        priority: Rank of all its requests; None leaves it to the route.
    """
    name: ids.AccountName
    priority: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaRecord:
    """What a replica writes of itself.

    Attributes:
        id: Names the replica; one that starts again may keep it.
        service: Service it belongs to.
        addr: ``(host, port)``; may be used again by another replica later.
        zone: Availability zone.
        slots: Requests it runs at once.
        status: A ``ReplicaStatus``.
        started_at_ms: When this incarnation of the replica started, ms since
            1970 by its own clock; 0 where it does not report it. Tells
            incarnations apart.
    """
    id: ids.ReplicaName
    service: ids.ServiceName
    addr: tuple[str, int]
    zone: ids.ZoneName
    slots: int
    status: ReplicaStatus
    started_at_ms: int = 0

    def same_incarnation(self, other):
        """Whether ``other`` is a record of the same start of the replica."""
        return (self.started_at_ms == other.started_at_ms and
                self.addr == other.addr)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prompt:
    """Size and shared parts of a prompt.

    Attributes:
        parts: ``prompts.Part`` objects in order; requests share leading
            parts, the last one is a request's own.
        tokens_in: Tokens of the whole prompt.
        tokens_out: Most tokens to generate.
    """
    parts: tuple[prompts.Part, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    @property
    def shared(self):
        """Its parts that other requests may have too."""
        return self.parts[:-1]


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """One request of a caller, decoded.

    Attributes:
        id: The caller's id of this attempt; replicas echo it.
        method: HTTP method, bytes.
        target: Path and query as sent, bytes.
        host: Host, lowercase, without port.
        headers: All header fields as received.
        body: The whole body.
        body_digest: Its ``digests.Body.digest``.
        time_left_s: How long the caller will wait, s; None when not said.
        key: API key; None when the request carries none.
        prompt: The ``Prompt`` of a model request, else None.
        last_event_id: Last event the caller has, as sent; None for none.
    """
    id: ids.RequestId
    method: bytes
    target: bytes
    host: str
    headers: headers.Headers
    body: bytes = b''
    body_digest: bytes = b''
    time_left_s: float | None = None
    key: str | None = None
    prompt: Prompt | None = None
    last_event_id: bytes | None = None

    @property
    def path(self):
        """The path without its query, str."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


class Load(typing.NamedTuple):
    """What a replica says of its load on an answer.

    Attributes:
        running: Requests it runs.
        waiting: Requests in its queue.
        slots: Requests it can run at once.
    """
    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(kw_only=True)
class Response:
    """The head of a replica's answer, decoded.

    Attributes:
        status: HTTP status.
        headers: All header fields as received.
        request_id: Id of the request it answers; None when not said.
        genuine: Whether it bears the replica's proof that it is its own and
            its body was not re-encoded on the way.
        not_run: The replica says that it did not run the request.
        misdirected: It says that it is not the one the request is meant for.
        load: Its ``Load``, or None.
        limit_per_s: Requests a second that it takes from all entries together
            for now; None for no limit.
    """
    status: int
    headers: headers.Headers
    request_id: str | None
    genuine: bool
    not_run: bool
    misdirected: bool
    load: Load | None
    limit_per_s: float | None = None

    @property
    def success(self):
        """Whether the status is a success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptOptions:
    """What a replica is told beside the caller's own request.

    Attributes:
        replica: The replica it is meant for; another one refuses it.
        time_left_s: How long the replica may work on it, s.
        account: Name of the caller's account; None on public routes.
        priority: Rank, 0 is the most urgent.
        backup_to: ``(host, port)`` of the replica that receives the KV backup
            of the run as it grows; None for no backup.
        restore_from: ``(host, port)`` of the replica whose KV backup the run
            continues from; None to start anew.
        resume_after: Id of the last event delivered; None from the start.
        fetch_from: ``(host, port)`` of a replica that keeps more of the
            prompt; None for none.
    """
    replica: ids.ReplicaName
    time_left_s: float
    account: ids.AccountName | None
    priority: int
    backup_to: tuple[str, int] | None = None
    restore_from: tuple[str, int] | None = None
    resume_after: bytes | None = None
    fetch_from: tuple[str, int] | None = None
