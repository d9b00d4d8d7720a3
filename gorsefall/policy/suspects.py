"""Which requests crash the replicas that run them, by all entries' reports.

Every request that ran at a replica when its process exited becomes a suspect,
and at most one of them caused the exit. A completed run clears a request. Of
the remaining suspects, the one with the highest crash weight is the poison
request, and the crashes that it explains no longer count against any other
suspect. A crash weighs less if other replicas exited at the same time without
this request: such exits have a common cause. Reports of several entries merge
in any order and may be repeated: each crash counts once.
"""

import dataclasses
import enum
import hashlib
import typing

from gorsefall import ids

YOUNG_RUN_S = 0.5
"""Age since its first event up to which a run counts as young, s: a request
that crashes its replica does so at the start of its run."""

COMMON_CAUSE_S = 0.1
"""Time within which exits of several replicas have a common cause, s. Entries
observe an exit with an error of about 10 ms."""

POISON_WEIGHT = 6
"""Total crash weight from which on a request is a poison request: three crashes
under young runs."""

SERIALIZE_WEIGHT = 4
"""Total crash weight from which on a request runs at one replica at a time: one
more crash may make it a poison request, so it is neither retried automatically
nor sent to a second replica while a run of it is in progress."""

REPORT_MIN_CRASHES = 2
"""Crashes under a request from which on entries make sure that every other
entry has received them."""

BLOCK_S = 600.0
"""Time for which a poison request is blocked after its last crash, s. After it
one run shows whether the service can handle the request by now."""

MAX_DOUBLINGS = 6
"""Maximum number of times that the block time doubles, once for each further
crash: up to ten hours."""

FORGET_AFTER_BLOCKS = 2
"""Block times after the last report until a request is forgotten."""

MAX_PARTS_PER_REQUEST = 32
"""Maximum number of parts of a prompt that are tracked, the first ones."""

MAX_SUSPECTS = 1024
"""Maximum number of requests kept; they take 0.6 MB. It is twice the number of
requests in progress at a quarter of 50 engines."""

MAX_REPLICA_EXITS = 256
"""Maximum number of replica exits kept to detect common causes; the oldest are
dropped first."""

MAX_CRASHES_PER_REQUEST = 12
"""Maximum number of crashes kept for a request; it is a poison request by
then."""

SUMMARY_BYTES = 7
"""Size of the summary: with 8 bytes it could exceed a signed 64-bit integer,
which not every encoding can carry."""


class CrashWeight(enum.IntEnum):
    """How strongly a crash counts against a request that ran at the replica.

    Young runs count more: see ``YOUNG_RUN_S``.
    """
    OLD = 1
    YOUNG = 2


class PossibleCauses(typing.NamedTuple):
    """What a replica may crash of as it runs a request.

    Attributes:
        request: The ``ids.RequestDigest`` of the whole request; None before
            its account is known.
        parts: The ``ids.PartDigest`` objects of the parts of its prompt that
            other requests may share.
    """
    request: ids.RequestDigest | None
    parts: tuple[ids.PartDigest, ...] = ()


class Crash(typing.NamedTuple):
    """The unexpected exit of one incarnation of a replica.

    Attributes:
        replica: The replica's id.
        started_at_ms: When the incarnation started, ms since 1970; 0 if not
            known.
    """
    replica: ids.ReplicaName
    started_at_ms: int = 0


@dataclasses.dataclass
class CrashRecord:
    """A crash under a request.

    Attributes:
        weight: The ``CrashWeight``.
        seen_at: When the crash was observed, s (monotonic).
    """
    weight: CrashWeight
    seen_at: float


@dataclasses.dataclass
class Suspect:
    """The reports on one request.

    Attributes:
        crashes: ``Crash -> CrashRecord``.
        last_completed_at: When a run of it was last completed, s (monotonic).
    """
    crashes: dict[Crash, CrashRecord] = dataclasses.field(default_factory=dict)
    last_completed_at: float = float('-inf')

    @property
    def last_seen_at(self):
        """Time of the last report on the request, s."""
        return max((r.seen_at for r in self.crashes.values()),
                   default=self.last_completed_at)

    def clear_before(self, at):
        """Drops the crashes before a run that was completed at ``at``."""
        self.last_completed_at = max(self.last_completed_at, at)
        self.crashes = {
            c: r
            for c, r in self.crashes.items()
            if r.seen_at > self.last_completed_at
        }


