"""What callers of circuits' web server may have a process hold."""

import contextlib
import socket

import pytest
from circuits import core
from circuits import web

from gorsefall.net import callerguard
from gorsefall.net import poller
from gorsefall.net import reactor
from gorsefall.standins import waiting

ORDINARY = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi'
LIMITS = callerguard.Limits(conns=4,
                            head_bytes=4096,
                            body_bytes=10_000,
                            held_bytes=200_000,
                            request_s=0.3,
                            unread_s=0.3)
LONG_BYTES = 30_000_000


class _Api(core.BaseComponent):
    """Responds at once; with a long body on ``/long``."""
    channel = 'web'

    @core.handler('request')
    def _on_request(self, req, res):
        if req.path == '/long':
            res.body = bytes(LONG_BYTES)
        else:
            res.body = 'hello'
        return res


class _Site:
    """A guarded server.

    Attributes:
        guard: The ``callerguard.CallerGuard``.
        busy: Whether all sockets count as being served.
    """

    def __init__(self):
        self.root = web.BaseServer(('127.0.0.1', 0))
        self.loop = reactor.Reactor().register(self.root)
        poller.Poller(self.loop).register(self.root)
        _Api().register(self.root)
        self.busy = False
        self.guard = callerguard.CallerGuard(
            self.root, LIMITS, lambda sock: self.busy).register(self.root)
        self._callers = []
        self.root.start()

    def connect(self, data=b''):
        """Returns a caller's non-blocking socket, once it is accepted."""
        before = len(self.root.server._clients)
        caller = socket.create_connection(('127.0.0.1', self.root.server.port))
        caller.setblocking(False)
        self._callers.append(caller)
        with contextlib.suppress(BlockingIOError):
            caller.send(data)
        waiting.until(
            lambda: len(self.root.server._clients) != before or _is_closed(
                self._callers[0]), 'the connection')
        return caller

    def serve_ordinary(self):
        """Returns whether an ordinary request is answered."""
        caller = self.connect(ORDINARY)
        found = bytearray()

        def answered():
            with contextlib.suppress(BlockingIOError):
                found.extend(caller.recv(65536))
            return b'hello' in found

        return waiting.until(answered, 'an ordinary response')

    def close(self):
        """Ends all."""
        for caller in self._callers:
            caller.close()
        self.root.stop()
        self.root.join()


def _is_closed(caller):
    try:
        return caller.recv(1, socket.MSG_PEEK) == b''
    except BlockingIOError:
        return False
    except OSError:
        return True


@pytest.fixture(name='site')
def _site():
    site = _Site()
    yield site
    site.close()


def test_silent_connections_make_way(site):
    """Connections without a request took all descriptors."""
    silent = [site.connect() for _ in range(LIMITS.conns)]
    assert site.serve_ordinary()
    waiting.until(lambda: _is_closed(silent[0]), 'the oldest to be closed')
    assert not _is_closed(silent[-1])


def test_connections_in_use_stay(site):
    """A caller beyond the limit took the connection of a running request."""
    used = [site.connect() for _ in range(LIMITS.conns)]
    site.busy = True
    late = socket.create_connection(('127.0.0.1', site.root.server.port))
    late.setblocking(False)
    waiting.until(lambda: _is_closed(late), 'the late one to be closed')
    late.close()
    assert not any(map(_is_closed, used))


def test_a_request_over_the_limit_is_dropped_as_it_arrives(site):
    """A body without end was kept whole before it was refused."""
    caller = site.connect(b'POST /x HTTP/1.1\r\nHost: h\r\n'
                          b'Content-Length: 90000000\r\n\r\n')
    left = bytearray(1_000_000)

    def send():
        with contextlib.suppress(OSError):
            del left[:caller.send(left)]
        return _is_closed(caller)

    waiting.until(send, 'the connection to be closed')
    assert site.guard.held_bytes <= LIMITS.held_bytes
    assert site.serve_ordinary()


def test_a_request_that_does_not_end_is_dropped(site):
    """A byte now and then kept a connection for as long as a caller liked."""
    caller = site.connect(b'POST /x HTTP/1.1\r\nHost: h\r\n')

    def send():
        with contextlib.suppress(OSError):
            caller.send(b'X')
        return _is_closed(caller)

    waiting.until(send, 'the connection to be closed')
    assert site.serve_ordinary()


def test_unread_responses_are_bounded_in_all(site):
    """Responses that nobody reads filled the memory."""
    request = b'GET /long HTTP/1.1\r\nHost: h\r\n\r\n'
    callers = [site.connect(request) for _ in range(2)]
    waiting.until(lambda: not site.root.server._clients, 'both to be dropped')
    assert site.guard.held_bytes == 0
    assert site.serve_ordinary()
    assert callers


def test_requests_under_way_are_counted(site):
    """Bodies of requests that wait for a back end were counted by nobody."""
    site.busy = True
    head = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n'
    caller = site.connect(head + bytes(9000))
    waiting.until(lambda: site.guard.held_bytes > 9000, 'the body')
    caller.close()
    waiting.until(lambda: not site.guard.held_bytes, 'nothing to be held')


def test_what_a_caller_left_behind_is_dropped(site):
    """Each request that was not whole stayed as its connection ended."""
    caller = site.connect(b'POST /x HTTP/1.1\r\nHost: h\r\n')
    waiting.until(lambda: site.root.http._buffers, 'the head')
    caller.close()
    waiting.until(lambda: not site.root.http._buffers, 'nothing to be left')
