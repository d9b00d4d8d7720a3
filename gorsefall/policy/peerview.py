"""The work that other entries report, and this entry's own status report."""

import collections
import typing

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

MAX_USES_BYTES = 5000
"""Longest part of a status that tells of prompts, bytes: callers choose the
number and names of their parts, and a status that is too long tells nothing."""

PART_BYTES = 8
"""About what a part takes in a message besides its name, bytes."""

MAX_PROMPT_USES = 64
"""Maximum number of prompt uses in a message, the last ones. An entry has 16
requests a second at the size planned in two years."""


class _SentUse(typing.NamedTuple):
    """A use that is told to other entries.

    Attributes:
        at: When it was recorded, s (monotonic).
        use: The ``prompts.Use``.
        size: About how long it is in a message, bytes.
    """
    at: float
    use: prompts.Use
    size: int


def _use_bytes(use):
    """Returns about how long a ``prompts.Use`` is in a message, bytes."""
    return len(use.replica) + sum(
        len(part.name) + PART_BYTES for part in use.parts)


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
        self._uses = collections.deque()
        self._uses_bytes = 0
        self._responses = collections.deque(maxlen=MAX_RESPONSES)
        self._response_count = 0
        self.members = membership.Members(name)

    def record_prompt(self, view, parts, now):
        """Records the shared prompt parts of an own request at a replica."""
        view.prompt_cache.record_use(parts)
        tracked = tuple(p for p in parts if p.tokens >= prompts.MIN_PART_TOKENS)
        if tracked:
            self._add_use(prompts.Use(view.name, tracked), now)

    def _add_use(self, use, now):
        size = _use_bytes(use)
        self._uses.append(_SentUse(now, use, size))
        self._uses_bytes += size
        while (self._uses_bytes > MAX_USES_BYTES or
               len(self._uses) > MAX_PROMPT_USES):
            self._drop_use()

    def _drop_use(self):
        self._uses_bytes -= self._uses.popleft().size

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
        while self._uses and self._uses[0].at < now - PROMPT_USE_REPORT_S:
            self._drop_use()
        while self._responses and self._responses[0][
                0] < now - RESPONSE_REPORT_S:
            self._responses.popleft()
        return entrystatus.Status(
            name=self.members.name,
            started_at_ms=started_at_ms,
            seq=seq,
            in_flight={v.name: v.in_flight() for v in views if v.outstanding},
            prompt_uses=tuple(sent.use for sent in self._uses),
            responses_before=self._response_count - len(self._responses),
            responses=tuple(response for _, response in self._responses),
            **fields)
