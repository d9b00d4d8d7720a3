"""Which entries read the store for the others, and whom an entry asks.

Every entry works that out for itself from whom it hears. Where views differ
for a while, some entries more read, or one is asked that does not; what it
tells is only older then.
"""

import collections
import math
import typing

from gorsefall import ids
from gorsefall.policy import rendezvous

MIN_READERS = 3
"""Entries that read, at least: some may fail together."""

ENTRIES_PER_READER = 40
"""Entries for which one reads: each asks once a second, and what a reader
spends on answers stays within the part of a core that control may take."""

MAX_READERS_QUERIED = 3
"""Entries asked before the store is read."""

UNRESPONSIVE_AVOID_S = 5.0
"""Time for which an entry that did not answer is asked last, s: by then it is
left out as silent, or it was a datagram that was lost."""


class Candidate(typing.NamedTuple):
    """An entry that may read the store for others.

    Attributes:
        name: Its name.
        host: Its address.
        zone: Its availability zone.
        able: Whether it reaches the store, as it says.
    """
    name: str
    host: str
    zone: ids.ZoneName
    can_read: bool = True


def with_store_access(candidates):
    """Returns those that reach the store, or all where none does.

    While it is away for everybody a few go on trying for all.
    """
    return [c for c in candidates if c.can_read] or list(candidates)


def select_readers(candidates):
    """Returns those that read, in as many availability zones as can be."""
    ranked = sorted(candidates,
                    key=lambda c: rendezvous.rank(c.zone, c),
                    reverse=True)
    seen = collections.Counter()
    places = []
    for candidate in ranked:
        places.append((seen[candidate.zone], candidate))
        seen[candidate.zone] += 1
    places.sort(key=lambda place: place[0])
    most = max(MIN_READERS, math.ceil(len(ranked) / ENTRIES_PER_READER))
    return [candidate for _, candidate in places[:most]]


class ReaderSelector:
    """One entry's choice of whom to ask."""

    def __init__(self, own, rng):
        """Creates a choice.

        Args:
            own: This entry's ``Candidate``.
            rng: A ``random.Random``.
        """
        self._own = own
        self._rng = rng
        self._avoided = {}
        self._last = None

    def is_reader(self, others):
        """Returns whether this entry reads.

        Args:
            others: The ``Candidate`` objects heard, without this entry.
        """
        return self._own in select_readers([self._own, *others])

    def has_dependents(self, others):
        """Returns whether any entry does not read."""
        everyone = [self._own, *others]
        return len(select_readers(everyone)) < len(everyone)

    def query_order(self, others, now):
        """Returns the hosts to ask, first to last.

        Who was asked last time comes later: a reader tells those who asked
        it of news, so two of them do, and one that is cut off from the store
        hides nothing for long.
        """
        found = select_readers(others)
        self._rng.shuffle(found)
        found.sort(key=lambda c: (self._avoids(c, now), c.host == self._last))
        hosts = [c.host for c in found[:MAX_READERS_QUERIED]]
        if hosts:
            self._last = hosts[0]
        return hosts

    def _avoids(self, candidate, now):
        return self._avoided.get(candidate.host, float('-inf')) > now

    def record_no_response(self, host, now):
        """Notes that an entry did not answer."""
        self._avoided = {h: t for h, t in self._avoided.items() if t > now}
        self._avoided[host] = now + UNRESPONSIVE_AVOID_S

    def record_response(self, host):
        """Notes that an entry answered."""
        self._avoided.pop(host, None)
