"""Data types of the relay: requests, responses, routes and replicas."""

import dataclasses
import enum
import typing

from gorsefall import ids
from gorsefall.net import headers
from gorsefall.policy import prompts


class RouteKind(enum.Enum):
    """Which requests of a route may run more than once."""
    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


EVENTS_TYPE = b'text/event-stream'
"""Content type of server-sent events."""


class ReplicaStatus(enum.Enum):
    """Status of a replica according to its own record."""
    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Destination and limits of the requests of one host and path prefix.

    Attributes:
        name: Route name.
        host: Host the route belongs to, lowercase.
        prefix: Path prefix, begins and ends with a slash.
        kind: Which requests may run more than once.
        timeout_s: Longest time until the response to the caller ends, s.
        target_s: Latency target of the whole response, or of the first event
            of a stream, s.
        gap_target_s: Target for the longest pause between events of a stream,
            s; 0 for no target.
        priority: Priority, 0 is the most urgent.
        services: ``(service, weight)`` pairs that share the requests.
        max_attempts: Maximum number of replicas one request is sent to.
        public: Whether requests need no API key.
        resumable: Whether another replica may continue a broken stream.
        model: Whether requests carry prompts that replicas cache.
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
    def service_names(self):
        """Names of its services, a tuple."""
        return tuple(name for name, _ in self.services)

    @property
    def key(self):
        """Tells it from other routes, also in other configurations; str."""
        return self.host + self.prefix

    @property
    def repeatable(self):
        """Whether a request may be run again from its start."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scaling:
    """Within which limits replicas of a service may be ordered.

    Attributes:
        min: Fewest replicas in each zone, of both kinds together.
        max: Most replicas in each zone, of both kinds together.
        boot_s: Time until a new replica serves, s.
        spot_price: Price of a spot replica, which the platform may reclaim, in
            relation to a regular one; 1 if there are none.
        zone_prices: ``zone -> price`` of a regular replica's second.
    """
    min: int
    max: int
    boot_s: float
    spot_price: float
    zone_prices: dict[ids.ZoneName, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A group of replicas.

    Attributes:
        name: Service name.
        max_connections: Connections one replica accepts from all entries.
        engine: Whether its replicas are model engines.
        kv_backups: Whether a replica can back up the KV cache of a run to
            another replica.
        kv_tokens: KV cache capacity of an engine, tokens; 0 if unknown.
        fetch_ms: Time an engine takes to fetch one cached prompt token from
            another engine, ms; 0 if it can't.
        event_tokens: Tokens per event of a stream.
        scaling: The ``Scaling`` of its replicas; None if none can be ordered.
        warm_up_per_s: Requests a second that a replica bears from all entries
            together while it warms up; None if no bound is stated.
    """
    name: ids.ServiceName
    max_connections: int
    engine: bool = False
    kv_backups: bool = False
    kv_tokens: int = 0
    fetch_ms: float = 0.0
    event_tokens: int = 1
    scaling: Scaling | None = None
    warm_up_per_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on the size and timing of caller requests.

    Attributes:
        header_bytes: Largest request head, bytes.
        body_bytes: Largest request body, bytes.
        header_timeout_s: Longest time to receive a request head, s.
        idle_timeout_s: Longest idle time between requests, s.
    """
    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """A client account.

    Attributes:
        name: Account name; replicas receive it with each request.
        priority: Priority of all its requests; None to use the route's.
    """
    name: ids.AccountName
    priority: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaRecord:
    """The record that a replica publishes about itself.

    Attributes:
        id: Replica name; may stay the same after a restart.
        service: Service it belongs to.
        addr: ``(host, port)``; another replica may reuse it later.
        zone: Availability zone.
        slots: Requests it can run at once.
        status: A ``ReplicaStatus``.
        started_at_ms: When this incarnation of the replica started, ms since
            1970 by its own clock; 0 where it does not report it. Tells
            incarnations apart.
        spot: Whether the platform may reclaim it at short notice.
        software: Version of its software. Versions have no order.
        number: Number of the record; the incarnation's next one has a higher
            number. Records that differ in nothing else are equal.
        warm_up_s: How long it goes on warming up, s, as of the record; 0 if it
            is warm. A replica may have to warm up again at any time.
    """
    id: ids.ReplicaName
    service: ids.ServiceName
    addr: tuple[str, int]
    zone: ids.ZoneName
    slots: int
    status: ReplicaStatus
    started_at_ms: int = 0
    spot: bool = False
    software: ids.SoftwareVersion = ids.SoftwareVersion('')
    number: int = dataclasses.field(default=0, compare=False)
    warm_up_s: float = 0.0

    def same_incarnation(self, other):
        """Whether ``other`` describes the same incarnation of the replica."""
        return (self.started_at_ms == other.started_at_ms and
                self.addr == other.addr)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prompt:
    """Size and shared parts of a prompt.

    Attributes:
        parts: ``prompts.Part`` objects in order. Leading parts may be shared
            with other requests; the last part belongs to this request only.
        tokens_in: Tokens of the whole prompt.
        tokens_out: Maximum number of tokens to generate.
    """
    parts: tuple[prompts.Part, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    @property
    def shared(self):
        """The parts that other requests may share."""
        return self.parts[:-1]


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """A decoded request of a caller.

    Attributes:
        id: Request id set by the caller; replicas echo it.
        method: HTTP method, bytes.
        target: Path and query as sent, bytes.
        host: Host, lowercase, without port.
        headers: All header fields as received.
        body: The whole body, bytes or a bytearray that nobody changes.
        body_digest: Its ``digests.Body.digest``.
        time_left_s: How long the caller will wait, s; None if not specified.
        key: API key; None if the request has none.
        prompt: The ``Prompt`` of a model request, else None.
        last_event_id: Id of the last event the caller has received, as sent;
            None for none.
        began_as: Id of the request that brought the first event of the stream
            that this one takes up, as sent; None if it names none.
    """
    id: ids.RequestId
    method: bytes
    target: bytes
    host: str
    headers: headers.Headers
    body: bytes | bytearray = b''
    body_digest: bytes = b''
    time_left_s: float | None = None
    key: str | None = None
    prompt: Prompt | None = None
    last_event_id: bytes | None = None
    began_as: ids.RequestId | None = None

    @property
    def path(self):
        """Path without the query, str."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


