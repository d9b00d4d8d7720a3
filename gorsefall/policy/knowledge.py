"""What an entry knows of a replica, and of a request that goes to one."""

import dataclasses
import math

from gorsefall import ids
from gorsefall.policy import health
from gorsefall.policy import membership
from gorsefall.policy import pace
from gorsefall.policy import prompts
from gorsefall.policy import stalls

ERRORS_SMOOTHING = 0.15

UNREAD_SMOOTHING = 0.1
"""How fast the mean prompt follows: over about ten requests."""

READ_PER_WRITTEN = 8
"""A request that reads fewer prompt tokens than this for each token it may
write spends its time writing. Reading one takes 0.02 ms and writing one 3 ms
and more, so both kinds lie far from it: 3 for chats, 100 and more for the
others."""


@dataclasses.dataclass
class Target(health.Health):
    """What an entry knows of one replica that requests can go to.

    Attributes:
        name: Replica id.
        zone: Its availability zone.
        slots: Requests it runs at once.
        engine: Whether it is a model engine.
        outstanding: Own requests sent there and not ended.
        pending: Own requests whose first event has not come.
        pending_tokens: Prompt tokens that are to be read for those.
        writing: Own requests there that spend their time writing.
        others: Requests of other entries as of ``reported_at``, waiting ones
            included.
        others_tokens: Prompt tokens that are to be read for those.
        others_writing: Those of them that spend their time writing.
        mean_unread: Smoothed prompt tokens to be read for a request there.
        reported_at: When its last load came, s (monotonic).
        error_share: Smoothed share of failed answers, 0 to 1.
        link: The ``stalls.Link`` to it.
        pause: A ``pace.Quantile`` of the pauses in its streams, ms.
        kept: The ``prompts.Kept`` there.
        failures: See ``health.Health``.
        eject_until: See ``health.Health``.
    """
    name: ids.ReplicaName
    zone: ids.ZoneName
    slots: int
    engine: bool
    outstanding: int = 0
    pending: int = 0
    pending_tokens: int = 0
    writing: int = 0
    others: int = 0
    others_tokens: float = 0.0
    others_writing: int = 0
    mean_unread: float = 2048.0
    reported_at: float = float('-inf')
    error_share: float = 0.0
    link: stalls.Link = dataclasses.field(default_factory=stalls.Link)
    pause: pace.Quantile = dataclasses.field(default_factory=pace.pauses)
    kept: prompts.Kept = dataclasses.field(default_factory=prompts.Kept)
    failures: int = 0
    eject_until: float = 0.0

    def report(self, running, waiting, now):
        """Notes how many requests the replica said it runs and lets wait."""
        self.others = max(0, running + waiting - self.outstanding)
        unread = max(0, waiting - self.pending)
        self.others_tokens = unread * self.mean_unread
        self.reported_at = now

    def told(self, row, now):
        """Notes the ``membership.Row`` of all other entries together."""
        self.others = row.requests
        self.others_tokens = row.tokens
        self.others_writing = row.writing
        self.reported_at = now

    def sent(self, tokens, *, writes=False):
        """Notes an own request for which ``tokens`` are to be read."""
        self.writing += writes
        self.outstanding += 1
        self.pending += 1
        self.pending_tokens += tokens
        self.mean_unread += UNREAD_SMOOTHING * (tokens - self.mean_unread)

    def began(self, tokens):
        """Notes that the prompt of such a request is read."""
        self.pending -= 1
        self.pending_tokens -= tokens

    def ended(self, *, writes=False):
        """Notes that an own request is no longer there."""
        self.outstanding -= 1
        self.writing -= writes

    def row(self):
        """Returns the ``membership.Row`` of the own requests there."""
        return membership.Row(self.outstanding, self.pending_tokens,
                              self.writing)

    def answered(self, ok):
        """Notes whether an answer was what the caller needed."""
        self.error_share += ERRORS_SMOOTHING * ((not ok) - self.error_share)


@dataclasses.dataclass(frozen=True)
class Want:
    """What placement needs to know of a request.

    Attributes:
        zone: Availability zone of the entry.
        parts: Tuple of ``prompts.Part``: what its prompt shares with others.
        tokens: Tokens of the whole prompt.
        tokens_out: Tokens it may write.
        limit_ms: Longest queue it may be put behind, ms; behind a longer one
            it would be refused.
        gap_ms: Longest pause between its events for full worth, ms; 0 for
            none.
    """
    zone: ids.ZoneName
    parts: tuple[prompts.Part, ...] = ()
    tokens: int = 0
    tokens_out: int = 0
    limit_ms: float = math.inf
    gap_ms: float = 0.0

    @property
    def writes(self):
        """Whether its time goes into writing rather than into reading."""
        return self.tokens < READ_PER_WRITTEN * self.tokens_out

    @property
    def session(self):
        """Name of the shared part its prompt goes on from; '' if none."""
        return self.parts[-1].name if self.parts else ''

    @property
    def shared_tokens(self):
        """Tokens up to the end of that part."""
        return sum(p.tokens for p in self.parts)

    @property
    def own_tokens(self):
        """Tokens that no other request has."""
        return self.tokens - self.shared_tokens
