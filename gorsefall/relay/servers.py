"""The server ends of a node: callers, the balancer's question, metrics."""

from gorsefall import metrics
from gorsefall.relay import inbound
from gorsefall.relay import model
from gorsefall.relay import outcomes


class _Server:
    """What the server ends of channels share: which are open."""

    def __init__(self, node):
        self.node = node
        self.conns = set()

    @property
    def limits(self):
        """The ``model.CallerLimits`` in force."""
        table = self.node.table
        return table.limits if table else model.CallerLimits()

    @property
    def draining(self):
        """Whether channels end with their next answer."""
        return self.node.draining

    def accept(self, sock):
        """Takes a new connection."""
        self.conns.add(inbound.CallerConnection(self.node.loop, self, sock))

    def on_conn_closed(self, channel):
        """Called by a channel at its end."""
        self.conns.discard(channel)

    def error_response(self, exc):
        """Returns status, fields and body for ``exc``."""
        return outcomes.error_response(exc)


class CallerServer(_Server):
    """Serves callers."""

    def handle_request(self, method, target, fields, body, reply):
        """Starts the exchange of a whole request."""
        return self.node.start_exchange(method, target, fields, body, reply)

    def has_unsent(self):
        """Returns whether an answer is still on its way to a caller."""
        return any(channel.has_unsent for channel in self.conns)

    def close_all(self):
        """Closes every channel."""
        for channel in list(self.conns):
            channel.close()

    def close_idle(self):
        """Closes the channels on which nothing is under way."""
        for channel in list(self.conns):
            if channel.idle:
                channel.close()


class ReadinessServer(_Server):
    """Answers the balancer."""

    def handle_request(self, method, target, fields, body, reply):
        """Answers 200 while new work may come here, else 503."""
        del method, target, fields, body
        status = 200 if self.node.is_ready() else 503
        reply.send(status, [(b'Content-Type', b'text/plain')], b'')


class MetricsServer(_Server):
    """Serves the metrics page."""

    def handle_request(self, method, target, fields, body, reply):
        """Answers with all counters and histograms."""
        del method, target, fields, body
        self.node.update_gauges()
        page, content_type = metrics.render()
        reply.send(200, [(b'Content-Type', content_type.encode())], page)
