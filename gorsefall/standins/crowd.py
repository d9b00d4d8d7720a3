"""Callers that do not behave: they send bytes, and act on without an end."""

import contextlib
import socket
import threading
import time

STEP_S = 0.02
"""Pause after which each member acts again, s."""

WINDOW_BYTES = 4096
"""Receive buffer of a member, so that little of a response reaches it."""


class Crowd:
    """The connections of a crowd to one address, which act in one thread.

    Attributes:
        addr: ``host:port`` to which new members connect.
        conns: The open sockets.
    """

    def __init__(self, addr):
        """Creates a crowd without members.

        Args:
            addr: See the class.
        """
        self.addr = addr
        self.conns = []
        self._steps = []
        self._pending = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def leave(self):
        """Closes all connections."""
        self._stop.set()
        self._thread.join()
        for conn in self.conns:
            conn.close()

    def connect(self, window_bytes=WINDOW_BYTES):
        """Returns a new non-blocking connection, still connecting perhaps."""
        host, port = self.addr.rsplit(':', 1)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        sock.setblocking(False)
        sock.connect_ex((host, int(port)))
        return sock

    def send(self, data, *, then=lambda sock: None):
        """Has a new member of the crowd send bytes, then misbehave.

        Args:
            data: What it sends, as fast as it is read.
            then: Called again and again with the socket, once all is sent; it
                must not block.
        """
        sock = self.connect()
        self.conns.append(sock)
        pending = bytearray(data)
        self._pending.append(pending)
        self._act(lambda: self._step(sock, pending, then))

    @staticmethod
    def _step(sock, pending, then):
        if not pending:
            then(sock)
            return
        try:
            del pending[:sock.send(pending)]
        except BlockingIOError:
            return
        except OSError:
            pending.clear()

    @property
    def has_sent(self):
        """Whether the crowd has sent all bytes that are taken of it."""
        return not any(self._pending)

    def reopen(self, data=b''):
        """Has a member send bytes, and connect again whenever it is closed."""
        current, pending = [], bytearray()

        def step():
            if not current:
                current.append(self.connect())
                self.conns.append(current[0])
                pending[:] = data
            sock = current[0]
            try:
                if pending:
                    del pending[:sock.send(pending)]
                closed = sock.recv(1) == b''
            except BlockingIOError:
                return
            except OSError:
                closed = True
            if closed:
                self.conns.remove(current.pop())
                sock.close()

        self._act(step)

    def _act(self, step):
        """Adds to what the crowd does in turn, until it leaves."""
        self._steps.append(step)

    def _run(self):
        while not self._stop.is_set():
            for step in list(self._steps):
                with contextlib.suppress(OSError):
                    step()
            time.sleep(STEP_S)
