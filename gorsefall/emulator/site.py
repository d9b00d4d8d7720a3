"""Sites to simulate: engines, entries, kinds of request and faults."""

import enum
import random

import msgspec

from gorsefall import settingsfile
from gorsefall.policy import budget
from gorsefall.policy import overload


class RequestKind(msgspec.Struct,
                  frozen=True,
                  kw_only=True,
                  forbid_unknown_fields=True):
    """A kind of request.

    Attributes:
        name: Its name.
        per_s: Requests per second.
        shared: Length of the prompt prefix shared within a session, tokens.
        own: Mean length of the rest of the prompt, tokens; log-normal.
        spread: Sigma of the log-normal distribution.
        events: Mean number of events of a response.
        sessions: Number of sessions; each has its own shared prefix.
        aim_ms: Latency target for the first event, ms.
        gap_ms: Target for the time between events, ms.
        patience_ms: Timeout of its callers for the complete response, ms.
        worth: Value of a response on time.
        late_worth: Value of a late response.
        priority: Priority at the engines; 0 is the most urgent.
    """
    name: str
    per_s: float
    shared: int
    own: int
    spread: float
    events: int
    sessions: int
    aim_ms: float
    gap_ms: float
    patience_ms: float
    worth: float
    late_worth: float
    priority: int

    @property
    def silence_ms(self):
        """Idle timeout of its callers, ms."""
        return max(2000.0, 4 * self.aim_ms, 8 * self.gap_ms)


class EngineSpec(msgspec.Struct,
                 frozen=True,
                 kw_only=True,
                 forbid_unknown_fields=True):
    """Number and performance of the engines.

    Attributes:
        count: Number of engines.
        slots: Requests that an engine runs concurrently.
        speeds: Factors of the step time of the first engine, the second and so
            on; repeated if there are more engines.
        step_ms: Fixed time of a step, ms.
        step_ms_per_request: Additional step time per running request, ms.
        pairs_ms_per_m: Additional step time per million pairs of a prefilled
            token and a token before it (attention), ms.
        tokens_per_ms: Prompt tokens prefilled per ms.
        chunk: Maximum prompt tokens prefilled in a step.
        stride: Tokens per event.
        kv_tokens: Size of the KV cache, tokens.
        tells_load: Whether responses report the engine's load.
        fetch_ms: Time to fetch the KV cache of a prompt token from another
            engine, ms; 0 if engines cannot fetch.
    """
    count: int = 5
    slots: int = 64
    speeds: tuple[float, ...] = (1.0,)
    step_ms: float = 3.09
    step_ms_per_request: float = 0.102
    pairs_ms_per_m: float = 0.165
    tokens_per_ms: float = 56.9
    chunk: int = 2048
    stride: int = 6
    kv_tokens: int = 289584
    tells_load: bool = True
    fetch_ms: float = 0.0


class CallKind(msgspec.Struct,
               frozen=True,
               kw_only=True,
               forbid_unknown_fields=True):
    """A kind of call to the plain replicas.

    Attributes:
        name: Its name.
        per_s: Calls per second.
        work_ms: Mean processing time, ms; log-normal.
        spread: Sigma of the log-normal distribution.
        fails: Share of the calls that fail at every replica, after processing.
        repeatable: Whether a call may run more than once.
        attempts: Maximum number of replicas that a call is sent to.
        aim_ms: Latency target for the response, ms.
        patience_ms: Timeout of its callers, ms.
        worth: Value of a response on time.
        late_worth: Value of a late response.
    """
    name: str
    per_s: float
    work_ms: float
    spread: float = 0.5
    fails: float = 0.0
    repeatable: bool = False
    attempts: int = 1
    aim_ms: float
    patience_ms: float
    worth: float = 1.0
    late_worth: float = 0.3


class PlainSpec(msgspec.Struct,
                frozen=True,
                kw_only=True,
                forbid_unknown_fields=True):
    """Number and performance of the plain replicas.

    Attributes:
        count: Number of replicas.
        slots: Calls that a replica runs concurrently.
        queue: Calls that may wait at a replica; further calls are refused.
        speeds: Factors of the processing time of the first replica, the second
            and so on; repeated if there are more replicas.
        failing: Share of the calls that only this replica fails, of the first
            replica, the second and so on, likewise.
        tells_load: Whether responses report the replica's load.
        retries: Retry budget of all entries together.
    """
    count: int = 3
    slots: int = 6
    queue: int = 24
    speeds: tuple[float, ...] = (1.0,)
    failing: tuple[float, ...] = (0.0,)
    tells_load: bool = True
    retries: budget.Allowance = budget.Allowance(ratio=0.2, slack=50.0)


class FaultKind(enum.Enum):
    """Kind of a fault of an engine."""
    CRASH = 'crash'
    SLOW = 'slow'


