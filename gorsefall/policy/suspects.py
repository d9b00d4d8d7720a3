"""What crashes the replicas that run it, by all entries' reports.

Every request that ran at a replica when its process exited becomes a suspect,
and each part of its prompt that other requests may share, and at most one of
them caused the exit. A completed run clears a request; a run that goes on for
some time after its first event clears its parts. ``blame`` finds causes among
the remaining suspects: the crashes that one explains no longer count against
any other. Replicas that exit at the same time have a common cause, whichever it
is: such a burst counts once, not for each replica, and counts less if some of
them did not run the suspect. So does a crash under a part of which runs went on
shortly before. Reports of several entries merge in any order and may be
repeated: each crash counts once.
"""

import hashlib
import typing

from gorsefall.policy import blame
from gorsefall.policy import crashrecords
from gorsefall.policy import replicaexits

BLAME_WEIGHT = 6
"""Total crash weight from which on a suspect is the cause: three crashes under
young runs."""

SERIALIZE_WEIGHT = 4
"""Total crash weight from which on requests run at one replica at a time: one
more crash may show the cause, so they are neither retried automatically nor
sent to a second replica while a run is in progress."""

REPORT_MIN_CRASHES = 2
"""Crashes under a suspect from which on entries make sure that every other
entry has received them."""

BLOCK_S = 600.0
"""Time for which a cause is blocked after its last crash, s. After it one run
shows whether the service can handle it by now."""

SURVIVED_BLOCK_S = 20.0
"""The same for a part of which runs went on shortly before its crashes, s: it
may be blamed wrongly, and then all that share it wait."""

POPULAR_BLOCK_S = 3.0
"""The same for a part that many requests share, and for what is in doubt, s:
after an outage of most replicas, nothing but its own runs can clear it."""

DOUBT_WINDOW_S = 20.0
"""Time before the last crash under a cause in which crashes without it are
counted, s: if replicas crash more seldom, hardly anything is there three times
by chance."""

POPULAR_BLOCK_FACTOR = 4
"""Factor by which that time grows with each further crash, so that a part that
does crash replicas is tried three times in two minutes."""

MAX_DOUBLINGS = 6
"""Maximum number of times that the block time doubles, once for each further
crash: up to ten hours."""

FORGET_AFTER_BLOCKS = 4
"""Block times after the last report until a suspect is forgotten."""

MAX_SUSPECTS = 4096
"""Maximum number of suspects kept: all parts of three engines full of requests,
so that requests with many parts of their own do not push out others."""

EVICTED_FRACTION = 4
"""A quarter of the suspects are dropped at once when there are too many."""

MAX_CRASHES_PER_SUSPECT = 12
"""Maximum number of crashes kept for a suspect: the latest ones, but first of
all one of each burst."""

SUMMARY_BYTES = 7
"""Size of the summary: with 8 bytes it could exceed a signed 64-bit integer,
which not every encoding can carry."""


class _Conclusions(typing.NamedTuple):
    """What follows from all reports.

    Attributes:
        causes: The ``blame.Cause`` objects found, a list.
        to_serialize: Those for which requests run alone, a list.
        summary: See ``Suspects.summary``.
        doubtful: Digests of the causes that are in doubt, a frozenset; see
            ``Suspects.is_doubtful``.
    """
    causes: list = []
    to_serialize: list = []
    summary: int = 0
    doubtful: frozenset = frozenset()


