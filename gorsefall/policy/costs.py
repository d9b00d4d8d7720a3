"""What a request costs its callers at each replica, in ms of wait."""

import dataclasses
import statistics

from gorsefall.policy import freshness
from gorsefall.policy import knowledge
from gorsefall.policy import pace

REPEATED_PREFILL_WEIGHT = 16.0
"""How many times over reading a shared part anew is counted beside the reading
itself. It delays everybody there, and under a burst it feeds on itself: the
busier the homes, the more is read anew elsewhere. Where there is room a
request leaves its home by the limit on its queue, not by this."""

MIN_FETCH_TOKENS = 1000
"""Fewest cached tokens worth fetching from another replica: reading them takes
20 ms, as long as the fetch's own way there and back."""

MAX_FETCH_TIME_RATIO = 0.5
"""Part of the time to read a token that fetching it may take: transfers queue
on the links, and are paid for."""

FETCH_START_MS = 5.0
"""What a fetch takes before its first token, ms: 2.5 at today's engines, and
a way there and back."""

CROSS_ZONE_FETCH_FACTOR = 2
"""How many times longer a transfer takes between availability zones, as the
engines' operators tell."""

FETCH_WEIGHT = 3.0
"""How many times over a transfer is counted beside a wait: it holds up those
behind it on two links, and is paid for."""

RUNNING_REQUEST_MS = 2.0
"""What one more running request adds to the wait for a first token, ms: it
lengthens each step by 0.03 to 0.1 ms, and about 20 steps pass."""

CROSS_ZONE_MS = 5.0
"""What leaving the zone weighs, ms: two passes of 0.5 to 1.4 ms, and bytes
between zones are paid for."""

REPORT_FADE_S = 3.0
"""Time over which what a replica said of its load loses its weight, s. An
entry hears from an engine about once a second, and a queue of long prompts
lasts as long."""

TOLERATED_ERROR_SHARE = 0.3
"""Share of answers that may be failures before a replica is avoided; some
calls fail by themselves in one of seven."""

FAILING_REPLICA_MS = 2000.0
"""What a replica that fails all requests weighs, ms."""

REFUSAL_MS = 2000.0
"""What a place weighs where a request would be refused, or make answers late,
ms: more than any other reason to leave a place, since others may have room."""

HARMLESS_GAP_SHARE = 0.4
"""Part of the pause that answers may have, up to which the prompts that are to
be read beside them do no harm: a step or two beside it belong to it too."""

HARMLESS_MISPLACEMENT_MS = 100.0
"""How much longer the wait must be at its own places before a request that
does no harm goes among those that write, ms: in a burst their engines would
idle otherwise."""

MISPLACEMENT_MS = 300.0
"""How much longer the wait must be among its own kind before a request that
writes goes to the others, ms: over the time in
which a long prompt is read, under that in which an answer is late for long."""

TOLERATED_STALL_PROBABILITY = 0.3
"""Chance that an answer is held up by a lossy link from which on it weighs."""

STALL_MS = 1200.0
"""What an answer that is held up for certain weighs, ms: more than the queues
that are borne, so that streams leave a lossy link for a busier replica."""


def report_weight(target, now):
    """Returns how far to trust what was told of others' work there."""
    return freshness.weight(now - target.reported_at, REPORT_FADE_S)


@dataclasses.dataclass(frozen=True)
class Candidate:
    """One replica at one moment, for one request.

    Attributes:
        target: Its ``knowledge.ReplicaView``.
        slowness: How many times slower than usual it is.
        read_ms: Time to read a prompt token there, ms.
        busy: Requests there.
        ahead: Prompt tokens that are to be read there before the request's.
        queue_ms: Expected time that the request spends behind others, ms.
        kept: Tokens of its prompt that are cached there.
    """
    target: knowledge.ReplicaView
    slowness: float
    prefill_ms_per_token: float
    busy: float
    prefill_tokens_ahead: float
    queue_ms: float
    cached_tokens: int


