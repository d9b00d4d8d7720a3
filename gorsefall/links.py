"""Links to other processes: one HTTP request over a socket that it owns."""

import enum
import itertools

import msgspec
from circuits import core
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import parsers

from gorsefall import errors

_ids = itertools.count()


class State(enum.Enum):
    """Where a call stands."""
    CONNECTING = 'connecting'
    SENT = 'sent'
    STREAMING = 'streaming'
    DONE = 'done'
    FAILED = 'failed'


class _Idle(core.Event):
    """Fired when a call has read nothing for its idle timeout."""
    name = 'call_idle'


class Call(core.BaseComponent):
    """One HTTP/1.1 request to another process, read incrementally.

    The call owns its socket and parser; it tells its owner what happened
    through three callbacks, each called at most as documented:

    * ``on_head(status, headers)`` once, when the status line and headers
      have arrived;
    * ``on_data(data)`` for every piece of body (bytes, de-chunked);
    * ``on_end(exc)`` once, with ``None`` on a whole reply, else a
      ``errors.LinkError`` saying whether any byte was sent.

    Attributes:
        state: A ``State``.
        sent: True once the request bytes were handed to the socket; after
            that the peer may have acted on it.
    """

    def __init__(self,
                 addr,
                 method,
                 path,
                 body=None,
                 *,
                 headers=None,
                 on_head=None,
                 on_data=None,
                 on_end=None,
                 idle_s=10.0):
        """Creates the call; ``start`` sends it.

        Args:
            addr: ``(host, port)`` of the peer.
            method: HTTP method.
            path: Request path with query.
            body: Request body, bytes, or an object msgspec encodes as JSON.
            headers: Extra headers, a dict.
            on_head: Callback, see class docstring.
            on_data: Callback, see class docstring.
            on_end: Callback, see class docstring.
            idle_s: Seconds without a byte from the peer before the call
                fails. A connection that went silent for good (a middlebox
                lost track of it) shows no error of its own; this timeout is
                how it is noticed.
        """
        channel = f'call-{next(_ids)}'
        super().__init__(channel=channel)
        self._addr = addr
        self._method = method
        self._path = path
        if body is not None and not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        self._body = body
        self._headers = headers or {}
        self._on_head = on_head
        self._on_data = on_data
        self._on_end = on_end
        self._idle_s = idle_s
        self._parser = parsers.HttpParser(1, True)
        self._timer = None
        self.state = State.CONNECTING
        self.sent = False
        self.status = None
        self._sock = sockets.TCPClient(channel=channel).register(self)

    def start(self):
        """Connects and sends; the call must be registered to a running tree."""
        self.fire(net_events.connect(*self._addr), self._sock)
        self._arm()

    def cancel(self):
        """Closes the socket; ``on_end`` is not called after this."""
        self._on_end = None
        self._finish(None)

    def _arm(self):
        if self._timer is not None:
            self._timer.reset(self._idle_s)
            return
        self._timer = core.Timer(self._idle_s, _Idle(), self.channel)
        self._timer.register(self)

    @core.handler('connected')
    def _on_connected(self, host, port):
        del host, port
        lines = [
            f'{self._method} {self._path} HTTP/1.1',
            f'Host: {self._addr[0]}:{self._addr[1]}', 'Connection: close'
        ]
        if self._body is not None:
            lines.append(f'Content-Length: {len(self._body)}')
            lines.append('Content-Type: application/json')
        lines.extend(f'{k}: {v}' for k, v in self._headers.items())
        head = ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
        self.fire(net_events.write(head + (self._body or b'')), self._sock)
        self.sent = True
        self.state = State.SENT

    @core.handler('read')
    def _on_read(self, data):
        self._arm()
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
                self._finish(None)

    @core.handler('call_idle')
    def _on_idle(self):
        self._finish(
            errors.LinkError(
                f'{self._addr} silent for {self._idle_s} s (sent={self.sent})'))

    @core.handler('disconnected', 'error')
    def _on_lost(self, *args):
        if self.state in (State.DONE, State.FAILED):
            return
        if self.state is State.STREAMING and not self._parser.is_chunked():
            # A reply framed by closing the connection ends here.
            self._finish(None)
            return
        self._finish(
            errors.LinkError(f'{self._addr} lost: {args!r} (sent={self.sent})'))

    def _finish(self, exc):
        if self.state in (State.DONE, State.FAILED):
            return
        self.state = State.FAILED if exc else State.DONE
        if self._timer is not None:
            self._timer.unregister()
        if self._sock.connected:
            self.fire(net_events.close(), self._sock)
        cb, self._on_end = self._on_end, None
        self.unregister()
        if cb:
            cb(exc)


def call(mgr, addr, method, path, body=None, **kw):
    """Creates, registers and starts a ``Call``; returns it."""
    c = Call(addr, method, path, body, **kw)
    c.register(mgr)
    c.start()
    return c


def fetch_json(mgr, addr, method, path, body=None, *, done=None, idle_s=5.0):
    """Makes a buffered JSON call; ``done(status, obj, exc)`` gets the result.

    ``obj`` is the decoded body, or None when it is not JSON.
    """
    buf = []
    head = {}

    def on_head(status, headers):
        head['status'] = status
        del headers

    def on_end(exc):
        obj = None
        if exc is None:
            try:
                obj = msgspec.json.decode(b''.join(buf))
            except msgspec.DecodeError:
                obj = None
        done(head.get('status'), obj, exc)

    return call(mgr,
                addr,
                method,
                path,
                body,
                on_head=on_head,
                on_data=buf.append,
                on_end=on_end,
                idle_s=idle_s)
