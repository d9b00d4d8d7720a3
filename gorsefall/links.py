"""Links to other processes: HTTP calls over sockets that one task owns."""

import enum
import errno
import os
import socket
import time

import msgspec
from circuits import core
from circuits.core import pollers
from circuits.core import utils
from circuits.web import parsers

from gorsefall import errors
from gorsefall import metrics

IDLE_TICK_S = 0.1
RECV_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0


class State(enum.Enum):
    """Where a call stands."""
    CONNECTING = 'connecting'
    SENT = 'sent'
    STREAMING = 'streaming'
    DONE = 'done'
    FAILED = 'failed'


_ENDED = (State.DONE, State.FAILED)


class _IdleTick(core.Event):
    """Time to look for calls that have gone silent."""
    name = 'idle_tick'


class _Refused(core.Event):
    """A connection could not even be begun."""
    name = 'call_refused'


class Call:
    """One HTTP/1.1 request to another process, read incrementally.

    It tells its owner what happened through three callbacks, each called at
    most as documented, never before ``call`` has returned:

    * ``on_head(status, headers)`` once, when the status line and headers
      have arrived;
    * ``on_data(data)`` for every piece of body (bytes, de-chunked);
    * ``on_end(exc)`` once, with ``None`` on a whole reply, else a
      ``errors.LinkError`` saying whether any byte was sent.

    Attributes:
        addr: ``(host, port)`` of the peer.
        state: A ``State``.
        sent: True once request bytes were handed to the kernel; after that
            the peer may have acted on them.
        status: HTTP status of the reply, or None.
        sock: The socket, owned by ``Links``.
        out: Request bytes still to be sent.
        route: First part of the path, to count bytes by.
    """

    def __init__(self, links, addr, request, *, route, on_head, on_data, on_end,
                 idle_s):
        self._links = links
        self.addr = addr
        self.out = request
        self.route = route
        self._on_head = on_head
        self._on_data = on_data
        self._on_end = on_end
        self._idle_s = idle_s
        self._parser = parsers.HttpParser(1, True)
        self._since = time.monotonic()
        self.state = State.CONNECTING
        self.sent = False
        self.status = None
        self.sock = None

    def cancel(self):
        """Closes the socket; no callback is called after this."""
        self._on_head = self._on_data = self._on_end = None
        self.finish(None)

    def fail(self, why):
        """Ends the call with a ``LinkError``."""
        self.finish(
            errors.LinkError(f'{self.addr[0]}:{self.addr[1]} {why} '
                             f'(sent={self.sent})'))

    def feed(self, data):
        """Takes bytes from the peer; empty when it closed the connection."""
        if not data:
            # Our peers frame every reply by length or in chunks; one that
            # ends with its connection was cut. Taking it for whole once
            # gave callers a 200 with half a body.
            self.fail('closed before the end of its reply')
            return
        self._since = time.monotonic()
        self._parser.execute(data, len(data))
        if self.state is State.SENT and self._parser.is_headers_complete():
            self.state = State.STREAMING
            self.status = self._parser.get_status_code()
            if self._on_head:
                self._on_head(self.status, self._parser.get_headers())
        if self.state is State.STREAMING:
            body = self._parser.recv_body()
            if body and self._on_data:
                self._on_data(body)
            if self._parser.is_message_complete():
                self.finish(None)

    def check_idle(self, now):
        """Fails the call when the peer has been silent too long.

        A connection that something between the ends has lost track of
        shows no error of its own; this is how it is noticed.
        """
        silent_s = now - self._since
        if self.state is State.CONNECTING and silent_s > CONNECT_TIMEOUT_S:
            self.fail(f'not connected within {CONNECT_TIMEOUT_S} s')
        elif silent_s > self._idle_s:
            self.fail(f'silent for {self._idle_s} s')

    def finish(self, exc):
        """Ends the call once; later calls do nothing."""
        if self.state in _ENDED:
            return
        self.state = State.FAILED if exc else State.DONE
        self._links.forget(self)
        cb, self._on_end = self._on_end, None
        if cb:
            cb(exc)


