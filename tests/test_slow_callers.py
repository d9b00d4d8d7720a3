"""Who yields when callers do not read or send, and what they leave behind."""

import dataclasses
import socket
import types

import pytest

import exchange_site
import peers
import test_inbound
from gorsefall.net import headers
from gorsefall.policy import memoryshares
from gorsefall.relay import callerwaits
from gorsefall.relay import inbound
from gorsefall.relay import memory
from gorsefall.relay import model
from gorsefall.relay import unreadstreams

SERVICE = 's'
IDLE_LIMIT_S = 4.5
ROUTE = dataclasses.replace(exchange_site.ROUTE,
                            kind=model.RouteKind.IDEMPOTENT,
                            resumable=False)
LONG = headers.from_items([(b'content-length', b'3000000')])
PIECE = bytes(60_000)


def _anyone(owner):
    del owner
    return True


class _Conn:
    """A connection that waits for a caller at a steady pace.

    Attributes:
        held_bytes: Bytes that it holds.
        ended: Why it was closed; None before.
    """
    idle_limit_s = IDLE_LIMIT_S

    def __init__(self, account, held_bytes, per_s=0):
        self.owner = memoryshares.Owner(SERVICE, account)
        self.held_bytes = held_bytes
        self.moved_bytes = 0
        self._per_s = per_s
        self.ended = None

    def measure(self):
        self.moved_bytes += self._per_s

    def yield_room(self, shortage):
        self.ended = shortage

    def close_idle(self):
        self.ended = 'idle'


def _waits(conns, after_s):
    loop = exchange_site.Loop()
    waits = callerwaits.CallerWaits(loop)
    for conn in conns:
        waits.add(conn)
    loop.run(loop.now + after_s)
    return waits


def test_the_slowest_of_the_account_that_holds_most_yields():
    """A caller with a slow link was taken for one of a crowd that stopped."""
    honest = _Conn('honest', 100, per_s=10)
    crowd = [_Conn('crowd', 100, per_s=50), _Conn('crowd', 100, per_s=20)]
    waits = _waits([honest, *crowd], 2.5)
    assert waits.free(100, _anyone) == 100
    assert (honest.ended, crowd[0].ended) == (None, None)
    assert crowd[1].ended is callerwaits.Shortage.MEMORY


def test_the_longest_without_a_byte_yields_before_one_that_paused():
    """A caller that paused for a moment was cut before one that had stopped."""
    stopped, paused = _Conn('a', 100), _Conn('a', 100, per_s=10)
    loop = exchange_site.Loop()
    waits = callerwaits.CallerWaits(loop)
    waits.add(paused)
    waits.add(stopped)
    loop.run(loop.now + 3.5)
    paused._per_s = 0
    loop.run(loop.now + 1.0)
    waits.free(1, _anyone)
    assert stopped.ended is callerwaits.Shortage.MEMORY
    assert paused.ended is None


@pytest.mark.parametrize('after_s', [0.5, 1.5])
def test_a_caller_yields_only_once_its_pace_is_known(after_s):
    """An answer that has just begun to leave was cut for another one."""
    conn = _Conn('a', 100)
    waits = _waits([conn], after_s)
    assert not waits.free(1, _anyone)
    assert not waits.free_connection()
    assert conn.ended is None


def test_connections_are_taken_from_the_account_that_has_most_of_them():
    """A long answer that was being read was cut for one of many connections."""
    honest = _Conn('honest', 1 << 20, per_s=400_000)
    crowd = [_Conn(None, 10, per_s=50) for _ in range(3)]
    waits = _waits([honest, *crowd], 2.5)
    for _ in range(3):
        assert waits.free_connection()
    assert honest.ended is None
    assert [conn.ended for conn in crowd
           ] == [callerwaits.Shortage.CONNECTIONS] * 3


def test_a_caller_that_has_finished_does_not_yield():
    """A connection was cut after its answer had left."""
    conn = _Conn('a', 100)
    waits = _waits([conn], 2.5)
    waits.discard(conn)
    assert not waits.free(1, _anyone)
    assert conn.ended is None


