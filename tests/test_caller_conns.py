"""Connections of callers leave descriptors for everything else."""

import contextlib
import socket
import types

import pytest

import peers
from gorsefall import logs
from gorsefall.policy import memoryshares
from gorsefall.relay import memory
from gorsefall.relay import servers

REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
MAX_FDS = 8
"""Leaves four connections to callers."""

MANY_FDS = 4096
"""Leaves each page all the connections that it takes at most."""


class _Exchange:
    owner = memoryshares.Owner()

    def on_caller_disconnected(self, reason):
        pass

    def on_caller_drained(self):
        pass

    on_caller_lost = on_caller_disconnected


class _Node:
    """An entry as its servers use it; no request of it ends."""
    table = None
    draining = False
    max_fds = MAX_FDS
    cfg = types.SimpleNamespace(body_timeout_s=60.0)

    def __init__(self, loop):
        self.loop = loop
        self.log = logs.get('test')
        self.memory = memory.Memory(loop, lambda: 1000.0, lambda: 0)
        self.started = []

    def is_ready(self):
        return True

    def update_gauges(self):
        pass

    def start_exchange(self, method, target, fields, body, writer):
        self.started.append(writer)
        return _Exchange()


class _Site:
    """Callers of one server."""

    def __init__(self, loop):
        self.loop = loop
        self.node = _Node(loop)
        self.server = servers.CallerServer(self.node)
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._callers = []

    def connect(self, data=b''):
        """Returns the caller's end of an accepted connection."""
        caller = socket.create_connection(self._listener.getsockname())
        self._callers.append(caller)
        caller.sendall(data)
        accepted, _ = self._listener.accept()
        self.server.accept(accepted)
        return caller

    def run_request(self):
        """Returns a connection with a request that runs."""
        count = len(self.node.started)
        caller = self.connect(REQUEST)
        peers.run(self.loop, lambda: len(self.node.started) > count)
        return caller


def _is_closed(caller):
    caller.settimeout(5.0)
    return caller.recv(65536) == b''


def test_a_connection_without_a_request_goes_before_an_idle_one():
    """Silent callers took the connections of those who use theirs again."""
    with peers.loop() as loop:
        site = _Site(loop)
        used = site.run_request()
        site.node.started[0].send(200, [], b'')
        silent = [site.connect() for _ in range(3)]
        newest = site.connect()
        assert _is_closed(silent[0])
        for _ in range(3):
            site.connect()
        assert used.recv(65536).startswith(b'HTTP/1.1 200')
        assert _is_closed(newest)
        assert not site.server.is_full


def test_running_requests_keep_their_connections():
    """A caller beyond the limit took the connection of a running request."""
    with peers.loop() as loop:
        site = _Site(loop)
        for _ in range(4):
            site.run_request()
        late = site.connect()
        assert _is_closed(late)
        assert len(site.server.conns) == 4
        assert site.server.is_full


def test_a_request_that_was_not_read_yet_keeps_its_connection():
    """A request that had come was closed as idle when many connected."""
    with peers.loop() as loop:
        site = _Site(loop)
        sound = site.connect(REQUEST)
        for _ in range(2 * MAX_FDS):
            site.connect()
        peers.run(loop, lambda: site.node.started)
        site.node.started[0].send(200, [], b'')
        assert sound.recv(65536).startswith(b'HTTP/1.1 200')


def test_a_request_on_a_used_connection_that_was_not_read_yet_keeps_it():
    """The longest idle connection was closed though a request had come."""
    with peers.loop() as loop:
        site = _Site(loop)
        callers = [site.run_request() for _ in range(site.server.max_conns)]
        for caller, writer in zip(callers, site.node.started, strict=True):
            writer.send(200, [], b'')
            assert caller.recv(65536).startswith(b'HTTP/1.1 200')
        callers[0].sendall(REQUEST)
        site.connect()
        count = len(callers)
        peers.run(loop, lambda: len(site.node.started) > count)
        assert _is_closed(callers[1])


def test_requests_that_were_not_read_yet_leave_the_place_of_an_idle_one():
    """A new caller was refused though a connection that is open was idle."""
    with peers.loop() as loop:
        site = _Site(loop)
        used = site.run_request()
        site.node.started.pop().send(200, [], b'')
        assert used.recv(65536).startswith(b'HTTP/1.1 200')
        for _ in range(site.server.max_conns):
            site.connect(REQUEST)
        assert _is_closed(used)
        peers.run(loop, lambda: len(site.node.started) == 4)


@pytest.mark.parametrize('page',
                         [servers.ReadinessServer, servers.MetricsServer])
def test_a_check_that_was_not_read_yet_keeps_its_connection(page):
    """A check that had come was closed for others that connected at once."""
    with peers.loop() as loop:
        site = _Site(loop)
        site.node.max_fds = MANY_FDS
        site.server = page(site.node)
        sound = site.connect(REQUEST)
        for _ in range(2 * servers.MAX_CHECK_CONNS):
            site.connect(b'GET / HTTP/1.1\r\nX: ')
        for _ in range(5):
            loop.step(0.01)
        assert sound.recv(65536).startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize('page',
                         [servers.ReadinessServer, servers.MetricsServer])
def test_the_pages_take_no_long_bodies(page):
    """Bodies that were sent to the pages were counted by nobody."""
    with peers.loop() as loop:
        site = _Site(loop)
        site.server = page(site.node)
        caller = site.connect(b'POST / HTTP/1.1\r\nHost: h\r\n'
                              b'Content-Length: 4000000\r\n\r\n')
        caller.setblocking(False)
        got = bytearray()

        def receive():
            with contextlib.suppress(BlockingIOError):
                got.extend(caller.recv(65536))
            return b'\r\n\r\n' in got

        peers.run(loop, receive)
        assert got.startswith(b'HTTP/1.1 413')


@pytest.mark.parametrize('page',
                         [servers.ReadinessServer, servers.MetricsServer])
def test_callers_that_never_end_their_heads_do_not_hide_the_pages(page):
    """The load balancer's checks were refused, so that no entry was ready."""
    with peers.loop() as loop:
        site = _Site(loop)
        site.node.max_fds = MANY_FDS
        site.server = page(site.node)
        for _ in range(servers.MAX_CHECK_CONNS):
            site.connect(b'GET / HTTP/1.1\r\nX: ')
        for _ in range(5):
            loop.step(0.01)
        late = site.connect(REQUEST)
        late.setblocking(False)
        got = bytearray()

        def receive():
            with contextlib.suppress(BlockingIOError):
                got.extend(late.recv(65536))
            return b'\r\n\r\n' in got

        peers.run(loop, receive)
        assert got.startswith(b'HTTP/1.1 200')
