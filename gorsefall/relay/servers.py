"""Servers of a relay entry: callers, readiness checks and metrics."""

from gorsefall import directory
from gorsefall import errors
from gorsefall import metrics
from gorsefall.relay import inbound
from gorsefall.relay import model
from gorsefall.relay import outcomes


class _Server:
    """Base of the servers; keeps track of the open connections."""

    def __init__(self, node):
        self.node = node
        self.conns = set()

    @property
    def limits(self):
        """The active ``model.CallerLimits``."""
        table = self.node.table
        return table.limits if table else model.CallerLimits()

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
        """Starts to serve a new connection."""
        self.conns.add(inbound.CallerConnection(self.node.loop, self, sock))

    def on_conn_closed(self, conn):
        """Called by a connection when it was closed."""
        self.conns.discard(conn)

    def hold_memory(self, method, target, fields):
        """Returns a ``memory.Hold`` for a request's body, or None for none."""
        del method, target, fields

    def error_response(self, exc):
        """Returns the ``(status, fields, body)`` for ``exc``."""
        return outcomes.error_response(exc)


class CallerServer(_Server):
    """Serves the requests of callers."""

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
