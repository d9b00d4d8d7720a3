"""Which entries read the store for others, and which of them an entry queries.

Every entry computes this from the live entries that it has observed. While the
views of entries differ, a few more entries read, or an entry queries one that
does not read and gets an older configuration.
"""

import collections
import math
import typing

from gorsefall import ids
from gorsefall.policy import rendezvous

MIN_READERS = 3
"""Minimum number of readers: several may fail at the same time."""

ENTRIES_PER_READER = 40
"""Number of entries per reader. Each entry queries once a second, and the
responses of a reader must not exceed the CPU share of the control plane."""

MAX_READERS_QUERIED = 3
"""Number of readers to query before an entry reads the store itself."""

UNRESPONSIVE_AVOID_S = 5.0
"""Time for which an entry that did not respond is queried last, s. After that
time the entry is left out as silent, unless just one datagram was lost."""


class Candidate(typing.NamedTuple):
    """An entry that may read the store for others.

    Attributes:
        name: Its name.
        host: Its address.
        zone: Its availability zone.
        can_read: Whether it reports that it reaches the store.
    """
    name: str
    host: str
    zone: ids.ZoneName
    can_read: bool = True


def with_store_access(candidates):
    """Returns the entries that reach the store, or all if none does.

    While no entry reaches the store, a few of them keep trying for all.
    """
    return [c for c in candidates if c.can_read] or list(candidates)


def select_readers(candidates):
    """Returns the readers, spread over as many zones as possible."""
    ranked = sorted(candidates,
                    key=lambda c: rendezvous.rank(c.zone, c),
                    reverse=True)
    per_zone = collections.Counter()
    order = []
    for candidate in ranked:
        order.append((per_zone[candidate.zone], candidate))
        per_zone[candidate.zone] += 1
    order.sort(key=lambda position: position[0])
    count = max(MIN_READERS, math.ceil(len(ranked) / ENTRIES_PER_READER))
    return [candidate for _, candidate in order[:count]]


class ReaderSelector:
    """Selects the readers that one entry queries."""

    def __init__(self, own, rng):
        """Creates a selector.

        Args:
            own: This entry's ``Candidate``.
            rng: A ``random.Random``.
        """
        self._own = own
        self._rng = rng
        self._avoided = {}
        self._last = None

    def is_reader(self, others):
        """Returns whether this entry is a reader.

        Args:
            others: The ``Candidate`` objects of the other live entries.
        """
        return self._own in select_readers([self._own, *others])

    def has_dependents(self, others):
        """Returns whether any entry is not a reader and depends on readers."""
        everyone = [self._own, *others]
        return len(select_readers(everyone)) < len(everyone)

    def query_order(self, others, now):
        """Returns the hosts to query, in order.

        The reader that was queried last comes later. A reader sends changes to
        the entries that queried it, so an entry gets them from two readers, and
        a reader that is cut off from the store cannot hide a change for long.
        """
        selected = select_readers(others)
        self._rng.shuffle(selected)
        selected.sort(
            key=lambda c: (self._is_avoided(c, now), c.host == self._last))
        hosts = [c.host for c in selected[:MAX_READERS_QUERIED]]
        if hosts:
            self._last = hosts[0]
        return hosts

    def _is_avoided(self, candidate, now):
        return self._avoided.get(candidate.host, float('-inf')) > now

    def record_no_response(self, host, now):
        """Records that an entry did not respond."""
        self._avoided = {h: t for h, t in self._avoided.items() if t > now}
        self._avoided[host] = now + UNRESPONSIVE_AVOID_S

    def record_response(self, host):
        """Records that an entry responded."""
        self._avoided.pop(host, None)
