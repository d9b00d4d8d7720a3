"""What an entry knows of a replica, and of a request that goes to one."""

import dataclasses
import math

from gorsefall import ids
from gorsefall.policy import health
from gorsefall.policy import membership
from gorsefall.policy import pace
from gorsefall.policy import prompts
from gorsefall.policy import stalls

ERROR_SMOOTHING = 0.15

PREFILL_SMOOTHING = 0.1
"""How fast the mean prompt follows: over about ten requests."""

DECODE_HEAVY_MAX_RATIO = 8
"""A request that reads fewer prompt tokens than this for each token it may
write spends its time writing. Reading one takes 0.02 ms and writing one 3 ms
and more, so both kinds lie far from it: 3 for chats, 100 and more for the
others."""


@dataclasses.dataclass
class ReplicaView(health.Health):
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
        link: The ``stalls.LinkQuality`` to it.
        pause: A ``pace.Quantile`` of the pauses in its streams, ms.
        kept: The ``prompts.PromptCache`` there.
        failures: See ``health.Health``.
        eject_until: See ``health.Health``.
    """
    name: ids.ReplicaName
    zone: ids.ZoneName
    slots: int
    engine: bool
    outstanding: int = 0
    pending: int = 0
    prefill_tokens: int = 0
    decode_heavy: int = 0
    others_requests: int = 0
    others_prefill_tokens: float = 0.0
    others_decode_heavy: int = 0
    mean_prefill_tokens: float = 2048.0
    reported_at: float = float('-inf')
    error_share: float = 0.0
    link: stalls.LinkQuality = dataclasses.field(
        default_factory=stalls.LinkQuality)
    pause: pace.Quantile = dataclasses.field(
        default_factory=pace.pause_quantile)
    prompt_cache: prompts.PromptCache = dataclasses.field(
        default_factory=prompts.PromptCache)
    failures: int = 0
    eject_until: float = 0.0

    def record_load(self, running, waiting, now):
        """Notes how many requests the replica said it runs and lets wait."""
        self.others_requests = max(0, running + waiting - self.outstanding)
        unread = max(0, waiting - self.pending)
        self.others_prefill_tokens = unread * self.mean_prefill_tokens
        self.reported_at = now

    def record_others(self, row, now):
        """Notes the ``membership.InFlight`` of all other entries together."""
        self.others_requests = row.requests
        self.others_prefill_tokens = row.prefill_tokens
        self.others_decode_heavy = row.decode_heavy
        self.reported_at = now

    def record_sent(self, tokens, *, decode_heavy=False):
        """Notes an own request for which ``tokens`` are to be read."""
        self.decode_heavy += decode_heavy
        self.outstanding += 1
        self.pending += 1
        self.prefill_tokens += tokens
        self.mean_prefill_tokens += PREFILL_SMOOTHING * (
            tokens - self.mean_prefill_tokens)

    def record_prefilled(self, tokens):
        """Notes that the prompt of such a request is read."""
        self.pending -= 1
        self.prefill_tokens -= tokens

    def record_end(self, *, decode_heavy=False):
        """Notes that an own request is no longer there."""
        self.outstanding -= 1
        self.decode_heavy -= decode_heavy

    def in_flight(self):
        """Returns the ``membership.InFlight`` of the own requests there."""
        return membership.InFlight(self.outstanding, self.prefill_tokens,
                                   self.decode_heavy)

    def record_response(self, ok):
        """Notes whether an answer was what the caller needed."""
        self.error_share += ERROR_SMOOTHING * ((not ok) - self.error_share)


@dataclasses.dataclass(frozen=True)
class RequestProfile:
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
    queue_limit_ms: float = math.inf
    gap_ms: float = 0.0

    @property
    def decode_heavy(self):
        """Whether its time goes into writing rather than into reading."""
        return self.tokens < DECODE_HEAVY_MAX_RATIO * self.tokens_out

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
