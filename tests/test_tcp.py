"""Connections whose peer sends more than the reader consumes."""

import array
import contextlib
import fcntl
import socket
import termios
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import peers
from gorsefall.net import tcp
from gorsefall.standins import acceptor

WINDOW_BYTES = 32768
SENT_BYTES = 2_000_000


class _IgnoringOwner:
    """An owner that ignores received data."""

    def __init__(self):
        self.connected = False

    def on_connected(self):
        self.connected = True

    def on_bytes(self, data):
        pass

    def on_drained(self):
        pass

    def on_broken(self, reason):
        raise AssertionError(reason)


class _RecordingOwner(_IgnoringOwner):
    """An owner that records why its connection failed.

    Attributes:
        reasons: Why, one for each call.
    """

    def __init__(self):
        super().__init__()
        self.reasons = []

    def on_broken(self, reason):
        self.reasons.append(reason)


def _unread_bytes(sock):
    """Returns how many bytes the kernel holds for a reader."""
    count = array.array('i', [0])
    fcntl.ioctl(sock, termios.FIONREAD, count)
    return count[0]


def test_window_limits_what_a_peer_sends_ahead():
    """Streams stall on a slow link while a large configuration is received.

    Without a limited receive window the kernel lets the peer send far ahead
    of the reader. The transfer then fills the queue of the link, and the
    events of streams wait behind it.
    """
    server = socket.create_server(('127.0.0.1', 0))
    with peers.loop() as loop, server:
        owner = _IgnoringOwner()
        conn = tcp.Connection(loop, owner)
        conn.connect(server.getsockname(), WINDOW_BYTES)
        conn.pause()
        peers.run(loop, lambda: owner.connected)
        peer_sock, _ = server.accept()
        with peer_sock:
            peer_sock.settimeout(0.5)
            try:
                peer_sock.sendall(b'x' * SENT_BYTES)
            except TimeoutError:
                pass
            time.sleep(0.1)
            # The kernel doubles the requested size to cover its overhead.
            assert 0 < _unread_bytes(conn._sock) <= 2 * WINDOW_BYTES
        conn.close()


def _option(conn, name):
    return conn._sock.getsockopt(socket.IPPROTO_TCP, name)


def test_a_single_lost_probe_does_not_end_a_connection():
    """A run that says nothing for two seconds fails as a packet is lost.

    Once a user timeout is set, the kernel ends an idle connection by that time
    and at least one unanswered probe, whatever their number.
    """
    server = socket.create_server(('127.0.0.1', 0))
    with peers.loop() as loop, server:
        conn = tcp.Connection(loop, _IgnoringOwner())
        conn.connect(server.getsockname())
        idle_s = _option(conn, socket.TCP_KEEPIDLE)
        interval_s = _option(conn, socket.TCP_KEEPINTVL)
        probes = _option(conn, socket.TCP_KEEPCNT)
        timeout_s = _option(conn, socket.TCP_USER_TIMEOUT) / 1000
        assert probes >= 2
        assert idle_s + (probes - 1) * interval_s < timeout_s
        assert timeout_s <= idle_s + probes * interval_s
        conn.close()


@contextlib.contextmanager
def _connection_reset_by_peer():
    """Yields a loop, a connection whose peer has reset it, and its owner."""
    server = socket.create_server(('127.0.0.1', 0))
    with peers.loop() as loop, server:
        owner = _RecordingOwner()
        conn = tcp.Connection(loop, owner)
        conn.connect(server.getsockname())
        peers.run(loop, lambda: owner.connected)
        peer_sock, _ = server.accept()
        acceptor.reset_connection(peer_sock)
        yield loop, conn, owner


def test_a_write_that_fails_at_once_is_reported_after_it_has_returned():
    """A caller's handler fails because its request fails before the call that
    sends it has returned."""
    with _connection_reset_by_peer() as (loop, conn, owner):
        for _ in range(2):
            conn.write(b'x')
            assert not owner.reasons
        peers.run(loop, lambda: owner.reasons)
        peers.run(loop, lambda: True)
        assert len(owner.reasons) == 1
        assert conn.broken_by_peer and not conn.is_open


def test_a_connection_closed_after_a_failed_write_reports_nothing():
    """A request that was cancelled fails all the same."""
    with _connection_reset_by_peer() as (loop, conn, owner):
        conn.write(b'x')
        conn.close()
        loop.step(0.05)
        assert not owner.reasons


class _ClosingOwner(_RecordingOwner):
    """An owner that closes another connection, and opens one, as it reads.

    Attributes:
        rival: The connection that it closes.
        opened: The new one; None before it has read.
    """

    def __init__(self, open_conn):
        super().__init__()
        self._open_conn = open_conn
        self.rival = self.opened = None

    def on_bytes(self, data):
        self.rival.close()
        self.opened = self._open_conn()


class _Silent(acceptor.Acceptor):
    """Accepts connections and says nothing."""

    def serve_connection(self, sock):
        sock.recv(1)


def test_an_event_of_a_closed_socket_does_not_reach_the_next_one():
    """A connection that hangs counts as made, as its descriptor was that of one
    that was closed while an event for it was waiting."""
    silent = _Silent()
    silent.stall()
    hanging = _RecordingOwner()
    with (peers.loop() as loop, socket.create_server(('127.0.0.1', 0)) as
          server):

        def open_hanging():
            conn = tcp.Connection(loop, hanging)
            conn.connect(silent.address)
            return conn

        owners = [_ClosingOwner(open_hanging) for _ in range(2)]
        conns = [tcp.Connection(loop, owner) for owner in owners]
        for owner, conn, rival in zip(owners, conns, conns[::-1], strict=True):
            owner.rival = rival
            conn.connect(server.getsockname())
        peers.run(loop, lambda: all(o.connected for o in owners))
        descriptors = {c._sock.fileno() for c in conns}
        for _ in conns:
            server.accept()[0].send(b'x')
        peers.run(loop, lambda: any(o.opened for o in owners))
        (opened,) = [o.opened for o in owners if o.opened]
        assert opened._sock.fileno() in descriptors
        assert not hanging.connected
        opened.close()
    silent.close()


class _Collecting(acceptor.Acceptor):
    """A peer that reads slowly and keeps what it reads.

    Attributes:
        received: The bytes.
    """

    def __init__(self):
        self.received = bytearray()
        super().__init__()

    def serve_connection(self, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        while data := sock.recv(50_000):
            self.received += data


@settings(max_examples=30, deadline=None)
@given(
    st.lists(st.lists(st.sampled_from(
        [0, 1, 700, tcp.LARGE_WRITE_BYTES - 1, tcp.LARGE_WRITE_BYTES, 300_000]),
                      max_size=3),
             max_size=6))
def test_pieces_arrive_in_the_order_in_which_they_were_written(writes):
    """Small and large pieces change places, or a part of one is lost."""
    peer = _Collecting()
    sent = bytearray()
    with peers.loop() as loop:
        conn = tcp.Connection(loop, _IgnoringOwner())
        conn.connect(peer.address)
        for number, sizes in enumerate(writes):
            pieces = [bytes([65 + number]) * size for size in sizes]
            sent += b''.join(pieces)
            conn.write(*pieces)
            loop.step(0.0)
        peers.run(loop, lambda: not conn.unsent_bytes)
        peers.run(loop, lambda: len(peer.received) >= len(sent))
        conn.close()
    peer.stop_listening()
    assert peer.received == sent
    assert conn.bytes_out == len(sent)
