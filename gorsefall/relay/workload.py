"""What an entry knows of the work at replicas: its own and the others'."""

import collections
import time

from gorsefall.policy import membership
from gorsefall.policy import overload
from gorsefall.policy import placement
from gorsefall.policy import prompts
from gorsefall.relay import model

USES_S = 0.4
"""How long a use of a replica's cached prompts is told to the others, s: in a
few messages, of which some may be lost."""

MAX_USES = 64
"""Most uses told in a message, the last ones; an entry has 16 requests a
second at the size of two years hence."""


class Workload:
    """Work at replicas, and what was learned of it by service.

    Attributes:
        members: The ``membership.Members`` heard.
    """

    def __init__(self, name, fleet):
        """Creates a view without any work.

        Args:
            name: This entry's name.
            fleet: The ``fleet.Fleet``.
        """
        self._name = name
        self._fleet = fleet
        self._services = {}
        self._ranks = {}
        self._uses = collections.deque(maxlen=MAX_USES)
        self.members = membership.Members(name)

    # -- what is known ---------------------------------------------------------

    def service(self, name):
        """Returns the ``placement.Service`` of a service."""
        known = self._services.setdefault(name, placement.Service())
        described = self._fleet.service(name)
        known.fetch_ms = described.fetch_ms if described else 0.0
        return known

    def ranks(self, service):
        """Returns the ``overload.Ranks`` of a service."""
        return self._ranks.setdefault(service, overload.Ranks())

    def targets(self, service, exclude):
        """Returns the targets that may take a request, with others' work."""
        targets = [r.target for r in self._fleet.candidates(service, exclude)]
        if not self.members.alone:
            now = time.monotonic()
            for target in targets:
                target.told(self.members.row(target.name), now)
        return targets

    def sources(self, service):
        """Returns the targets of replicas that leave: they still lend."""
        return [
            r.target
            for r in self._fleet.of(service)
            if r.record.status is model.ReplicaStatus.DRAINING
        ]

    def others_firsts(self, service):
        """Returns the others' requests in the retry window, None if alone."""
        return None if self.members.alone else self.members.firsts(service)

    # -- prompts that replicas keep --------------------------------------------

    def prompt_sent(self, replica, parts):
        """Notes the shared parts that a replica reads for a request."""
        replica.target.kept.used(parts)
        known = tuple(p for p in parts if p.tokens >= prompts.PART_TOKENS_MIN)
        if known:
            self._uses.append(
                (time.monotonic(), prompts.Use(replica.record.id, known)))

    def told_uses(self, uses):
        """Notes what other entries had read."""
        for use in uses:
            replica = self._fleet.replicas.get(use.replica)
            if replica is not None:
                replica.target.kept.used(use.parts)

    # -- what the others are told ----------------------------------------------

    def status(self, boot, seq, firsts):
        """Returns the ``membership.Status`` to tell the other entries.

        Args:
            boot: When this process started, ms since 1970.
            seq: Number of the message.
            firsts: ``service -> requests`` in the retry window.
        """
        return membership.Status(name=self._name,
                                 boot=boot,
                                 seq=seq,
                                 firsts=firsts,
                                 rows={
                                     r.record.id: r.target.row()
                                     for r in self._fleet.replicas.values()
                                     if r.target.outstanding
                                 },
                                 uses=self._last_uses())

    def _last_uses(self):
        oldest = time.monotonic() - USES_S
        while self._uses and self._uses[0][0] < oldest:
            self._uses.popleft()
        return tuple(use for _, use in self._uses)
