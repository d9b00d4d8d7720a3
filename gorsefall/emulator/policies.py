"""Ways of placing requests, to be compared."""

import dataclasses

from gorsefall.policy import knowledge
from gorsefall.policy import overload
from gorsefall.policy import placement


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request is refused; its caller may return after ``return_ms``."""
    return_ms: float


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """What a policy decides on.

    Attributes:
        targets: The entry's ``knowledge.ReplicaView`` objects.
        want: The ``knowledge.RequestProfile``.
        service: The entry's ``placement.ServiceState``.
        now: Time, s.
        rng: Source of lots.
    """
    targets: list
    want: knowledge.RequestProfile
    service: placement.ServiceState
    now: float
    rng: object


def placed(ask):
    """The product's own way."""
    choice = unrefused(ask)
    wait_s = overload.retry_after_s(choice, ask.want.queue_limit_ms, ask.rng)
    return Refusal(wait_s * 1000) if wait_s else choice


def unrefused(ask):
    """The product's own places, but nobody is refused."""
    return placement.choose(ask.targets, ask.want, ask.service, ask.now,
                            ask.rng)


def _sound(ask):
    return [t for t in ask.targets if t.eject_until <= ask.now] or ask.targets


def least_loaded(ask):
    """Least known load, nothing else."""
    best = min(_sound(ask),
               key=lambda t:
               (t.outstanding + t.others_requests *
                (ask.now - t.reported_at < 1.0), ask.rng.random()))
    return placement.Choice(best, ask.want.tokens)


def by_lot(ask):
    """Any replica."""
    return placement.Choice(ask.rng.choice(_sound(ask)), ask.want.tokens)


POLICIES = {f.__name__: f for f in (placed, unrefused, least_loaded, by_lot)}
