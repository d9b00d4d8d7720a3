"""A plain server for scripted peers: one thread a connection.

Scripted peers break the rules of HTTP on purpose, which a web framework does
not let them; threads keep their scripts readable from top to bottom.
"""

import contextlib
import socket
import struct
import threading


class Acceptor:
    """Listens on a free port; subclasses talk in ``serve_connection``.

    Attributes:
        address: ``(host, port)`` it listens on.
        accepted: Number of connections so far.
    """

    def __init__(self):
        self._sock = socket.create_server(('127.0.0.1', 0))
        self._conns = set()
        self.address = self._sock.getsockname()
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self.accepted += 1
            self._conns.add(sock)
            threading.Thread(target=self._run, args=(sock,),
                             daemon=True).start()

    def _run(self, sock):
        with contextlib.suppress(OSError), sock:
            self.serve_connection(sock)

    def serve_connection(self, sock):
        """Talks with the peer until it returns; errors of the socket end it."""
        raise NotImplementedError

    def stop_listening(self):
        """Gives the port back; open connections stay."""
        # Without it a thread that waits for a connection keeps the port.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def reset_connections(self):
        """Resets every open connection."""
        for sock in list(self._conns):
            reset_connection(sock)
        self._conns.clear()

    def close(self):
        """Stops listening and resets what is open."""
        self.stop_listening()
        self.reset_connections()


def reset_connection(sock):
    """Closes ``sock`` with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack('ii', 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
