"""One send of a request to one replica."""

import contextlib
import time

from gorsefall.relay import outbound
from gorsefall.relay import tcp


class Attempt(outbound.Call):
    """One send of an exchange's request to one replica."""

    def __init__(self, exchange, replica, order):
        req = exchange.req
        fields = exchange.node.dialect.encode_request(req, order)
        super().__init__(req.method, req.target, fields, req.body)
        self._exchange = exchange
        self._answer = None
        self._buf = []
        self._buffered = 0
        self.replica = replica
        self.began = time.monotonic()
        self.channel = None
        self.place = contextlib.ExitStack()
        self.prompt_read = self.place.enter_context(
            replica.occupied(req.prompt.tokens_in if req.prompt else 0))

    def is_mine(self, status, fields):
        """See ``outbound.Call``."""
        answer = self._exchange.node.dialect.decode_answer(status, fields)
        return (answer.request_id is None or
                answer.request_id == self._exchange.req.id)

    def on_head(self, status, fields):
        """See ``outbound.Call``."""
        self._answer = self._exchange.node.dialect.decode_answer(status, fields)
        load = self._answer.load
        if load is not None:
            self.replica.target.report(load.running + load.waiting,
                                       time.monotonic())
        self._exchange.answer_began(self, self._answer)

    def on_data(self, data):
        """See ``outbound.Call``."""
        self._exchange.answer_data(self, data)

    def on_end(self):
        """See ``outbound.Call``."""
        self._exchange.answer_ended(self, self._answer)

    def on_fail(self, failure):
        """See ``outbound.Call``."""
        self._exchange.attempt_failed(self, failure)


class Probe:
    """Finds out whether a replica's process is there, by connecting to it.

    A stream that breaks says nothing of its replica: that one may have
    crashed, or cut just this answer and live on. Only one that is gone for
    certain may be replaced in the middle of an answer.
    """

    def __init__(self, loop, addr, timeout_s, done):
        """Starts connecting; ``done(alive)`` gets the outcome."""
        self._done = done
        self._conn = tcp.Connection(loop, self)
        self._timer = loop.later(timeout_s, lambda: self._end(False))
        self._conn.connect(addr)

    def cancel(self):
        """Gives up; ``done`` is not called after this."""
        self._done = None
        self._end(False)

    def on_connected(self):
        """See ``tcp.Connection``."""
        self._end(True)

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        del reason
        self._end(False)

    def on_drained(self):
        """See ``tcp.Connection``."""

    def on_bytes(self, data):
        """See ``tcp.Connection``; nothing was asked."""

    def _end(self, alive):
        self._timer.cancel()
        self._conn.close()
        done, self._done = self._done, None
        if done is not None:
            done(alive)
