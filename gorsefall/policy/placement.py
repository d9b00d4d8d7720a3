"""Where a forwarded request goes: least expected wait, near its cached prompt.

An entry counts its own requests and those that the others tell of. What only
a replica told, some time ago, fades; what is left equal is drawn by lot.
"""

import dataclasses
import math
import random
import statistics

from gorsefall import ids
from gorsefall.policy import freshness
from gorsefall.policy import health
from gorsefall.policy import membership
from gorsefall.policy import pace
from gorsefall.policy import prompts
from gorsefall.policy import rendezvous
from gorsefall.policy import stalls

REREAD = 16.0
"""How many times over reading a shared part anew is counted beside the reading
itself. It delays everybody there, and under a burst it feeds on itself: the
busier the homes, the more is read anew elsewhere. Where there is room a
request leaves its home by the limit on its queue, not by this. In the emulated
bursts of long prompts with one and two of five engines lost 0.85 and 0.63 of
the worth is earned, against 0.66 and 0.46 without it, 0.82 and 0.61 at 8."""

FETCHED_MIN = 1000
"""Fewest cached tokens worth fetching from another replica: reading them takes
20 ms, as long as the fetch's own way there and back."""

FETCH_BELOW = 0.5
"""Part of the time to read a token that fetching it may take: transfers queue
on the links, and are paid for."""

FETCH_START_MS = 5.0
"""What a fetch takes before its first token, ms: 2.5 at today's engines, and
a way there and back."""

OTHER_ZONE_TIMES = 2
"""How many times longer a transfer takes between availability zones, as the
engines' operators tell."""

FETCH_WEIGHT = 3.0
"""How many times over a transfer is counted beside a wait: it holds up those
behind it on two links, and is paid for. At 1 the emulated bursts earn 0.003
less, at 6 as much."""

RUNNING_MS = 2.0
"""What one more running request adds to the wait for a first token, ms: it
lengthens each step by 0.03 to 0.1 ms, and about 20 steps pass."""

OTHER_ZONE_MS = 5.0
"""What leaving the zone weighs, ms: two passes of 0.5 to 1.4 ms, and bytes
between zones are paid for."""

REPORT_FADE_S = 3.0
"""Time over which what a replica said of its load loses its weight, s. An
entry hears from an engine about once a second, and a queue of long prompts
lasts as long; at 1 s the emulated burst with one engine lost earns 0.64 of its
worth instead of 0.75."""

ERRORS_FORGIVEN = 0.3
"""Share of answers that may be failures before a replica is avoided; some
calls fail by themselves in one of seven."""

ERRORS_MS = 2000.0
"""What a replica that fails all requests weighs, ms."""

ERRORS_SMOOTHING = 0.15

UNREAD_SMOOTHING = 0.1
"""How fast the mean prompt follows: over about ten requests."""

READ_PER_WRITTEN = 8
"""A request that reads fewer prompt tokens than this for each token it may
write spends its time writing. Reading one takes 0.02 ms and writing one 3 ms
and more, so both kinds lie far from it: 3 for chats, 100 and more for the
others."""

PEAK = 1.0
"""Standard deviations by which the requests that write may rise over their
number now, while their engines have slots for them. At 3 a burst of long
prompts with one engine lost earns 0.69 of its worth instead of 0.74."""

LOWER_S = 20.0
"""How long fewer engines have to do before one is given back to the others, s.
Each change moves sessions, whose prompts are then read anew."""

REFUSED_MS = 2000.0
"""What a place weighs where a request would be refused, or make answers late,
ms: more than any other reason to leave a place, since others may have room. In
the emulated flight bank 0.955 is earned against 0.939 at 0, with two engines
left 0.75 against 0.52."""

BORNE = 0.4
"""Part of the pause that answers may have, up to which the prompts that are to
be read beside them do no harm: a step or two beside it belong to it too."""

HARMLESS_MS = 100.0
"""How much longer the wait must be at its own places before a request that
does no harm goes among those that write, ms. In the emulated bursts with one
and two engines lost 0.85 and 0.63 are earned, against 0.77 and 0.50 where
only requests that write go there."""

MISPLACED_MS = 300.0
"""How much longer the wait must be among its own kind before a request that
writes goes to the others, ms: reading a prompt of 9,000 tokens takes 160 to
210. In the emulated flight bank 0.96 of the chats are on time, 0.94 at 150; at
600 the bursts with engines lost earn 0.02 less."""

HELD_UP_BORNE = 0.3
"""Chance that an answer is held up by a lossy link from which on it weighs."""

HELD_UP_MS = 1200.0
"""What an answer that is held up for certain weighs, ms. With the quiet engine
behind a link that loses 3 or 10 in 100 packets, answers on time rise in the
emulator from 0.49 and 0.30 to 0.71 and 0.72; at 300 they rose by a fifth of
that, at 2,500 by 0.02 more. Loads without loss stay within 0.002."""


