"""Exits of replicas that happen at the same time have a common cause."""

import bisect
import collections
import typing

from gorsefall.policy import crashrecords

COMMON_CAUSE_S = 0.1
"""Time within which exits of several replicas have a common cause, s. Entries
observe an exit with an error of about 10 ms."""

MIN_BURST_EXITS = 4
"""Exits within ``COMMON_CAUSE_S`` of the second one of a burst, from which on
these are the burst, and the first one came just before it."""

MAX_REPLICA_EXITS = 1024
"""Maximum number of replica exits kept to detect common causes; the oldest are
dropped first."""


class _Exit(typing.NamedTuple):
    """When a replica was first seen to exit, s (monotonic), and its crash."""
    at: float
    crash: crashrecords.Crash


def _seen_at(replica_exit):
    return replica_exit.at


class ReplicaExits:
    """When replicas were first seen to exit, and which exits form one burst.

    A burst is all exits within ``COMMON_CAUSE_S`` of its first one, or of its
    second one if many are. It has one cause, so that it is one observation,
    however many replicas exited.
    """

    def __init__(self):
        self._seen_at = {}
        self._in_order = []
        self._bursts = None

    def record(self, crash, at):
        """Records that a ``crashrecords.Crash`` was seen at ``at``, s.

        Returns:
            False if it was seen before.
        """
        known_at = self._seen_at.get(crash)
        if known_at is not None and known_at <= at:
            return False
        if known_at is not None:
            self._in_order.remove(_Exit(known_at, crash))
        self._seen_at[crash] = at
        bisect.insort(self._in_order, _Exit(at, crash))
        if len(self._seen_at) > MAX_REPLICA_EXITS:
            oldest = self._in_order.pop(0)
            del self._seen_at[oldest.crash]
        self._bursts = None
        return True

    def group(self, crashes):
        """Returns ``crashes`` by the burst they belong to.

        Args:
            crashes: ``crashrecords.Crash`` objects. One that is no longer kept
                here is a burst of its own.

        Returns:
            A list of ``(burst, crashes)``: all ``crashrecords.Crash`` objects
            of a burst, a frozenset, and those of them that were asked for, a
            list.
        """
        bursts = self._find_bursts()
        grouped = collections.defaultdict(list)
        for crash in crashes:
            grouped[bursts.get(crash, frozenset((crash,)))].append(crash)
        return list(grouped.items())

    def seen_between(self, begin, end):
        """Returns the crashes seen from ``begin`` to ``end``, s, a list."""
        first = bisect.bisect_left(self._in_order, begin, key=_seen_at)
        last = bisect.bisect_right(self._in_order, end, key=_seen_at)
        return [e.crash for e in self._in_order[first:last]]

    def burst_size(self, crash):
        """Returns how many replicas exited in the burst of a crash."""
        return len(self._find_bursts().get(crash, (crash,)))

    def count_bursts(self, crashes):
        """Returns in how many bursts some crashes fall."""
        return len(self.group(crashes))

    def _find_bursts(self):
        """Returns ``crash -> burst`` for all exits kept."""
        if self._bursts is None:
            self._bursts = {}
            rest = collections.deque(self._in_order)
            while rest:
                self._bursts.update(_take_burst(rest))
        return self._bursts


def _take_burst(exits):
    """Takes the first burst off a deque; returns ``crash -> burst``."""
    ends_at = exits[0].at + COMMON_CAUSE_S
    if _is_just_before_burst(exits):
        ends_at = exits[1].at + COMMON_CAUSE_S
    crashes = []
    while exits and exits[0].at < ends_at:
        crashes.append(exits.popleft().crash)
    return dict.fromkeys(crashes, frozenset(crashes))


def _is_just_before_burst(exits):
    """Returns whether the first of some exits would split a burst after it."""
    if len(exits) <= MIN_BURST_EXITS:
        return False
    second, last = exits[1].at, exits[MIN_BURST_EXITS].at
    return (second < exits[0].at + COMMON_CAUSE_S and
            last < second + COMMON_CAUSE_S)