class Suspects:
    """Requests under which replicas crashed, by digest."""

    def __init__(self):
        self._suspects = {}
        self._reportable = set()
        self._exits = {}
        self._poison = set()
        self._summary = 0

    def __len__(self):
        return len(self._suspects)

    # -- recording -------------------------------------------------------------

    def record_crash(self, digest, crash, weight, at):
        """Records a crash under a request.

        Args:
            digest: The ``ids.RequestDigest``.
            crash: The ``Crash``.
            weight: The ``CrashWeight``.
            at: When it was observed, s (monotonic).

        Returns:
            True if the crash was not recorded before, or only with a lower
            weight.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = Suspect()
        known = suspect.crashes.get(crash)
        if known is not None:
            if weight <= known.weight:
                return False
            known.weight = weight
        elif (at <= suspect.last_completed_at or
              len(suspect.crashes) >= MAX_CRASHES_PER_REQUEST):
            return False
        else:
            suspect.crashes[crash] = CrashRecord(weight, at)
            self._record_exit(crash, at)
        self._evict(digest)
        self._update(digest)
        return True

    def record_completion(self, digest, at):
        """Records that a run was completed at ``at``, s (monotonic).

        Returns:
            False if a later completion was recorded before.
        """
        suspect = self._suspects.setdefault(digest, Suspect())
        if at <= suspect.last_completed_at:
            return False
        suspect.clear_before(at)
        self._evict(digest)
        self._update(digest)
        return True

    def _record_exit(self, crash, at):
        self._exits[crash] = min(at, self._exits.get(crash, at))
        if len(self._exits) > MAX_REPLICA_EXITS:
            del self._exits[min(self._exits, key=self._exits.get)]

    def _evict(self, newest):
        if len(self._suspects) > MAX_SUSPECTS:
            victim = min((d for d in self._suspects if d != newest),
                         key=lambda d: (len(self._suspects[d].crashes), self.
                                        _suspects[d].last_seen_at))
            del self._suspects[victim]
            self._reportable.discard(victim)

    def expire(self, now):
        """Forgets requests without a report for ``FORGET_AFTER_BLOCKS``."""
        expired = [
            digest for digest, suspect in self._suspects.items() if now -
            suspect.last_seen_at > FORGET_AFTER_BLOCKS * self._block_s(digest)
        ]
        for digest in expired:
            del self._suspects[digest]
            self._update(digest)

    # -- conclusions -----------------------------------------------------------

    def _update(self, digest):
        suspect = self._suspects.get(digest)
        if suspect is not None and len(suspect.crashes) >= REPORT_MIN_CRASHES:
            self._reportable.add(digest)
        elif digest in self._reportable:
            self._reportable.remove(digest)
        else:
            return
        self._find_poison_requests()
        self._summary = self._compute_summary()

    def _find_poison_requests(self):
        """Finds poison requests by the crashes that no other one explains."""
        remaining = [
            d for d in self._reportable if self.weight(d) >= POISON_WEIGHT
        ]
        explained = set()
        self._poison = set()
        while remaining:
            weights = {d: self.weight(d, explained) for d in remaining}
            heaviest = max(remaining, key=lambda d: (weights[d], d))
            if weights[heaviest] < POISON_WEIGHT:
                return
            self._poison.add(heaviest)
            explained.update(self._suspects[heaviest].crashes)
            remaining.remove(heaviest)

    def weight(self, digest, explained=frozenset()):
        """Returns the total crash weight of a request.

        Args:
            digest: The ``ids.RequestDigest``.
            explained: ``Crash`` objects that another request accounts for.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return 0
        return sum(
            int(CrashWeight.OLD if self._has_common_cause(suspect, r) else r.
                weight)
            for c, r in suspect.crashes.items()
            if c not in explained)

    def _has_common_cause(self, suspect, record):
        return any(
            abs(at - record.seen_at) < COMMON_CAUSE_S and
            crash not in suspect.crashes for crash, at in self._exits.items())

    def _block_s(self, digest):
        doublings = max(
            0,
            self.weight(digest) - POISON_WEIGHT) // CrashWeight.YOUNG
        return BLOCK_S * 2**min(MAX_DOUBLINGS, doublings)

    def is_blocked(self, digest, now):
        """Returns whether a request must not be sent now."""
        if digest not in self._poison:
            return False
        suspect = self._suspects[digest]
        return now - suspect.last_seen_at < self._block_s(digest)

    def must_serialize(self, digest):
        """Returns whether a request may run at one replica at a time only."""
        return self.weight(digest) >= SERIALIZE_WEIGHT

    @property
    def poison_requests(self):
        """The digests of all poison requests, a list."""
        return list(self._poison)

    # -- exchange with other entries -------------------------------------------

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
        """Returns the digests that all entries should receive, a list."""
        return list(self._reportable)

    @property
    def summary(self):
        """A hash over the reportable requests and their crashes.

        An entry whose own summary differs has missed a message.
        """
        return self._summary

    def _compute_summary(self):
        summary = 0
        for digest in self.reportable():
            hasher = hashlib.blake2b(digest, digest_size=SUMMARY_BYTES)
            for crash in sorted(self._suspects[digest].crashes):
                hasher.update(
                    f'{crash.replica}/{crash.started_at_ms};'.encode())
            summary ^= int.from_bytes(hasher.digest(), 'big')
        return summary