@dataclasses.dataclass
class Target(health.Health):
    """What an entry knows of one replica that requests can go to.

    Attributes:
        name: Replica id.
        zone: Its availability zone.
        slots: Requests it runs at once.
        engine: Whether it is a model engine.
        outstanding: Own requests sent there and not ended.
        pending: Own requests whose first event has not come.
        pending_tokens: Prompt tokens that are to be read for those.
        writing: Own requests there that spend their time writing.
        others: Requests of other entries as of ``reported_at``, waiting ones
            included.
        others_tokens: Prompt tokens that are to be read for those.
        others_writing: Those of them that spend their time writing.
        mean_unread: Smoothed prompt tokens to be read for a request there.
        reported_at: When its last load came, s (monotonic).
        pause: A ``pace.Quantile`` of the pauses in its streams, ms.
        kept: The ``prompts.Kept`` there.
        error_share: Smoothed share of failed answers, 0 to 1.
        link: The ``stalls.Link`` to it.
        failures: See ``health.Health``.
        eject_until: See ``health.Health``.
    """
    name: ids.ReplicaName
    zone: ids.ZoneName
    slots: int
    engine: bool
    outstanding: int = 0
    pending: int = 0
    pending_tokens: int = 0
    writing: int = 0
    others: int = 0
    others_tokens: float = 0.0
    others_writing: int = 0
    mean_unread: float = 2048.0
    reported_at: float = float('-inf')
    error_share: float = 0.0
    link: stalls.Link = dataclasses.field(default_factory=stalls.Link)
    pause: pace.Quantile = dataclasses.field(default_factory=pace.pauses)
    kept: prompts.Kept = dataclasses.field(default_factory=prompts.Kept)
    failures: int = 0
    eject_until: float = 0.0

    def report(self, running, waiting, now):
        """Notes how many requests the replica said it runs and lets wait."""
        self.others = max(0, running + waiting - self.outstanding)
        unread = max(0, waiting - self.pending)
        self.others_tokens = unread * self.mean_unread
        self.reported_at = now

    def told(self, row, now):
        """Notes the ``membership.Row`` of all other entries together."""
        self.others = row.requests
        self.others_tokens = row.tokens
        self.others_writing = row.writing
        self.reported_at = now

    def sent(self, tokens, *, writes=False):
        """Notes an own request for which ``tokens`` are to be read."""
        self.writing += writes
        self.outstanding += 1
        self.pending += 1
        self.pending_tokens += tokens
        self.mean_unread += UNREAD_SMOOTHING * (tokens - self.mean_unread)

    def began(self, tokens):
        """Notes that the prompt of such a request is read."""
        self.pending -= 1
        self.pending_tokens -= tokens

    def ended(self, *, writes=False):
        """Notes that an own request is no longer there."""
        self.outstanding -= 1
        self.writing -= writes

    def row(self):
        """Returns the ``membership.Row`` of the own requests there."""
        return membership.Row(self.outstanding, self.pending,
                              self.pending_tokens, self.writing)

    def answered(self, ok):
        """Notes whether an answer was what the caller needed."""
        self.error_share += ERRORS_SMOOTHING * ((not ok) - self.error_share)


@dataclasses.dataclass(frozen=True)
class Choice:
    """Where a request goes.

    Attributes:
        target: The chosen ``Target``.
        tokens: Prompt tokens that are to be read for it there.
        queue_ms: Expected time it spends behind others there, ms.
        ahead: Prompt tokens that are to be read there before its own.
        slowness: How many times slower than usual the target is.
        source: The ``Target`` that it had better fetch cached parts of the
            prompt from; None for none.
    """
    target: Target
    tokens: int = 0
    queue_ms: float = 0.0
    ahead: float = 0.0
    slowness: float = 1.0
    source: Target | None = None


@dataclasses.dataclass(frozen=True)
class Want:
    """What placement needs to know of a request.

    Attributes:
        zone: Availability zone of the entry.
        parts: Tuple of ``prompts.Part``: what its prompt shares with others.
        tokens: Tokens of the whole prompt.
        tokens_out: Tokens it may write.
        limit_ms: Longest queue it may be put behind, ms; behind a longer one
            it would be refused.
        gap_ms: Longest pause between its events for full worth, ms; 0 for
            none.
    """
    zone: ids.ZoneName
    parts: tuple[prompts.Part, ...] = ()
    tokens: int = 0
    tokens_out: int = 0
    limit_ms: float = math.inf
    gap_ms: float = 0.0

    @property
    def writes(self):
        """Whether its time goes into writing rather than into reading."""
        return self.tokens < READ_PER_WRITTEN * self.tokens_out

    @property
    def session(self):
        """Name of the shared part its prompt goes on from; '' if none."""
        return self.parts[-1].name if self.parts else ''

    @property
    def shared_tokens(self):
        """Tokens up to the end of that part."""
        return sum(p.tokens for p in self.parts)

    def unread(self, target):
        """Returns the tokens that are to be read at ``target``."""
        return self.tokens - target.kept.tokens(self.parts)


