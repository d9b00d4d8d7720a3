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
from gorsefall.policy import prompts

PERIOD_S = 0.1
"""Shortest pause between two messages to an entry, s. Requests come to all
entries together at 40 to 150 a second, so in this time each engine gets one."""

HEARTBEAT_S = 0.5
"""Longest such pause, s: two in a row may be lost before an entry's counts are
left out."""

MESSAGES_PER_S = 80.0
"""Messages that an entry sends a second at most. Each costs sender and
receiver 0.05 ms together, so this is under 1% of a core for both; with more
than eight others the pause between two messages to one grows."""

TOLD = 6
"""Entries that a message tells of: in a second all know all, also of 80."""

MAX_BYTES = 8192
"""Longest message, bytes; one of 60 replicas has 2,000."""

SEEDS_S = 1.0
"""How often the seeds are spoken to while they are silent, s."""


class _Row(msgspec.Struct, array_like=True):
    replica: str
    requests: int
    pending: int
    tokens: int
    writing: int


class _Use(msgspec.Struct, array_like=True):
    replica: str
    parts: list[tuple[str, int]]


class _Message(msgspec.Struct, array_like=True):
    name: str
    boot: int
    seq: int
    firsts: dict[str, int]
    rows: list[_Row]
    uses: list[_Use]
    hosts: list[str]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Message)


def encode(status, hosts):
    """Returns the bytes of a ``membership.Status`` and of hosts known."""
    rows = [
        _Row(name, row.requests, row.pending, row.tokens, row.writing)
        for name, row in status.rows.items()
    ]
    uses = [_Use(use.replica, list(use.parts)) for use in status.uses]
    return _ENCODER.encode(
        _Message(status.name, status.boot, status.seq, status.firsts, rows,
                 uses, hosts))


def _sane(raw):
    """Whether all numbers are counts."""
    numbers = [n for r in raw.rows for n in msgspec.structs.astuple(r)[1:]]
    numbers += [tokens for use in raw.uses for _, tokens in use.parts]
    return min((*numbers, *raw.firsts.values(), 0)) >= 0


def decode(data):
    """Returns ``(membership.Status, hosts)``.

    Raises:
        msgspec.DecodeError: It is no message of an entry.
    """
    raw = _DECODER.decode(data)
    if not _sane(raw):
        raise msgspec.ValidationError('a count is below 0')
    rows = {
        r.replica: membership.Row(r.requests, r.pending, r.tokens, r.writing)
        for r in raw.rows
    }
    uses = tuple(
        prompts.Use(u.replica, tuple(prompts.Part(*p)
                                     for p in u.parts))
        for u in raw.uses)
    status = membership.Status(raw.name, raw.boot, raw.seq, raw.firsts, rows,
                               uses)
    return status, raw.hosts


class Peers:
    """Speaks to the other entries.

    Attributes:
        members: The ``membership.Members`` heard.
    """

    def __init__(self, node, addr, seeds):
        """Binds the socket; ``start`` begins to speak.

        Args:
            node: The ``node.Node``; has ``work`` and ``status(boot, seq)``.
            addr: ``(host, port)`` to bind; all entries use the same port.
            seeds: Hosts of some entries; may be stale.
        """
        self._node = node
        self._loop = node.loop
        self._host, self._port = addr
        self._seeds = seeds
        self._boot = time.time_ns() // 1_000_000
        self._seq = 0
        self._due = None
        self._sent_at = float('-inf')
        self._log = logs.get('peers')
        self._faulty = set()
        self._live = 0
        self.members = node.work.members
        self._endpoint = datagrams.Endpoint(self._loop, addr, self._received)

    def start(self):
        """Begins to speak to the others."""
        self._seek()
        self._beat()

    def seeds_changed(self, seeds):
        """Adopts the seeds of new settings."""
        self._seeds = seeds

    def changed(self):
        """Has the others told soon that this entry's work has changed."""
        if self._due is None and not self.members.alone:
            wait_s = max(0.0, self._sent_at + self._pause_s() - self._now())
            self._due = self._loop.later(wait_s, self._speak)

    def _now(self):
        return time.monotonic()

    def _pause_s(self):
        # Spread, so that entries do not all speak just after each other.
        pause_s = max(PERIOD_S, self._live / MESSAGES_PER_S)
        return pause_s * random.uniform(0.8, 1.2)

    def _seek(self):
        now = self._now()
        for host in self._seeds:
            if host != self._host:
                self.members.told_of(host, now)
        self._loop.later(SEEDS_S, self._seek)

    def _beat(self):
        self._loop.later(HEARTBEAT_S, self._beat)
        self.members.expire(self._now())
        if self._now() - self._sent_at >= HEARTBEAT_S * 0.9:
            self._speak()

    def _speak(self):
        if self._due is not None:
            self._due.cancel()
            self._due = None
        now = self._now()
        self._sent_at = now
        self._seq += 1
        live = self.members.live(now)
        self._note_members(len(live))
        told = random.sample(live, min(TOLD, len(live)))
        data = encode(self._node.status(self._boot, self._seq), told)
        if len(data) > MAX_BYTES:
            self._log.error('status_too_long', size=len(data))
            return
        for host in self.members.addresses(now):
            self._endpoint.send(data, (host, self._port))

    def _note_members(self, live):
        if live != self._live:
            self._log.info('entries_heard', now=live, before=self._live)
            self._live = live

    def _received(self, data, host):
        now = self._now()
        if host == self._host:
            return
        try:
            status, hosts = decode(data)
        except msgspec.DecodeError as exc:
            self._unreadable(host, exc)
            return
        self._faulty.discard(host)
        if not self.members.heard(host, status, now):
            return
        self._node.work.told_uses(status.uses)
        for other in hosts[:TOLD]:
            if other != self._host and datagrams.is_host(other):
                self.members.told_of(other, now)

    def _unreadable(self, host, exc):
        # Logged once a host: a process at fault says the same ten times a
        # second.
        if host in self._faulty or len(self._faulty) >= membership.MAX_MEMBERS:
            return
        self._faulty.add(host)
        self._log.warning('message_unreadable', host=host, error=str(exc))
