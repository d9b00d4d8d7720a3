"""The server ends of a node: callers, the balancer's question, metrics."""

from gorsefall import metrics
from gorsefall.relay import inbound
from gorsefall.relay import model
from gorsefall.relay import outcomes


class _Channels:
    """What the server ends of channels share: which are open."""

    def __init__(self, node):
        self.node = node
        self.open = set()

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
        self.open.add(inbound.Channel(self.node.loop, self, sock))

    def channel_closed(self, channel):
        """Called by a channel at its end."""
        self.open.discard(channel)

    def error_answer(self, exc):
        """Returns status, fields and body for ``exc``."""
        return outcomes.error_answer(exc)


class Callers(_Channels):
    """Serves callers."""

    def begin(self, method, target, fields, body, reply):
        """Starts the exchange of a whole request."""
        return self.node.begin(method, target, fields, body, reply)

    def sending(self):
        """Returns whether an answer is still on its way to a caller."""
        return any(channel.sending for channel in self.open)

    def close_all(self):
        """Closes every channel."""
        for channel in list(self.open):
            channel.close()

    def close_idle(self):
        """Closes the channels on which nothing is under way."""
        for channel in list(self.open):
            if channel.idle:
                channel.close()


class Readiness(_Channels):
    """Answers the balancer."""

    def begin(self, method, target, fields, body, reply):
        """Answers 200 while new work may come here, else 503."""
        del method, target, fields, body
        status = 200 if self.node.ready() else 503
        reply.whole(status, [(b'Content-Type', b'text/plain')], b'')


class Metrics(_Channels):
    """Serves the metrics page."""

    def begin(self, method, target, fields, body, reply):
        """Answers with all counters and histograms."""
        del method, target, fields, body
        self.node.measure()
        page, content_type = metrics.render()
        reply.whole(200, [(b'Content-Type', content_type.encode())], page)
