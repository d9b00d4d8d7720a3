"""Servers of a relay entry: callers, readiness checks and metrics."""

import collections

from gorsefall import directory
from gorsefall import errors
from gorsefall import metrics
from gorsefall.relay import descriptors
from gorsefall.relay import inbound
from gorsefall.relay import model
from gorsefall.relay import outcomes

MAX_CHECK_CONNS = 64
"""Most connections to the readiness page, and to the metrics page."""

PAGE_LIMITS = model.CallerLimits(body_bytes=1024)
"""Limits of requests for these pages, which need no body."""

MIN_CALLER_CONNS = 64
"""Connections that callers may have however little memory is free."""

CALLER_MEMORY_FRACTION = 0.5
"""Part of the room in memory that idle connections of callers may take."""

NONE_FOUND_S = 0.1
"""Time for which no connection to close is sought after none was found, s."""

FULL_S = 2.0
"""Time for which the entry counts as full after it has turned a connection
away, s: the load balancer checks once a second."""


class _Server:
    """Base of the servers; keeps track of the open connections."""

    def __init__(self, node):
        self.node = node
        # A dict keeps the order of those that came within one pass.
        self.conns = {}
        self._next_to_close = collections.deque()
        self._none_found_until = float('-inf')

    @property
    def max_conns(self):
        """Most connections that are open at once."""
        return min(MAX_CHECK_CONNS,
                   descriptors.part(self.node.max_fds, descriptors.PAGE))

    @property
    def limits(self):
        """The ``model.CallerLimits``."""
        return PAGE_LIMITS

    @property
    def memory(self):
        """The ``memory.Memory`` of the entry."""
        return self.node.memory

    @property
    def body_timeout_s(self):
        """Longest time for a request body to arrive, s."""
        return self.node.cfg.body_timeout_s

    @property
    def draining(self):
        """Whether connections are closed after their next response."""
        return self.node.draining

    def accept(self, sock):
        """Starts to serve a new connection, or closes it if there are many."""
        if len(self.conns) >= self.max_conns and not self.make_room():
            sock.close()
            return
        conn = inbound.CallerConnection(self.node.loop, self, sock)
        self.conns[conn] = None

    def may_close(self, conn):
        """Returns whether a connection may be closed for another one.

        A page is sent as its request is read, so that whoever has connected
        for long has not behaved.
        """
        return conn in self.conns

    def make_room(self):
        """Closes a connection for another one; returns whether there was one.

        One without any request goes first, and then the one that is open, or
        unused since its last response, for longest.
        """
        if self._close_next():
            return True
        now = self.node.loop.now
        if now <= self._none_found_until:
            return False
        found = [conn for conn in self.conns if self.may_close(conn)]
        found.sort(key=lambda conn: conn.idle_since)
        for used in (False, True):
            self._next_to_close = collections.deque(
                conn for conn in found if conn.used is used)
            if self._close_next():
                return True
        # Requests that had come are read before the next pass.
        self._none_found_until = now if found else now + NONE_FOUND_S
        return False

    def _close_next(self):
        while self._next_to_close:
            conn = self._next_to_close.popleft()
            if self.may_close(conn) and not conn.has_unread_request:
                metrics.CALLERS_YIELDED.labels('idle').inc()
                conn.close()
                return True
        return False

    def on_conn_closed(self, conn):
        """Called by a connection when it was closed."""
        self.conns.pop(conn, None)

    def hold_memory(self, method, target, fields):
        """Returns a ``memory.Hold`` for a request's body, or None for none."""
        del method, target, fields

    def error_response(self, exc):
        """Returns the ``(status, fields, body)`` for ``exc``."""
        return outcomes.error_response(exc)


class CallerServer(_Server):
    """Serves the requests of callers."""

    def __init__(self, node):
        super().__init__(node)
        self._full_at = float('-inf')

    @property
    def limits(self):
        """See ``_Server``; the configuration's, once there is one."""
        table = self.node.table
        return table.limits if table else model.CallerLimits()

    @property
    def max_conns(self):
        """See ``_Server``."""
        by_memory = (self.memory.shares.room * CALLER_MEMORY_FRACTION /
                     inbound.CONN_BYTES)
        by_descriptors = descriptors.part(self.node.max_fds,
                                          descriptors.CALLERS)
        return min(max(int(by_memory), MIN_CALLER_CONNS), by_descriptors)

    @property
    def is_full(self):
        """Whether connections were turned away of late, and would be now."""
        return (self.node.loop.now - self._full_at < FULL_S and
                len(self.conns) >= self.max_conns)

    def may_close(self, conn):
        """See ``_Server``; those of requests under way stay."""
        return conn.idle and super().may_close(conn)

    def make_room(self):
        """See ``_Server``; callers that are slow go after idle ones."""
        if super().make_room() or self.memory.callers.free_connection():
            self._full_at = float('-inf')
            return True
        if not self.is_full:
            self.node.log.warning('connections_full', open=len(self.conns))
        self._full_at = self.node.loop.now
        metrics.CONNECTIONS_REFUSED.inc()
        return False

    def handle_request(self, method, target, fields, body, writer):
        """Starts the exchange of a complete request; returns it or None."""
        return self.node.start_exchange(method, target, fields, body, writer)

    def error_response(self, exc):
        """See ``_Server``.

        Until a configuration is known, its limits may allow what exceeds the
        usual ones.
        """
        if isinstance(exc,
                      (errors.HeadTooLargeError, errors.BodyTooLargeError)):
            try:
                directory.require_loaded(self.node.table)
            except errors.NoCatalogueError as unknown:
                return super().error_response(unknown)
        return super().error_response(exc)

    def hold_memory(self, method, target, fields):
        """See ``_Server``."""
        return self.node.hold_memory(method, target, fields)

    def has_unsent(self):
        """Returns whether response bytes are still to be sent to a caller."""
        return any(conn.has_unsent for conn in self.conns)

    def close_all(self):
        """Closes every connection."""
        for conn in list(self.conns):
            conn.close()

    def close_idle(self):
        """Closes the connections without a request in flight."""
        for conn in list(self.conns):
            if conn.idle:
                conn.close()


class ReadinessServer(_Server):
    """Responds to readiness checks of the load balancer."""

    def handle_request(self, method, target, fields, body, writer):
        """Responds 200 if the entry accepts new requests, else 503."""
        del method, target, fields, body
        status = 200 if self.node.is_ready() else 503
        writer.send(status, [(b'Content-Type', b'text/plain')], b'')


class MetricsServer(_Server):
    """Serves the metrics page."""

    def handle_request(self, method, target, fields, body, writer):
        """Responds with all metrics."""
        del method, target, fields, body
        self.node.update_gauges()
        page, content_type = metrics.render()
        writer.send(200, [(b'Content-Type', content_type.encode())], page)