def home(targets, session):
    """Returns the target that keeps a session's prompt."""
    return rendezvous.best(session, targets)


class Split:
    """How many engines of a service are kept for requests that write.

    A step that reads takes ten times as long as one that does not, and an
    event takes several steps, so one long prompt beside a stream makes it
    late. As many engines are kept as the requests that write at one time
    fill.
    """

    def __init__(self):
        self._count = 1
        self._lower_at = None

    def count(self, targets, now):
        """Returns the number of engines to keep, below that of all.

        Args:
            targets: The service's engines.
            now: Time, s (monotonic).
        """
        most = len(targets) // 2
        if most < 1:
            return 0
        writing = sum(
            t.writing + _fresh(t, now) * t.others_writing for t in targets)
        slots = statistics.fmean(t.slots for t in targets)
        peak = writing + PEAK * math.sqrt(writing)
        needed = min(most, max(1, math.ceil(peak / slots)))
        self._follow(needed, now)
        return min(self._count, most)

    def _follow(self, needed, now):
        if needed >= self._count:
            self._count = needed
            self._lower_at = None
        elif self._lower_at is None:
            self._lower_at = now + LOWER_S
        elif now >= self._lower_at:
            self._count -= 1
            self._lower_at = None


def quiet(targets, count):
    """Returns the names of ``count`` engines kept for requests that write."""
    ordered = sorted(targets, key=lambda t: rendezvous.rank('quiet', t))
    return {t.name for t in ordered[:count]}


@dataclasses.dataclass
class Service:
    """What is known of a service beside its replicas.

    Attributes:
        speed: The ``pace.Pace`` of its replicas.
        fetch_ms: Time in which a replica fetches one cached prompt token from
            another, ms; 0 where it cannot.
        split: The ``Split`` of its engines.
        gap_ms: Longest pause that its requests that write bear, ms; 0 while
            none came.
    """
    speed: pace.Pace = dataclasses.field(default_factory=pace.Pace)
    fetch_ms: float = 0.0
    split: Split = dataclasses.field(default_factory=Split)
    gap_ms: float = 0.0


def choose(targets, want, service, now, rng=random, *, sources=()):
    """Returns the best ``Choice`` of ``targets``, None when there is none.

    Args:
        targets: The ``Target`` objects that may take the request.
        want: The ``Want``.
        service: The ``Service`` they belong to.
        now: Time, s (monotonic).
        rng: Source of the lot.
        sources: Other ``Target`` objects that prompts may be fetched from,
            though no request may be sent there.
    """
    sound = health.sound(targets, now)
    if not sound:
        return None
    if sound[0].eject_until > now:
        # A last resort is asked whatever waits there.
        return Choice(sound[0], want.tokens)
    apart = _apart(targets, want, service, now)
    # The home is found among all, so that a session returns to it as soon
    # as it is sound again.
    mine = [t for t in targets if (t.name in apart) == want.writes] or targets
    keeper = home(mine, want.session) if want.session else None
    view = View(service.speed, pace.usual_pause_ms(targets), now,
                service.fetch_ms)
    view.pool_ms = statistics.fmean(view.queue_ms(t) for t in mine)
    view.source = view.best_source([*targets, *sources], want)

    def rank(target):
        cost = view.cost_ms(target, want, target is keeper)
        if apart and (target.name in apart) != want.writes:
            cost += view.misplaced_ms(target, want, service.gap_ms)
        return cost, rng.random()

    return view.choice(min(sound, key=rank), want)


def _apart(targets, want, service, now):
    """Returns the names of the targets kept for requests that write."""
    if not want.tokens:
        return set()
    if want.writes and want.gap_ms:
        service.gap_ms = want.gap_ms
    engines = [t for t in targets if t.engine]
    return quiet(engines, service.split.count(engines, now))


def backup(targets, request, now):
    """Returns the target to keep a copy of a run's memory, or None.

    Spread by request, so that when a replica goes, its runs go on at all
    others and not at one.

    Args:
        targets: The targets beside the one that runs the request.
        request: The request's id.
        now: Time, s (monotonic).
    """
    fit = [t for t in targets if t.eject_until <= now]
    return rendezvous.best(request, fit)


