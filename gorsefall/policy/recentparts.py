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
        self._requests = collections.deque()
        self._counts = collections.Counter()

    def record(self, parts):
        """Records a request with these ``ids.PartDigest`` objects."""
        if not parts:
            return
        self._requests.append(parts)
        self._counts.update(parts)
        if len(self._requests) > SAMPLE_REQUESTS:
            dropped = self._requests.popleft()
            self._counts.subtract(dropped)
            for part in dropped:
                if not self._counts[part]:
                    del self._counts[part]

    def is_popular(self, part):
        """Returns whether many of the latest requests have a part."""
        total = len(self._requests)
        return (total >= MIN_SAMPLE_REQUESTS and
                self._counts[part] >= POPULAR_SHARE * total)
