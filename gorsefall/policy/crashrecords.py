"""Crashes of replicas, and what they are recorded under."""

import dataclasses
import enum
import typing

from gorsefall import ids

YOUNG_RUN_S = 0.5
"""Age since its first event up to which a run counts as young, s: a request
that crashes its replica does so at the start of its run."""

MAX_PARTS_PER_REQUEST = 16
"""Maximum number of parts of a prompt that are tracked, the first ones."""


class CrashWeight(enum.IntEnum):
    """How strongly a crash counts against what ran at the replica.

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

    @property
    def digests(self):
        """All of their digests, a frozenset."""
        return frozenset((self.request, *self.parts))


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
    """A crash under a suspect.

    Attributes:
        weight: The ``CrashWeight`` of the run.
        seen_at: When the crash was observed, s (monotonic).
        companions: Digests of all that was there in each run of the suspect at
            the replica, a frozenset.
        survived_before: Whether runs of the suspect went on shortly before.
        burst: Number of replicas that exited at that moment, as far as those
            know who reported it.
    """
    weight: CrashWeight
    seen_at: float
    companions: frozenset
    survived_before: bool = False
    burst: int = 1

    def merge(self, other):
        """Adds another report of the crash; returns whether it says more."""
        merged = CrashRecord(max(self.weight, other.weight),
                             min(self.seen_at, other.seen_at),
                             self.companions & other.companions,
                             self.survived_before or other.survived_before,
                             max(self.burst, other.burst))
        if merged == self:
            return False
        self.weight, self.seen_at = merged.weight, merged.seen_at
        self.companions = merged.companions
        self.survived_before, self.burst = merged.survived_before, merged.burst
        return True


@dataclasses.dataclass
class Suspect:
    """The reports on one request, or one part of prompts.

    Attributes:
        crashes: ``Crash -> CrashRecord``.
        cleared_at: When a run last cleared it, s (monotonic).
    """
    crashes: dict[Crash, CrashRecord] = dataclasses.field(default_factory=dict)
    cleared_at: float = float('-inf')

    @property
    def last_seen_at(self):
        """Time of the last report on it, s."""
        return max((r.seen_at for r in self.crashes.values()),
                   default=self.cleared_at)

    def clear_before(self, at):
        """Drops the crashes before a run that cleared it at ``at``."""
        self.cleared_at = max(self.cleared_at, at)
        self.crashes = {
            c: r for c, r in self.crashes.items() if r.seen_at > self.cleared_at
        }
