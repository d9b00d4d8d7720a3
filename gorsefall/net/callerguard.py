"""Bounds what callers of circuits' web server make a process hold.

circuits reads a request to its end whatever its size and time, keeps all that
a caller does not read, and accepts connections without a limit. This component
sees its events first, and drops the connections that exceed a limit.
"""

import collections
import dataclasses
import enum
import time

from circuits import core
from circuits.core import pollers

from gorsefall import logs
from gorsefall import metrics
from gorsefall.net import reactor

CHECK_S = 1.0
"""Period of the checks of times, s."""

FRAMING_FACTOR = 8
"""Bytes that may be received for each byte of a body: a body may come in chunks
of one byte."""


class Excess(enum.Enum):
    """Which limit a connection exceeds; the values are logged."""
    CONNECTIONS = 'connections'
    MEMORY = 'memory'
    SIZE = 'size'
    SLOW_REQUEST = 'slow_request'
    UNREAD = 'unread'


@dataclasses.dataclass(frozen=True)
class Limits:
    """What callers may have a process hold.

    Attributes:
        conns: Most connections.
        head_bytes: Longest head of a request, bytes.
        body_bytes: Longest body of a request, bytes.
        held_bytes: Most bytes of requests that arrive or are under way, and of
            unsent responses, of all connections together.
        request_s: Longest time for a request to arrive, s.
        unread_s: Longest time for which nothing of a response is read, s.
    """
    conns: int
    head_bytes: int
    body_bytes: int
    held_bytes: int
    request_s: float
    unread_s: float

    @property
    def request_bytes(self):
        """Most bytes that are received for one request."""
        return self.head_bytes + FRAMING_FACTOR * self.body_bytes


@dataclasses.dataclass
class _Caller:
    """One connection.

    Attributes:
        began_at: When the request that is arriving began, s (monotonic); None
            if none is.
        received: Bytes received of it, or of the request under way.
        unsent: Bytes of responses that the kernel has not taken.
        read_at: When some of them were last taken, s (monotonic).
    """
    began_at: float | None = None
    received: int = 0
    unsent: int = 0
    read_at: float = 0.0

    @property
    def held_bytes(self):
        """Bytes that are held for it."""
        return self.received + self.unsent


class CallerGuard(core.BaseComponent):
    """Watches the callers of one ``circuits.web`` server.

    Attributes:
        held_bytes: Bytes that are held for all connections together.
    """
    channel = 'web'

    def __init__(self, server, limits, is_busy):
        """Creates a guard of a server without connections.

        Args:
            server: The ``circuits.web.BaseServer``.
            limits: The ``Limits``.
            is_busy: Returns whether a request of a socket is being served.
        """
        super().__init__()
        self._server = server.server
        self._http = server.http
        self._limits = limits
        self._is_busy = is_busy
        # In the order of their last activity.
        self._callers = collections.OrderedDict()
        self.held_bytes = 0
        self._log = logs.get('callers')

    @core.handler('started', channel='*')
    def _on_started(self, *_):
        reactor.find_reactor(self).call_every(CHECK_S, self.check_times)

    # -- events ----------------------------------------------------------------

    @core.handler('connect', priority=100)
    def _on_connect(self, sock, *_):
        if len(self._callers) >= self._limits.conns:
            oldest = self._longest_idle()
            if oldest is None:
                self._drop(sock, Excess.CONNECTIONS)
                return
            self._drop(oldest, Excess.CONNECTIONS)
        self._callers[sock] = _Caller()

    @core.handler('disconnect', priority=100)
    def _on_disconnect(self, sock):
        self._forget(sock)
        # circuits keeps the parser of a request that was not whole.
        self._http._buffers.pop(sock, None)

    @core.handler('read', priority=100)
    def _on_read(self, event, sock, data):
        caller = self._callers.get(sock)
        if caller is None:
            event.stop()
            return
        self._callers.move_to_end(sock)
        if caller.began_at is None:
            caller.began_at = time.monotonic()
            if not self._is_busy(sock):
                self._count(caller, received=0)
        self._count(caller, received=caller.received + len(data))
        if caller.received > self._limits.request_bytes:
            event.stop()
            self._drop(sock, Excess.SIZE)
        else:
            self._bound_total()

    @core.handler('request', priority=100)
    def _on_request(self, req, *_):
        # What was received stays counted: the request holds it while it runs.
        caller = self._callers.get(req.sock)
        if caller is not None:
            caller.began_at = None

    @core.handler('write', priority=100)
    def _on_write(self, sock, data):
        caller = self._callers.get(sock)
        if caller is not None:
            self._callers.move_to_end(sock)
            if not caller.unsent:
                caller.read_at = time.monotonic()
            # What the kernel took since is left out at the next check.
            self._count(caller, unsent=caller.unsent + len(data))
            self._bound_total()

    def _unsent(self, sock):
        buffers = self._server._buffers
        return sum(map(len, buffers[sock])) if sock in buffers else 0

    def _count(self, caller, *, received=None, unsent=None):
        """Sets what is held for a caller; None leaves it as it is."""
        before = caller.held_bytes
        if received is not None:
            caller.received = received
        if unsent is not None:
            caller.unsent = unsent
        self.held_bytes += caller.held_bytes - before

    def _forget(self, sock):
        """Counts a connection no more; returns its ``_Caller`` or None."""
        caller = self._callers.pop(sock, None)
        if caller is not None:
            self.held_bytes -= caller.held_bytes
        return caller

    # -- limits ----------------------------------------------------------------

    def _longest_idle(self):
        """Returns the socket that goes first; None if all are in use."""
        for sock, caller in self._callers.items():
            if not self._is_busy(sock) and not caller.unsent:
                return sock
        return None

    def _bound_total(self):
        """Drops connections until all fit together.

        Those whose requests are not under way go first, then those that hold
        most.
        """
        if self.held_bytes <= self._limits.held_bytes:
            return
        for sock, caller in self._callers.items():
            self._count(caller, unsent=self._unsent(sock))
        order = sorted(self._callers,
                       key=lambda sock:
                       (self._is_busy(sock), -self._callers[sock].held_bytes))
        for sock in order:
            if self.held_bytes <= self._limits.held_bytes:
                return
            self._drop(sock, Excess.MEMORY)

    def check_times(self):
        """Drops the connections whose callers do not send or read."""
        now = time.monotonic()
        for sock, caller in list(self._callers.items()):
            unsent = self._unsent(sock)
            if unsent < caller.unsent or not unsent:
                caller.read_at = now
            self._count(caller, unsent=unsent)
            busy = self._is_busy(sock)
            if caller.began_at is None and not busy:
                self._count(caller, received=0)
            arriving = (caller.began_at is not None and
                        now - caller.began_at > self._limits.request_s)
            if arriving and not busy:
                self._drop(sock, Excess.SLOW_REQUEST)
            elif now - caller.read_at > self._limits.unread_s:
                self._drop(sock, Excess.UNREAD)

    def _drop(self, sock, excess):
        caller = self._forget(sock)
        metrics.CALLERS_YIELDED.labels(excess.value).inc()
        self._log.info('caller_dropped',
                       reason=excess.value,
                       received=caller.received if caller else 0,
                       unsent=caller.unsent if caller else 0)
        self.fire(pollers._disconnect(sock), self._server.channel)
