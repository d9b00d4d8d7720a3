"""Divides the descriptors of an entry among those who connect to it.

Whoever may connect may do so as often as it likes. Each listener has its part,
so that all of them together leave some for replicas, the store and files.
"""

CALLERS = 1 / 2
"""Part of the descriptors that connections of callers may take."""

OTHER_ENTRIES = 1 / 6
"""Part that connections of other entries may take."""

PAGE = 1 / 16
"""Part that connections to one page, for readiness or metrics, may take."""


def part(max_fds, fraction):
    """Returns how many descriptors are a part of all, at least one.

    Args:
        max_fds: Descriptors that sockets of the process may take.
        fraction: The part.
    """
    return max(1, int(max_fds * fraction))
