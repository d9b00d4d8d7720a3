"""Callers' requests, however their bytes are cut, against the originals."""

import socket

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import peers
from gorsefall.relay import inbound
from gorsefall.relay import model
from gorsefall.relay import outcomes


class Server:
    """Answers each request with its own body and keeps what came."""
    limits = model.CallerLimits(header_bytes=2000, body_bytes=500)
    draining = False

    def __init__(self):
        self.seen = []
        self.closed = 0

    def handle_request(self, method, target, fields, body, reply):
        self.seen.append((method, target, bytes(body.data)))
        reply.send(200, [(b'X-Target', target)], bytes(body.data))

    def error_response(self, exc):
        return outcomes.error_response(exc)

    def on_conn_closed(self, channel):
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
    """Sends ``data`` in pieces; returns the server and what it answered."""
    server = Server()
    client, accepted = _connected()
    got = bytearray()
    client.setblocking(False)

    def read():
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
        peers.run(loop, read)
    client.close()
    return server, bytes(got)


_REQUESTS = st.lists(st.tuples(st.sampled_from([b'/a', b'/b?c=%2f', b'/']),
                               st.binary(max_size=60), st.booleans()),
                     min_size=1,
                     max_size=4)


@settings(max_examples=60, deadline=None)
@given(_REQUESTS, st.lists(st.integers(0, 2000), max_size=8))
def test_requests_arrive_as_sent(requests, cuts):
    """Requests run into each other.

    Symptom: a replica runs bytes that no caller sent as a request. Cause:
    a body's end mistaken, or a request that was read ahead lost.
    """
    data = b''.join(encode(*r) for r in requests)
    server, got = converse(
        data, cuts, lambda s, got: got.count(b'HTTP/1.1 200') == len(requests)
        and got.endswith(requests[-1][1]))
    assert server.seen == [(b'POST', t, b) for t, b, _ in requests]
    at = 0
    for target, body, _ in requests:
        at = got.index(target, at)
        assert body in got[at:]


@settings(max_examples=40, deadline=None)
@given(st.binary(min_size=1, max_size=200))
def test_bytes_that_are_no_request_reach_nobody(junk):
    """Smuggled request: what is not HTTP is answered 400, or read on."""
    data = junk.replace(b'\r', b'').replace(b'\n', b'') + b'\r\n\r\n'
    server, got = converse(
        data, [],
        lambda s, got: s.closed or data.strip() == b'' or b' 400 ' in got)
    assert not server.seen
    assert b' 200 ' not in got


def test_two_lengths_are_refused():
    """Request smuggling by two framings."""
    data = (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Content-Length: 30\r\n\r\nabc')
    server, got = converse(data, [], lambda s, got: b' 400 ' in got)
    assert not server.seen


class Streaming(Server):
    """Begins an answer to the first request, and answers others whole."""

    def __init__(self):
        super().__init__()
        self.reply = None

    def handle_request(self, method, target, fields, body, reply):
        self.seen.append((method, target, bytes(body.data)))
        if self.reply is not None:
            reply.send(200, [], bytes(body.data))
            return
        self.reply = reply
        reply.start(200, [])


def test_a_channel_whose_answer_ends_late_in_a_shutdown_is_closed():
    """A stream that is cut at the end of a shutdown.

    Symptom: a request that was sent 6.5 s after the stop signal is passed on
    and its answer cut at the end of the grace time. Sequence: an answer began
    before the signal, so its head announced no close; it ends late, and the
    caller's next request comes before idle channels are looked for. Cause:
    the channel stayed open after the answer.
    """
    server = Streaming()
    with peers.loop() as loop:
        client, accepted = _connected()
        channel = inbound.CallerConnection(loop, server, accepted)
        client.sendall(encode(b'/long', b'', False))
        peers.run(loop, lambda: server.reply)
        server.draining = True
        server.reply.end()
        client.sendall(encode(b'/next', b'', False))
        peers.run(loop, lambda: server.closed)
        assert not channel.has_unsent
    client.close()
    assert [target for _, target, _ in server.seen] == [b'/long']


def test_what_came_before_the_answer_ended_is_served_in_a_shutdown():
    """A request that was already here when the stream before it ended."""
    server = Streaming()
    with peers.loop() as loop:
        client, accepted = _connected()
        inbound.CallerConnection(loop, server, accepted)
        client.sendall(
            encode(b'/long', b'', False) + encode(b'/next', b'', False))
        peers.run(loop, lambda: server.reply)
        server.draining = True
        server.reply.end()
        peers.run(loop, lambda: server.closed)
    client.close()
    assert [target for _, target, _ in server.seen] == [b'/long', b'/next']
