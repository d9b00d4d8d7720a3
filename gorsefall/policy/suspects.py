"""Which requests crash the replicas that run them, from all entries' sightings.

All that ran at a replica as it ended is suspect, and one request of it at most
is guilty. A request is cleared by a run that comes to its end. Of those left,
the one that most crashes speak against is blamed, and the crashes that it
explains speak against no other. A crash speaks less where other replicas ended
with it: one cause took them all, and the request was at one. What entries saw
merges in any order and however often it is told: a crash counts once.
"""

import dataclasses
import enum
import hashlib
import typing

from gorsefall import ids

YOUNG_RUN_S = 0.5
"""Time since its first event up to which a run has only just begun, s: what
crashes its replica does so as it begins."""

COMMON_CAUSE_S = 0.1
"""Time within which replicas end together, s: entries see it to some 10 ms."""

POISON_WEIGHT = 6
"""Weight of crashes at which a request is blamed: three under young runs."""

SERIALIZE_WEIGHT = 4
"""Weight from which on one more crash has it blamed: it is not sent to another
replica by itself, nor while a run of it is under way."""

REPORT_MIN_CRASHES = 2
"""Crashes under a request from which on entries see to it that all know."""

BLOCK_S = 600.0
"""Time for which a request is blocked after its last crash, s; then one run of
it shows whether its service bears it by now."""

MAX_DOUBLINGS = 6
"""Times that the hold doubles, once for each further crash: up to ten hours."""

FORGET_AFTER_BLOCKS = 2
"""Holds after which a request is forgotten."""

MAX_SUSPECTS = 1024
"""Requests remembered at most, 0.6 MB: twice what was under way at a quarter of
50 engines."""

MAX_REPLICA_EXITS = 256
"""Ends of replicas remembered at most."""

MAX_CRASHES_PER_REQUEST = 12
"""Crashes remembered of a request; it is blamed by then."""

SUMMARY_BYTES = 7
"""A number of this size is a signed integer on any wire."""


class CrashWeight(enum.IntEnum):
    """How much a crash speaks against a run that it cut."""
    OLD = 1
    YOUNG = 2


class Crash(typing.NamedTuple):
    """The end of one start of a replica.

    Attributes:
        replica: The replica's id.
        born: When that start began, ms since 1970; 0 where it is not told.
    """
    replica: ids.ReplicaName
    started_at_ms: int = 0


@dataclasses.dataclass
class CrashRecord:
    """A crash under a request.

    Attributes:
        weight: The ``Weight``.
        at: When it was seen, s (monotonic).
    """
    weight: CrashWeight
    seen_at: float


@dataclasses.dataclass
class Suspect:
    """What is known of one request.

    Attributes:
        sightings: ``Crash -> Sighting``.
        ran_at: When a run of it came to its end last, s (monotonic).
    """
    crashes: dict[Crash, CrashRecord] = dataclasses.field(default_factory=dict)
    last_completed_at: float = float('-inf')

    @property
    def last_seen_at(self):
        """When something was seen of it last, s."""
        return max((s.seen_at for s in self.crashes.values()),
                   default=self.last_completed_at)

    def clear_before(self, at):
        """Drops what was seen before a run that ended at ``at``."""
        self.last_completed_at = max(self.last_completed_at, at)
        self.crashes = {
            c: s
            for c, s in self.crashes.items()
            if s.seen_at > self.last_completed_at
        }


