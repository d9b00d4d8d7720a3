"""Simulates an entry: its view of the engines and its placement decisions."""

import math

from gorsefall.emulator import policies
from gorsefall.policy import knowledge
from gorsefall.policy import peerview
from gorsefall.policy import placement
from gorsefall.policy import prompts
from gorsefall.policy import unreported

SERVICE = 's'


class Entry:
    """One entry.

    Attributes:
        targets: ``engine name -> knowledge.ReplicaView``.
        service: The ``placement.ServiceState``.
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
        self._request_count = 0

    def status(self, now_ms):
        """Returns the ``entrystatus.Status`` to send to the other entries."""
        self._seq += 1
        return self.view.build_status(
            0,
            self._seq,
            self.targets.values(),
            now_ms / 1000,
            decode_engines={SERVICE: self.service.partition.own_count})

    def receive_status(self, status, now_ms):
        """Records the ``entrystatus.Status`` of another entry."""
        self.view.record_status(status.name, status, now_ms / 1000)
        self.service.partition.record_reports(
            self.view.members.decode_engines(SERVICE))

    def decide(self, req, policy, limit_ms, now_ms, rng):
        """Returns the ``placement.Choice`` or ``policies.Refusal``."""
        now = now_ms / 1000
        self.view.update_views(self.targets.values(), now)
        self._request_count += 1
        self.service.unreported.arrivals = self._other_arrivals(now)
        return policy(
            policies.PlacementRequest(list(self.targets.values()),
                                      _profile(req, limit_ms), self.service,
                                      now, rng))

    def _other_arrivals(self, now):
        """Returns the ``unreported.Arrivals`` at the other entries."""
        others = self._site.entries - 1
        return unreported.Arrivals(per_s=others * self._request_count /
                                   max(1.0, now),
                                   age_s=self._site.exchange_ms / 2000)

    def record_sent(self, req, choice, now_ms):
        """Records that ``req`` was sent."""
        req.target, req.choice, req.sent_ms = choice.target, choice, now_ms
        req.last_contact_ms = now_ms
        self.view.record_prompt(req.target, _profile(req).parts, now_ms / 1000)
        req.target.record_sent(choice.prefill_tokens,
                               decode_heavy=_profile(req).decode_heavy)

    def record_first_event(self, req, now_ms):
        """Records the first event of ``req``."""
        req.target.record_prefilled(req.choice.prefill_tokens)
        self.service.speed.record_start(
            now_ms - req.sent_ms,
            req.choice.prefill_tokens_ahead + req.choice.prefill_tokens,
            req.choice.slowness)

    def record_end(self, req, now_ms):
        """Records that ``req`` has left its engine."""
        if not req.decoded:
            req.target.record_prefilled(req.choice.prefill_tokens)
        req.target.record_end(decode_heavy=_profile(req).decode_heavy)
        if req.decoded >= req.tokens_out:
            self.service.speed.residence.record(now_ms - req.sent_ms)


def _profile(req, limit_ms=math.inf):
    """Returns the ``knowledge.RequestProfile`` of ``req``."""
    return knowledge.RequestProfile(zone='z',
                                    parts=(prompts.Part(req.session,
                                                        req.kind.shared),),
                                    tokens=req.prompt,
                                    tokens_out=req.tokens_out,
                                    queue_limit_ms=limit_ms,
                                    gap_ms=req.kind.gap_ms)
