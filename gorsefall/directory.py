"""The seam to who can serve: replicas as some wire makes them known."""

from gorsefall import errors
from gorsefall.policy import retry_delay


class Directory:
    """The replicas that an entry knows.

    Attributes:
        replicas: ``name -> replica``, those that are gone not included.
    """

    def __init__(self):
        self.replicas = {}

    def candidates(self, service, exclude):
        """Returns the replicas of a service that may get new work, a list.

        Args:
            service: Name of the service or pool.
            exclude: Names already tried for the request.
        """
        raise NotImplementedError


def require_loaded(in_force):
    """Returns ``in_force`` unless it is None.

    Args:
        in_force: What the entry was told to serve, None before it was told.

    Raises:
        errors.NoCatalogueError: It was told nothing yet. A process that
            knows nothing must not deny what may well be allowed: the
            caller would not try again.
    """
    if in_force is None:
        raise errors.NoCatalogueError('nothing to serve was read yet',
                                      retry_after=retry_delay.short_delay_s())
    return in_force
