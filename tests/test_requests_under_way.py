"""Requests that have not reached their replica when it leaves, or they end."""

import socket
import struct
import time
import types

import pytest

import exchange_site
import forwarding_site
import peers
from test_fleet import SERVICES
from test_fleet import record

from gorsefall.net import headers
from gorsefall.net import outbound
from gorsefall.net import tcp
from gorsefall.relay import fleet
from gorsefall.relay import forwardmessages
from gorsefall.relay import model
from gorsefall.relay import sending
from gorsefall.standins import acceptor

BODY_BYTES = 200_000
"""Size of a request that the kernels of both sides do not hold together with
a receive buffer of ``WINDOW_BYTES``."""

WINDOW_BYTES = 4096
READ_TIMEOUT_S = 5.0


class _Peer:
    """A listener whose connections receive little until they are read."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                  WINDOW_BYTES)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self.addr = self._listener.getsockname()

    def accept(self):
        """Returns the socket of the next connection."""
        sock, _ = self._listener.accept()
        sock.settimeout(READ_TIMEOUT_S)
        return sock

    def close(self):
        self._listener.close()


def _read_all(sock):
    """Returns what arrives, and whether the connection was reset."""
    received = 0
    try:
        while data := sock.recv(65536):
            received += len(data)
    except ConnectionResetError:
        return received, True
    return received, False


@pytest.fixture(name='peer')
def _peer():
    peer = _Peer()
    yield peer
    peer.close()


class _LargeCall(outbound.Call):
    """A call with a body that its peer does not read at once."""

    request_id = 'r'

    def __init__(self):
        super().__init__(b'POST', b'/',
                         [(b'Host', b'x'),
                          (b'Content-Length', b'%d' % BODY_BYTES)],
                         b'x' * BODY_BYTES)
        self.sent = False

    def on_sent(self):
        self.sent = True


def test_what_was_cancelled_does_not_go_on_arriving(peer):
    """A replica that had left got the rest of a request given up long ago."""
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        call = _LargeCall()
        conn = pool.send(call)
        peers.run(loop, lambda: call.sent)
        sock = peer.accept()
        for _ in range(5):
            loop.step(0.01)
        assert conn.cancel()
        assert pool.size == 0
    received, was_reset = _read_all(sock)
    assert was_reset
    assert received < BODY_BYTES


def test_what_was_cancelled_does_not_go_on_to_another_entry(peer):
    """An entry that forwards got the rest of a request given up long ago."""
    with peers.loop() as loop:
        host, port = peer.addr
        client = forwarding_site.forwarding.Client(loop, port,
                                                   forwarding_site.Observer())
        replica = types.SimpleNamespace(
            record=types.SimpleNamespace(id='r1', started_at_ms=7))
        call = _LargeCall()
        conn = client.send(host, replica, call)
        sock = peer.accept()
        sock.sendall(_frame(forwardmessages.Opened()))
        peers.run(loop, lambda: call.sent)
        for _ in range(5):
            loop.step(0.01)
        assert conn.cancel()
    received, was_reset = _read_all(sock)
    assert was_reset
    assert received < BODY_BYTES


def _frame(message):
    return forwarding_site.forwarding.frames.encode(
        forwardmessages.encode(message))


def _draining(directory):
    directory.put(
        record('a',
               model.ReplicaStatus.DRAINING,
               port=directory.replicas['a'].record.addr[1]))


def _dropped(directory):
    directory.remove('a', time.monotonic())


def _malformed(directory):
    directory.mark_malformed('a')


def _announced(directory):
    directory.replicas['a'].acceptance.leaving = True


def _restarted(directory):
    directory.put(
        record('a',
               started_at_ms=9,
               port=directory.replicas['a'].record.addr[1]))


_DEPARTURES = [_draining, _dropped, _malformed, _announced, _restarted]


class _Codec(exchange_site.Codec):
    """Encodes what a request on a socket needs."""

    def encode_request(self, req, options):
        return [(b'Host', b'h')]


class _Exchange:
    """What an attempt needs of its exchange.

    Attributes:
        failure: The ``outbound.Failure`` of the attempt.
    """

    def __init__(self, directory):
        self.node = types.SimpleNamespace(
            codec=_Codec(),
            fleet=directory,
            current_list=types.SimpleNamespace(is_usable=lambda: True))
        self.req = model.CallerRequest(id='rid',
                                       method=b'GET',
                                       target=b'/x',
                                       host='h',
                                       headers=headers.from_items([]))
        self.log = types.SimpleNamespace(info=lambda *a, **kw: None)
        self.failure = None

    def on_request_sent(self, attempt):
        pass

    def on_attempt_failed(self, attempt, failure):
        self.failure = failure


def _attempt(owner, replica):
    options = model.AttemptOptions(replica='a',
                                   time_left_s=1.0,
                                   account=None,
                                   priority=0)
    choice = types.SimpleNamespace(prefill_tokens=0)
    return sending.Attempt(owner, replica, options, choice, decode_heavy=False)


@pytest.mark.parametrize('depart', _DEPARTURES)
def test_a_request_does_not_leave_for_a_replica_that_left_since(depart):
    """A request was sent by a list that says its replica is leaving."""
    peer = peers.ScriptedPeer([])
    with peers.loop() as loop:
        directory = fleet.Fleet(loop)
        directory.set_services(SERVICES)
        directory.put(record('a', port=peer.addr[1]))
        replica = directory.replicas['a']
        owner = _Exchange(directory)
        attempt = _attempt(owner, replica)
        attempt.conn = replica.pool.send(attempt)
        depart(directory)
        peers.run(loop, lambda: owner.failure is not None or peer.requests)
    peer.close()
    assert not peer.requests
    assert owner.failure == outbound.WITHHELD


def test_a_forwarder_sends_nothing_to_a_replica_that_left_since():
    """An entry agreed to forward before it learned that the replica left."""
    peer = peers.ScriptedPeer([])
    call = forwarding_site.Call()
    with peers.loop() as loop, forwarding_site.site(loop, peer.addr) as site:
        call.may_be_sent = lambda: setattr(site, 'listed', False) or True
        site.send(call)
        peers.run(loop, lambda: call.done or peer.requests)
    peer.close()
    assert not peer.requests
    assert not call.failure.sent


class _Owner:
    """Records the order in which a connection reports what it finds."""

    def __init__(self):
        self.connected = False
        self.found = []

    def on_connected(self):
        self.connected = True

    def on_bytes(self, data):
        self.found.append(data)

    def on_drained(self):
        pass

    def on_broken(self, reason):
        self.found.append('broken')


def test_a_reset_that_a_write_found_is_no_end_of_the_peer():
    """An answer without length looked whole, as the write had found the
    reset."""
    with peers.loop() as loop, socket.create_server(('127.0.0.1', 0)) as server:
        owner = _Owner()
        conn = tcp.Connection(loop, owner)
        conn.connect(server.getsockname())
        peers.run(loop, lambda: owner.connected)
        sock, _ = server.accept()
        sock.sendall(b'part')
        peers.run(loop, lambda: owner.found)
        acceptor.reset_connection(sock)
        conn.write(b'x')
        peers.run(loop, lambda: 'broken' in owner.found)
    assert owner.found == [b'part', 'broken']


def test_a_reset_beside_a_write_is_no_end_of_the_peer():
    """As above, as the process reads between the write and its report."""
    with peers.loop() as loop, socket.create_server(('127.0.0.1', 0)) as server:
        owner = _Owner()
        conn = tcp.Connection(loop, owner)
        conn.connect(server.getsockname())
        peers.run(loop, lambda: owner.connected)
        sock, _ = server.accept()
        sock.sendall(b'part')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack('ii', 1, 0))
        sock.close()
        loop.call_later(0, lambda: conn.write(b'x'))
        peers.run(loop, lambda: 'broken' in owner.found)
    assert b'' not in owner.found


class _HalfClosing(acceptor.Acceptor):
    """Answers without length, ends its side, and resets a moment later."""

    def serve_connection(self, sock):
        sock.recv(1000)
        sock.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
        sock.shutdown(socket.SHUT_WR)
        time.sleep(0.02)
        acceptor.reset_connection(sock)


class _WholeCall(_LargeCall):
    """A call that records whether its answer counts as whole."""

    def __init__(self):
        super().__init__()
        self.body = b'x' * 20 * BODY_BYTES
        self.fields[1] = (b'Content-Length', b'%d' % len(self.body))
        self.ended = False
        self.failure = None

    def on_end(self):
        self.ended = True

    def on_fail(self, failure):
        self.failure = failure


def test_an_end_of_the_peer_while_it_is_sent_a_request_is_no_end_of_an_answer():
    """A part of an answer was whole, as its replica had not read the
    request."""
    peer = _HalfClosing()
    with peers.loop() as loop:
        pool = outbound.Pool(loop,
                             peer.address,
                             max_size=1,
                             connect_timeout_s=1.0)
        call = _WholeCall()
        pool.send(call)
        peers.run(loop, lambda: call.ended or call.failure is not None)
    peer.close()
    assert not call.ended
    assert (call.failure.sent, call.failure.fault) == (True,
                                                       outbound.Fault.LOST)


@pytest.mark.parametrize('status', [600, 999])
def test_a_status_that_is_none_is_no_answer(status):
    """A caller got 600 or 999 as the answer of a replica."""
    peer = peers.ScriptedPeer(
        [[b'HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n' % status]])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        call = _WholeCall()
        call.body = b''
        call.fields = [(b'Host', b'x')]
        pool.send(call)
        peers.run(loop, lambda: call.ended or call.failure is not None)
    peer.close()
    assert not call.ended
    assert call.failure.sent


@pytest.mark.parametrize('value', [b'timeout=' + b'9' * 400, b'timeout=x'])
def test_a_time_that_is_none_costs_no_answer(value):
    """An answer was lost by a time to keep its connection that fits nowhere."""
    peer = peers.ScriptedPeer([[
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: %s\r\n\r\n' %
        value
    ]])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        call = _WholeCall()
        call.body = b''
        call.fields = [(b'Host', b'x')]
        pool.send(call)
        peers.run(loop, lambda: call.ended or call.failure is not None)
        pool.close()
    peer.close()
    assert call.ended


@pytest.mark.parametrize('addr', [('127.0.0.1', 70000), ('a..b', 80),
                                  ('::1', 80), ('\u0661', 80), ('x' * 300, 80),
                                  ('127.0.0.1', -1)])
def test_an_address_that_cannot_be_leaks_no_place(addr):
    """Each request to such an address kept a place for ever."""
    with peers.loop() as loop:
        pool = outbound.Pool(loop, addr, max_size=1, connect_timeout_s=1.0)
        call = _WholeCall()
        pool.send(call)
        peers.run(loop, lambda: call.failure is not None)
        assert pool.size == 0
    assert not call.failure.sent
