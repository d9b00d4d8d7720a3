"""Peers that send scripted bytes, and a reactor to run against them."""

import contextlib
import threading
import time

from gorsefall.net import reactor
from gorsefall.standins import acceptor


class ScriptedPeer(acceptor.Acceptor):
    """Accepts connections; responds to each request with the next script.

    A script is a list of pieces of bytes, sent one by one; a final ``None``
    closes the connection.
    """

    def __init__(self, scripts):
        self._scripts = iter(scripts)
        self.requests = []
        self._lock = threading.Lock()
        super().__init__()
        self.addr = self.address

    def serve_connection(self, sock):
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
        self.stop_listening()


def run(loop, check, timeout_s=10.0):
    """Steps ``loop`` until ``check()`` is true; fails after ``timeout_s``."""
    end = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < end, 'timed out'
        loop.step(0.05)


@contextlib.contextmanager
def loop():
    """Yields a reactor."""
    yield reactor.Reactor()
