"""Interface to the replicas that an entry has discovered."""

from gorsefall import errors
from gorsefall.policy import retry_delay


class Directory:
    """The replicas that an entry has discovered.

    Attributes:
        replicas: ``name -> replica``, without those that are gone.
    """

    def __init__(self):
        self.replicas = {}

    def candidates(self, service, exclude):
        """Returns a list of the replicas that may receive a request.

        Args:
            service: Name of the service or pool.
            exclude: Names of replicas already tried for the request.
        """
        raise NotImplementedError


def require_loaded(configuration):
    """Returns ``configuration`` unless it is None.

    Args:
        configuration: The active catalogue or routing table; None before the
            first one is loaded.

    Raises:
        errors.NoCatalogueError: None is loaded yet. The caller must not get a
            denial such as "unknown key" instead, after which it would not
            retry.
    """
    if configuration is None:
        raise errors.NoCatalogueError('nothing to serve was read yet',
                                      retry_after=retry_delay.short_delay_s())
    return configuration
