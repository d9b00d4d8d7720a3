"""Where a forwarded request goes: least expected wait, near its cached prompt.

An entry counts its own requests and those that the others tell of. What only
a replica told, some time ago, fades; what is left equal is drawn by lot.
"""

import dataclasses
import heapq
import random

from gorsefall.policy import costs
from gorsefall.policy import health
from gorsefall.policy import knowledge
from gorsefall.policy import pace
from gorsefall.policy import rendezvous
from gorsefall.policy import partition as splits
from gorsefall.policy import unreported as unseens


@dataclasses.dataclass(frozen=True)
class Choice:
    """Where a request goes.

    Attributes:
        target: The chosen ``knowledge.ReplicaView``.
        tokens: Prompt tokens that are to be read for it there.
        queue_ms: Expected time it spends behind others there, ms.
        ahead: Prompt tokens that are to be read there before its own.
        slowness: How many times slower than usual the target is.
        source: The ``knowledge.ReplicaView`` to fetch cached parts of the
            prompt from; None for none.
    """
    target: knowledge.ReplicaView
    prefill_tokens: int = 0
    queue_ms: float = 0.0
    prefill_tokens_ahead: float = 0.0
    slowness: float = 1.0
    fetch_source: knowledge.ReplicaView | None = None


@dataclasses.dataclass
class ServiceState:
    """What is known of a service beside its replicas.

    Attributes:
        speed: The ``pace.ServiceSpeed`` of its replicas.
        fetch_ms: Time in which a replica fetches one cached prompt token from
            another, ms; 0 where it cannot.
        event_tokens: Tokens that an event of its streams holds.
        split: The ``partition.DecodePartition`` of its engines.
        unseen: The ``unreported.Unreported`` of the others' requests.
        gap_ms: Longest pause that its requests that write bear, ms; 0 while
            none came.
    """
    speed: pace.ServiceSpeed = dataclasses.field(
        default_factory=pace.ServiceSpeed)
    fetch_ms: float = 0.0
    event_tokens: int = 1
    partition: splits.DecodePartition = dataclasses.field(
        default_factory=splits.DecodePartition)
    unreported: unseens.Unreported = dataclasses.field(
        default_factory=unseens.Unreported)
    gap_ms: float = 0.0


def affinity_replica(candidates, session):
    """Returns the target that keeps a session's prompt."""
    return rendezvous.best(session, candidates)


def with_fewest_requests(targets):
    """Returns those of ``targets`` with the fewest requests there."""
    least = min((t.outstanding + t.others_requests for t in targets), default=0)
    return [t for t in targets if t.outstanding + t.others_requests == least]


def choose(candidates, want, service, now, rng=random, *, sources=()):
    """Returns the best ``Choice`` of ``candidates``, None when there is none.

    Args:
        candidates: The ``knowledge.ReplicaView`` objects that may take the
            request.
        want: The ``knowledge.RequestProfile``.
        service: The ``Service`` they belong to.
        now: Time, s (monotonic).
        rng: Source of the lot.
        sources: Others that prompts may be fetched from, though no request
            may be sent there.
    """
    sound = health.select_healthy(candidates, now)
    if not sound:
        return None
    service.unreported.record_request(want.decode_heavy)
    if sound[0].eject_until > now:
        # A last resort is asked whatever waits there.
        return Choice(sound[0], want.tokens)
    apart = _apart(candidates, want, service, now)
    # The home is found among all, so that a session returns to it as soon
    # as it is sound again.
    mine = ([t for t in candidates if (t.name in apart) == want.decode_heavy] or
            candidates)
    keeper = affinity_replica(mine, want.session) if want.session else None
    cost = costs.PlacementCosts(want, service, candidates, now, sources=sources)
    cost.set_pool({t.name for t in mine})

    def rank(place):
        total_ms = cost.total_ms(place, at_home=place.target is keeper)
        if apart and (place.target.name in apart) != want.decode_heavy:
            total_ms += cost.misplacement_ms(place)
        return total_ms, rng.random()

    names = {t.name for t in sound}
    fit = [p for p in cost.candidates if p.target.name in names]
    if not want.decode_heavy:
        return _choice(cost, min(fit, key=rank))
    # Nobody knows how many came before this one since the others last spoke:
    # any number up to that is as likely.
    most = int(min(service.unreported.decode_heavy(), unseens.MAX_SIMULATED))
    before = rng.randint(0, most) if most else 0
    return _choice(cost, _after(cost, fit, rank, before))


def _after(cost, places, rank, before):
    """Returns the best place once ``before`` more requests were placed."""
    heap = [(rank(place), i, place) for i, place in enumerate(places)]
    heapq.heapify(heap)
    for _ in range(before):
        _, i, place = heap[0]
        busier = cost.add_request(place)
        heapq.heapreplace(heap, (rank(busier), i, busier))
    return heap[0][2]


def _choice(cost, place):
    source, _ = cost.plan_fetch(place)
    return Choice(place.target, cost.prefill_tokens(place), place.queue_ms,
                  place.prefill_tokens_ahead, place.slowness, source)


def _apart(candidates, want, service, now):
    """Returns the names of the targets kept for requests that write."""
    if not want.tokens:
        return set()
    if want.decode_heavy and want.gap_ms:
        service.gap_ms = want.gap_ms
    engines = [t for t in candidates if t.engine]
    writing = sum(t.decode_heavy +
                  costs.report_weight(t, now) * t.others_decode_heavy
                  for t in engines)
    return service.partition.decode_engines(engines, writing, now,
                                            service.unreported.decode_heavy())


def choose_backup(candidates, request, now):
    """Returns the target to keep a copy of a run's memory, or None.

    Spread by request, so that when a replica goes, its runs go on at all
    others and not at one.

    Args:
        candidates: The targets beside the one that runs the request.
        request: The request's id.
        now: Time, s (monotonic).
    """
    fit = [t for t in candidates if t.eject_until <= now]
    return rendezvous.best(request, fit)
