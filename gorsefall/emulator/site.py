"""What is emulated: engines, entries, kinds of request and troubles."""

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
        per_s: Requests a second.
        shared: Tokens of the shared part its prompt goes on from.
        own: Mean tokens of its own part, drawn log-normally.
        spread: Sigma of that.
        events: Mean events of an answer.
        sessions: Shared parts it draws from.
        aim_ms: Target for the first event.
        gap_ms: Longest pause between events that is on time.
        patience_ms: How long its callers wait for the whole answer.
        worth: What an answer on time is worth.
        late_worth: What a later one is worth.
        priority: Its rank at the engines, 0 is the most urgent.
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
        """Longest silence that its callers bear, ms."""
        return max(2000.0, 4 * self.aim_ms, 8 * self.gap_ms)


class EngineSpec(msgspec.Struct,
                 frozen=True,
                 kw_only=True,
                 forbid_unknown_fields=True):
    """The engines' data sheet.

    Attributes:
        count: Engines.
        slots: Requests that one runs at once.
        speeds: Times that their steps take, of the first, second and so on,
            from the first again when used up.
        step_ms: A step's time alone, ms.
        step_ms_per_request: The same for each request that runs, ms.
        pairs_ms_per_m: The same for a million pairs of a token read and one
            before it, ms.
        tokens_per_ms: Prompt tokens read in a ms.
        chunk: Most prompt tokens read in a step.
        stride: Tokens that an event holds.
        kv_tokens: Memory, tokens.
        tells_load: Whether answers tell what runs and waits there.
        fetch_ms: Time in which one cached prompt token is fetched from another
            engine, ms; 0 where that cannot be.
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
        per_s: Calls a second.
        work_ms: Mean work of one, drawn log-normally.
        spread: Sigma of that.
        fails: Part of the calls that fail at every replica, after their work.
        repeatable: Whether a second run does no harm.
        attempts: Replicas that one call may be sent to.
        aim_ms: Target for the answer.
        patience_ms: How long its callers wait for it.
        worth: What an answer on time is worth.
        late_worth: What a later one is worth.
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
    """The plain replicas' data sheet.

    Attributes:
        count: Replicas.
        slots: Calls that one runs at once.
        queue: Calls that wait at one at most; it refuses others.
        speeds: Times that their work takes, of the first, second and so on,
            from the first again when used up.
        failing: Part of its calls that one fails beside those that fail
            everywhere; of the first, second and so on, likewise.
        tells_load: Whether answers tell what runs and waits there.
        retries: What all entries together may send a second time.
    """
    count: int = 3
    slots: int = 6
    queue: int = 24
    speeds: tuple[float, ...] = (1.0,)
    failing: tuple[float, ...] = (0.0,)
    tells_load: bool = True
    retries: budget.Allowance = budget.Allowance(ratio=0.2, slack=50.0)


class FaultKind(enum.Enum):
    """What happens to an engine."""
    CRASH = 'crash'
    SLOW = 'slow'


class Fault(msgspec.Struct,
            frozen=True,
            kw_only=True,
            forbid_unknown_fields=True):
    """One trouble.

    Attributes:
        what: The ``FaultKind``.
        engine: Number of the engine that has it.
        at_s: When, s.
        for_s: How long, s; a crashed engine is back empty after it.
        times: How many times slower, for ``FaultKind.SLOW``.
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
        name: Its name.
        kinds: Its ``RequestKind`` objects.
        calls: Its ``CallKind`` objects.
        engines: Its ``EngineSpec``.
        plain: Its ``PlainSpec``.
        entries: Entries that place requests.
        exchange_ms: How long entries go without telling each other of their
            work, ms; 0 for entries that tell nothing.
        faults: Its ``Fault`` objects.
    """
    name: str
    kinds: list[RequestKind] = []
    calls: list[CallKind] = []
    engines: EngineSpec = EngineSpec()
    plain: PlainSpec = PlainSpec()
    entries: int = 6
    exchange_ms: float = 100.0
    faults: list[Fault] = []

    def with_rates_scaled(self, **times):
        """Returns the site with the rates of the named kinds so many times."""
        kinds = [
            msgspec.structs.replace(k, per_s=k.per_s * times.get(k.name, 1.0))
            for k in self.kinds
        ]
        return msgspec.structs.replace(self, kinds=kinds)

    def with_fields(self, **fields):
        """Returns the site with other fields; those of ``Engines`` too."""
        own = {k: fields.pop(k) for k in list(fields) if hasattr(Site, k)}
        engines = msgspec.structs.replace(self.engines, **fields)
        return msgspec.structs.replace(self, engines=engines, **own)

    def ranks(self):
        """Returns the ``overload.RankStats`` in which each kind is in use."""
        ranks = overload.RankStats()
        for kind in self.kinds:
            ranks.record_request(kind.priority, kind.aim_ms)
        return ranks


def _problems(site):
    names = [k.name for k in (*site.kinds, *site.calls)]
    if not names:
        yield 'kinds, calls: at least one is needed'
    if len(set(names)) < len(names):
        yield 'kinds, calls: two have one name'
    if min(site.engines.count, site.plain.count, site.entries) < 1:
        yield 'engines.count, plain.count, entries: must be over 0'
    for fault in site.faults:
        if not 0 <= fault.engine < site.engines.count:
            yield f'faults: there is no engine {fault.engine}'


def load(path):
    """Reads a site file (TOML).

    Raises:
        errors.SettingsError: It cannot be read or is at fault.
    """
    return settingsfile.load(path, Site, _problems)


def random_site(seed):
    """Returns a site drawn at random: sizes, rates, speeds, targets.

    The ranges span the load sheets of today by a factor of two either way.
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
