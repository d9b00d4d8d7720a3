"""Chooses the entry that forwards a request to a replica."""

import random
import typing

REFUSAL_PAUSE_S = 1.0
"""Time for which an entry that did not forward is not asked again, s."""


class Candidate(typing.NamedTuple):
    """Another live entry.

    Attributes:
        host: Its host.
        zone: Its availability zone.
        reaches: Whether it reaches the replicas of the service itself.
        requests: Requests that it has in flight.
    """
    host: str
    zone: str
    reaches: bool
    requests: int


def choose(candidates, zone, rng=random):
    """Returns the host of the entry to ask, or None.

    An entry of the own availability zone is preferred, unless most entries
    there have lost their paths too: the few others would carry the load of the
    whole zone.

    Args:
        candidates: The ``Candidate`` objects.
        zone: The own availability zone.
        rng: Random generator.
    """
    usable = [c for c in candidates if c.reaches]
    own_zone = [c for c in candidates if c.zone == zone]
    near = [c for c in own_zone if c.reaches]
    if near and 2 * len(near) >= len(own_zone):
        usable = near
    if not usable:
        return None
    pair = rng.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda c: c.requests).host
