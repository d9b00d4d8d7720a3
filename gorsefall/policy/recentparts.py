"""How many of the latest requests share a part of their prompts."""

import collections

SAMPLE_REQUESTS = 64
"""Latest requests with prompts that are counted."""

MIN_SAMPLE_REQUESTS = 16
"""Requests from which on a share means something."""

POPULAR_SHARE = 1 / 3
"""Share of all requests from which on a part is popular."""


class RecentParts:
    """The parts of the latest requests at this entry."""

    def __init__(self):
        self._requests = collections.OrderedDict()
        self._counts = collections.Counter()

    def record(self, causes):
        """Records the ``crashrecords.PossibleCauses`` of a request.

        One that is sent again counts once: a part that crashes replicas would
        look popular by its retries.
        """
        if not causes.parts or causes.request in self._requests:
            return
        self._requests[causes.request] = causes.parts
        self._counts.update(causes.parts)
        if len(self._requests) > SAMPLE_REQUESTS:
            _, dropped = self._requests.popitem(last=False)
            self._counts.subtract(dropped)
            for part in dropped:
                if not self._counts[part]:
                    del self._counts[part]

    def is_popular(self, part):
        """Returns whether many of the latest requests have a part."""
        total = len(self._requests)
        return (total >= MIN_SAMPLE_REQUESTS and
                self._counts[part] >= POPULAR_SHARE * total)
