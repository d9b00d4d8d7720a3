"""Base of scripted test servers: a TCP server with a thread per connection.

Scripted servers violate HTTP on purpose, which web frameworks prevent. With a
thread per connection, a script is sequential code.
"""

import contextlib
import ctypes
import socket
import struct
import threading

QUEUE_FILLERS = 4
"""Connections that fill the queue of a listener that accepts none."""


def shut_down_together(acceptors):
    """Ends listeners and connections of several ``Acceptor``s at one moment."""
    # socket.shutdown lets other threads run in between, for tenths of a second
    # on a busy machine; PyDLL keeps the interpreter's lock.
    libc = ctypes.PyDLL(None)
    for server in acceptors:
        for sock in server.open_sockets():
            libc.shutdown(sock.fileno(), socket.SHUT_RDWR)


class Acceptor:
    """Accepts connections on a free port; subclasses serve them.

    Attributes:
        address: ``(host, port)`` it listens on.
        accepted: Number of accepted connections.
    """

    def __init__(self):
        self._conns = set()
        self._accepting = threading.Event()
        self._accepting.set()
        self._fillers = []
        self.accepted = 0
        self.listen()

    def listen(self, port=0):
        """Begins to accept connections, at a free port by default."""
        self._sock = socket.create_server(('127.0.0.1', port))
        self.address = self._sock.getsockname()
        threading.Thread(target=self._accept, args=(self._sock,),
                         daemon=True).start()

    def _accept(self, listener):
        while self._accepting.wait():
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.accepted += 1
            self._conns.add(sock)
            threading.Thread(target=self._serve, args=(sock,),
                             daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            self.serve_connection(sock)

    def serve_connection(self, sock):
        """Serves one connection, which closes on return or on ``OSError``."""
        raise NotImplementedError

    def stall(self):
        """Has new connections hang: the kernel drops their SYN."""
        self._accepting.clear()
        self._sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def end_stall(self):
        """Accepts new connections again after ``stall``."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._sock.listen()
        self._accepting.set()

    def open_sockets(self):
        """Returns the listener and all connections."""
        return [self._sock, *self._conns]

    def stop_listening(self):
        """Releases the port; open connections stay open."""
        # Without the shutdown, a thread blocked in accept() keeps the port.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def reset_connections(self):
        """Resets every open connection."""
        for sock in list(self._conns):
            reset_connection(sock)
        self._conns.clear()

    def close(self):
        """Releases the port and resets the open connections."""
        self.stop_listening()
        self.reset_connections()


def reset_connection(sock):
    """Closes ``sock`` with a TCP reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack('ii', 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
