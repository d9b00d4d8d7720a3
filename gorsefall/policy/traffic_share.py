"""Estimates the traffic share of an entry that receives no status of others.

Some limits hold for all entries together, and such an entry does not know how
many there are. It knows its own requests in flight, and replicas may report how
many they have in total.
"""

PRIOR_REQUESTS = 100.0
"""Requests of other entries that are added to the observed ones, so that an
entry with few samples estimates a small share. The site with the lowest load
has as many samples in 2 s. With an initial share of 1/12 instead, 80 entries
would use four times their traffic in their first 6 s."""

MAX_COUNTED_REQUESTS = 20000.0
"""Number of observed requests after which all counts are halved, so that the
share follows entries that come and go: six minutes at the same site, one minute
with 80 entries."""


class TrafficShare:
    """The estimated share of one entry."""

    def __init__(self):
        self._own = 0.0
        self._all = 0.0

    @property
    def value(self):
        """The share, 0.0 to 1.0."""
        return min(1.0, self._own / (self._all + PRIOR_REQUESTS))

    def record_sample(self, own, at_replica, replicas):
        """Records the requests in flight at a service when a replica responds.

        The request of this response does not count, since it is there in any
        case: with idle replicas an entry would estimate a share of 1. Nor does
        the entry count only its own requests at this replica: entries prefer
        replicas of their zone, and with three zones the share would be three
        times too large. The replica represents all others, as all have a
        similar load.

        Args:
            own: Requests of this entry at the service, including the
                one of this response.
            at_replica: Requests of all entries at the replica.
            replicas: Number of replicas of the service.
        """
        self._all += max(0, at_replica - 1) * replicas
        self._own += max(0, own - 1)
        if self._all > MAX_COUNTED_REQUESTS:
            self._all /= 2
            self._own /= 2