def test_a_caller_that_moves_no_byte_is_closed_in_the_end():
    """An answer that nobody reads was kept for good."""
    stopped, slow = _Conn('a', 100), _Conn('a', 100, per_s=1)
    _waits([stopped, slow], IDLE_LIMIT_S + 3.0)
    assert stopped.ended is not None
    assert slow.ended is None


def test_an_account_at_its_share_takes_nothing_of_others():
    """A crowd that was at its share had the callers of others cut."""
    loop = exchange_site.Loop()
    entry = memory.Memory(loop, lambda: 12.0, lambda: 0)
    honest = _Conn('honest', 1 << 20)
    entry.hold(honest.owner).add(honest.held_bytes)
    entry.callers.add(honest)
    loop.run(loop.now + 2.5)
    crowd = entry.hold(memoryshares.Owner('other', 'crowd'))
    crowd.add(3 << 20)
    assert not crowd.grow(2 << 20)
    assert honest.ended is None
    entry.hold(memoryshares.Owner('third', 'new')).grow(5 << 20)
    assert honest.ended is callerwaits.Shortage.MEMORY


# -- streams -------------------------------------------------------------------


class _Stream:
    """A stream whose caller is behind."""

    def __init__(self, account, replica):
        self.owner = memoryshares.Owner(SERVICE, account)
        self.grant = types.SimpleNamespace(service=SERVICE)
        self.req = types.SimpleNamespace(id='r')
        self.attempt = types.SimpleNamespace(replica=replica, name=replica)
        self.ended = False

    def yield_to_others(self, shortage):
        assert shortage is callerwaits.Shortage.PLACES
        self.ended = True


def _unread(streams, full=()):
    loop = exchange_site.Loop()
    unread = unreadstreams.UnreadStreams(loop, lambda replica: replica in full)
    for stream in streams:
        unread.add(stream)
    return loop, unread


def test_an_unread_stream_yields_to_a_request_without_a_place():
    """Callers that read nothing held all places of a service."""
    streams = [_Stream('b', 'p'), _Stream('a', 'p'), _Stream('a', 'p')]
    loop, unread = _unread(streams)
    assert not unread.yield_place(SERVICE)
    loop.run(loop.now + unreadstreams.UNREAD_S)
    assert not unread.yield_place('other')
    assert unread.yield_place(SERVICE)
    assert [s.ended for s in streams] == [False, True, False]


def test_an_unread_stream_stays_while_its_replica_has_free_places():
    """A stream was cut though nobody needed its place."""
    streams = [_Stream('a', 'full'), _Stream('a', 'free')]
    loop, unread = _unread(streams, full=('full',))
    loop.run(loop.now + 2 * unreadstreams.UNREAD_S)
    assert [s.ended for s in streams] == [True, False]


def test_a_stream_that_is_read_again_does_not_yield():
    """A caller that had paused lost its stream."""
    stream = _Stream('a', 'p')
    loop, unread = _unread([stream], full=('p',))
    loop.run(loop.now + unreadstreams.UNREAD_S / 2)
    unread.discard(stream)
    loop.run(loop.now + unreadstreams.UNREAD_S)
    assert not unread.yield_place(SERVICE)
    assert not stream.ended


def test_a_stream_that_yields_is_broken_off():
    """A stream that was cut for another request looked complete."""
    with exchange_site.site([[(0.1, 'head'), (0.1, 'event')]]) as site:
        site.writer.keeps_up = False
        site.exchange.start()
        site.loop.run(site.loop.now + 0.3)
        site.exchange.yield_to_others(callerwaits.Shortage.PLACES)
        assert not site.conns[0].is_open
        assert site.writer.failed_at is not None
        assert not site.writer.ended
        assert not site.node.unread_streams


# -- answers -------------------------------------------------------------------


def _start_plain(site, limit_mb):
    """Starts an exchange that is no stream at an entry with little memory."""
    site.node.table = exchange_site.table(1, ['k'], ROUTE)
    site.node.memory = memory.Memory(site.loop, lambda: limit_mb, lambda: 0)
    site.exchange.start()
    return site.conns[0]._call