class PlacementCosts:
    """What one request costs at the replicas of its service, at one moment.

    Attributes:
        places: ``Place`` objects of the replicas that may take it.
    """

    def __init__(self, want, service, candidates, now, *, sources=()):
        """Looks at every replica once.

        Args:
            want: The ``knowledge.RequestProfile``.
            service: The ``placement.ServiceState``.
            candidates: The ``knowledge.ReplicaView`` objects that may take it.
            now: Time, s (monotonic).
            sources: Others that prompts may be fetched from.
        """
        self._want = want
        self._service = service
        self._now = now
        self._usual_ms = pace.usual_pause_ms(candidates)
        self._source = self._best_source([*candidates, *sources])
        self._pool_ms = 0.0
        self.candidates = [self._place(t) for t in candidates]

    def set_pool(self, names):
        """Notes which replicas are the places of the request's own kind."""
        self._pool_ms = statistics.fmean(
            p.queue_ms for p in self.candidates if p.target.name in names)

    def _place(self, target):
        slowness = pace.slowness(target, self._usual_ms)
        read_ms = self._service.speed.prefill_ms_per_token * slowness
        trust = report_weight(target, self._now)
        ahead = target.prefill_tokens + trust * target.others_prefill_tokens
        busy = target.outstanding + trust * target.others_requests
        return Candidate(target=target,
                         slowness=slowness,
                         prefill_ms_per_token=read_ms,
                         busy=busy,
                         prefill_tokens_ahead=ahead,
                         queue_ms=self._queue_ms(target, busy, ahead * read_ms),
                         cached_tokens=target.prompt_cache.cached_tokens(
                             self._want.parts))

    def add_request(self, place):
        """Returns the ``Place`` with one more request that writes there.

        Its prompt is taken for read: that takes a hundredth of its stay.
        """
        busy = place.busy + 1
        queue_ms = self._queue_ms(
            place.target, busy,
            place.prefill_tokens_ahead * place.prefill_ms_per_token)
        return dataclasses.replace(place, busy=busy, queue_ms=queue_ms)

    def _queue_ms(self, target, busy, reading_ms):
        # One slot comes free in this time while all are taken.
        slot_ms = self._service.speed.residence.ms / max(1, target.slots)
        if not target.engine:
            return busy * slot_ms
        wait = reading_ms + busy * RUNNING_REQUEST_MS
        if busy >= target.slots:
            wait += (busy - target.slots + 1) * slot_ms
        return wait

    # -- fetching a prompt instead of reading it -------------------------------

    def _best_source(self, candidates):
        """Returns the sound target that keeps most of the prompt, or None."""
        fit = [t for t in candidates if t.eject_until <= self._now]
        usual = self._service.speed.prefill_ms_per_token
        quick = 0 < self._service.fetch_ms < MAX_FETCH_TIME_RATIO * usual
        if not fit or not quick or self._want.shared_tokens < MIN_FETCH_TOKENS:
            return None
        return max(fit,
                   key=lambda t: t.prompt_cache.cached_tokens(self._want.parts))

    def plan_fetch(self, place):
        """Returns ``(source, tokens)`` to fetch there; None and 0 for none."""
        source = self._source
        if source is None or source is place.target:
            return None, 0
        more = source.prompt_cache.cached_tokens(
            self._want.parts) - place.cached_tokens
        return (source, more) if more >= MIN_FETCH_TOKENS else (None, 0)

    def prefill_tokens(self, place):
        """Returns the tokens that are to be read for the request there."""
        _, fetched = self.plan_fetch(place)
        return self._want.tokens - place.cached_tokens - fetched

    def _fetching_ms(self, place):
        source, tokens = self.plan_fetch(place)
        if source is None:
            return 0.0
        far = 1 if source.zone == place.target.zone else CROSS_ZONE_FETCH_FACTOR
        return FETCH_START_MS + tokens * self._service.fetch_ms * far

    # -- what it costs ---------------------------------------------------------

    def total_ms(self, place, *, at_home=False):
        """Returns what the request costs at a place, ms of wait.

        Args:
            place: The ``Place``.
            at_home: Whether its prompt belongs there: what nobody keeps has to
                be read once, and had better be read there.
        """
        target = place.target
        cost = place.queue_ms
        cost += 0.0 if target.zone == self._want.zone else CROSS_ZONE_MS
        cost += FAILING_REPLICA_MS * max(
            0.0, target.error_share - TOLERATED_ERROR_SHARE)
        if target.engine:
            cost += self._prompt_ms(place, at_home) + self._held_up_ms(target)
        return cost

    def _prompt_ms(self, place, at_home):
        unread = self.prefill_tokens(place)
        fetching_ms = self._fetching_ms(place)
        anew = 0 if at_home else max(0, unread - self._want.own_tokens)
        anew_ms = anew * place.prefill_ms_per_token
        cost = (unread * place.prefill_ms_per_token +
                FETCH_WEIGHT * fetching_ms + REPEATED_PREFILL_WEIGHT * anew_ms)
        away_ms = fetching_ms + anew_ms
        if not at_home and not fetching_ms:
            # What is read there is read once more than need be, so the
            # request may leave its home only while the pool has room.
            away_ms += self._pool_ms
        if self._too_long(place, away_ms):
            cost += REFUSAL_MS
        return cost

    def _too_long(self, place, away_ms):
        """Whether the request would be refused there; never where nobody is."""
        idle = not place.target.outstanding and not place.target.others_requests
        return not idle and place.queue_ms + away_ms > self._want.queue_limit_ms

    def _held_up_ms(self, target):
        if not self._want.decode_heavy:
            return 0.0
        events = self._want.tokens_out / self._service.event_tokens
        chance = target.link.stall_probability(events, self._now)
        return STALL_MS * max(0.0, chance - TOLERATED_STALL_PROBABILITY)

    def misplacement_ms(self, place):
        """Returns what it costs among requests of the other kind, ms.

        One that reads holds up the answers there for as long as it is read.
        As long as that is well within the pause that they bear, it does no
        harm, and engines kept for writing have room for most prompts.
        """
        gap_ms = self._service.gap_ms
        if self._want.decode_heavy or not gap_ms:
            return MISPLACEMENT_MS
        tokens = (place.prefill_tokens_ahead + self._want.tokens -
                  place.cached_tokens)
        harmless = (tokens * place.prefill_ms_per_token
                    < HARMLESS_GAP_SHARE * gap_ms)
        return HARMLESS_MISPLACEMENT_MS if harmless else REFUSAL_MS
