"""Connections whose peer sends more than is read."""

import array
import fcntl
import socket
import termios
import time

import peers
from gorsefall.net import tcp

WINDOW_BYTES = 32768
SENT_BYTES = 2_000_000


class _Owner:
    """Takes no notice of what comes."""

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


def _waiting(sock):
    """Returns how many bytes the kernel holds for a reader."""
    found = array.array('i', [0])
    fcntl.ioctl(sock, termios.FIONREAD, found)
    return found[0]


def test_a_peer_sends_no_more_ahead_than_the_window():
    """Pauses in streams while a configuration comes in.

    Symptom: chats of an entry on a small link are late in the seconds of a
    large change. Sequence: its transfer fills the queue of the link, and
    events of streams wait behind it. Cause: the kernel lets a peer send far
    ahead of what was read.
    """
    server = socket.create_server(('127.0.0.1', 0))
    with peers.loop() as loop, server:
        owner = _Owner()
        conn = tcp.Connection(loop, owner)
        conn.connect(server.getsockname(), WINDOW_BYTES)
        conn.pause()
        peers.run(loop, lambda: owner.connected)
        far, _ = server.accept()
        with far:
            far.settimeout(0.5)
            try:
                far.sendall(b'x' * SENT_BYTES)
            except TimeoutError:
                pass
            time.sleep(0.1)
            # The kernel doubles what it is asked for, for its own records.
            assert 0 < _waiting(conn._sock) <= 2 * WINDOW_BYTES
        conn.close()
