"""Writes the response to one request of a caller."""


class ResponseWriter:
    """Writes at most one response to a caller.

    Attributes:
        started: Whether the head was sent.
        done: Whether the response has ended, complete or aborted.
    """

    def __init__(self, conn):
        """Creates a writer that has sent nothing.

        Args:
            conn: The ``inbound.CallerConnection``.
        """
        self._conn = conn
        self.started = False
        self.done = False

    def send(self, status, fields, body):
        """Sends a complete response; ``fields`` are pairs of bytes."""
        self.send_pieces(status, fields, [body])

    def send_pieces(self, status, fields, pieces):
        """Sends a complete response whose body is in pieces."""
        if not self.done:
            self.started = self.done = True
            self._conn.send_head(status, fields, sum(map(len, pieces)))
            for piece in pieces:
                self._conn.send_body(piece)
            self._conn.end()

    def start(self, status, fields):
        """Starts a response of unknown length."""
        self.started = True
        self._conn.send_head(status, fields, None)

    def set_time_limit(self, limit_s):
        """Sets how long the caller may take to read the response, s."""
        self._conn.set_time_limit(limit_s)

    def write(self, data):
        """Sends a piece of the body; returns whether the caller keeps up."""
        self._conn.send_body(data)
        return self._conn.can_write()

    def end(self):
        """Ends a response that was started with ``start``."""
        if not self.done:
            self.done = True
            self._conn.end()

    def abort(self):
        """Aborts the connection so that the response can't look complete."""
        if not self.done:
            self.done = True
            self._conn.abort()
