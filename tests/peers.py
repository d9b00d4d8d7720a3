"""Peers that send scripted bytes, and a loop to run against them."""

import contextlib
import socket
import threading
import time

from gorsefall.relay import reactor


class ScriptedPeer:
    """Accepts connections; answers each request with the next script.

    A script is a list of byte pieces, sent one by one; a final ``None``
    closes the connection, ``...`` resets it.
    """

    def __init__(self, scripts):
        self._scripts = iter(scripts)
        self._sock = socket.create_server(('127.0.0.1', 0))
        self.addr = self._sock.getsockname()
        self.requests = []
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,),
                             daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            while True:
                data = sock.recv(65536)
                if not data:
                    return
                with self._lock:
                    self.requests.append(data)
                    script = next(self._scripts, [])
                for piece in script:
                    if piece is None:
                        return
                    sock.sendall(piece)
                    time.sleep(0.001)

    def close(self):
        # Without it a thread that waits for a connection keeps the port.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def run(loop, check, timeout_s=10.0):
    """Steps ``loop`` until ``check()``; a bound against hangs."""
    end = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < end, 'timed out'
        loop.step(0.05)


@contextlib.contextmanager
def loop():
    """Yields a reactor."""
    yield reactor.Reactor()