def _announce(call):
    call.matches_response(200, LONG)
    call.on_head(200, LONG)


def test_a_long_answer_holds_its_room_from_its_head():
    """Answers that were received at once did not fit together."""
    with exchange_site.site([[]]) as site:
        call = _start_plain(site, 20.0)
        _announce(call)
        assert site.node.memory.shares.held == 3_000_000 + memory.REQUEST_BYTES
        call.on_data(PIECE)
        assert site.node.memory.shares.held == 3_000_000 + memory.REQUEST_BYTES
        site.exchange.on_caller_disconnected('left')
        assert site.node.memory.shares.held == 0


def test_an_answer_without_room_waits_at_its_replica():
    """An answer was received that had no room, and ended the process."""
    with exchange_site.site([[]]) as site:
        call = _start_plain(site, 20.0)
        other = site.node.memory.hold(memoryshares.Owner('other'))
        other.add(9_000_000)
        _announce(call)
        assert site.conns[0].paused
        other.release()
        site.loop.run(site.loop.now + memory.ROOM_WAIT_S / 2)
        assert not site.conns[0].paused
        call.on_data(PIECE)
        call.on_end()
        assert site.writer.status == 200
        assert site.node.memory.shares.held == 0


def test_an_answer_for_which_no_room_comes_is_not_called_unrun():
    """A request that has run was refused as if it had not."""
    with exchange_site.site([[]]) as site:
        call = _start_plain(site, 10.0)
        site.node.memory.hold(memoryshares.Owner('other')).add(5_000_000)
        _announce(call)
        site.loop.run(site.loop.now + 2 * memory.ROOM_WAIT_S)
        assert site.writer.status == 502
        assert not site.conns[0].is_open
        assert site.node.memory.shares.held == 5_000_000


@pytest.mark.parametrize('announced', [True, False])
def test_an_answer_over_the_limit_is_given_up(announced):
    """An answer without end was buffered."""
    with exchange_site.site([[]]) as site:
        call = _start_plain(site, 1000.0)
        if announced:
            fields = headers.from_items([(b'content-length', b'5000000')])
            call.matches_response(200, fields)
            call.on_head(200, fields)
        else:
            call.matches_response(200, headers.from_items([]))
            call.on_head(200, headers.from_items([]))
            while site.conns[0].is_open:
                call.on_data(PIECE)
        site.loop.run(site.loop.now + 1.0)
        assert not site.conns[0].is_open
        assert site.node.memory.shares.held == 0


@pytest.mark.parametrize('method, status', [(b'HEAD', 200), (b'GET', 204),
                                            (b'GET', 304)])
def test_an_answer_without_a_body_needs_no_room(method, status):
    """The length of a body that is not sent was held, or was over the limit."""
    with exchange_site.site([[]]) as site:
        site.exchange.req.method = method
        call = _start_plain(site, 20.0)
        fields = headers.from_items([(b'content-length', b'5000000')])
        call.matches_response(status, fields)
        call.on_head(status, fields)
        assert site.node.memory.shares.held == memory.REQUEST_BYTES
        assert site.conns[0].is_open


# -- connections ---------------------------------------------------------------


class _LongAnswers(test_inbound.Server):
    """Responds to each request with more than the kernel takes."""

    def __init__(self, loop):
        super().__init__()
        self.memory = memory.Memory(loop, lambda: 1000.0, lambda: 0)

    def handle_request(self, method, target, fields, body, writer):
        self.requests.append(target)
        writer.send_pieces(200, [], [bytes(1 << 20)] * 8)


def _read_all(client):
    try:
        return len(client.recv(1 << 20))
    except BlockingIOError:
        return 0