class Load(typing.NamedTuple):
    """Load that a replica reports with a response.

    Attributes:
        running: Requests that run.
        waiting: Requests that are queued.
        slots: Requests that can run at once.
    """
    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(kw_only=True)
class Response:
    """The decoded head of a replica's response.

    Attributes:
        status: HTTP status.
        headers: All header fields as received.
        request_id: Id of the request it belongs to; None if not specified.
        genuine: Whether it carries the mark with which a replica identifies
            its own responses, and no intermediary re-encoded the body.
        not_run: Whether the replica states that it did not run the request.
        misdirected: Whether the replica states that the request was meant for
            another replica.
        load: The replica's ``Load``, or None.
        limit_per_s: Requests per second that the replica currently accepts
            from all entries together; None for no limit.
        leaving: Whether the replica announces that it will exit and wants no
            new requests.
        pause_s: Time for which the replica wants no requests from this entry,
            s; None if it asks for no pause.
        rejections_per_s: Requests that the replica may turn away in a second
            without falling over; None if it announces no such bound.
    """
    status: int
    headers: headers.Headers
    request_id: str | None
    genuine: bool
    not_run: bool
    misdirected: bool
    load: Load | None
    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    rejections_per_s: int | None = None

    @property
    def success(self):
        """Whether the status is a success."""
        return 200 <= self.status < 300

    @property
    def declares_events(self):
        """Whether its content type is that of events; None if it has none."""
        content_type = self.headers.by_name.get(b'content-type')
        if content_type is None:
            return None
        return content_type.split(b';')[0].strip().lower() == EVENTS_TYPE

    @property
    def usable(self):
        """Whether it is a success that the replica itself sent."""
        return self.success and self.genuine


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptOptions:
    """What an attempt adds to the caller's request for the replica.

    Attributes:
        replica: Id of the intended replica; any other replica refuses it.
        time_left_s: How long the replica may work on the request, s.
        account: Name of the caller's account; None on public routes.
        priority: Priority at the replica, 0 is the most urgent.
        backup_to: ``(host, port)`` of the replica that receives the KV backup
            of the run as it grows; None for no backup.
        restore_from: ``(host, port)`` of the replica whose KV backup the run
            continues from; None to start anew.
        resume_after: Id of the last event delivered to the caller; None to
            send the whole stream.
        fetch_from: ``(host, port)`` of a replica to fetch cached parts of the
            prompt from; None for none.
    """
    replica: ids.ReplicaName
    time_left_s: float
    account: ids.AccountName | None
    priority: int
    backup_to: tuple[str, int] | None = None
    restore_from: tuple[str, int] | None = None
    resume_after: bytes | None = None
    fetch_from: tuple[str, int] | None = None
