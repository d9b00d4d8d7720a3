"""The account of what callers make an entry hold, whatever they do."""

import contextlib
import socket

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import peers
import test_inbound
from gorsefall.policy import memoryshares
from gorsefall.relay import callerwaits
from gorsefall.relay import inbound
from gorsefall.relay import memory
from gorsefall.relay import model

REQUESTS = (b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n',
            b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n' +
            bytes(300), b'POST /a HTTP/1.1\r\nHost: h\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' + b'3\r\nxyz\r\n' * 50 +
            b'0\r\n\r\n', b'POST /a HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: 200000\r\n\r\n' + bytes(200_000))
"""Requests of callers, who send them as they like, or in part."""

LIMIT_MB = 8.0
CONN_COUNT = 3


class _Exchange:
    """A request that runs until the test responds."""
    owner = memoryshares.Owner('s', 'a')

    def __init__(self, server, body, writer):
        self._server = server
        self.body = body
        self.writer = writer
        self.behind = False

    def end(self):
        """Ends the hold of its body."""
        if self.body.hold is not None:
            self.body.hold.release()
        self._server.running.remove(self)

    def on_caller_drained(self):
        self.behind = False

    def on_caller_disconnected(self, reason):
        del reason
        self.end()

    on_caller_lost = on_caller_disconnected

    def yield_to_others(self, shortage):
        del shortage
        self.end()
        self.writer.abort()


class _Server(test_inbound.Server):
    """Keeps each request until it is told to respond.

    Attributes:
        running: The ``_Exchange`` objects.
    """
    limits = model.CallerLimits(body_bytes=1 << 20)

    def __init__(self, loop):
        super().__init__()
        self.memory = memory.Memory(loop, lambda: LIMIT_MB, lambda: 0)
        self.running = []

    def handle_request(self, method, target, fields, body, writer):
        new = _Exchange(self, body, writer)
        self.running.append(new)
        return new


class _World:
    """Callers of one server, and what they do."""

    def __init__(self, loop):
        self.loop = loop
        self.server = _Server(loop)
        self.conns, self.clients = [], []
        for _ in range(CONN_COUNT):
            client, accepted = test_inbound._connected()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            self.clients.append(client)
            self.conns.append(
                inbound.CallerConnection(loop, self.server, accepted))

    def act(self, kind, which, size):
        """Has a caller or a replica do one thing."""
        client = self.clients[which % CONN_COUNT]
        with contextlib.suppress(OSError):
            if kind == 'send':
                client.send(REQUESTS[size % len(REQUESTS)])
            elif kind == 'part':
                data = REQUESTS[size % len(REQUESTS)]
                client.send(data[:size % len(data)])
            elif kind == 'read':
                client.recv(1 + size)
            elif kind == 'leave':
                client.close()
        if kind in ('answer', 'stream', 'yield'):
            self._respond(kind, which, size)
        for _ in range(3):
            self.loop.step(0.0)

    def _respond(self, kind, which, size):
        if kind == 'yield':
            conn = self.conns[which % CONN_COUNT]
            if conn._awaits_caller:
                conn.yield_room(callerwaits.Shortage.MEMORY)
            return
        if not self.server.running:
            return
        exchange = self.server.running[which % len(self.server.running)]
        if kind == 'answer' and not exchange.writer.started:
            exchange.writer.send_pieces(200, [], [bytes(1 + size)] * 3)
            exchange.end()
        elif kind == 'stream' and not exchange.behind:
            if not exchange.writer.started:
                exchange.writer.start(200, [])
            exchange.behind = not exchange.writer.write(bytes(1 + size))

    def held_bytes(self):
        """Returns what is really held, as the oracle counts it."""
        total = sum(
            x.body.hold.size for x in self.server.running if x.body.hold)
        for conn in self.conns:
            if conn._conn.is_open:
                hold = conn._body.hold
                total += (inbound.CONN_BYTES + conn._kernel_bytes +
                          conn._conn.unsent_bytes +
                          len(conn._h11.trailing_data[0]) +
                          (hold.size if hold is not None else 0))
        return total


_ACTIONS = st.tuples(
    st.sampled_from(
        ['send', 'part', 'read', 'leave', 'answer', 'stream', 'yield']),
    st.integers(0, CONN_COUNT - 1), st.integers(0, 300_000))


@settings(max_examples=100, deadline=None)
@given(st.lists(_ACTIONS, max_size=25))
def test_the_account_holds_what_is_held(actions):
    """Bytes that nobody counts end the process; bytes counted for good, too."""
    with peers.loop() as loop:
        world = _World(loop)
        shares = world.server.memory.shares
        for action in actions:
            world.act(*action)
            for conn in world.conns:
                # What the kernel took since is counted with the next event.
                conn._count()
            assert shares.held == world.held_bytes()
        for client in world.clients:
            client.close()
        for conn in world.conns:
            conn.abort()
        for exchange in list(world.server.running):
            exchange.end()
        assert shares.held == 0
        assert not len(world.server.memory.callers)