class Suspects:
    """What replicas crashed under, by digest."""

    def __init__(self, is_popular=lambda digest: False):
        """Creates a book without crashes.

        Args:
            is_popular: Returns whether many requests share a part.
        """
        self._is_popular = is_popular
        self._suspects = {}
        self._reportable = set()
        self._exits = replicaexits.ReplicaExits()
        self._conclusions = _Conclusions()
        self._is_stale = False

    def __len__(self):
        return len(self._suspects)

    # -- recording -------------------------------------------------------------

    def record_crash(self,
                     digest,
                     crash,
                     weight,
                     at,
                     *,
                     companions=frozenset(),
                     survived_before=False,
                     burst=1):
        """Records a crash under a suspect.

        Args:
            digest: The digest of a request or part.
            crash: The ``crashrecords.Crash``.
            weight: The ``crashrecords.CrashWeight``.
            at: When it was observed, s (monotonic).
            companions: Digests of all that was there in the run.
            survived_before: Whether runs of the suspect went on shortly before.
            burst: Number of replicas that are known to have exited then.

        Returns:
            True if this was not known before.
        """
        record = crashrecords.CrashRecord(weight, at, companions | {digest},
                                          survived_before, burst)
        is_new = self._add(digest, crash, record)
        if is_new:
            self._update((digest,))
        return is_new

    def record_broken_run(self, survived_before, crash, weight, at, burst=1):
        """Records a crash under all that was there in a run.

        Args:
            survived_before: ``digest -> bool`` of the request and its parts;
                see ``record_crash``.
            crash: The ``crashrecords.Crash``.
            weight: The ``crashrecords.CrashWeight``.
            at: When it was observed, s (monotonic).
            burst: Number of replicas that are known to have exited then.

        Returns:
            True if any of it was not known before.
        """
        companions = frozenset(survived_before)
        new = [
            digest for digest, survived in survived_before.items() if self._add(
                digest, crash,
                crashrecords.CrashRecord(weight, at, companions, survived,
                                         burst))
        ]
        self._update(new)
        return bool(new)

    def _add(self, digest, crash, record):
        """Adds a ``crashrecords.CrashRecord``; returns whether it says more."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = crashrecords.Suspect()
        if self._exits.record(crash, record.seen_at):
            # It may be one of a burst that counts against other suspects.
            self._is_stale = True
        known = suspect.crashes.get(crash)
        if known is not None:
            says_more = known.merge(record)
            # Messages only make a crash later: it may be older than a run.
            suspect.clear_before(suspect.cleared_at)
            return says_more
        if record.seen_at <= suspect.cleared_at:
            return False
        suspect.crashes[crash] = record
        if len(suspect.crashes) > MAX_CRASHES_PER_SUSPECT:
            dropped = self._least_telling(suspect)
            del suspect.crashes[dropped]
            if dropped == crash:
                return False
        self._evict(digest)
        return True

    def _least_telling(self, suspect):
        """Returns the oldest crash of the burst that has most under a suspect.

        Without the burst of many replicas, their crashes would push out the
        earlier ones that show the cause.
        """

        def seen_at(crash):
            return suspect.crashes[crash].seen_at, crash

        oldest_first = sorted(suspect.crashes, key=seen_at)
        _, crashes = max(self._exits.group(oldest_first),
                         key=lambda group: len(group[1]))
        return crashes[0]

    def record_clearing(self, digest, at):
        """Records that a run cleared a suspect at ``at``, s (monotonic).

        Returns:
            False if a later one was recorded before.
        """
        suspect = self._suspects.setdefault(digest, crashrecords.Suspect())
        if at <= suspect.cleared_at:
            return False
        suspect.clear_before(at)
        self._evict(digest)
        self._update((digest,))
        return True

    def is_refuted(self, digest, at):
        """Returns whether a run cleared a suspect after a crash at ``at``."""
        suspect = self._suspects.get(digest)
        return suspect is not None and at <= suspect.cleared_at

    def _evict(self, newest):
        """Drops the suspects with the fewest crashes if there are too many.

        Many at once, as finding them takes long.
        """
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        by_weight = sorted(
            (d for d in self._suspects if d != newest),
            key=lambda d:
            (len(self._suspects[d].crashes), self._suspects[d].last_seen_at))
        victims = by_weight[:MAX_SUSPECTS // EVICTED_FRACTION]
        for digest in victims:
            del self._suspects[digest]
        self._update(victims)

    def expire(self, now):
        """Forgets suspects without a report for ``FORGET_AFTER_BLOCKS``.

        Returns:
            Their digests, a list.
        """
        expired = [
            digest for digest, suspect in self._suspects.items()
            if now - suspect.last_seen_at > FORGET_AFTER_BLOCKS *
            self._full_block_s(digest)
        ]
        for digest in expired:
            del self._suspects[digest]
        self._update(expired)
        return expired

    # -- conclusions -----------------------------------------------------------

    def _update(self, changed):
        """Notes reports on some digests; conclusions are drawn when needed."""
        grave = {d for d in changed if self._is_reportable(d)}
        if not grave and self._reportable.isdisjoint(changed):
            return
        self._reportable.difference_update(changed)
        self._reportable |= grave
        self._is_stale = True

    def _conclude(self):
        """Returns the current ``_Conclusions``."""
        if self._is_stale:
            self._is_stale = False
            grave = blame.find_causes(self, self._reportable, SERIALIZE_WEIGHT)
            causes = blame.find_causes(self, self._reportable,
                                       BLAME_WEIGHT) if grave else []
            self._conclusions = _Conclusions(causes, grave,
                                             self._compute_summary(),
                                             self._find_doubtful(causes))
        return self._conclusions

    def _find_doubtful(self, causes):
        """Returns the digests of the causes that are in doubt, a frozenset."""
        return frozenset(
            cause.digest for cause in causes if self._crashes_anyway(
                cause.digest, {
                    crash for other in causes if other is not cause
                    for crash in self._suspects[other.digest].crashes
                }))

    def _crashes_anyway(self, digest, explained):
        """Returns whether replicas crash as often without a suspect.

        Args:
            digest: The digest of a request or part.
            explained: ``crashrecords.Crash`` objects that something else
                accounts for.
        """
        suspect = self._suspects[digest]
        if len(suspect.crashes) >= MAX_CRASHES_PER_SUSPECT:
            # Others under it may no longer be known as such.
            return False
        since = suspect.last_seen_at - DOUBT_WINDOW_S
        bursts = self._exits.group(
            self._exits.seen_between(since, suspect.last_seen_at))
        without = sum(suspect.crashes.keys().isdisjoint(burst) and
                      not explained.issuperset(crashes)
                      for burst, crashes in bursts)
        return without >= self._exits.count_bursts(suspect.crashes)

    @property
    def causes(self):
        """The ``blame.Cause`` objects found, a list."""
        return self._conclude().causes

    @property
    def summary(self):
        """A hash over the reportable suspects and their crashes.

        An entry whose own summary differs has missed a message.
        """
        return self._conclude().summary

    def _is_reportable(self, digest):
        suspect = self._suspects.get(digest)
        return suspect is not None and len(
            suspect.crashes) >= REPORT_MIN_CRASHES

    def weight(self, digest, explained=frozenset()):
        """Returns the total crash weight of a suspect.

        Args:
            digest: The digest of a request or part.
            explained: ``crashrecords.Crash`` objects that something else
                accounts for.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return 0
        return sum(
            self._burst_weight(burst, [suspect.crashes[c]
                                       for c in crashes], suspect)
            for burst, crashes in self._exits.group(
                c for c in suspect.crashes if c not in explained))

    def _burst_weight(self, burst, records, suspect):
        """Returns how much a burst of exits counts against a suspect.

        Args:
            burst: The ``crashrecords.Crash`` objects of the burst.
            records: The ``crashrecords.CrashRecord`` objects to count.
            suspect: The ``crashrecords.Suspect``.
        """
        reported = max(record.burst for record in records)
        if (any(record.survived_before for record in records) or
                not burst <= suspect.crashes.keys() or len(burst) < reported):
            return int(crashrecords.CrashWeight.OLD)
        return max(int(record.weight) for record in records)

    def burst_size(self, crash):
        """Returns how many replicas exited at the moment of a crash."""
        return self._exits.burst_size(crash)

    def count_bursts_without(self, digest, explained):
        """Returns the number of bursts of crashes under a suspect.

        Args:
            digest: The digest of a request or part.
            explained: ``crashrecords.Crash`` objects that do not count.
        """
        return self._exits.count_bursts(
            c for c in self.crashes(digest) if c not in explained)

    def survived_before(self, digest):
        """Returns whether runs of a suspect went on shortly before a crash."""
        suspect = self._suspects.get(digest)
        return suspect is not None and any(
            r.survived_before for r in suspect.crashes.values())

    def is_doubtful(self, digest):
        """Returns whether a cause may only have been there as replicas crashed.

        Replicas have crashed about as often without it, and nothing explains
        why: one more run of it says more than its crashes.
        """
        return digest in self._conclude().doubtful

    def companions(self, digest):
        """Returns what was always there with a suspect, and its own digest."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.crashes:
            return frozenset((digest,))
        return frozenset.intersection(
            *(r.companions for r in suspect.crashes.values()))

    def _block_s(self, digest):
        """Returns after how long one run of a cause is tried, s."""
        if not self._is_popular(digest) and not self.is_doubtful(digest):
            return self._full_block_s(digest)
        return min(
            self._full_block_s(digest),
            POPULAR_BLOCK_S * POPULAR_BLOCK_FACTOR**self._further(digest))

    def _full_block_s(self, digest):
        base_s = SURVIVED_BLOCK_S if self.survived_before(digest) else BLOCK_S
        return base_s * 2**min(MAX_DOUBLINGS, self._further(digest))

    def _further(self, digest):
        """Returns the number of clear crashes beyond those that blame."""
        weight = max(0, self.weight(digest) - BLAME_WEIGHT)
        return weight // crashrecords.CrashWeight.YOUNG

    def blocked_for_s(self, digest, now):
        """Returns the time until one run of a cause is tried, s."""
        block_s = self._block_s(digest)
        return block_s - (now - self._suspects[digest].last_seen_at) % block_s

    def blocking_cause(self, digests, now, may_try=lambda digest, turn: True):
        """Returns the ``blame.Cause`` for which a request must not be sent now.

        Args:
            digests: The digests of the request, a frozenset.
            now: Time, s (monotonic).
            may_try: Returns whether this entry may run a cause whose block time
                is over. It gets the digest and the number of block times.

        Returns:
            The cause, or None.
        """
        return next(self.blocking_causes(digests, now, may_try), None)

    def blocking_causes(self, digests, now, may_try):
        """Yields all ``blame.Cause`` objects; see ``blocking_cause``."""
        for cause in self.causes:
            if cause.combination <= digests:
                turn = self._block_times(cause.digest, now)
                if not turn or not may_try(cause.digest, turn):
                    yield cause

    def _block_times(self, digest, now):
        """Returns how many block times have passed since the last crash."""
        since_s = now - self._suspects[digest].last_seen_at
        return max(0, int(since_s // self._block_s(digest)))

    def is_blocked(self, digest, now):
        """Returns whether a request that is only that must not be sent now."""
        return self.blocking_cause(frozenset((digest,)), now) is not None

    def serialized(self, digests):
        """Returns those digests of a request for which it runs alone, a set.

        Args:
            digests: The digests of the request, a frozenset.
        """
        found = set()
        conclusions = self._conclude()
        # The lower threshold may find a request that explains most crashes of
        # its part, and then not that part.
        for cause in (*conclusions.to_serialize, *conclusions.causes):
            if cause.combination <= digests:
                found |= cause.combination
        return found

    def is_grave(self, digest):
        """Returns whether requests may run alone for a suspect."""
        return self.weight(digest) >= SERIALIZE_WEIGHT

    @property
    def blamed(self):
        """The digests of all causes, a list."""
        return [cause.digest for cause in self.causes]

    @property
    def lasting(self):
        """The digests of what a restart of all entries must not lose, a list.

        One more crash may show a cause, and a restart would cost two more.
        """
        grave = [cause.digest for cause in self._conclude().to_serialize]
        return sorted({*grave, *self.blamed})

    # -- exchange with other entries -------------------------------------------

    def find(self, digest):
        """Returns the ``crashrecords.Suspect`` of a digest, or None."""
        return self._suspects.get(digest)

    def crashes(self, digest):
        """Returns the ``crashrecords.Crash`` objects of a suspect, in order."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return []
        return sorted(suspect.crashes, key=lambda c: suspect.crashes[c].seen_at)

    def reportable(self):
        """Returns the digests that all entries should receive, a list."""
        return list(self._reportable)

    def _compute_summary(self):
        summary = 0
        for digest in self.reportable():
            hasher = hashlib.blake2b(digest, digest_size=SUMMARY_BYTES)
            for crash in sorted(self._suspects[digest].crashes):
                hasher.update(
                    f'{crash.replica}/{crash.started_at_ms};'.encode())
            summary ^= int.from_bytes(hasher.digest(), 'big')
        return summary
