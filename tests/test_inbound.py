"""Requests of callers are parsed correctly however their bytes are split."""

import socket

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import peers
from gorsefall.policy import memoryshares
from gorsefall.relay import inbound
from gorsefall.relay import memory
from gorsefall.relay import model
from gorsefall.relay import outcomes


class _Loop:
    """Runs no timer."""
    now = 0.0

    def call_later(self, delay_s, action):
        del delay_s, action


class Server:
    """Responds to each request with its own body; records all requests."""
    limits = model.CallerLimits(header_bytes=2000, body_bytes=500)
    draining = False
    body_timeout_s = 60.0
    memory = memory.Memory(_Loop(), lambda: 1000.0, lambda: 0)

    def __init__(self):
        self.requests = []
        self.closed = 0

    def hold_memory(self, method, target, fields):
        return self.memory.hold(memoryshares.Owner())

    def handle_request(self, method, target, fields, body, writer):
        self.requests.append((method, target, bytes(body.data)))
        writer.send(200, [(b'X-Target', target)], bytes(body.data))

    def error_response(self, exc):
        return outcomes.error_response(exc)

    def on_conn_closed(self, conn):
        self.closed += 1


def encode(target, body, chunked):
    out = b'POST ' + target + b' HTTP/1.1\r\nHost: h\r\n'
    if not chunked:
        return out + b'Content-Length: %d\r\n\r\n' % len(body) + body
    out += b'Transfer-Encoding: chunked\r\n\r\n'
    for i in range(0, len(body), 7):
        piece = body[i:i + 7]
        out += b'%x\r\n%s\r\n' % (len(piece), piece)
    return out + b'0\r\n\r\n'


