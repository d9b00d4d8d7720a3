"""What entries tell each other of their work, by datagram.

Each entry sends all others, as far as it knows them, what it has under way
at each replica: soon after a change, and twice a second in any case. Nothing
waits for an answer. Who is there is learned from the seeds in the settings
and from what others tell of whom they hear.
"""

import random
import time

import msgspec

from gorsefall import logs
from gorsefall.net import datagrams
from gorsefall.policy import membership
from gorsefall.relay import messages

MIN_PAUSE_S = 0.1
"""Shortest pause between two messages to an entry, s: all entries together
place a few requests in it without knowing of each other."""

MAX_PAUSE_S = 0.5
"""Longest such pause, s: two in a row may be lost before an entry's counts are
left out."""

MAX_MESSAGES_PER_S = 80.0
"""Messages that an entry sends a second at most, on the mean, which keeps
control within its part of a core; with more than eight others, both pauses
grow."""

PAUSE_JITTER = (0.8, 1.2)
"""Range of a pause, in times of itself, so that entries do not all speak just
after each other."""

SILENT_HEARTBEATS = 2.4
"""Heartbeats without a word after which an entry is left out."""

MAX_HOSTS_PER_MESSAGE = 6
"""Entries that a message tells of at most: enough for all to hear of each other
within seconds of a common start."""

SMALL_DEPLOYMENT_ENTRIES = 8
"""Others up to which a message tells of any; with more, of those that are new,
as each host told crosses most of a large deployment's links."""

MAX_MESSAGE_BYTES = 8192
"""Longest message, bytes: one with work at 200 replicas fits."""


class Peers:
    """Speaks to the other entries.

    Attributes:
        on_status: Called with each ``membership.Status`` that is news, and
            the host that sent it.
    """

    def __init__(self, node, addr, seeds):
        """Binds the socket; ``start`` begins to speak.

        Args:
            node: The ``node.Node``; has ``work`` and
                ``status(boot, seq, hosts)``.
            addr: ``(host, port)`` to bind; all entries use the same port.
            seeds: Hosts of some entries; may be stale.
        """
        self._node = node
        self._loop = node.loop
        self.on_status = lambda status, host: None
        self._readers = {}
        self._host, self._port = addr
        self._seeds = seeds
        self._boot = time.time_ns() // 1_000_000
        self._seq = 0
        self._due = None
        self._due_at = self._soonest = float('inf')
        self._log = logs.get('peers')
        self._faulty = set()
        self._live = 0
        self._view = node.work.peer_view
        self._endpoint = datagrams.Endpoint(self._loop, addr, self._received)

    def start(self):
        """Begins to speak to the others."""
        self._speak()

    def register_handler(self, kind, reader):
        """Has ``reader(message, host)`` called with messages of a kind."""
        self._readers[kind] = reader

    def set_seeds(self, seeds):
        """Adopts the seeds of new settings."""
        self._seeds = seeds

    def schedule_status(self):
        """Has the others told soon that this entry's work has changed."""
        if not self._view.members.alone and self._due_at > self._soonest:
            self._speak_at(self._soonest)

    # -- when to speak ---------------------------------------------------------

    def min_pause_s(self):
        """Returns the shortest pause between two messages to an entry, s."""
        return max(MIN_PAUSE_S, self._live / MAX_MESSAGES_PER_S)

    def heartbeat_s(self):
        """Returns the longest such pause, s."""
        return max(MAX_PAUSE_S, self.min_pause_s())

    def _speak_at(self, when):
        if self._due is not None:
            self._due.cancel()
        self._due_at = when
        delay_s = max(0.0, when - time.monotonic())
        self._due = self._loop.call_later(delay_s, self._speak)

    def _speak(self):
        now = time.monotonic()
        members = self._view.members
        live = members.live_hosts(now)
        self._note_members(len(live))
        self._soonest = now + self.min_pause_s() * random.uniform(*PAUSE_JITTER)
        self._speak_at(now + self.heartbeat_s())
        self._told_of(self._seeds, now)
        self._seq += 1
        told = self._told(live, now)
        data = messages.encode(self._node.status(self._boot, self._seq, told))
        if len(data) > MAX_MESSAGE_BYTES:
            self._log.error('status_too_long', size=len(data))
            return
        for host in members.addresses(now):
            self._endpoint.send(data, (host, self._port))

    def _told(self, live, now):
        """Returns the hosts to tell the others of."""
        if len(live) > SMALL_DEPLOYMENT_ENTRIES:
            # One at any time all the same: who was cut off from some hears
            # of them again.
            live = self._view.members.new_hosts(now) or random.sample(live, 1)
        return random.sample(live, min(MAX_HOSTS_PER_MESSAGE, len(live)))

    def _note_members(self, live):
        if live != self._live:
            self._log.info('entries_heard', now=live, before=self._live)
            self._live = live
            self._view.members.silent_after_s = (SILENT_HEARTBEATS *
                                                 self.heartbeat_s())

    def send(self, message, host):
        """Sends a message of ``messages`` to one entry."""
        self._endpoint.send(messages.encode(message), (host, self._port))

    def send_all(self, message):
        """Sends a message to every entry that is known."""
        data = messages.encode(message)
        for host in self._view.members.addresses(time.monotonic()):
            self._endpoint.send(data, (host, self._port))

    # -- what others say -------------------------------------------------------

    def _told_of(self, hosts, now):
        for host in hosts:
            if host != self._host and datagrams.is_ipv4_address(host):
                self._view.members.add_address(host, now)

    def _received(self, data, host):
        now = time.monotonic()
        try:
            message = messages.decode(data)
        except msgspec.DecodeError as exc:
            self._unreadable(host, exc)
            return
        self._faulty.discard(host)
        if not isinstance(message, membership.Status):
            self._pass_on(message, host)
        elif self._view.record_status(host, message, now):
            self._told_of(message.known_hosts[:MAX_HOSTS_PER_MESSAGE], now)
            self.on_status(message, host)

    def _pass_on(self, message, host):
        reader = self._readers.get(type(message))
        if reader is not None:
            reader(message, host)
            return
        self._log.info('message_unused', kind=type(message).__name__, host=host)

    def _unreadable(self, host, exc):
        # Logged once a host: a process at fault says the same ten times a
        # second.
        if host in self._faulty or len(self._faulty) >= membership.MAX_MEMBERS:
            return
        self._faulty.add(host)
        self._log.warning('message_unreadable', host=host, error=str(exc))
