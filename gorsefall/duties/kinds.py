"""Kinds of duties, and the interface to the platform that they are for."""

import enum
import typing

from gorsefall import ids


class Kind(enum.Enum):
    """What one entry at a time does for all.

    Attributes:
        USAGE: Reports what each client account has used.
        SCALING: Orders the replicas of services that can be scaled.
    """
    USAGE = 'usage'
    SCALING = 'scaling'


class Answer(enum.Enum):
    """The outcome of a call to the platform.

    Attributes:
        ACCEPTED: The platform carried it out.
        CONFLICT: It was refused: a higher token was used, or, for an order,
            no such replica can be had at present.
        REJECTED: It is not valid, and would not be if it were repeated.
        UNKNOWN: It failed or got no answer; it may be carried out later.
    """
    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


class Pool(typing.NamedTuple):
    """Replicas of one kind of a service in one availability zone.

    Attributes:
        service: Name of the service.
        zone: The availability zone.
        spot: Whether they are the cheap kind that the platform may reclaim.
    """
    service: ids.ServiceName
    zone: ids.ZoneName
    spot: bool


class Client:
    """Interface to the calls of the platform that belong to a duty.

    ``done(answer)`` receives an ``Answer``.
    """

    def report_usage(self, token, window, counts, done):
        """Reports the requests of one window.

        Args:
            token: Fencing token of the caller.
            window: Number of the window.
            counts: ``account -> requests``.
            done: See the class.
        """
        raise NotImplementedError

    def order(self, token, pool, count, done):
        """Orders a number of replicas.

        Args:
            token: Fencing token of the caller.
            pool: The ``Pool``.
            count: Number of replicas that are to run there.
            done: See the class.
        """
        raise NotImplementedError