class Links(core.BaseComponent):
    """The task that owns all outgoing sockets of a process.

    circuits' own ``TCPClient`` polls in a busy loop while it connects and
    takes a refused connection for one still under way: a crashed replica
    cost 5 s and a full core to notice. This waits in the poller instead.

    Attributes:
        calls: ``socket -> Call`` of the open calls.
    """
    channel = 'links'

    def __init__(self):
        super().__init__()
        self.calls = {}
        self._poller = None
        core.Timer(IDLE_TICK_S, _IdleTick(), self.channel,
                   persist=True).register(self)

    def poller(self):
        """Returns the process's poller, registering one if there is none."""
        if self._poller is None:
            self._poller = utils.findcmp(self.root, pollers.BasePoller)
        if self._poller is None:
            self._poller = pollers.EPoll().register(self.root)
        return self._poller

    def open(self, call_):
        """Begins connecting ``call_``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        call_.sock = sock
        self.calls[sock] = call_
        code = sock.connect_ex(call_.addr)
        if code in (0, errno.EINPROGRESS):
            self.poller().addWriter(self, sock)
        else:
            # Deferred, so that no callback comes before ``call`` returns.
            self.fire(_Refused(sock, code))

    def forget(self, call_):
        """Closes the socket of an ended call."""
        if self.calls.pop(call_.sock, None) is not None:
            self.poller().discard(call_.sock)
            call_.sock.close()

    @core.handler('call_refused')
    def _on_refused(self, sock, code):
        if sock in self.calls:
            self.calls[sock].fail(os.strerror(code))

    @core.handler('_write')
    def _on_write(self, sock):
        call_ = self.calls.get(sock)
        if call_ is None:
            return
        if call_.state is State.CONNECTING:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                call_.fail(os.strerror(code))
                return
            call_.state = State.SENT
            self.poller().addReader(self, sock)
        try:
            n = sock.send(call_.out)
        except BlockingIOError:
            return
        except OSError as exc:
            call_.fail(exc.strerror)
            return
        call_.sent = True
        metrics.LINK_BYTES.labels(call_.route, 'out').inc(n)
        call_.out = call_.out[n:]
        if not call_.out:
            self.poller().removeWriter(sock)

    @core.handler('_read')
    def _on_read(self, sock):
        call_ = self.calls.get(sock)
        if call_ is None:
            return
        try:
            data = sock.recv(RECV_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            call_.fail(exc.strerror)
            return
        metrics.LINK_BYTES.labels(call_.route, 'in').inc(len(data))
        call_.feed(data)

    @core.handler('_disconnect')
    def _on_disconnect(self, sock):
        call_ = self.calls.get(sock)
        if call_ is not None:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            call_.fail(os.strerror(code) if code else 'disconnected')

    @core.handler('idle_tick')
    def _on_idle_tick(self):
        now = time.monotonic()
        for call_ in list(self.calls.values()):
            call_.check_idle(now)


def _links(root):
    for comp in root.components:
        if isinstance(comp, Links):
            return comp
    return Links().register(root)


def _request(addr, method, path, body):
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {addr[0]}:{addr[1]}',
        'Connection: close'
    ]
    if body is None:
        body = b''
    else:
        body = msgspec.json.encode(body)
        lines.append(f'Content-Length: {len(body)}')
        lines.append('Content-Type: application/json')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def call(mgr,
         addr,
         method,
         path,
         body=None,
         *,
         on_head=None,
         on_data=None,
         on_end=None,
         idle_s=10.0):
    """Starts an HTTP call; returns its ``Call``.

    Args:
        mgr: Any component of the process's running circuits tree.
        addr: ``(host, port)`` of the peer.
        method: HTTP method.
        path: Request path with query.
        body: Request body, an object msgspec encodes as JSON, or None.
        on_head: Callback, see ``Call``.
        on_data: Callback, see ``Call``.
        on_end: Callback, see ``Call``.
        idle_s: Seconds without a byte from the peer before the call fails.
    """
    links = _links(mgr.root)
    call_ = Call(links,
                 addr,
                 _request(addr, method, path, body),
                 route=path.split('/')[1],
                 on_head=on_head,
                 on_data=on_data,
                 on_end=on_end,
                 idle_s=idle_s)
    links.open(call_)
    return call_


def fetch_json(mgr, addr, method, path, body=None, *, done, idle_s=5.0):
    """Makes a buffered JSON call; ``done(status, obj, exc)`` gets the result.

    ``obj`` is the decoded body, or None when it is not JSON.
    """
    buf = []

    def on_end(exc):
        obj = None
        if exc is None:
            try:
                obj = msgspec.json.decode(b''.join(buf))
            except msgspec.DecodeError:
                obj = None
        done(call_.status, obj, exc)

    call_ = call(mgr,
                 addr,
                 method,
                 path,
                 body,
                 on_data=buf.append,
                 on_end=on_end,
                 idle_s=idle_s)
    return call_