class Fault(msgspec.Struct,
            frozen=True,
            kw_only=True,
            forbid_unknown_fields=True):
    """A fault of an engine.

    Attributes:
        what: The ``FaultKind``.
        engine: Number of the engine.
        at_s: When the fault begins, s.
        for_s: Duration, s; a crashed engine then restarts with an empty cache.
        times: Factor of the step time, for ``FaultKind.SLOW``.
    """
    what: FaultKind
    engine: int
    at_s: float
    for_s: float = 1000.0
    times: float = 1.0


class Site(msgspec.Struct,
           frozen=True,
           kw_only=True,
           forbid_unknown_fields=True):
    """A site and its load.

    Attributes:
        name: Name of the site.
        kinds: ``RequestKind`` objects, the load of the engines.
        calls: ``CallKind`` objects, the load of the plain replicas.
        engines: The ``EngineSpec``.
        plain: The ``PlainSpec``.
        entries: Number of entries that place requests.
        exchange_ms: Interval at which entries send each other their status,
            ms; 0 if they send none.
        faults: ``Fault`` objects.
    """
    name: str
    kinds: list[RequestKind] = []
    calls: list[CallKind] = []
    engines: EngineSpec = EngineSpec()
    plain: PlainSpec = PlainSpec()
    entries: int = 6
    exchange_ms: float = 100.0
    faults: list[Fault] = []

    def with_rates_scaled(self, **factors):
        """Returns the site with the rates of the named kinds multiplied."""
        kinds = [
            msgspec.structs.replace(k, per_s=k.per_s * factors.get(k.name, 1.0))
            for k in self.kinds
        ]
        return msgspec.structs.replace(self, kinds=kinds)

    def with_fields(self, **fields):
        """Returns the site with changed fields, also of its ``EngineSpec``."""
        own = {k: fields.pop(k) for k in list(fields) if hasattr(Site, k)}
        engines = msgspec.structs.replace(self.engines, **fields)
        return msgspec.structs.replace(self, engines=engines, **own)

    def rank_stats(self):
        """Returns the ``overload.RankStats`` with one request of each kind."""
        ranks = overload.RankStats()
        for kind in self.kinds:
            ranks.record_request(kind.priority, kind.aim_ms)
        return ranks


def _problems(site):
    names = [k.name for k in (*site.kinds, *site.calls)]
    if not names:
        yield 'kinds, calls: at least one is needed'
    if len(set(names)) < len(names):
        yield 'kinds, calls: two have the same name'
    if min(site.engines.count, site.plain.count, site.entries) < 1:
        yield 'engines.count, plain.count, entries: must be greater than 0'
    for fault in site.faults:
        if not 0 <= fault.engine < site.engines.count:
            yield f'faults: engine {fault.engine} does not exist'


def load(path):
    """Reads a site file (TOML).

    Raises:
        errors.SettingsError: The file is unreadable or invalid.
    """
    return settingsfile.load(path, Site, _problems)


def random_site(seed):
    """Returns a site with random sizes, rates, speeds and targets.

    The ranges extend the known sites' loads by a factor of two either way.
    """
    rng = random.Random(f'site {seed}')

    def around(value, factor=2.0):
        return value * factor**rng.uniform(-1, 1)

    count = rng.choice([3, 5, 6, 9, 14])
    engines = EngineSpec(count=count,
                         slots=rng.choice([12, 24, 64]),
                         speeds=(1.0, 1.0, rng.choice([1.0, 1.3, 1.6])),
                         step_ms=around(4.0),
                         step_ms_per_request=around(0.05),
                         pairs_ms_per_m=around(0.3),
                         tokens_per_ms=around(50.0),
                         stride=rng.choice([3, 5, 6]),
                         kv_tokens=int(around(300000)),
                         tells_load=rng.random() < 0.5)
    reader = RequestKind(name='reader',
                         per_s=around(2.4 * count),
                         shared=int(around(6000)),
                         own=int(around(2800)),
                         spread=rng.uniform(0.7, 1.3),
                         events=rng.randint(4, 18),
                         sessions=int(around(20 * count)),
                         aim_ms=around(800.0),
                         gap_ms=around(500.0),
                         patience_ms=around(5000.0),
                         worth=around(2.0),
                         late_worth=0.5,
                         priority=1)
    writer = RequestKind(name='writer',
                         per_s=around(1.6 * count),
                         shared=int(around(180)),
                         own=int(around(600)),
                         spread=rng.uniform(0.7, 1.1),
                         events=rng.randint(40, 100),
                         sessions=int(around(20 * count)),
                         aim_ms=around(450.0),
                         gap_ms=around(230.0, 1.3),
                         patience_ms=15000.0,
                         worth=around(2.5),
                         late_worth=0.2,
                         priority=0)
    return Site(name=f'drawn-{seed}',
                kinds=[reader, writer],
                engines=engines,
                entries=rng.choice([4, 6, 9, 20]))