class Suspects:
    """Requests under which replicas crashed, by digest."""

    def __init__(self):
        self._suspects = {}
        self._grave = set()
        self._ends = {}
        self._blamed = set()
        self._summary = 0

    def __len__(self):
        return len(self._suspects)

    # -- what was seen ---------------------------------------------------------

    def record_crash(self, digest, crash, weight, at):
        """Notes a crash under a request; returns whether it is news.

        Args:
            digest: The ``ids.RequestDigest``.
            crash: The ``Crash``.
            weight: The ``Weight``.
            at: When it was seen, s (monotonic).
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = Suspect()
        known = suspect.crashes.get(crash)
        if known is not None:
            if weight <= known.weight:
                return False
            known.weight = weight
        elif at <= suspect.last_completed_at or len(
                suspect.crashes) >= MAX_CRASHES_PER_REQUEST:
            return False
        else:
            suspect.crashes[crash] = CrashRecord(weight, at)
            self._note_end(crash, at)
        self._bound(digest)
        self._changed(digest)
        return True

    def record_completion(self, digest, at):
        """Notes that a run came to its end; returns whether that is news."""
        suspect = self._suspects.setdefault(digest, Suspect())
        if at <= suspect.last_completed_at:
            return False
        suspect.clear_before(at)
        self._bound(digest)
        self._changed(digest)
        return True

    def _note_end(self, crash, at):
        self._ends[crash] = min(at, self._ends.get(crash, at))
        if len(self._ends) > MAX_REPLICA_EXITS:
            del self._ends[min(self._ends, key=self._ends.get)]

    def _bound(self, newest):
        if len(self._suspects) > MAX_SUSPECTS:
            least = min((d for d in self._suspects if d != newest),
                        key=lambda d: (len(self._suspects[d].crashes), self.
                                       _suspects[d].last_seen_at))
            del self._suspects[least]
            self._grave.discard(least)

    def expire(self, now):
        """Forgets requests that nothing was seen of for long."""
        old = [
            digest for digest, suspect in self._suspects.items() if now -
            suspect.last_seen_at > FORGET_AFTER_BLOCKS * self._hold_s(digest)
        ]
        for digest in old:
            del self._suspects[digest]
            self._changed(digest)

    # -- what follows ----------------------------------------------------------

    def _changed(self, digest):
        suspect = self._suspects.get(digest)
        if suspect is not None and len(suspect.crashes) >= REPORT_MIN_CRASHES:
            self._grave.add(digest)
        elif digest in self._grave:
            self._grave.remove(digest)
        else:
            return
        self._blame()
        self._summary = self._summed()

    def _blame(self):
        """Finds the guilty, each by the crashes that no other explains."""
        left = [d for d in self._grave if self.weight(d) >= POISON_WEIGHT]
        explained = set()
        self._blamed = set()
        while left:
            weights = {d: self.weight(d, explained) for d in left}
            worst = max(left, key=lambda d: (weights[d], d))
            if weights[worst] < POISON_WEIGHT:
                return
            self._blamed.add(worst)
            explained.update(self._suspects[worst].crashes)
            left.remove(worst)

    def weight(self, digest, explained=frozenset()):
        """Returns how much speaks against a request.

        Args:
            digest: The ``ids.RequestDigest``.
            explained: ``Crash`` objects that another request accounts for.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return 0
        return sum(
            int(CrashWeight.OLD if self._ended_beside_others(suspect, s) else s.
                weight)
            for c, s in suspect.crashes.items()
            if c not in explained)

    def _ended_beside_others(self, suspect, sighting):
        return any(
            abs(at - sighting.seen_at) < COMMON_CAUSE_S and
            crash not in suspect.crashes for crash, at in self._ends.items())

    def _hold_s(self, digest):
        doublings = max(
            0,
            self.weight(digest) - POISON_WEIGHT) // CrashWeight.YOUNG
        return BLOCK_S * 2**min(MAX_DOUBLINGS, doublings)

    def is_blocked(self, digest, now):
        """Returns whether a request must not be sent now."""
        if digest not in self._blamed:
            return False
        suspect = self._suspects[digest]
        return now - suspect.last_seen_at < self._hold_s(digest)

    def must_serialize(self, digest):
        """Returns whether a request is tried at one replica at a time."""
        return self.weight(digest) >= SERIALIZE_WEIGHT

    @property
    def poison_requests(self):
        """The digests blamed, a list."""
        return list(self._blamed)

    # -- for the others --------------------------------------------------------

    def find(self, digest):
        """Returns the ``Suspect`` of a digest, or None."""
        return self._suspects.get(digest)

    def crashes(self, digest):
        """Returns the ``Crash`` objects under a request, oldest first."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return []
        return sorted(suspect.crashes, key=lambda c: suspect.crashes[c].seen_at)

    def reportable(self):
        """Returns the digests that all entries had better know, a list."""
        return list(self._grave)

    @property
    def summary(self):
        """A number that differs where what is grave does.

        Entries that missed a message see by it that they did.
        """
        return self._summary

    def _summed(self):
        number = 0
        for digest in self.reportable():
            found = hashlib.blake2b(digest, digest_size=SUMMARY_BYTES)
            for crash in sorted(self._suspects[digest].crashes):
                found.update(f'{crash.replica}/{crash.started_at_ms};'.encode())
            number ^= int.from_bytes(found.digest(), 'big')
        return number
