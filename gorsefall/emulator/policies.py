"""Placement policies to compare."""

import dataclasses

from gorsefall.policy import knowledge
from gorsefall.policy import overload
from gorsefall.policy import placement


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The request is refused; its caller may retry after ``retry_after_ms``."""
    retry_after_ms: float


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """The input of a policy.

    Attributes:
        targets: The entry's ``knowledge.ReplicaView`` objects.
        profile: The ``knowledge.RequestProfile`` of the request.
        service: The entry's ``placement.ServiceState``.
        now: Simulated time, s.
        rng: Random generator.
    """
    targets: list
    profile: knowledge.RequestProfile
    service: placement.ServiceState
    now: float
    rng: object


def placed(request):
    """Places or refuses requests as entries do."""
    choice = unrefused(request)
    wait_s = overload.retry_after_s(choice, request.profile.queue_limit_ms,
                                    request.rng)
    return Refusal(wait_s * 1000) if wait_s else choice


def unrefused(request):
    """Places requests as entries do, but refuses none."""
    return placement.choose(request.targets, request.profile, request.service,
                            request.now, request.rng)


def _available(request):
    """Returns the replicas that are not ejected, or all if none is left."""
    return [t for t in request.targets if t.eject_until <= request.now
           ] or request.targets


def least_loaded(request):
    """Chooses the replica with the least known load."""
    best = min(_available(request),
               key=lambda t:
               (t.outstanding + t.others_requests *
                (request.now - t.reported_at < 1.0), request.rng.random()))
    return placement.Choice(best, request.profile.tokens)


def by_lot(request):
    """Chooses a replica at random."""
    return placement.Choice(request.rng.choice(_available(request)),
                            request.profile.tokens)


POLICIES = {f.__name__: f for f in (placed, unrefused, least_loaded, by_lot)}
