"""Divides what all entries may send together by how much each is asked for.

Most new connections may go to one entry for a while. With equal parts it would
refuse most of its requests, while what it lacks stands idle at the others. So a
part follows the demand. The parts must not add up to more than the whole though
entries learn of each other's demand late: an entry counts a rise of its own
only once the others know of it, and a fall at once.
"""

import collections

EQUAL_SHARE = 0.25
"""Share that is divided equally, so that an entry can begin at once when
requests come to it."""

WINDOW_S = 1.0
"""Time over which demand is averaged, s."""

SETTLE_S = 1.0
"""Shortest time after which all entries know of an entry's demand, s: two
heartbeats of a small deployment."""

SETTLE_HEARTBEATS = 2
"""The same as a number of heartbeats, if that is longer."""


class DemandMeter:
    """Requests per second that arrive at this entry, by service."""

    def __init__(self):
        self._arrivals = collections.defaultdict(collections.deque)

    def record(self, service, now):
        """Records a request for a service at ``now``, s."""
        arrivals = self._arrivals[service]
        arrivals.append(now)
        self._trim(arrivals, now)

    def per_s(self, service, now):
        """Returns the demand for a service, requests per second."""
        arrivals = self._arrivals[service]
        self._trim(arrivals, now)
        return len(arrivals) / WINDOW_S

    def _trim(self, arrivals, now):
        while arrivals and arrivals[0] <= now - WINDOW_S:
            arrivals.popleft()


class Reported:
    """What one entry has reported of its demand for one service of late."""

    def __init__(self):
        self._values = collections.deque()

    def record(self, per_s, at):
        """Records a report of ``at``, s."""
        self._values.append((at, per_s))

    def _recent(self, now, settle_s):
        # The last one before that time was valid until the next one.
        while len(self._values) > 1 and self._values[1][0] <= now - settle_s:
            self._values.popleft()
        return [per_s for _, per_s in self._values]

    def highest(self, now, settle_s):
        """Returns the highest value of the last ``settle_s``, or None."""
        return max(self._recent(now, settle_s), default=None)

    def lowest(self, now, settle_s):
        """Returns the lowest value of the last ``settle_s``, or None."""
        return min(self._recent(now, settle_s), default=None)


def shares(demands):
    """Returns ``name -> share``, which add up to 1.

    Args:
        demands: ``name -> requests per second``; None if not known.
    """
    known = [d for d in demands.values() if d is not None]
    usual = sum(known) / len(known) if known else 0.0
    filled = {n: usual if d is None else d for n, d in demands.items()}
    total = sum(filled.values())
    equal = 1 / len(demands)
    if not total:
        return dict.fromkeys(demands, equal)
    return {
        name: EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * (demand / total)
        for name, demand in filled.items()
    }
