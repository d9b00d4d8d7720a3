"""Graceful shutdown, common to all processes that serve requests."""

import signal
import time

from circuits import core

from gorsefall.policy import shutdown


class Daemon(core.BaseComponent):
    """A process that serves requests until SIGTERM or SIGINT.

    Attributes:
        shutdown: The ``shutdown.Shutdown`` with the state of the shutdown.
        log: Logger of the process.
    """

    def __init__(self, log):
        super().__init__()
        self.shutdown = shutdown.Shutdown()
        self.log = log

    @property
    def draining(self):
        """Whether the process is shutting down."""
        return self.shutdown.has_begun

    @property
    def in_flight(self):
        """Number of requests in flight."""
        raise NotImplementedError

    @property
    def lame_duck_s(self):
        """Time after the signal in which new requests are still accepted, s."""
        raise NotImplementedError

    @property
    def drain_s(self):
        """Time after the signal in which requests may complete, s."""
        raise NotImplementedError

    def on_drain(self):
        """Called once, when the shutdown begins."""

    @core.handler('signal', channel='*', priority=100)
    def _on_signal(self, event, signo, stack):
        del stack
        if signo in (signal.SIGTERM, signal.SIGINT):
            # The handlers of circuits close all sockets at once, so callers
            # would see a reset in the middle of a response. Stopping the
            # event keeps connections open until the drain has ended.
            event.stop()
            self.drain()

    def drain(self):
        """Begins the shutdown.

        The process is no longer ready, accepts requests for ``lame_duck_s``,
        and exits after its last response, or after ``drain_s``.
        """
        if self.shutdown.begin(time.monotonic(), self.lame_duck_s,
                               self.drain_s):
            self.log.info('stopping', running=self.in_flight)
            self.on_drain()