def _fresh(target, now):
    """Returns how far to trust what was told of others' work there."""
    return freshness.weight(now - target.reported_at, REPORT_FADE_S)


@dataclasses.dataclass
class View:
    """What replicas cost at one moment.

    Attributes:
        speed: The ``pace.Pace`` of the service.
        usual_ms: Usual pause between events, ms, or None.
        now: Time, s (monotonic).
        fetch_ms: See ``Service``.
        pool_ms: Mean queue at the places of a request's own kind, ms.
        source: The ``Target`` that keeps most of the request's prompt, or
            None.
    """
    speed: pace.Pace
    usual_ms: float | None
    now: float
    fetch_ms: float = 0.0
    pool_ms: float = 0.0
    source: Target | None = None

    def ahead(self, target):
        """Returns the prompt tokens that are to be read there by now."""
        return (target.pending_tokens +
                _fresh(target, self.now) * target.others_tokens)

    def best_source(self, targets, want):
        """Returns the sound target that keeps most of a prompt, or None."""
        fit = [t for t in targets if t.eject_until <= self.now]
        quick = 0 < self.fetch_ms < FETCH_BELOW * self.speed.read_ms
        if not fit or not quick or want.shared_tokens < FETCHED_MIN:
            return None
        return max(fit, key=lambda t: t.kept.tokens(want.parts))

    def choice(self, target, want):
        """Returns the ``Choice`` of ``target``."""
        fetched = self.fetched(target, want)
        return Choice(target,
                      want.unread(target) - fetched, self.queue_ms(target),
                      self.ahead(target), pace.slowness(target, self.usual_ms),
                      self.source if fetched else None)

    def fetched(self, target, want):
        """Returns the tokens that ``target`` had better fetch."""
        if self.source is None or self.source is target:
            return 0
        more = (self.source.kept.tokens(want.parts) -
                target.kept.tokens(want.parts))
        return more if more >= FETCHED_MIN else 0

    def _fetching_ms(self, target, tokens):
        if not tokens:
            return 0.0
        far = 1 if self.source.zone == target.zone else OTHER_ZONE_TIMES
        return FETCH_START_MS + tokens * self.fetch_ms * far

    def _read_ms(self, target):
        return self.speed.read_ms * pace.slowness(target, self.usual_ms)

    def queue_ms(self, target):
        """Returns the expected time behind others' work at ``target``, ms."""
        busy = target.outstanding + _fresh(target, self.now) * target.others
        # One place comes free in this time while all are taken.
        place_ms = self.speed.stay.ms / max(1, target.slots)
        if not target.engine:
            return busy * place_ms
        wait = self.ahead(target) * self._read_ms(target) + busy * RUNNING_MS
        if busy >= target.slots:
            wait += (busy - target.slots + 1) * place_ms
        return wait

    def misplaced_ms(self, target, want, gap_ms):
        """Returns what a request costs among those of the other kind, ms.

        One that reads holds up the answers there for as long as it is read.
        As long as that is well within the pause that they bear, it does no
        harm, and engines kept for writing have room for most prompts.
        """
        if want.writes or not gap_ms:
            return MISPLACED_MS
        read_ms = ((self.ahead(target) + want.unread(target)) *
                   self._read_ms(target))
        return HARMLESS_MS if read_ms < BORNE * gap_ms else REFUSED_MS

    def cost_ms(self, target, want, at_home=False):
        """Returns what a request costs its callers there, in ms of wait."""
        cost = self.queue_ms(target)
        cost += 0.0 if target.zone == want.zone else OTHER_ZONE_MS
        cost += ERRORS_MS * max(0.0, target.error_share - ERRORS_FORGIVEN)
        if target.engine:
            fetched = self.fetched(target, want)
            fetching_ms = self._fetching_ms(target, fetched)
            unread = want.unread(target) - fetched
            cost += unread * self._read_ms(target) + FETCH_WEIGHT * fetching_ms
            anew_ms = 0.0
            if not at_home:
                # Nobody has to read anew at the home of what nobody keeps.
                anew = max(0, unread - (want.tokens - want.shared_tokens))
                anew_ms = anew * self._read_ms(target)
            cost += REREAD * anew_ms
            # Away from home a request costs the pool its prompt once more, so
            # it may leave only while the pool has room for that, or where
            # nobody is.
            away_ms = fetching_ms
            if not at_home:
                away_ms += anew_ms + (self.pool_ms if not fetched else 0.0)
            idle = not target.outstanding and not target.others
            if self.queue_ms(target) + away_ms > want.limit_ms and not idle:
                cost += REFUSED_MS
            if want.writes:
                chance = target.link.chance(want.tokens_out, self.now)
                cost += HELD_UP_MS * max(0.0, chance - HELD_UP_BORNE)
        return cost
