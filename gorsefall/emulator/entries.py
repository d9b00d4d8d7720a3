"""Entries: what each knows of the engines, from itself and from the others."""

from gorsefall.emulator import policies
from gorsefall.policy import membership
from gorsefall.policy import placement
from gorsefall.policy import prompts

USES_MS = 500.0
"""How long a use is told again and again, ms."""


class Entry:
    """One entry's view.

    Attributes:
        targets: ``engine name -> placement.Target``.
        service: Its ``placement.Service``.
        heard: The ``membership.Members`` it hears.
    """

    def __init__(self, number, site, names):
        self.name = f'entry-{number}'
        self.targets = {
            name:
                placement.Target(name=name,
                                 zone='z',
                                 slots=site.engines.slots,
                                 engine=True,
                                 kept=prompts.Kept(site.engines.kv_tokens))
            for name in names
        }
        self.service = placement.Service(fetch_ms=site.engines.fetch_ms)
        self.heard = membership.Members(self.name)
        self._seq = 0
        self._uses = []

    def status(self, now_ms):
        """Returns the ``membership.Status`` that it tells the others."""
        self._seq += 1
        uses = [use for at_ms, use in self._uses if at_ms > now_ms - USES_MS]
        self._uses = [u for u in self._uses if u[0] > now_ms - USES_MS]
        rows = {n: t.row() for n, t in self.targets.items() if t.outstanding}
        return membership.Status(self.name, 0, self._seq, {}, rows, tuple(uses))

    def hear(self, status, now_ms):
        """Takes in what another entry tells."""
        if self.heard.heard(status.name, status, now_ms / 1000):
            for use in status.uses:
                self.targets[use.replica].kept.used(use.parts)

    def decide(self, req, policy, limit_ms, now_ms, rng):
        """Returns a ``placement.Choice`` for ``req``, or ``Refused``."""
        now = now_ms / 1000
        if not self.heard.alone:
            for target in self.targets.values():
                target.told(self.heard.row(target.name), now)
        want = placement.Want(zone='z',
                              parts=_parts(req),
                              tokens=req.prompt,
                              tokens_out=req.tokens_out,
                              limit_ms=limit_ms,
                              gap_ms=req.kind.gap_ms)
        return policy(
            policies.Ask(list(self.targets.values()), want, self.service,
                         limit_ms, now, rng))

    def sent(self, req, choice, now_ms):
        """Notes that ``req`` went out."""
        req.target, req.choice, req.sent_ms = choice.target, choice, now_ms
        req.heard_ms = now_ms
        req.target.kept.used(_parts(req))
        self._uses.append((now_ms, prompts.Use(choice.target.name,
                                               _parts(req))))
        req.target.sent(choice.tokens, writes=writes(req))

    def began(self, req, now_ms):
        """Notes the first event of ``req``."""
        req.target.began(req.choice.tokens)
        self.service.speed.began(now_ms - req.sent_ms,
                                 req.choice.ahead + req.choice.tokens,
                                 req.choice.slowness)

    def ended(self, req, now_ms):
        """Notes that ``req`` is no longer at its engine."""
        if not req.written:
            req.target.began(req.choice.tokens)
        req.target.ended(writes=writes(req))
        if req.written >= req.tokens_out:
            self.service.speed.stay.ended(now_ms - req.sent_ms)


def _parts(req):
    return (prompts.Part(req.session, req.kind.shared),)


def writes(req):
    """Whether the time of ``req`` goes into writing."""
    return placement.Want(zone='z',
                          tokens=req.prompt,
                          tokens_out=req.tokens_out).writes
