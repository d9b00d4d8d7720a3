"""Keeps a silent attempt while its request is sent to another replica."""

import typing

from gorsefall.policy import takeover as policy
from gorsefall.relay import delivery
from gorsefall.relay import grant
from gorsefall.relay import replicas
from gorsefall.relay import sending


class KeptAttempt(typing.NamedTuple):
    """A silent attempt, and the state of its request when it was put aside.

    Attributes:
        attempt: The ``sending.Attempt``; its connection stays open.
        terms: The ``grant.Terms`` that it was sent by.
        part: The ``delivery.PartialResponse`` received of it so far.
        backup_holder: The ``replicas.Replica`` that holds its KV backup, or
            None.
    """
    attempt: sending.Attempt
    terms: grant.Terms
    part: delivery.PartialResponse
    backup_holder: replicas.Replica | None


class Takeover:
    """The silent attempt of one request, if there is any.

    Attributes:
        kept: The ``KeptAttempt``, or None.
    """

    def __init__(self, loop, on_overlap_ended):
        """Creates a takeover of a request without a silent attempt.

        Args:
            loop: The ``reactor.Reactor``.
            on_overlap_ended: Called when another replica was sent the request
                and has not refused it in time.
        """
        self._loop = loop
        self._on_overlap_ended = on_overlap_ended
        self._timer = None
        self.kept = None

    def begin(self, kept):
        """Puts a ``KeptAttempt`` aside."""
        self.kept = kept

    def keeps(self, attempt):
        """Returns whether ``attempt`` is the one that was put aside."""
        return self.kept is not None and self.kept.attempt is attempt

    def record_sent(self):
        """Records that the request was sent to another replica."""
        if self.kept is not None:
            self._stop_timer()
            self._timer = self._loop.call_later(policy.MAX_OVERLAP_S,
                                                self._on_overlap_ended)

    def end(self):
        """Ends the takeover; returns the ``KeptAttempt`` that it was about."""
        self._stop_timer()
        kept, self.kept = self.kept, None
        return kept

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