def _connected():
    """Returns the two ends of a connection, the caller's first."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return client, accepted


def converse(data, cuts, enough):
    """Sends ``data`` in pieces; returns the server and the bytes received.

    Args:
        data: Bytes to send.
        cuts: Offsets at which the data is split.
        enough: Called with the server and the bytes received so far; returns
            whether the conversation is over.
    """
    server = Server()
    client, accepted = _connected()
    got = bytearray()
    client.setblocking(False)

    def receive():
        try:
            got.extend(client.recv(65536))
        except BlockingIOError:
            pass
        return enough(server, bytes(got))

    with peers.loop() as loop:
        inbound.CallerConnection(loop, server, accepted)
        start = 0
        for cut in [*sorted(c % (len(data) + 1) for c in cuts), len(data)]:
            client.sendall(data[start:cut])
            start = cut
            loop.step(0.002)
        peers.run(loop, receive)
    client.close()
    return server, bytes(got)


_REQUESTS = st.lists(st.tuples(st.sampled_from([b'/a', b'/b?c=%2f', b'/']),
                               st.binary(max_size=60), st.booleans()),
                     min_size=1,
                     max_size=4)


@settings(max_examples=60, deadline=None)
@given(_REQUESTS, st.lists(st.integers(0, 2000), max_size=8))
def test_requests_arrive_as_sent(requests, cuts):
    """Pipelined requests are kept apart.

    Otherwise a replica runs bytes that no caller sent as a request, because
    the end of a body was misjudged or a request that was read ahead is lost.
    """
    data = b''.join(encode(*r) for r in requests)
    server, got = converse(
        data, cuts, lambda s, got: got.count(b'HTTP/1.1 200') == len(requests)
        and got.endswith(requests[-1][1]))
    assert server.requests == [(b'POST', t, b) for t, b, _ in requests]
    at = 0
    for target, body, _ in requests:
        at = got.index(target, at)
        assert body in got[at:]


@settings(max_examples=40, deadline=None)
@given(st.binary(min_size=1, max_size=200))
def test_invalid_bytes_reach_no_replica(invalid):
    """Bytes that aren't HTTP get a 400, or more bytes are awaited.

    Otherwise a request could be smuggled in.
    """
    data = invalid.replace(b'\r', b'').replace(b'\n', b'') + b'\r\n\r\n'
    server, got = converse(
        data, [],
        lambda s, got: s.closed or data.strip() == b'' or b' 400 ' in got)
    assert not server.requests
    assert b' 200 ' not in got


def test_two_content_lengths_are_refused():
    """Two Content-Length fields would allow request smuggling."""
    data = (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Content-Length: 30\r\n\r\nabc')
    server, got = converse(data, [], lambda s, got: b' 400 ' in got)
    assert not server.requests


class Streaming(Server):
    """Starts a stream for the first request; responds to others completely."""

    def __init__(self):
        super().__init__()
        self.writer = None

    def handle_request(self, method, target, fields, body, writer):
        self.requests.append((method, target, bytes(body.data)))
        if self.writer is not None:
            writer.send(200, [], bytes(body.data))
            return
        self.writer = writer
        writer.start(200, [])


def test_connection_closes_after_a_response_that_ends_late_in_shutdown():
    """Guards against a response that is cut off at the end of a shutdown.

    A response started before the stop signal, so its head didn't announce the
    close. It ends late, and the caller's next request, sent 6.5 s after the
    signal, arrives before idle connections are closed. If the connection
    stays open after the response, that request is forwarded, and its response
    is cut off at the end of the grace time.
    """
    server = Streaming()
    with peers.loop() as loop:
        client, accepted = _connected()
        conn = inbound.CallerConnection(loop, server, accepted)
        client.sendall(encode(b'/long', b'', False))
        peers.run(loop, lambda: server.writer)
        server.draining = True
        server.writer.end()
        client.sendall(encode(b'/next', b'', False))
        peers.run(loop, lambda: server.closed)
        assert not conn.has_unsent
    client.close()
    assert [target for _, target, _ in server.requests] == [b'/long']


def test_request_received_before_the_response_ended_is_served_in_shutdown():
    """A request that was received before the previous stream ended."""
    server = Streaming()
    with peers.loop() as loop:
        client, accepted = _connected()
        inbound.CallerConnection(loop, server, accepted)
        client.sendall(
            encode(b'/long', b'', False) + encode(b'/next', b'', False))
        peers.run(loop, lambda: server.writer)
        server.draining = True
        server.writer.end()
        peers.run(loop, lambda: server.closed)
    client.close()
    assert [target for _, target, _ in server.requests] == [b'/long', b'/next']


class Exchange:
    """Records how the connection of its caller ended."""
    owner = memoryshares.Owner()

    def __init__(self):
        self.left = []
        self.lost = []
        self.yielded = []

    def on_caller_disconnected(self, reason):
        self.left.append(reason)

    def on_caller_lost(self, reason):
        self.lost.append(reason)

    def yield_to_others(self, shortage):
        self.yielded.append(shortage)
        self.writer.abort()


class Waiting(Server):
    """Responds to nothing; each request has an ``Exchange``."""

    def __init__(self):
        super().__init__()
        self.exchange = Exchange()

    def handle_request(self, method, target, fields, body, writer):
        self.requests.append(target)
        self.exchange.writer = writer
        return self.exchange


def _reset(client):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                      b'\x01\0\0\0\0\0\0\0')
    client.close()


def _end_connection(end):
    server = Waiting()
    with peers.loop() as loop:
        client, accepted = _connected()
        conn = inbound.CallerConnection(loop, server, accepted)
        client.sendall(encode(b'/a', b'', False))
        peers.run(loop, lambda: server.requests)
        end(conn, client)
        peers.run(loop, lambda: server.closed)
        client.close()
    return server.exchange


@pytest.mark.parametrize('end, reason', [
    (lambda conn, client: client.close(), 'closed by the caller'),
    (lambda conn, client: _reset(client), 'Connection reset by peer'),
])
def test_a_caller_that_leaves_is_told_from_a_connection_that_fails(end, reason):
    """A connection that failed here is taken for a caller that has left."""
    exchange = _end_connection(end)
    assert (exchange.left, exchange.lost) == ([reason], [])


def test_a_fault_in_a_handler_is_not_taken_for_a_caller_that_left():
    """Nobody looks for the fault, as the log says that the caller left."""
    exchange = _end_connection(
        lambda conn, client: conn._conn.on_handler_error())
    assert (exchange.left, exchange.lost) == ([], ['fault in the handler'])


class _Impatient(Server):
    limits = model.CallerLimits(header_bytes=2000,
                                body_bytes=500,
                                header_timeout_s=0.2,
                                idle_timeout_s=0.8)


def _send_slowly(pieces, pause_s):
    """Sends pieces after a pause each; returns the server."""
    server = _Impatient()
    client, accepted = _connected()
    with peers.loop() as loop:
        inbound.CallerConnection(loop, server, accepted)
        for i, piece in enumerate(pieces):
            loop.call_later(i * pause_s, lambda p=piece: client.sendall(p))
        peers.run(loop, lambda: server.requests or server.closed)
    client.close()
    return server


def test_a_body_may_take_longer_than_a_head():
    """A long body on a slow link is cut off, as if it were a head."""
    body = bytes(80)
    whole = encode(b'/a', body, False)
    cut = len(whole) - len(body)
    pieces = [whole[:cut], *(bytes(10) for _ in range(8))]
    server = _send_slowly(pieces, 0.05)
    assert server.requests == [(b'POST', b'/a', body)]


@pytest.mark.parametrize('sent', [20, -10])
def test_a_request_that_stops_arriving_is_closed(sent):
    """A caller that stops within a head or a body keeps a connection open."""
    server = _send_slowly([encode(b'/a', bytes(80), False)[:sent]], 0.0)
    assert server.closed
    assert not server.requests


class _WithoutBody(Server):
    """Starts and ends a stream of a status that has no body."""

    def __init__(self, status):
        super().__init__()
        self._status = status

    def handle_request(self, method, target, fields, body, writer):
        self.requests.append((method, target, bytes(body.data)))
        writer.start(self._status, [])
        writer.end()


@pytest.mark.parametrize('status', [204, 304])
def test_a_stream_without_body_is_not_announced_in_chunks(status):
    """A response that has no body was announced in chunks."""
    server = _WithoutBody(status)
    with peers.loop() as loop:
        client, accepted = _connected()
        inbound.CallerConnection(loop, server, accepted)
        client.sendall(encode(b'/s', b'', False))
        peers.run(loop, lambda: server.requests)
    head = client.recv(1000)
    client.close()
    assert head.startswith(b'HTTP/1.1 %d' % status)
    assert b'transfer-encoding' not in head.lower()
