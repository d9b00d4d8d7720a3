"""Costs of a request at each replica, in ms of wait."""

import dataclasses
import statistics

from gorsefall.policy import freshness
from gorsefall.policy import knowledge
from gorsefall.policy import pace

REPEATED_PREFILL_WEIGHT = 16.0
"""Weight of prefilling a shared part once more, beside the prefill itself. It
delays all requests there, and in a burst the effect grows: the busier the
affinity replicas, the more is prefilled again elsewhere. With idle replicas
around, a request leaves its affinity replica because of the limit on its queue
and not because of this cost."""

MIN_FETCH_TOKENS = 1000
"""Minimum number of cached tokens to fetch from another replica: prefilling so
many takes 20 ms, as long as the round trip of a fetch."""

MAX_FETCH_TIME_RATIO = 0.5
"""Maximum time to fetch a token in relation to the time to prefill it: a
transfer has to be much faster, since it delays others on the links and costs
money."""

FETCH_START_MS = 5.0
"""Time until the first token of a fetch, ms: 2.5 ms at the engines plus a round
trip."""

CROSS_ZONE_FETCH_FACTOR = 2
"""How many times longer a transfer between availability zones takes,
according to the engines' operators."""

FETCH_WEIGHT = 3.0
"""Weight of the time of a transfer in relation to a wait: it delays the
transfers behind it on two links, and costs money."""

RUNNING_REQUEST_MS = 2.0
"""Delay of the first token by one more running request, ms: the request
lengthens each step by 0.03 to 0.1 ms, and about 20 steps pass."""

CROSS_ZONE_MS = 5.0
"""Cost of a replica in another zone, ms: two crossings of 0.5 to 1.4 ms each,
and traffic between zones costs money."""

REPORT_FADE_S = 3.0
"""Time over which a load report of a replica loses its weight, s. An entry
receives one from an engine about once a second, and a queue of long prompts
lasts as long."""

TOLERATED_ERROR_SHARE = 0.3
"""Share of failed responses from which on a replica is avoided. Some kinds of
calls fail in one of seven cases at every replica."""

FAILING_REPLICA_MS = 2000.0
"""Cost of a replica that fails all requests, ms."""

REFUSAL_MS = 2000.0
"""Cost of a replica that would refuse the request, or where the request would
make other responses late, ms. It exceeds every other cost, since another
replica may have slots available."""

HARMLESS_GAP_SHARE = 0.4
"""Share of the accepted gap between events up to which prefill beside a stream
does no harm: a step or two of the stream itself belong to the gap as well."""

HARMLESS_MISPLACEMENT_MS = 100.0
"""Extra wait in its own partition from which on a harmless prefill goes to the
decode partition, ms. In a burst the engines there would be idle otherwise."""

MISPLACEMENT_MS = 300.0
"""Extra wait in the decode partition from which on a decode-heavy request goes
to the other engines, ms: longer than the prefill of a long prompt, shorter than
the delay at which a response is far too late."""

HARMFUL_MISPLACEMENT_MS = 8000.0
"""Cost of a prefill in the decode partition that would delay its streams, ms,
where many entries send at once: more than that of a replica that would refuse
the request. Otherwise, in an overload, the prompts that all of them would
refuse go there, as its queues look short."""

MANY_UNREPORTED_PREFILLS = 8
"""Prefills that other entries are expected to have sent unseen to each engine
of the decode partition from which on they count as many. With fresh reports
one prompt is seen by all others, and the next one is refused."""

TOLERATED_STALL_PROBABILITY = 0.3
"""Probability that a lossy link stalls a response from which on it has a
cost."""

STALL_MS = 1200.0
"""Cost of a response that is certain to stall, ms: more than the longest
accepted queue, so that streams prefer a busier replica to a lossy link."""


def report_weight(view, now):
    """Returns the weight of the last report of others' work, 0.0 to 1.0."""
    return freshness.weight(now - view.reported_at, REPORT_FADE_S)


