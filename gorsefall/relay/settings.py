"""Settings of a relay entry: parsed from TOML into checked structures."""

import msgspec

from gorsefall import settingsfile
from gorsefall.duties import scaling
from gorsefall.policy import budget

MAX_DIGEST_KEY_BYTES = 64
"""Maximum key length of the keyed hash that computes the digests."""


class Duties(msgspec.Struct,
             frozen=True,
             kw_only=True,
             forbid_unknown_fields=True):
    """Settings of the duties that one entry at a time performs for all.

    Attributes:
        address: ``host:port`` of the platform that the calls go to.
        names: Names of the duties as the platform has them, separated by
            commas; empty for none.
        lease_s: Time for which a holder excludes others, s.
        report_window_s: Length of a window of the usage reports, s.
        report_due_s: Time after its end until which a window may be reported,
            s.
        autoscaling: How replicas are ordered.
    """
    address: str = ''
    names: str = ''
    lease_s: float = 3.0
    report_window_s: float = 5.0
    report_due_s: float = 10.0
    autoscaling: scaling.Tuning = scaling.Tuning()

    @property
    def name_list(self):
        """The names, a list."""
        return [n.strip() for n in self.names.split(',') if n.strip()]


class Relay(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of a relay entry process.

    Attributes:
        name: This entry's name; unique among entries.
        zone: Its availability zone.
        callers: ``host:port`` to listen on for callers.
        readiness: ``host:port`` to listen on for readiness checks of the load
            balancer.
        metrics_port: Port for metrics on the host of ``callers``; 0 for none.
        store: ``host:port`` of the platform's store.
        peers: ``host:port`` on which messages of other entries arrive; the
            port is the same at all entries. Empty to run alone.
        seeds: ``host:port`` of some entries; only the host is used.
        revoke_s: Time within which a revoked key stops working, s.
        strict_revocation: Whether ``revoke_s`` also holds while the store is
            unreachable: requests with a key are refused then. Otherwise the
            last known keys stay valid.
        apply_s: Time within which a new configuration becomes active, s.
        settle_s: Time after a fault of the entry's own connections until
            ``apply_s`` holds again, s.
        leave_s: Time within which a draining replica stops getting new
            requests, s.
        body_timeout_s: Longest time for the body of a request to arrive, s,
            where its caller waits longer for the response.
        max_fds: File descriptors that the process may open; 0 for as many as
            the operating system allows.
        file_fds: How many of these sockets and pipes may not take.
        memory_mb: Memory that the process may take, MB; more may end it.
        grace_s: Time between the stop signal and the kill by the platform, s.
        digest_key: Key of the request digests, the same at all entries, at
            most 64 bytes. Without the key nobody can check from a log line
            whether a guessed request was sent.
        retries: Retries that all entries together may send, per service.
        duties: The duties of the deployment.
    """
    name: str
    zone: str
    callers: str
    readiness: str
    store: str
    peers: str = ''
    seeds: str = ''
    metrics_port: int = 9464
    revoke_s: float = 5.0
    strict_revocation: bool = True
    apply_s: float = 2.0
    settle_s: float = 3.0
    leave_s: float = 2.0
    body_timeout_s: float = 300.0
    max_fds: int = 0
    file_fds: int = 0
    memory_mb: float = 128.0
    grace_s: float = 8.0
    digest_key: str = ''
    retries: budget.Allowance = budget.Allowance()
    duties: Duties = Duties()

    @property
    def seed_hosts(self):
        """Hosts of ``seeds``, a list."""
        return [
            settingsfile.split_addr(seed)[0]
            for seed in self.seeds.split(',')
            if seed
        ]


_ADDRESSES = ('callers', 'readiness', 'store')
_POSITIVE = ('revoke_s', 'apply_s', 'settle_s', 'leave_s', 'body_timeout_s',
             'memory_mb', 'grace_s')

_POSITIVE_DUTIES = ('lease_s', 'report_window_s', 'report_due_s')


def _duties_problems(cfg):
    if not cfg.name_list:
        return
    yield from settingsfile.addr_problems([('duties.address', cfg.address)])
    for key in _POSITIVE_DUTIES:
        if getattr(cfg, key) <= 0:
            yield f'duties.{key}: must be greater than 0'
    for key in ('utilisation', 'critical_utilisation', 'decode_fill'):
        if not 0 < getattr(cfg.autoscaling, key) <= 1:
            yield f'duties.autoscaling.{key}: must be between 0 and 1'
    if cfg.autoscaling.burst < 1:
        yield 'duties.autoscaling.burst: must be at least 1'
    if cfg.autoscaling.regular_per_zone < 0:
        yield 'duties.autoscaling.regular_per_zone: must not be negative'


def _problems(cfg):
    yield from _duties_problems(cfg.duties)
    yield from settingsfile.addr_problems(
        (key, getattr(cfg, key)) for key in _ADDRESSES)
    yield from settingsfile.addr_problems(
        ('seeds', seed) for seed in cfg.seeds.split(',') if seed)
    if cfg.peers:
        yield from settingsfile.addr_problems([('peers', cfg.peers)])
    for key in _POSITIVE:
        if getattr(cfg, key) <= 0:
            yield f'{key}: must be greater than 0'
    for key in ('max_fds', 'file_fds'):
        if getattr(cfg, key) < 0:
            yield f'{key}: must not be negative'
    if 0 < cfg.max_fds <= cfg.file_fds:
        yield 'file_fds: must be less than max_fds'
    for key in ('name', 'zone'):
        if not getattr(cfg, key):
            yield f'{key}: must not be empty'
    if not 0 <= cfg.metrics_port < 65536:
        yield f'metrics_port: {cfg.metrics_port} is not a port number'
    if len(cfg.digest_key.encode()) > MAX_DIGEST_KEY_BYTES:
        yield f'digest_key: must be at most {MAX_DIGEST_KEY_BYTES} bytes'
    if cfg.retries.window_s <= 0:
        yield 'retries.window_s: must be greater than 0'


def loads(text, source='<string>'):
    """Parses and checks settings; see ``settingsfile.loads``."""
    return settingsfile.loads(text, Relay, _problems, source)


def load(path):
    """Reads, parses and checks a file; see ``settingsfile.load``."""
    return settingsfile.load(path, Relay, _problems)
