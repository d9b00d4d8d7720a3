"""Settings of an entry: TOML files, validated into typed structures."""

import msgspec

from gorsefall import registry
from gorsefall import settingsfile


class Backend(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A back-end replica that the entry may route to.

    Attributes:
        name: Replica name, as in the VM list.
        kind: ``engine`` (model engine) or ``service`` (plain service).
        pool: Pool it belongs to, as named by catalogue classes.
        zone: Availability zone.
        addr: ``host:port``.
        checks_fence: Whether it refuses requests with stale fencing tokens.
    """
    name: str
    kind: str
    pool: str
    zone: str
    addr: str
    checks_fence: bool = False


class Entry(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The entry process.

    Attributes:
        name: Entry name; unique among entries.
        zone: Availability zone of the entry.
        listen: ``host:port`` for callers and the load balancer.
        log_service: ``host:port`` of the platform's log service.
        vm_list: ``host:port`` of the platform's VM list, or empty.
        entries: Number of entries that share the limits (at least 1), used
            until the VM list shows entries.
        policy: ``tiers``; ``fifo`` and ``roundrobin`` are baselines for
            benchmarks.
        max_body_bytes: Maximum length of a request body, bytes.
        max_conns: Most connections of callers; 0 for half of the descriptors
            that the process may open.
        callers_mb: Memory for requests that are not whole and for responses
            that are not read, MB.
        request_timeout_s: Longest time for a request to arrive, s.
        unread_timeout_s: Longest time for which a caller reads nothing of a
            response, s.
        catalogue_poll_s: Seconds between reads of the catalogue stream.
        load_poll_s: Seconds between load reports read from a busy replica;
            idle replicas are polled a quarter as often.
        load_polls_per_s: Maximum load reports read per second, over all
            replicas.
        load_max_age_s: Older load reports are ignored, s.
        vm_poll_s: Seconds between reads of the VM list.
        snapshot_s: Maximum age of the newest catalogue snapshot, s; an entry
            then writes a new one. Well below the retention of the log service.
        ledger_poll_s: Seconds between reads of the ledger stream while no
            claim is pending; a claim triggers a read at once.
        ledger_ttl_s: Lifetime of an idempotency key, s.
        lame_duck_s: Seconds at shutdown in which readiness is already 503 but
            new requests are still served, until the load balancer has noticed.
        peer_poll_s: Seconds between reads of other entries' usage of the
            limits.
        drain_s: Maximum wait for requests in flight at shutdown, s.
        queue_limit: Maximum requests per entry that wait for a replica.
        slots_per_replica: Requests that a replica runs concurrently.
        pool_slots: ``pool -> slots per replica``, for pools that differ.
        link_idle_s: Idle timeout of calls to plain services, s; detects dead
            connections.
        stream_idle_s: Idle timeout of engine streams, s; engines send a
            heartbeat every 0.5 s.
    """
    name: str
    zone: str
    listen: str
    log_service: str
    vm_list: str = ''
    entries: int = 1
    policy: str = 'tiers'
    max_body_bytes: int = 1 << 20
    max_conns: int = 0
    callers_mb: float = 64.0
    request_timeout_s: float = 60.0
    unread_timeout_s: float = 60.0
    catalogue_poll_s: float = 1.0
    load_poll_s: float = 0.5
    load_polls_per_s: float = 20.0
    load_max_age_s: float = 3.0
    vm_poll_s: float = 1.0
    snapshot_s: float = 600.0
    ledger_poll_s: float = 3.0
    ledger_ttl_s: float = 900.0
    peer_poll_s: float = 1.0
    lame_duck_s: float = 3.0
    drain_s: float = 30.0
    queue_limit: int = 2000
    slots_per_replica: int = 16
    pool_slots: dict[str, int] = {}
    link_idle_s: float = 15.0
    stream_idle_s: float = 3.0


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An entry settings file: ``[entry]`` and ``[[backends]]``."""
    entry: Entry
    backends: list[Backend] = []


_POSITIVE = ('entries', 'max_body_bytes', 'catalogue_poll_s', 'load_poll_s',
             'load_polls_per_s', 'load_max_age_s', 'vm_poll_s', 'snapshot_s',
             'ledger_poll_s', 'ledger_ttl_s', 'peer_poll_s', 'drain_s',
             'queue_limit', 'slots_per_replica', 'link_idle_s', 'callers_mb',
             'request_timeout_s', 'unread_timeout_s')


def _problems(cfg):
    entry = cfg.entry
    for key in _POSITIVE:
        if getattr(entry, key) <= 0:
            yield f'entry.{key}: must be greater than 0'
    if entry.policy not in registry.POLICIES:
        yield (f'entry.policy: {entry.policy!r} is not one of '
               f'{sorted(registry.POLICIES)}')
    addrs = [('entry.listen', entry.listen),
             ('entry.log_service', entry.log_service)]
    if entry.vm_list:
        addrs.append(('entry.vm_list', entry.vm_list))
    names = set()
    for i, b in enumerate(cfg.backends):
        if b.kind not in ('engine', 'service'):
            yield f'backends[{i}].kind: {b.kind!r} is not engine or service'
        if b.name in names:
            yield f'backends[{i}].name: {b.name!r} is used twice'
        names.add(b.name)
        addrs.append((f'backends[{i}].addr', b.addr))
    yield from settingsfile.addr_problems(addrs)


def loads(text, source='<string>'):
    """Parses and validates settings; see ``settingsfile.loads``."""
    return settingsfile.loads(text, Settings, _problems, source)


def load(path):
    """Reads, parses and validates a file; see ``settingsfile.load``."""
    return settingsfile.load(path, Settings, _problems)
