"""What entries know of each other's work, and what each tells of its own."""

import collections

from gorsefall.policy import membership
from gorsefall.policy import prompts

PROMPT_USE_REPORT_S = 0.4
"""How long a use of a replica's cached prompts is told to the others, s: in a
few messages, of which some may be lost."""

RESPONSE_REPORT_S = 1.5
"""How long an answer is told of, s: to each of many entries once or twice."""

REPORTED_ERROR_SHARE = 0.02
"""Share of failed answers of a replica from which on good ones are told too, so
that it is believed sound again; of the others nothing need be said."""

MAX_RESPONSES = 64
"""Most answers told of in a message, the last ones; see ``MAX_USES``."""

MAX_PROMPT_USES = 64
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
            find: Returns the ``knowledge.ReplicaView`` of a replica id, or
                None.
        """
        self._find = find
        self._uses = collections.deque(maxlen=MAX_PROMPT_USES)
        self._answers = collections.deque(maxlen=MAX_RESPONSES)
        self._answered = 0
        self.members = membership.Members(name)

    def record_prompt(self, target, parts, now):
        """Notes the shared parts that a replica reads for an own request."""
        target.prompt_cache.record_use(parts)
        known = tuple(p for p in parts if p.tokens >= prompts.MIN_PART_TOKENS)
        if known:
            self._uses.append((now, prompts.Use(target.name, known)))

    def record_response(self, target, ok, now):
        """Notes whether a replica's answer was what the caller needed.

        The others are told: with many entries each has few calls, and one
        that learns of a bad replica by itself alone loses several of them.
        """
        target.record_response(ok)
        if ok and target.error_share < REPORTED_ERROR_SHARE:
            return
        self._answered += 1
        self._answers.append((now, membership.Response(target.name, ok)))

    def record_status(self, host, status, now):
        """Takes in what another entry tells; returns whether it is news."""
        last = self.members.last_status(host)
        if not self.members.record_status(host, status, now):
            return False
        for answer in status.responses_after(last):
            target = self._find(answer.replica)
            if target is not None:
                target.record_response(answer.ok)
        for use in status.prompt_uses:
            target = self._find(use.replica)
            if target is not None:
                target.prompt_cache.record_use(use.parts)
        return True

    def update_views(self, targets, now):
        """Puts the others' work into ``targets``, unless nobody is heard."""
        if self.members.alone:
            return
        for target in targets:
            target.record_others(self.members.in_flight(target.name), now)

    def build_status(self,
                     started_at_ms,
                     seq,
                     targets,
                     now,
                     *,
                     first_attempts=None,
                     known_hosts=(),
                     zone='',
                     can_read_store=False,
                     run_reports=(),
                     suspects_summary=0,
                     limit_reports=(),
                     replica_exits=()):
        """Returns the ``membership.Status`` to tell the others.

        Args:
            started_at_ms: When this process started, ms since 1970.
            seq: Number of the message.
            targets: All ``knowledge.ReplicaView`` objects.
            now: Time, s (monotonic).
            first_attempts: ``service -> requests`` in the retry window.
            known_hosts: Hosts of some entries that are heard.
            zone: This entry's availability zone.
            can_read_store: Whether it can read the store for others.
            run_reports: See ``membership.Status``.
            suspects_summary: See there.
            limit_reports: See there.
            replica_exits: See there.
        """
        while self._uses and self._uses[0][0] < now - PROMPT_USE_REPORT_S:
            self._uses.popleft()
        while self._answers and self._answers[0][0] < now - RESPONSE_REPORT_S:
            self._answers.popleft()
        return membership.Status(
            name=self.members.name,
            started_at_ms=started_at_ms,
            seq=seq,
            first_attempts=first_attempts or {},
            in_flight={t.name: t.in_flight() for t in targets if t.outstanding},
            prompt_uses=tuple(use for _, use in self._uses),
            known_hosts=tuple(known_hosts),
            responses_before=self._answered - len(self._answers),
            responses=tuple(answer for _, answer in self._answers),
            zone=zone,
            can_read_store=can_read_store,
            run_reports=run_reports,
            suspects_summary=suspects_summary,
            limit_reports=limit_reports,
            replica_exits=replica_exits)
