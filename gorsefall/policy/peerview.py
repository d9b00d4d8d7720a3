"""The work that other entries report, and this entry's own status report."""

import collections

from gorsefall.policy import entrystatus
from gorsefall.policy import membership
from gorsefall.policy import prompts

PROMPT_USE_REPORT_S = 0.4
"""Time for which a use of a replica's prompt cache is reported to others, s: it
is in several messages, of which some may be lost."""

RESPONSE_REPORT_S = 1.5
"""Time for which a response is reported, s: with many entries, each of them
receives it once or twice."""

REPORTED_ERROR_SHARE = 0.02
"""Share of failed responses of a replica from which on its successes are
reported as well, so that other entries see it recover. Below it only failures
are reported."""

MAX_RESPONSES = 64
"""Maximum number of responses in a message, the last ones; see
``MAX_PROMPT_USES``."""

MAX_PROMPT_USES = 64
"""Maximum number of prompt uses in a message, the last ones. An entry has 16
requests a second at the size planned in two years."""


class PeerView:
    """One entry's view of the work of other entries at the replicas.

    Attributes:
        members: The ``membership.Members`` with the other entries.
    """

    def __init__(self, name, find):
        """Creates the view of an entry that has received no status yet.

        Args:
            name: The entry's name.
            find: Returns the ``knowledge.ReplicaView`` of a replica id, or
                None.
        """
        self._find = find
        self._uses = collections.deque(maxlen=MAX_PROMPT_USES)
        self._responses = collections.deque(maxlen=MAX_RESPONSES)
        self._response_count = 0
        self.members = membership.Members(name)

    def record_prompt(self, view, parts, now):
        """Records the shared prompt parts of an own request at a replica."""
        view.prompt_cache.record_use(parts)
        tracked = tuple(p for p in parts if p.tokens >= prompts.MIN_PART_TOKENS)
        if tracked:
            self._uses.append((now, prompts.Use(view.name, tracked)))

    def record_response(self, view, ok, now):
        """Records whether a response served the caller's request.

        The response is reported to other entries: with many entries each has
        few calls, and would lose several of them if it had to detect a failing
        replica alone.
        """
        view.record_response(ok)
        if ok and view.error_share < REPORTED_ERROR_SHARE:
            return
        self._response_count += 1
        self._responses.append((now, entrystatus.Response(view.name, ok)))

    def record_status(self, host, status, now):
        """Records the status of another entry; returns False if it is stale."""
        last = self.members.last_status(host)
        if not self.members.record_status(host, status, now):
            return False
        for response in status.responses_after(last):
            view = self._find(response.replica)
            if view is not None:
                view.record_response(response.ok)
        for use in status.prompt_uses:
            view = self._find(use.replica)
            if view is not None:
                view.prompt_cache.record_use(use.parts)
        return True

    def update_views(self, views, now):
        """Updates ``views`` with others' work, if any other entry is live."""
        if self.members.alone:
            return
        for view in views:
            view.record_others(self.members.in_flight(view.name), now)

    def build_status(self, started_at_ms, seq, views, now, **fields):
        """Returns the ``entrystatus.Status`` to send to other entries.

        Args:
            started_at_ms: When this process started, ms since 1970.
            seq: Number of the message.
            views: All ``knowledge.ReplicaView`` objects.
            now: Time, s (monotonic).
            **fields: The fields of the status that do not concern the work at
                the replicas.
        """
        while self._uses and self._uses[0][0] < now - PROMPT_USE_REPORT_S:
            self._uses.popleft()
        while self._responses and self._responses[0][
                0] < now - RESPONSE_REPORT_S:
            self._responses.popleft()
        return entrystatus.Status(
            name=self.members.name,
            started_at_ms=started_at_ms,
            seq=seq,
            in_flight={v.name: v.in_flight() for v in views if v.outstanding},
            prompt_uses=tuple(use for _, use in self._uses),
            responses_before=self._response_count - len(self._responses),
            responses=tuple(response for _, response in self._responses),
            **fields)
