"""Asks all entries at which versions streams may have begun.

A store that came back from an older copy may lack versions, and an entry that
could not read the store for some seconds may have missed others. Streams begin
at entries alone: if each process that has run of late still runs, they know all
versions together.
"""

import random

from gorsefall.policy import softwareversions
from gorsefall.relay import messages

WINDOW_S = softwareversions.SERVED_WINDOW_S + softwareversions.MAX_GAP_S
"""Time in which no process may have ended, s: as for an observation."""

HEARD_MARGIN_S = softwareversions.MAX_GAP_S
"""Longest time between the last status of an entry and the moment at which this
one was cut off from it, s."""

ANSWER_TIMEOUT_S = 0.3
"""Longest wait for answers, s: hundreds arrive at one link."""

REPEAT_PERIOD_S = 0.1
"""Time after which those that have not answered are asked again, s: of
hundreds of messages some are lost."""


class _Inquiry:
    """Answers that are awaited."""

    def __init__(self, hosts, done):
        self.id = random.getrandbits(63)
        self.missing = set(hosts)
        self.origins = set()
        self.done = done


class VersionWitnesses:
    """The question to all entries, and this entry's answers."""

    def __init__(self, loop, fleet, members):
        """Creates the witnesses of a process that begins now.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            members: The ``membership.Members``.
        """
        self._loop = loop
        self._fleet = fleet
        self._members = members
        self._began_at = loop.now
        self._peers = None
        self._inquiry = None

    def start(self, peers):
        """Begins to talk to other entries, if there are ``peers``."""
        self._peers = peers
        if peers is not None:
            peers.register_handler(messages.AskVersions, self._on_ask)
            peers.register_handler(messages.VersionsKnown, self._on_known)

    def ask(self, done):
        """Asks every entry that was heard of late.

        Args:
            done: Called with the origins that the others know, a set, or None
                if a process may have ended: one does not answer, or has run
                for too short a time.
        """
        now = self._loop.now
        if self._peers is None or self._age_s() < WINDOW_S or self._inquiry:
            done(None)
            return
        # Also those that ended while this entry was cut off from everyone.
        missed_s = self._fleet.observation.missed_for_s + HEARD_MARGIN_S
        hosts = self._members.heard_since(now - max(WINDOW_S, missed_s))
        inquiry = self._inquiry = _Inquiry(hosts, done)
        if not hosts:
            self._finish(set())
            return
        self._loop.call_later(ANSWER_TIMEOUT_S, lambda: self._give_up(inquiry))
        self._send(inquiry)

    def _send(self, inquiry):
        if self._inquiry is inquiry:
            for host in inquiry.missing:
                self._peers.send(messages.AskVersions(inquiry.id), host)
            self._loop.call_later(REPEAT_PERIOD_S, lambda: self._send(inquiry))

    def _age_s(self):
        return self._loop.now - self._began_at

    def _give_up(self, inquiry):
        if self._inquiry is inquiry:
            self._finish(None)

    def _finish(self, origins):
        inquiry, self._inquiry = self._inquiry, None
        inquiry.done(origins)

    def _on_ask(self, message, host):
        origins = self._fleet.versions.all_origins(self._loop.now)
        self._peers.send(
            messages.VersionsKnown(message.query_id, self._age_s(),
                                   tuple(origins)), host)

    def _on_known(self, message, host):
        inquiry = self._inquiry
        if inquiry is None or message.query_id != inquiry.id:
            return
        if message.age_s < WINDOW_S:
            # An earlier process of that entry has ended.
            self._finish(None)
            return
        inquiry.origins.update(message.origins)
        inquiry.missing.discard(host)
        if not inquiry.missing:
            self._finish(inquiry.origins)
