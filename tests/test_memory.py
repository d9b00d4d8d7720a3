"""Bodies of callers are read as there is memory for them."""

import socket
import types

import pytest

import exchange_site
import peers
from gorsefall import errors
from gorsefall.policy import memoryshares
from gorsefall.relay import inbound
from gorsefall.relay import memory
from gorsefall.relay import model
from gorsefall.relay import outcomes

BODY_BYTES = 1_000_000
LIMIT_MB = 4.0
"""Limit that leaves room for two bodies, one for a service."""

CHUNKED_LIMIT_MB = 6.0
"""The same for bodies of unknown length, which take room bit by bit."""

OTHER_TARGET = b'/other'


class _Exchange:
    """A request that runs until its caller leaves."""
    owner = memoryshares.Owner()

    def __init__(self, body):
        self._body = body

    def on_caller_disconnected(self, reason):
        self._body.hold.release()


class Server:
    """Keeps every request; the target names its service.

    Attributes:
        bodies: The bodies of the requests that were read.
        memory: The ``memory.Memory``.
    """
    limits = model.CallerLimits(body_bytes=4 * BODY_BYTES)
    draining = False
    body_timeout_s = 60.0

    def __init__(self, loop, limit_mb=LIMIT_MB):
        self.bodies = []
        self.closed = 0
        self.memory = memory.Memory(loop, lambda: limit_mb, lambda: 0)

    def hold_memory(self, method, target, fields):
        return self.memory.hold(memoryshares.Owner(target))

    def handle_request(self, method, target, fields, body, writer):
        self.bodies.append(body)
        return _Exchange(body)

    def error_response(self, exc):
        return outcomes.error_response(exc)

    def on_conn_closed(self, conn):
        self.closed += 1


class _Caller:
    """Sends one request as it is read, and collects the response."""

    def __init__(self, loop, server, request):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self._sock = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self._sock.setblocking(False)
        self.left = request
        self.received = b''
        inbound.CallerConnection(loop, server, accepted)

    def step(self):
        """Sends and receives what is possible now."""
        try:
            if self.left:
                self.left = self.left[self._sock.send(self.left):]
        except BlockingIOError:
            pass
        try:
            self.received += self._sock.recv(65536)
        except BlockingIOError:
            pass

    def close(self):
        self._sock.close()


def _sized(target):
    return (b'POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' %
            (target, BODY_BYTES)) + bytes(BODY_BYTES)


def _chunked(target):
    return (b'POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n%x\r\n' %
            (target, BODY_BYTES)) + bytes(BODY_BYTES) + b'\r\n0\r\n\r\n'


def _run(loop, callers, check):

    def step():
        for caller in callers:
            caller.step()
        return check()

    peers.run(loop, step)


@pytest.mark.parametrize('encode, limit_mb', [(_sized, LIMIT_MB),
                                              (_chunked, CHUNKED_LIMIT_MB)])
def test_a_body_without_room_is_refused_and_another_service_is_served(
        encode, limit_mb):
    """Bodies that wait for one service end the process of all others."""
    with peers.loop() as loop:
        server = Server(loop, limit_mb)
        first = _Caller(loop, server, encode(b'/a'))
        _run(loop, [first], lambda: server.bodies)
        second = _Caller(loop, server, encode(b'/a'))
        _run(loop, [second], lambda: second.received and not second.left)
        other = _Caller(loop, server, encode(OTHER_TARGET))
        _run(loop, [other], lambda: len(server.bodies) == 2)
        for caller in (first, second, other):
            caller.close()
        peers.run(loop, lambda: server.closed == 3)
    assert second.received.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in second.received
    assert b'memory_short' in second.received
    assert not server.memory.shares.held


def test_a_body_waits_unread_until_there_is_room():
    """Requests are refused that a moment's wait would have served."""
    with peers.loop() as loop:
        server = Server(loop)
        first = _Caller(loop, server, _sized(b'/a'))
        _run(loop, [first], lambda: server.bodies)
        second = _Caller(loop, server, _sized(b'/a'))
        loop.call_later(memory.ROOM_WAIT_S / 2, first.close)
        _run(loop, [second], lambda: len(server.bodies) == 2)
        second.close()
    assert not second.received
    assert server.bodies[1].data == bytes(BODY_BYTES)


def test_what_a_caller_leaves_behind_is_free_again():
    """Callers that leave within their bodies use up the memory for good."""
    with peers.loop() as loop:
        server = Server(loop)
        half = _Caller(loop, server, _sized(b'/a')[:BODY_BYTES // 2])
        _run(loop, [half], lambda: server.memory.shares.held)
        waiting = _Caller(loop, server, _sized(b'/a')[:BODY_BYTES // 2])
        half.close()
        _run(loop, [waiting], lambda: server.closed == 1)
        waiting.close()
        peers.run(loop, lambda: server.closed == 2)
    assert not server.memory.shares.held


def _site_with_body(limit_mb, size):
    """Yields an exchange with a short body at an entry with little memory."""
    loop = exchange_site.Loop()
    site = exchange_site.Site(loop, [[]])
    site.node.memory = memory.Memory(loop, lambda: limit_mb, lambda: 0)
    site.exchange.req.body = bytes(size)
    return site


def test_a_short_body_is_counted_until_its_request_ends():
    """Short bodies are never counted, or never freed."""
    site = _site_with_body(LIMIT_MB, 5000)
    site.exchange.start()
    rest = memory.REQUEST_BYTES + memory.STREAM_BYTES
    assert site.node.memory.shares.held == 5000 + rest
    site.exchange.on_caller_disconnected('left')
    assert site.node.memory.shares.held == 0


def test_a_short_body_without_room_is_refused_before_it_is_sent():
    """Many short bodies that wait end the process."""
    site = _site_with_body(0.001, 5000)
    site.exchange.start()
    assert site.writer.status == errors.MemoryShortError.status == 503
    assert not site.conns
    assert site.node.memory.shares.held == 0


def test_room_is_what_the_process_itself_leaves():
    """An entry that has grown takes bodies as if it had not."""
    loop = types.SimpleNamespace(now=0.0)
    resident = [10 << 20]
    room = memory.Memory(loop, lambda: 110.0, lambda: resident[0])
    before = room.shares.room
    assert before == int((100 << 20) * memory.ROOM_FRACTION)
    resident[0] = 60 << 20
    for _ in range(3):
        loop.now += memory.BASE_WINDOW_S + 1
        room.fits(memoryshares.Owner('s'), 1)
    assert room.shares.room == int((50 << 20) * memory.ROOM_FRACTION)
    resident[0] = 105 << 20
    held = room.hold(memoryshares.Owner('s'))
    held.add(1)
    assert not held.grow(1)


def test_a_body_that_trickles_in_is_given_up():
    """A byte now and then kept a connection for as long as its caller liked."""
    with peers.loop() as loop:
        server = Server(loop)
        server.body_timeout_s = 0.2
        caller = _Caller(loop, server, _sized(b'/a')[:200])
        caller_sends = [True]

        def trickle():
            if caller_sends:
                caller.left += b'x'
                loop.call_later(0.02, trickle)

        trickle()
        _run(loop, [caller], lambda: server.closed or caller.received)
        caller_sends.clear()
        caller.close()
        peers.run(loop, lambda: server.closed)
    assert caller.received.startswith(b'HTTP/1.1 503')
    assert not server.bodies
