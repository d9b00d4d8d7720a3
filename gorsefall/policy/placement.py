"""Chooses the replica for a request: shortest expected wait, cached prompt.

An entry counts its own requests and those that other entries report. The load
that a replica itself reported loses weight with its age. Ties are broken at
random.
"""

import dataclasses
import heapq
import random

from gorsefall.policy import costs
from gorsefall.policy import health
from gorsefall.policy import knowledge
from gorsefall.policy import pace
from gorsefall.policy import partition as partitions
from gorsefall.policy import rendezvous
from gorsefall.policy import unreported as unreported_requests


@dataclasses.dataclass(frozen=True)
class Choice:
    """The replica chosen for a request.

    Attributes:
        target: The chosen ``knowledge.ReplicaView``.
        prefill_tokens: Prompt tokens to be prefilled for the request there.
        queue_ms: Expected time that the request waits behind others there, ms.
        prefill_tokens_ahead: Prompt tokens to be prefilled there before its
            own.
        slowness: How many times slower than usual the replica is.
        fetch_source: The ``knowledge.ReplicaView`` to fetch cached parts of the
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
    """What placement knows about a service, apart from its replicas.

    Attributes:
        speed: The ``pace.ServiceSpeed`` of its replicas.
        fetch_ms: Time in which a replica fetches one cached prompt token from
            another replica, ms; 0 if it cannot.
        event_tokens: Tokens in one event of its streams.
        partition: The ``partition.DecodePartition`` of its engines.
        unreported: The ``unreported.Unreported`` requests of other entries.
        gap_ms: Longest gap between events that its decode-heavy requests
            accept, ms; 0 until the first such request.
    """
    speed: pace.ServiceSpeed = dataclasses.field(
        default_factory=pace.ServiceSpeed)
    fetch_ms: float = 0.0
    event_tokens: int = 1
    partition: partitions.DecodePartition = dataclasses.field(
        default_factory=partitions.DecodePartition)
    unreported: unreported_requests.Unreported = dataclasses.field(
        default_factory=unreported_requests.Unreported)
    gap_ms: float = 0.0


def affinity_replica(candidates, session):
    """Returns the ``knowledge.ReplicaView`` that caches a session's prompt."""
    return rendezvous.best(session, candidates)


def with_fewest_requests(views):
    """Returns those of ``views`` with the fewest requests there."""
    fewest = min((v.outstanding + v.others_requests for v in views), default=0)
    return [v for v in views if v.outstanding + v.others_requests == fewest]


def choose(candidates, profile, service, now, rng=random, *, sources=()):
    """Returns the best ``Choice`` of ``candidates``, None if there is none.

    Args:
        candidates: The ``knowledge.ReplicaView`` objects that may take the
            request.
        profile: The ``knowledge.RequestProfile``.
        service: The ``ServiceState`` of their service.
        now: Time, s (monotonic).
        rng: Random generator that breaks ties.
        sources: Other replicas that cached prompts may be fetched from, though
            no request may be sent to them.
    """
    healthy = health.select_healthy(candidates, now)
    if not healthy:
        return None
    service.unreported.record_request(profile.decode_heavy)
    if healthy[0].eject_until > now:
        # All replicas are ejected: the request goes to the one whose ejection
        # ends first, however long its queue is.
        return Choice(healthy[0], profile.tokens)
    decode_names = _decode_engines(candidates, profile, service, now)
    # The affinity replica is chosen among ejected replicas as well, so that a
    # session returns to its replica as soon as that is healthy again.
    pool = ([
        v for v in candidates
        if (v.name in decode_names) == profile.decode_heavy
    ] or candidates)
    affinity = affinity_replica(pool,
                                profile.session) if profile.session else None
    cost = costs.PlacementCosts(profile,
                                service,
                                candidates,
                                now,
                                sources=sources)
    cost.set_pool({v.name for v in pool})

    def rank(candidate):
        total_ms = cost.total_ms(candidate,
                                 at_affinity=candidate.view is affinity)
        if decode_names and (candidate.view.name
                             in decode_names) != profile.decode_heavy:
            total_ms += cost.misplacement_ms(candidate)
        return total_ms, rng.random()

    names = {v.name for v in healthy}
    options = [c for c in cost.candidates if c.view.name in names]
    if not profile.decode_heavy:
        return _to_choice(cost, min(options, key=rank))
    # How many of the unreported requests were sent before this one is not
    # known: every number up to the expected total is equally likely.
    limit = int(
        min(service.unreported.decode_heavy(),
            unreported_requests.MAX_SIMULATED))
    before = rng.randint(0, limit) if limit else 0
    return _to_choice(cost, _best_after(cost, options, rank, before))


def _best_after(cost, options, rank, before):
    """Returns the best candidate once ``before`` more requests were placed."""
    heap = [
        (rank(candidate), i, candidate) for i, candidate in enumerate(options)
    ]
    heapq.heapify(heap)
    for _ in range(before):
        _, i, candidate = heap[0]
        busier = cost.add_request(candidate)
        heapq.heapreplace(heap, (rank(busier), i, busier))
    return heap[0][2]


def _to_choice(cost, candidate):
    source, _ = cost.plan_fetch(candidate)
    return Choice(candidate.view, cost.prefill_tokens(candidate),
                  candidate.queue_ms, candidate.prefill_tokens_ahead,
                  candidate.slowness, source)


def _decode_engines(candidates, profile, service, now):
    """Returns the names of the engines in the decode partition."""
    if not profile.tokens:
        return set()
    if profile.decode_heavy and profile.gap_ms:
        service.gap_ms = profile.gap_ms
    engines = [v for v in candidates if v.engine]
    requests = sum(v.decode_heavy +
                   costs.report_weight(v, now) * v.others_decode_heavy
                   for v in engines)
    return service.partition.decode_engines(engines, requests, now,
                                            service.unreported.decode_heavy())


def choose_backup(candidates, request, now):
    """Returns the replica to hold the KV backup of a run, or None.

    Backups are spread by request, so that the runs of a failed replica resume
    at all others and not at a single one.

    Args:
        candidates: The ``knowledge.ReplicaView`` objects beside the one that
            runs the request.
        request: The request's id.
        now: Time, s (monotonic).
    """
    healthy = [v for v in candidates if v.eject_until <= now]
    return rendezvous.best(request, healthy)
