"""Where a forwarded request goes: least expected wait, near its cached prompt.

Every entry reads the same lagging load, so the entry's own sends since count
in full, others' fade, and what is left equal is drawn by lot.
"""

import dataclasses
import random

import xxhash

from gorsefall import ids
from gorsefall.policy import health

PROMPT_TOKENS_PER_MS = 56.9
"""Prompt tokens an engine reads in a ms, from the engines' data sheet."""

REREAD = 3.0
"""How many times over reading a shared part anew is counted beside the reading
itself. It delays everybody there, and under a burst it feeds on itself: the
busier the homes, the more is read anew elsewhere. In the emulated burst of
long prompts it brought the share on time from 0.67 to 0.90 for these, from
0.32 to 0.80 for advice and from 0.66 to 0.93 for long answers; 1 and 6 are
worse for one of them."""

RUNNING_MS = 2.0
"""What one more running request adds to the wait for a first token, ms: a
step takes 3.1 ms and 0.1 ms a request, and about 20 steps pass."""

CALL_MS = 22.5
"""Work of a call to a plain service, ms, from the services' data sheet."""

OTHER_ZONE_MS = 5.0
"""What leaving the zone weighs, ms: two passes of 0.5 to 0.9 ms, and bytes
between zones are paid for."""

REPORT_FADE_S = 1.0
"""Time over which what a replica said of its load loses its weight, s; the
engines' answers of 20 to 60 events are over by then."""

ERRORS_FORGIVEN = 0.3
"""Share of answers that may be failures before a replica is avoided; some
calls fail by themselves in one of seven."""

ERRORS_MS = 2000.0
"""What a replica that fails all requests weighs, ms."""

ERRORS_SMOOTHING = 0.15

READ_PER_WRITTEN = 8
"""A request that reads fewer prompt tokens than this for each token it may
write spends its time writing. Reading one takes 0.02 ms and writing one 3 ms
and more, so both kinds lie far from it: 3 for chats, 100 and more for the
others."""

QUIET_SHARE = 0.2
"""Part of a service's engines kept for requests that write. A step that reads
takes 40 ms instead of 4, and an event takes six steps, so one long prompt
beside a stream makes it late. Keeping them apart brought the share of long
answers on time from 0.22 to 0.66 in the emulated burst of long prompts, and
that of the long prompts from 0.58 to 0.67. At 0.3 and more the rest is too
small for the long prompts."""

MISPLACED_MS = 150.0
"""How much longer the wait must be among its own kind before a request goes to
the other, ms: reading a prompt of 9,000 tokens takes 160. At 60 long prompts
spill over in every burst."""


@dataclasses.dataclass
class Target(health.Health):
    """What an entry knows of one replica that requests can go to.

    Attributes:
        name: Replica id.
        zone: Its availability zone.
        slots: Requests it runs at once.
        engine: Whether it is a model engine.
        outstanding: Own requests sent there and not ended.
        pending_tokens: Prompt tokens of those without a first event.
        others: Requests of other entries as of ``reported_at``.
        reported_at: When its last load came, s (monotonic).
        error_share: Smoothed share of failed answers, 0 to 1.
        failures: See ``health.Health``.
        eject_until: See ``health.Health``.
    """
    name: ids.ReplicaName
    zone: ids.ZoneName
    slots: int
    engine: bool
    outstanding: int = 0
    pending_tokens: int = 0
    others: int = 0
    reported_at: float = float('-inf')
    error_share: float = 0.0
    failures: int = 0
    eject_until: float = 0.0

    def report(self, busy, now):
        """Notes that the replica said it has ``busy`` requests."""
        self.others = max(0, busy - self.outstanding)
        self.reported_at = now

    def answered(self, ok):
        """Notes whether an answer was what the caller needed."""
        self.error_share += ERRORS_SMOOTHING * ((not ok) - self.error_share)


@dataclasses.dataclass(frozen=True)
class Want:
    """What placement needs to know of a request.

    Attributes:
        zone: Availability zone of the entry.
        session: Name of the shared part its prompt goes on from; '' if none.
        shared_tokens: Tokens up to the end of that part.
        tokens: Tokens of the whole prompt.
    """
    zone: ids.ZoneName
    session: str = ''
    shared_tokens: int = 0
    tokens: int = 0
    tokens_out: int = 0

    @property
    def writes(self):
        """Whether its time goes into writing rather than into reading."""
        return self.tokens < READ_PER_WRITTEN * self.tokens_out


def _rank(word, target):
    """Returns the place of ``target`` for ``word``, the same everywhere."""
    return xxhash.xxh64_intdigest((word + target.name).encode())


def home(targets, session):
    """Returns the target that keeps a session's prompt, by rendezvous hash.

    All entries find the same one without a message, and only the sessions
    of a replica that left move.
    """
    return max(targets,
               key=lambda t: xxhash.xxh64_intdigest(
                   (session + t.name).encode()))


def quiet(targets):
    """Returns the names of the targets kept for requests that write."""
    engines = [t for t in targets if t.engine]
    count = round(len(engines) * QUIET_SHARE) if len(engines) > 2 else 0
    engines.sort(key=lambda t: _rank('quiet', t))
    return {t.name for t in engines[:count]}


def choose(targets, want, now, rng=random):
    """Returns the best of ``targets``, or None when there is none.

    Args:
        targets: The ``Target`` objects that may take the request.
        want: The ``Want``.
        now: Time, s (monotonic).
        rng: Source of the lot.
    """
    sound = [t for t in targets if t.eject_until <= now]
    if not sound:
        # All are ejected: a guess is better than refusing everything.
        return min(targets, key=lambda t: t.eject_until, default=None)
    # The home is found among all, so that a session returns to it as soon
    # as it is sound again.
    apart = quiet(targets) if want.tokens else set()
    mine = [t for t in targets if (t.name in apart) == want.writes] or targets
    keeper = home(mine, want.session) if want.session else None

    def rank(target):
        cost = cost_ms(target, want, now, target is keeper)
        if apart and (target.name in apart) != want.writes:
            cost += MISPLACED_MS
        return cost, rng.random()

    return min(sound, key=rank)


def backup(targets, request, now):
    """Returns the target to keep a copy of a run's memory, or None.

    Spread by request, so that when a replica goes, its runs go on at all
    others and not at one.

    Args:
        targets: The targets beside the one that runs the request.
        request: The request's id.
        now: Time, s (monotonic).
    """
    sound = [t for t in targets if t.eject_until <= now]
    return max(sound, key=lambda t: _rank(request, t), default=None)


def cost_ms(target, want, now, keeps_prompt):
    """Returns the expected wait for the first event at ``target``, ms."""
    weight = max(0.0, 1.0 - (now - target.reported_at) / REPORT_FADE_S)
    busy = target.outstanding + weight * target.others
    cost = 0.0 if target.zone == want.zone else OTHER_ZONE_MS
    cost += ERRORS_MS * max(0.0, target.error_share - ERRORS_FORGIVEN)
    if not target.engine:
        return cost + busy * CALL_MS / max(1, target.slots)
    tokens = target.pending_tokens + want.tokens
    if keeps_prompt:
        tokens -= want.shared_tokens
    else:
        tokens += REREAD * want.shared_tokens
    cost += tokens / PROMPT_TOKENS_PER_MS + busy * RUNNING_MS
    if busy >= target.slots:
        cost += (busy - target.slots + 1) * CALL_MS
    return cost
