"""Links to other processes: HTTP calls with JSON, one channel a call."""

import msgspec
from circuits import core

from gorsefall import errors
from gorsefall import metrics
from gorsefall.net import outbound
from gorsefall.net import idletimer

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect, s; within a zone it takes under a ms, and a lost
first packet is sent again after a second."""

MAX_CONNECTIONS = 10_000
"""Channels to one peer, at most; admission bounds them long before."""

_FRAMED = (b'content-length', b'transfer-encoding')


class Call(outbound.Call):
    """One HTTP/1.1 request to another process, read incrementally.

    It tells its owner what happened through three callbacks, each called at
    most as documented, never before ``call`` has returned:

    * ``on_head(status)`` once, when the head has arrived;
    * ``on_data(data)`` for every piece of body (bytes, de-chunked);
    * ``on_end(exc)`` once, with ``None`` on a whole reply, else a
      ``errors.LinkError``.

    Attributes:
        addr: ``(host, port)`` of the peer.
        sent: True once request bytes were handed to the kernel; after that
            the peer may have acted on them.
        status: HTTP status of the reply, or None.
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
        self._framed = False
        self._channel = None
        self._watch = idletimer.IdleTimer(loop, idle_s, self._silent)

    def begin(self, pool):
        """Sends the request on a channel of ``pool``."""
        self._channel = pool.send(self)

    def cancel(self):
        """Closes the channel; no callback is called after this."""
        self._on_head = self._on_data = self._on_end = None
        self._give_up()

    def on_head(self, status, fields):
        """See ``outbound.Call``."""
        self._watch.reset()
        self.sent = True
        self.status = status
        self._framed = any(name in fields.by_name for name in _FRAMED)
        if self._on_head:
            self._on_head(status)

    def on_data(self, data):
        """See ``outbound.Call``."""
        self._watch.reset()
        if self._on_data:
            self._on_data(data)

    def on_end(self):
        """See ``outbound.Call``."""
        # Our peers frame every reply by length or in chunks; one that ends
        # with its connection was cut. Taking it for whole once gave callers
        # a 200 with half a body.
        self._end(None if self._framed else 'closed before its reply ended')

    def on_fail(self, failure):
        """See ``outbound.Call``."""
        self.sent = failure.sent
        self._end(failure.reason)

    def _silent(self):
        self._give_up()
        self._end(f'silent for {self._idle_s} s')

    def _give_up(self):
        self._watch.cancel()
        channel, self._channel = self._channel, None
        if channel is not None:
            self._count(channel)
            self.sent = channel.cancel()

    def _count(self, channel):
        metrics.LINK_BYTES.labels(self._route, 'out').inc(channel.bytes_out)
        metrics.LINK_BYTES.labels(self._route, 'in').inc(channel.bytes_in)

    def _end(self, why):
        self._watch.cancel()
        channel, self._channel = self._channel, None
        if channel is not None:
            self._count(channel)
        done, self._on_end = self._on_end, None
        if done:
            done(why and errors.LinkError(f'{self.addr[0]}:{self.addr[1]} '
                                          f'{why} (sent={self.sent})'))


class ConnectionPools(core.BaseComponent):
    """The process's channels to other processes.

    circuits' own ``TCPClient`` polls in a busy loop while it connects and
    takes a refused connection for one still under way: a crashed replica
    cost 5 s and a full core to notice.
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


def _links(root):
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
        idle_s: Seconds without a byte from the peer before the call fails.
    """
    links = _links(mgr.root)
    call_ = Call(links.loop,
                 addr,
                 method,
                 path,
                 body,
                 on_head=on_head,
                 on_data=on_data,
                 on_end=on_end,
                 idle_s=idle_s)
    call_.begin(links.pool(addr))
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
