"""Which part of the traffic an entry carries that hears no other entry.

Some allowances hold for all entries together, and nobody tells such an entry
how many there are. It knows how many requests it has under way, and replicas
may say how many they have.
"""

PRIOR_REQUESTS = 100.0
"""Requests of nobody that are counted beside those seen, so that who has seen
little takes its part for small: on the smallest of our load sheets as many are
seen in 2 s. With a first guess of 1/12 instead, 80 entries took four times what
they carry in their first 6 s."""

MAX_COUNTED_REQUESTS = 20000.0
"""Requests seen after which old and new are halved, so that the part follows
entries that come and go; on the same sheet that is after six minutes, with 80
entries after one."""


class TrafficShare:
    """The part of one entry."""

    def __init__(self):
        self._own = 0.0
        self._all = 0.0

    @property
    def value(self):
        """The part, 0.0 to 1.0."""
        return min(1.0, self._own / (self._all + PRIOR_REQUESTS))

    def record_sample(self, own, there, replicas):
        """Notes what is under way at a service as a replica answers.

        The answered request tells nothing, as it is there in any case: an
        entry on quiet replicas would take itself for the only one. Nor do
        own requests at just that replica: entries prefer those of their
        zone, so that with three zones each would count itself threefold. The
        replica stands for the others, as all are used alike.

        Args:
            own: Requests of this entry at the service, the answered one
                included.
            there: Requests of all entries at the replica.
            replicas: Replicas of the service.
        """
        self._all += max(0, there - 1) * replicas
        self._own += max(0, own - 1)
        if self._all > MAX_COUNTED_REQUESTS:
            self._all /= 2
            self._own /= 2
