"""What entries know of each other's work, and what each tells of its own."""

import collections

from gorsefall.policy import membership
from gorsefall.policy import prompts

USES_S = 0.4
"""How long a use of a replica's cached prompts is told to the others, s: in a
few messages, of which some may be lost."""

MAX_USES = 64
"""Most uses told in a message, the last ones; an entry has 16 requests a
second at the size of two years hence."""


class PeerView:
    """One entry's view of the others' work at replicas.

    Attributes:
        members: The ``membership.Members`` heard.
    """

    def __init__(self, name, find):
        """Creates the view of an entry that heard nobody yet.

        Args:
            name: The entry's name.
            find: Returns the ``knowledge.Target`` of a replica's id, or None.
        """
        self._find = find
        self._uses = collections.deque(maxlen=MAX_USES)
        self.members = membership.Members(name)

    def prompt_sent(self, target, parts, now):
        """Notes the shared parts that a replica reads for an own request."""
        target.kept.used(parts)
        known = tuple(p for p in parts if p.tokens >= prompts.PART_TOKENS_MIN)
        if known:
            self._uses.append((now, prompts.Use(target.name, known)))

    def heard(self, host, status, now):
        """Takes in what another entry tells; returns whether it is news."""
        if not self.members.heard(host, status, now):
            return False
        for use in status.uses:
            target = self._find(use.replica)
            if target is not None:
                target.kept.used(use.parts)
        return True

    def show(self, targets, now):
        """Puts the others' work into ``targets``, unless nobody is heard."""
        if self.members.alone:
            return
        for target in targets:
            target.told(self.members.row(target.name), now)

    def status(self, boot, seq, targets, now, *, firsts=None, hosts=()):
        """Returns the ``membership.Status`` to tell the others.

        Args:
            boot: When this process started, ms since 1970.
            seq: Number of the message.
            targets: All ``knowledge.Target`` objects.
            now: Time, s (monotonic).
            firsts: ``service -> requests`` in the retry window.
            hosts: Hosts of some entries that are heard.
        """
        while self._uses and self._uses[0][0] < now - USES_S:
            self._uses.popleft()
        return membership.Status(
            name=self.members.name,
            boot=boot,
            seq=seq,
            firsts=firsts or {},
            rows={t.name: t.row() for t in targets if t.outstanding},
            uses=tuple(use for _, use in self._uses),
            hosts=tuple(hosts))