@dataclasses.dataclass(frozen=True)
class Candidate:
    """The state of one replica, for one request.

    Attributes:
        view: The replica's ``knowledge.ReplicaView``.
        slowness: How many times slower than usual it is.
        prefill_ms_per_token: Time to prefill a prompt token there, ms.
        busy: Requests there.
        prefill_tokens_ahead: Prompt tokens to be prefilled there before those
            of the request.
        queue_ms: Expected time that the request waits behind others, ms.
        cached_tokens: Tokens of its prompt that are cached there.
    """
    view: knowledge.ReplicaView
    slowness: float
    prefill_ms_per_token: float
    busy: float
    prefill_tokens_ahead: float
    queue_ms: float
    cached_tokens: int


class PlacementCosts:
    """The costs of one request at the replicas of its service.

    Attributes:
        candidates: ``Candidate`` objects of the replicas that may take it.
    """

    def __init__(self, profile, service, candidates, now, *, sources=()):
        """Evaluates every replica once.

        Args:
            profile: The ``knowledge.RequestProfile``.
            service: The ``placement.ServiceState``.
            candidates: The ``knowledge.ReplicaView`` objects that may take it.
            now: Time, s (monotonic).
            sources: Other replicas that prompts may be fetched from.
        """
        self._profile = profile
        self._service = service
        self._now = now
        self._usual_ms = pace.usual_pause_ms(candidates)
        self._source = self._best_source([*candidates, *sources])
        self._pool_ms = 0.0
        self.candidates = [self._evaluate(v) for v in candidates]

    def set_pool(self, names):
        """Sets the names of the replicas in the request's own partition."""
        self._pool_ms = statistics.fmean(
            c.queue_ms for c in self.candidates if c.view.name in names)

    def _evaluate(self, view):
        slowness = pace.slowness(view, self._usual_ms)
        prefill_ms = self._service.speed.prefill_ms_per_token * slowness
        weight = report_weight(view, self._now)
        ahead = view.prefill_tokens + weight * view.others_prefill_tokens
        busy = view.outstanding + weight * view.others_requests
        return Candidate(
            view=view,
            slowness=slowness,
            prefill_ms_per_token=prefill_ms,
            busy=busy,
            prefill_tokens_ahead=ahead,
            queue_ms=self._queue_ms(view, busy, ahead * prefill_ms),
            cached_tokens=view.prompt_cache.cached_tokens(self._profile.parts))

    def add_request(self, candidate):
        """Returns the ``Candidate`` with one more decode-heavy request.

        Its prompt counts as prefilled already: the prefill takes only a
        hundredth of the run.
        """
        busy = candidate.busy + 1
        queue_ms = self._queue_ms(
            candidate.view, busy,
            candidate.prefill_tokens_ahead * candidate.prefill_ms_per_token)
        return dataclasses.replace(candidate, busy=busy, queue_ms=queue_ms)

    def _queue_ms(self, view, busy, prefill_ms):
        # Mean time until a slot becomes free while all of them are in use.
        slot_ms = self._service.speed.residence.ms / max(1, view.slots)
        if not view.engine:
            return busy * slot_ms
        wait = prefill_ms + busy * RUNNING_REQUEST_MS
        if busy >= view.slots:
            wait += (busy - view.slots + 1) * slot_ms
        return wait

    # -- fetching a cached prompt instead of prefilling it ---------------------

    def _best_source(self, candidates):
        """Returns the healthy replica that caches most of the prompt, or None.

        None as well if fetching is not faster than prefilling it.
        """
        healthy = [v for v in candidates if v.eject_until <= self._now]
        usual = self._service.speed.prefill_ms_per_token
        fast = 0 < self._service.fetch_ms < MAX_FETCH_TIME_RATIO * usual
        if (not healthy or not fast or
                self._profile.shared_tokens < MIN_FETCH_TOKENS):
            return None
        return max(
            healthy,
            key=lambda v: v.prompt_cache.cached_tokens(self._profile.parts))

    def plan_fetch(self, candidate):
        """Returns ``(source, tokens)`` to fetch there; None and 0 for none."""
        source = self._source
        if source is None or source is candidate.view:
            return None, 0
        more = source.prompt_cache.cached_tokens(
            self._profile.parts) - candidate.cached_tokens
        return (source, more) if more >= MIN_FETCH_TOKENS else (None, 0)

    def prefill_tokens(self, candidate):
        """Returns the tokens to be prefilled for the request there."""
        _, fetched = self.plan_fetch(candidate)
        return self._profile.tokens - candidate.cached_tokens - fetched

    def _fetch_ms(self, candidate):
        source, tokens = self.plan_fetch(candidate)
        if source is None:
            return 0.0
        factor = (1 if source.zone == candidate.view.zone else
                  CROSS_ZONE_FETCH_FACTOR)
        return FETCH_START_MS + tokens * self._service.fetch_ms * factor

    # -- costs -----------------------------------------------------------------

    def total_ms(self, candidate, *, at_affinity=False):
        """Returns the cost of the request at a replica, ms of wait.

        Args:
            candidate: The replica's ``Candidate``.
            at_affinity: Whether it is the affinity replica of the prompt. A
                part that no replica caches has to be prefilled once, and the
                affinity replica is the best one for it.
        """
        view = candidate.view
        cost = candidate.queue_ms
        cost += 0.0 if view.zone == self._profile.zone else CROSS_ZONE_MS
        cost += FAILING_REPLICA_MS * max(
            0.0, view.error_share - TOLERATED_ERROR_SHARE)
        if view.engine:
            cost += self._prompt_ms(candidate,
                                    at_affinity) + self._stall_ms(view)
        return cost

    def _prompt_ms(self, candidate, at_affinity):
        tokens = self.prefill_tokens(candidate)
        fetch_ms = self._fetch_ms(candidate)
        repeated = 0 if at_affinity else max(0, tokens -
                                             self._profile.own_tokens)
        repeated_ms = repeated * candidate.prefill_ms_per_token
        cost = (tokens * candidate.prefill_ms_per_token +
                FETCH_WEIGHT * fetch_ms + REPEATED_PREFILL_WEIGHT * repeated_ms)
        away_ms = fetch_ms + repeated_ms
        if not at_affinity and not fetch_ms:
            # The shared part is prefilled a second time there, so the request
            # may leave its affinity replica only while the pool is not busy.
            away_ms += self._pool_ms
        if self._exceeds_limit(candidate, away_ms):
            cost += REFUSAL_MS
        return cost

    def _exceeds_limit(self, candidate, away_ms):
        """Returns whether the request would be refused there.

        An idle replica never refuses a request.
        """
        idle = (not candidate.view.outstanding and
                not candidate.view.others_requests)
        return (not idle and
                candidate.queue_ms + away_ms > self._profile.queue_limit_ms)

    def _stall_ms(self, view):
        if not self._profile.decode_heavy:
            return 0.0
        events = self._profile.tokens_out / self._service.event_tokens
        probability = view.link.stall_probability(events, self._now)
        return STALL_MS * max(0.0, probability - TOLERATED_STALL_PROBABILITY)

    def misplacement_ms(self, candidate):
        """Returns the cost of a replica of the other partition, ms.

        A prefill delays the streams at its engine for as long as it lasts. It
        does no harm while that is well below the gap that they accept, and
        then the decode partition has capacity for most prompts.
        """
        gap_ms = self._service.gap_ms
        if self._profile.decode_heavy or not gap_ms:
            return MISPLACEMENT_MS
        own = self._profile.tokens - candidate.cached_tokens
        # Other entries see the same short queue, and send as much there.
        others = (self._service.unreported.prefill() /
                  max(1, self._service.partition.size))
        tokens = candidate.prefill_tokens_ahead + (1 + others) * own
        harmless = (tokens * candidate.prefill_ms_per_token
                    < HARMLESS_GAP_SHARE * gap_ms)
        if harmless:
            return HARMLESS_MISPLACEMENT_MS
        return (HARMFUL_MISPLACEMENT_MS
                if others >= MANY_UNREPORTED_PREFILLS else REFUSAL_MS)
