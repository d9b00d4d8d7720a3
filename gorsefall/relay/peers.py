"""Status messages between entries, by datagram.

Each entry sends its status to all others that it has heard of: soon after its
work changes, and at least twice a second. Messages are not acknowledged. The
hosts of other entries come from the seeds in the settings and from the hosts
that other entries list in their status.
"""

import random
import time

from gorsefall import errors
from gorsefall import logs
from gorsefall.net import datagrams
from gorsefall.policy import entrystatus
from gorsefall.policy import membership
from gorsefall.relay import messages

MIN_PAUSE_S = 0.1
"""Shortest pause between two status messages to an entry, s: all entries
together place only a few requests in it that the others have not seen."""

MAX_PAUSE_S = 0.5
"""Longest such pause, s: two messages in a row may be lost before an entry's
counts are left out."""

MAX_MESSAGES_PER_S = 80.0
"""Most messages that an entry sends a second, on average, so that they stay
within their part of a core. With more than eight others, both pauses grow."""

PAUSE_JITTER = (0.8, 1.2)
"""Range of the factor of a pause, so that entries do not send in step."""

SILENT_HEARTBEATS = 2.4
"""Time without a message after which an entry is left out, in heartbeats (the
longest pauses between messages)."""

MAX_HOSTS_PER_MESSAGE = 6
"""Most hosts of other entries in a message: enough for all entries to discover
each other within seconds of a common start."""

SMALL_DEPLOYMENT_ENTRIES = 8
"""Number of other entries up to which a message lists any of their hosts. With
more it lists new ones, as each listed host crosses most links of a large
deployment."""

MAX_MESSAGE_BYTES = 8192
"""Longest message, bytes: one with requests in flight at 200 replicas fits."""


class Peers:
    """Sends messages to other entries and receives theirs.

    Attributes:
        on_status: Called with each new ``entrystatus.Status`` and the host that
            sent it.
    """

    def __init__(self, node, addr, seeds):
        """Binds the socket; ``start`` begins to send.

        Args:
            node: The ``node.Node``; has ``work`` and
                ``status(started_at_ms, seq, hosts)``.
            addr: ``(host, port)`` to bind; all entries use the same port.
            seeds: Hosts of some entries; may be stale.
        """
        self._node = node
        self._loop = node.loop
        self.on_status = lambda status, host: None
        self._handlers = {}
        self._host, self._port = addr
        self._seeds = seeds
        self._started_at_ms = time.time_ns() // 1_000_000
        self._seq = 0
        self._timer = None
        self._due_at = self._earliest_at = float('inf')
        self._log = logs.get('peers')
        self._malformed_hosts = set()
        self._live_count = 0
        self._view = node.work.peer_view
        self._endpoint = datagrams.Endpoint(self._loop, addr, self._on_datagram)

    def start(self):
        """Begins to send status messages."""
        self._send_status()

    def register_handler(self, kind, handler):
        """Has ``handler(message, host)`` called with messages of a class."""
        self._handlers[kind] = handler

    def set_seeds(self, seeds):
        """Sets the seeds of new settings."""
        self._seeds = seeds

    def schedule_status(self):
        """Has a status sent soon because this entry's work has changed."""
        if not self._view.members.alone and self._due_at > self._earliest_at:
            self._send_status_at(self._earliest_at)

    # -- when to send ----------------------------------------------------------

    def min_pause_s(self):
        """Returns the shortest pause between two messages to an entry, s."""
        return max(MIN_PAUSE_S, self._live_count / MAX_MESSAGES_PER_S)

    def heartbeat_s(self):
        """Returns the longest such pause, s."""
        return max(MAX_PAUSE_S, self.min_pause_s())

    def _send_status_at(self, when):
        if self._timer is not None:
            self._timer.cancel()
        self._due_at = when
        delay_s = max(0.0, when - time.monotonic())
        self._timer = self._loop.call_later(delay_s, self._send_status)

    def _send_status(self):
        now = time.monotonic()
        members = self._view.members
        live = members.live_hosts(now)
        self._update_live_count(len(live))
        self._earliest_at = (now +
                             self.min_pause_s() * random.uniform(*PAUSE_JITTER))
        self._send_status_at(now + self.heartbeat_s())
        self._add_hosts(self._seeds, now)
        self._seq += 1
        hosts = self._choose_hosts(live, now)
        status = self._node.status(self._started_at_ms, self._seq, hosts)
        data = messages.encode(status)
        if len(data) > MAX_MESSAGE_BYTES:
            # Without any status the others would take this entry for gone.
            self._log.error('status_too_long', size=len(data))
            data = messages.encode(status.without_reports())
        for host in members.addresses(now):
            self._endpoint.send(data, (host, self._port))

    def _choose_hosts(self, live, now):
        """Returns the hosts to list in a message."""
        if len(live) > SMALL_DEPLOYMENT_ENTRIES:
            # One host is listed even if none is new, so that an entry that
            # was partitioned from some discovers them again.
            live = self._view.members.new_hosts(now) or random.sample(live, 1)
        return random.sample(live, min(MAX_HOSTS_PER_MESSAGE, len(live)))

    def _update_live_count(self, count):
        if count != self._live_count:
            self._log.info('entries_heard', now=count, before=self._live_count)
            self._live_count = count
            self._view.members.silent_after_s = (SILENT_HEARTBEATS *
                                                 self.heartbeat_s())

    def send(self, message, host):
        """Sends a message of ``messages`` to one entry."""
        self._endpoint.send(messages.encode(message), (host, self._port))

    def send_all(self, message):
        """Sends a message to every entry that was heard of."""
        data = messages.encode(message)
        for host in self._view.members.addresses(time.monotonic()):
            self._endpoint.send(data, (host, self._port))

    # -- messages of other entries ---------------------------------------------

    def _add_hosts(self, hosts, now):
        for host in hosts:
            if host != self._host and datagrams.is_ipv4_address(host):
                self._view.members.add_address(host, now)

    def _on_datagram(self, data, host):
        now = time.monotonic()
        try:
            message = messages.decode(data)
        except errors.UndecodableError as exc:
            self._log_malformed(host, exc)
            return
        self._malformed_hosts.discard(host)
        if not isinstance(message, entrystatus.Status):
            self._dispatch(message, host)
        elif self._view.record_status(host, message, now):
            self._add_hosts(message.known_hosts[:MAX_HOSTS_PER_MESSAGE], now)
            self.on_status(message, host)

    def _dispatch(self, message, host):
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, host)
            return
        self._log.info('message_unused', kind=type(message).__name__, host=host)

    def _log_malformed(self, host, exc):
        # Logged once a host: a faulty process repeats its message ten times a
        # second.
        if (host in self._malformed_hosts or
                len(self._malformed_hosts) >= membership.MAX_MEMBERS):
            return
        self._malformed_hosts.add(host)
        self._log.warning('message_unreadable', host=host, error=str(exc))