def test_the_next_request_is_read_once_the_answer_has_left():
    """One connection had an answer kept for each request it sent ahead."""
    with peers.loop() as loop:
        server = _LongAnswers(loop)
        client, accepted = test_inbound._connected()
        client.setblocking(False)
        conn = inbound.CallerConnection(loop, server, accepted)
        client.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n' * 3)
        peers.run(loop, lambda: server.requests)
        for _ in range(5):
            loop.step(0.01)
        assert len(server.requests) == 1
        assert conn.has_unsent and not conn.idle
        assert server.memory.shares.held >= conn._conn.unsent_bytes
        received = 0

        def read():
            nonlocal received
            received += _read_all(client)
            return received >= 3 * (8 << 20)

        peers.run(loop, read)
        assert len(server.requests) == 3
        client.close()
        peers.run(loop, lambda: server.closed)
        assert not server.memory.shares.held


def test_little_is_read_behind_a_running_request():
    """What callers sent behind a running request filled the memory."""
    with peers.loop() as loop:
        server = test_inbound.Waiting()
        server.memory = memory.Memory(loop, lambda: 1000.0, lambda: 0)
        client, accepted = test_inbound._connected()
        conn = inbound.CallerConnection(loop, server, accepted)
        client.setblocking(False)
        client.send(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n' + bytes(200_000))
        peers.run(loop, lambda: server.requests)
        for _ in range(20):
            loop.step(0.01)
        assert conn._conn.bytes_in <= 2 * inbound.HEAD_RECV_BYTES
        assert server.memory.shares.held >= inbound.CONN_BYTES + 1
        client.close()


def test_what_the_kernel_has_received_is_counted():
    """Bytes behind a running request were nobody's in the kernel's buffers."""
    with peers.loop() as loop:
        server = test_inbound.Waiting()
        server.memory = memory.Memory(loop, lambda: 1000.0, lambda: 0)
        client, accepted = test_inbound._connected()
        conn = inbound.CallerConnection(loop, server, accepted)
        client.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n' + bytes(50_000))
        peers.run(loop, lambda: server.requests)
        peers.run(loop, lambda: server.memory.shares.held > 50_000)
        conn.yield_room(callerwaits.Shortage.MEMORY)
        assert server.exchange.yielded == [callerwaits.Shortage.MEMORY]
        assert not server.memory.shares.held
        client.close()


def test_a_body_that_yields_to_itself_leaves_nothing():
    """A body grew after its own connection had yielded, and was kept."""
    with peers.loop() as loop:
        server = test_inbound.Server()
        server.limits = model.CallerLimits()
        server.memory = memory.Memory(loop, lambda: 0.03, lambda: 0)
        client, accepted = test_inbound._connected()
        conn = inbound.CallerConnection(loop, server, accepted)
        client.sendall(b'POST /a HTTP/1.1\r\nHost: h\r\n'
                       b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n')
        peers.run(loop, lambda: server.memory.callers)
        server.memory.callers._by_bytes.append(conn)
        server.memory.callers._paces[conn].per_s = 0.0
        client.sendall(b'3800\r\n' + bytes(0x3800))
        peers.run(loop, lambda: server.closed)
        assert not server.memory.shares.held
        assert not server.requests
        client.close()


def test_a_body_of_small_pieces_lets_others_have_their_turn():
    """A body in chunks of one byte held up all other callers."""
    with peers.loop() as loop:
        server = test_inbound.Server()
        client, accepted = test_inbound._connected()
        inbound.CallerConnection(loop, server, accepted)
        client.sendall(b'POST /a HTTP/1.1\r\nHost: h\r\n'
                       b'Transfer-Encoding: chunked\r\n\r\n' +
                       b'1\r\nx\r\n' * 400 + b'0\r\n\r\n')
        passes = 0

        def count():
            nonlocal passes
            passes += 1
            return server.requests

        peers.run(loop, count)
        assert server.requests == [(b'POST', b'/a', b'x' * 400)]
        assert passes > 400 // inbound.MAX_EVENTS
        client.close()


def test_an_answer_that_is_leaving_is_not_closed_as_idle():
    """A shutdown closed the connection of an answer that was being read."""
    with peers.loop() as loop:
        server = _LongAnswers(loop)
        client, accepted = test_inbound._connected()
        conn = inbound.CallerConnection(loop, server, accepted)
        client.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
        peers.run(loop, lambda: server.requests)
        assert conn.has_unsent
        assert not conn.idle
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          b'\x01\0\0\0\0\0\0\0')
        client.close()
