"""Entries: what each knows of the engines, from itself and from the others."""

import math

from gorsefall.emulator import policies
from gorsefall.policy import knowledge
from gorsefall.policy import peerview
from gorsefall.policy import placement
from gorsefall.policy import prompts
from gorsefall.policy import unreported


class Entry:
    """One entry's view.

    Attributes:
        targets: ``engine name -> target.Target``.
        service: Its ``placement.ServiceState``.
        view: The ``peerview.PeerView`` of the other entries' work.
    """

    def __init__(self, number, site, names):
        self.targets = {
            name:
                knowledge.ReplicaView(name=name,
                                      zone='z',
                                      slots=site.engines.slots,
                                      engine=True,
                                      prompt_cache=prompts.PromptCache(
                                          site.engines.kv_tokens))
            for name in names
        }
        self.service = placement.ServiceState(fetch_ms=site.engines.fetch_ms,
                                              event_tokens=site.engines.stride)
        self.view = peerview.PeerView(f'entry-{number}', self.targets.get)
        self._seq = 0
        self._site = site
        self._asked = 0

    def status(self, now_ms):
        """Returns the ``membership.Status`` that it tells the others."""
        self._seq += 1
        return self.view.build_status(0, self._seq, self.targets.values(),
                                      now_ms / 1000)

    def receive_status(self, status, now_ms):
        """Takes in what another entry tells."""
        self.view.record_status(status.name, status, now_ms / 1000)

    def decide(self, req, policy, limit_ms, now_ms, rng):
        """Returns a ``placement.Choice`` for ``req``, or ``Refused``."""
        now = now_ms / 1000
        self.view.update_views(self.targets.values(), now)
        self._asked += 1
        self.service.unreported.arrivals = self._others(now)
        return policy(
            policies.PlacementRequest(list(self.targets.values()),
                                      _want(req, limit_ms), self.service, now,
                                      rng))

    def _others(self, now):
        """Returns the ``unseen.Arrivals`` of the other entries."""
        others = self._site.entries - 1
        return unreported.Arrivals(per_s=others * self._asked / max(1.0, now),
                                   age_s=self._site.exchange_ms / 2000)

    def record_sent(self, req, choice, now_ms):
        """Notes that ``req`` went out."""
        req.target, req.choice, req.sent_ms = choice.target, choice, now_ms
        req.last_contact_ms = now_ms
        self.view.record_prompt(req.target, _want(req).parts, now_ms / 1000)
        req.target.record_sent(choice.prefill_tokens,
                               decode_heavy=_want(req).decode_heavy)

    def record_first_event(self, req, now_ms):
        """Notes the first event of ``req``."""
        req.target.record_prefilled(req.choice.prefill_tokens)
        self.service.speed.record_start(
            now_ms - req.sent_ms,
            req.choice.prefill_tokens_ahead + req.choice.prefill_tokens,
            req.choice.slowness)

    def record_end(self, req, now_ms):
        """Notes that ``req`` is no longer at its engine."""
        if not req.decoded:
            req.target.record_prefilled(req.choice.prefill_tokens)
        req.target.record_end(decode_heavy=_want(req).decode_heavy)
        if req.decoded >= req.tokens_out:
            self.service.speed.residence.record(now_ms - req.sent_ms)


def _want(req, limit_ms=math.inf):
    """Returns the ``knowledge.RequestProfile`` of ``req``."""
    return knowledge.RequestProfile(zone='z',
                                    parts=(prompts.Part(req.session,
                                                        req.kind.shared),),
                                    tokens=req.prompt,
                                    tokens_out=req.tokens_out,
                                    queue_limit_ms=limit_ms,
                                    gap_ms=req.kind.gap_ms)
