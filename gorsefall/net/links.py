"""HTTP calls with JSON to other processes, one connection per call."""

import msgspec
from circuits import core

from gorsefall import decoding
from gorsefall import errors
from gorsefall import metrics
from gorsefall.net import idletimer
from gorsefall.net import outbound

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect, s. Within a zone it takes less than 1 ms; a lost SYN
is retransmitted after 1 s."""

MAX_CONNECTIONS = 10_000
"""Limit of connections to one peer; admission keeps their number far lower."""

_JSON = decoding.json_decoder()
_DELIMITING_FIELDS = (b'content-length', b'transfer-encoding')


class Call(outbound.Call):
    """One HTTP/1.1 request whose response is read incrementally.

    Three callbacks report the response to the caller, none of them before
    ``call`` has returned:

    * ``on_head(status)`` once, when the response head has arrived;
    * ``on_data(data)`` for each piece of the body (bytes, de-chunked);
    * ``on_end(exc)`` once, with ``None`` after a complete response, otherwise
      with an ``errors.LinkError``.

    Attributes:
        addr: ``(host, port)`` of the peer.
        sent: True once request bytes were handed to the kernel; from then on
            the peer may have acted on them.
        status: HTTP status of the response, or None.
    """

    def __init__(self, loop, addr, method, path, body, *, on_head, on_data,
                 on_end, idle_s):
        fields = [(b'Host', f'{addr[0]}:{addr[1]}'.encode()),
                  (b'Connection', b'close')]
        if body is None:
            body = b''
        else:
            body = msgspec.json.encode(body)
            fields += [(b'Content-Length', str(len(body)).encode()),
                       (b'Content-Type', b'application/json')]
        super().__init__(method.encode(), path.encode(), fields, body)
        self.addr = addr
        self.sent = False
        self.status = None
        self._route = path.split('/')[1]
        self._on_head = on_head
        self._on_data = on_data
        self._on_end = on_end
        self._idle_s = idle_s
        self._is_delimited = False
        self._conn = None
        self._idle_timer = idletimer.IdleTimer(loop, idle_s,
                                               self._on_idle_timeout)

    def begin(self, pool):
        """Sends the request on a connection of ``pool``."""
        self._conn = pool.send(self)

    def cancel(self):
        """Closes the connection; no callback follows."""
        self._on_head = self._on_data = self._on_end = None
        self._abort()

    def on_head(self, status, fields):
        """See ``outbound.Call``."""
        self._idle_timer.reset()
        self.sent = True
        self.status = status
        self._is_delimited = any(
            name in fields.by_name for name in _DELIMITING_FIELDS)
        if self._on_head:
            self._on_head(status)

    def on_data(self, data):
        """See ``outbound.Call``."""
        self._idle_timer.reset()
        if self._on_data:
            self._on_data(data)

    def on_end(self):
        """See ``outbound.Call``."""
        # The peers delimit every response by a length or by chunks. A response
        # that ends with its connection was truncated; if it were accepted, a
        # caller would get a 200 with half a body.
        self._finish(
            None if self._is_delimited else 'closed before its reply ended')

    def on_fail(self, failure):
        """See ``outbound.Call``."""
        self.sent = failure.sent
        self._finish(failure.reason)

    def _on_idle_timeout(self):
        self._abort()
        self._finish(f'silent for {self._idle_s} s')

    def _abort(self):
        self._idle_timer.cancel()
        conn, self._conn = self._conn, None
        if conn is not None:
            self._count_bytes(conn)
            self.sent = conn.cancel()

    def _count_bytes(self, conn):
        metrics.LINK_BYTES.labels(self._route, 'out').inc(conn.bytes_out)
        metrics.LINK_BYTES.labels(self._route, 'in').inc(conn.bytes_in)

    def _finish(self, reason):
        self._idle_timer.cancel()
        conn, self._conn = self._conn, None
        if conn is not None:
            self._count_bytes(conn)
        done, self._on_end = self._on_end, None
        if done:
            done(reason and errors.LinkError(f'{self.addr[0]}:{self.addr[1]} '
                                             f'{reason} (sent={self.sent})'))


class ConnectionPools(core.BaseComponent):
    """The connection pools of the process, one for each peer.

    circuits' own ``TCPClient`` is not used: it polls in a busy loop while it
    connects and treats a refused connection as still pending, so that
    detecting a crashed replica takes 5 s and a full core.
    """
    channel = 'links'

    def __init__(self, loop):
        """Creates the component.

        Args:
            loop: The ``reactor.Reactor`` of the process.
        """
        super().__init__()
        self.loop = loop
        self._pools = {}

    def pool(self, addr):
        """Returns the ``outbound.Pool`` of a peer."""
        pool = self._pools.get(addr)
        if pool is None:
            pool = outbound.Pool(self.loop,
                                 addr,
                                 max_size=MAX_CONNECTIONS,
                                 connect_timeout_s=CONNECT_TIMEOUT_S)
            self._pools[addr] = pool
        return pool


def _find_pools(root):
    return next(c for c in root.components if isinstance(c, ConnectionPools))


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
        idle_s: Longest time without a byte from the peer before the call
            fails, s.
    """
    pools = _find_pools(mgr.root)
    call_ = Call(pools.loop,
                 addr,
                 method,
                 path,
                 body,
                 on_head=on_head,
                 on_data=on_data,
                 on_end=on_end,
                 idle_s=idle_s)
    call_.begin(pools.pool(addr))
    return call_


def fetch_json(mgr, addr, method, path, body=None, *, done, idle_s=5.0):
    """Starts a call and buffers its JSON response; returns its ``Call``.

    ``done(status, obj, exc)`` gets the result. ``obj`` is the decoded body, or
    None if the body is not JSON.
    """
    buf = []

    def on_end(exc):
        obj = None
        if exc is None:
            try:
                obj = _JSON.decode(b''.join(buf))
            except errors.UndecodableError:
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
