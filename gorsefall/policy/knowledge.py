"""The data on replicas and requests that placement decides by."""

import dataclasses
import math

from gorsefall import ids
from gorsefall.policy import entrystatus
from gorsefall.policy import health
from gorsefall.policy import pace
from gorsefall.policy import prompts
from gorsefall.policy import stalls

ERROR_SMOOTHING = 0.15
"""Smoothing of the share of failed responses: over about seven responses."""

PREFILL_SMOOTHING = 0.1
"""Smoothing of the mean prefill of a request: over about ten requests."""

DECODE_HEAVY_MAX_RATIO = 8
"""Prompt tokens for each output token below which a request is decode-heavy.
Prefilling a token takes 0.02 ms and decoding one at least 3 ms, so both kinds
of requests are far from this ratio: chats at 3, the others at 100 and more."""


@dataclasses.dataclass
class ReplicaView(health.Health):
    """What an entry has observed of one replica that may take requests.

    Attributes:
        name: Replica id.
        zone: Its availability zone.
        slots: Requests it runs at once.
        engine: Whether it is a model engine.
        outstanding: Own requests sent there that have not ended.
        pending: Own requests there without a first event.
        prefill_tokens: Prompt tokens still to be prefilled for those.
        decode_heavy: Own requests there that mostly decode.
        others_requests: Requests of other entries as of ``reported_at``,
            including waiting ones.
        others_prefill_tokens: Prompt tokens still to be prefilled for those.
        others_decode_heavy: Those of them that mostly decode.
        mean_prefill_tokens: Smoothed number of prompt tokens to be prefilled
            for a request there.
        reported_at: When its load was last reported, s (monotonic).
        error_share: Smoothed share of failed responses, 0 to 1.
        link: The ``stalls.LinkQuality`` to it.
        pause: A ``pace.Quantile`` of the pauses in its streams, ms.
        prompt_cache: The ``prompts.PromptCache`` there.
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
        """Records the requests that the replica reports as its load."""
        self.others_requests = max(0, running + waiting - self.outstanding)
        queued = max(0, waiting - self.pending)
        self.others_prefill_tokens = queued * self.mean_prefill_tokens
        self.reported_at = now

    def record_others(self, work, now):
        """Records the ``entrystatus.InFlight`` of all others together."""
        self.others_requests = work.requests
        self.others_prefill_tokens = work.prefill_tokens
        self.others_decode_heavy = work.decode_heavy
        self.reported_at = now

    def record_sent(self, tokens, *, decode_heavy=False):
        """Records an own request with ``tokens`` to be prefilled."""
        self.decode_heavy += decode_heavy
        self.outstanding += 1
        self.pending += 1
        self.prefill_tokens += tokens
        self.mean_prefill_tokens += PREFILL_SMOOTHING * (
            tokens - self.mean_prefill_tokens)

    def record_prefilled(self, tokens):
        """Records that the prompt of such a request has been prefilled."""
        self.pending -= 1
        self.prefill_tokens -= tokens

    def record_end(self, *, decode_heavy=False):
        """Records that an own request has ended there."""
        self.outstanding -= 1
        self.decode_heavy -= decode_heavy

    def in_flight(self):
        """Returns the ``entrystatus.InFlight`` of the own requests there."""
        return entrystatus.InFlight(self.outstanding, self.prefill_tokens,
                                    self.decode_heavy)

    def record_response(self, ok):
        """Records whether a response served the caller's request."""
        self.error_share += ERROR_SMOOTHING * ((not ok) - self.error_share)


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """What placement needs to know of a request.

    Attributes:
        zone: Availability zone of the entry.
        parts: Tuple of ``prompts.Part``: the parts of its prompt that other
            requests share.
        tokens: Tokens of the whole prompt.
        tokens_out: Maximum number of output tokens.
        queue_limit_ms: Longest queue that it may be put behind, ms; behind a
            longer one it is refused.
        gap_ms: Target for the longest gap between its events, ms; 0 for none.
    """
    zone: ids.ZoneName
    parts: tuple[prompts.Part, ...] = ()
    tokens: int = 0
    tokens_out: int = 0
    queue_limit_ms: float = math.inf
    gap_ms: float = 0.0

    @property
    def decode_heavy(self):
        """Whether it mostly decodes rather than prefills."""
        return self.tokens < DECODE_HEAVY_MAX_RATIO * self.tokens_out

    @property
    def session(self):
        """Name of the last shared part of its prompt; '' if there is none."""
        return self.parts[-1].name if self.parts else ''

    @property
    def shared_tokens(self):
        """Tokens of all its shared parts."""
        return sum(p.tokens for p in self.parts)

    @property
    def own_tokens(self):
        """Tokens that no other request shares."""
        return self.tokens - self.shared_tokens
