"""Timers and listeners of the reactor under callers that misuse them."""

import errno
import socket
import time
import tracemalloc

import peers
from gorsefall.net import tcp

RESTARTS = 100_000
MAX_BYTES = 1_000_000


def test_a_timer_that_is_restarted_often_takes_no_memory():
    """Timers cancelled by each piece of a body stayed until they were due."""
    with peers.loop() as loop:
        tracemalloc.start()
        try:
            for _ in range(RESTARTS):
                loop.call_later(60.0, lambda: None).cancel()
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert held < MAX_BYTES


def test_timers_run_in_order_beside_cancelled_ones():
    """Dropping cancelled timers must lose and disorder no other."""
    ran = []
    with peers.loop() as loop:
        timers = [
            loop.call_later((i % 7) * 1e-3, lambda i=i: ran.append(i))
            for i in range(3000)
        ]
        for i, timer in enumerate(timers):
            if i % 3:
                timer.cancel()
        peers.run(loop, lambda: len(ran) == 1000)
    assert ran == sorted(range(0, 3000, 3), key=lambda i: timers[i].due_at)


def test_a_listener_without_descriptors_lets_others_run(monkeypatch):
    """A listener that cannot accept was called again at once, and spun."""
    accepts = []

    class _Socket(socket.socket):

        def accept(self):
            accepts.append(time.monotonic())
            raise OSError(errno.EMFILE, 'no descriptor is free')

    with peers.loop() as loop:
        monkeypatch.setattr(socket, 'socket', _Socket)
        listener = tcp.Listener(loop, ('127.0.0.1', 0), lambda sock: None)
        monkeypatch.undo()
        caller = socket.create_connection(listener.addr)
        peers.run(loop, lambda: accepts)
        for _ in range(100):
            loop.step(0.0)
        tried = len(accepts)
        peers.run(loop, lambda: len(accepts) > tried)
        caller.close()
        listener.close()
    # Far fewer than passes, however slow they are.
    assert tried < 50
