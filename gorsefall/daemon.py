"""What every process that answers requests shares: its stop."""

import signal
import time

from circuits import core

from gorsefall.policy import shutdown


class Daemon(core.BaseComponent):
    """A process that answers requests until a signal stops it.

    Attributes:
        shutdown: The ``shutdown.Shutdown`` it goes by.
        log: Its logger.
    """

    def __init__(self, log):
        super().__init__()
        self.shutdown = shutdown.Shutdown()
        self.log = log

    @property
    def draining(self):
        """Whether the process is stopping."""
        return self.shutdown.has_begun

    @property
    def in_flight(self):
        """Number of requests under way."""
        raise NotImplementedError

    @property
    def lame_duck_s(self):
        """How long new requests are still taken after the signal, s."""
        raise NotImplementedError

    @property
    def drain_s(self):
        """How long what runs may take after the signal, s."""
        raise NotImplementedError

    def on_drain(self):
        """Called once, when the stop begins."""

    @core.handler('signal', channel='*', priority=100)
    def _on_signal(self, event, signo, stack):
        del stack
        if signo in (signal.SIGTERM, signal.SIGINT):
            # circuits' own handlers close every socket at once, cutting
            # answers in flight (symptom: callers see a reset mid-stream on
            # SIGTERM). Stopping the event here keeps connections open until
            # the drain is over.
            event.stop()
            self.drain()

    def drain(self):
        """Stops being ready, serves what comes, ends with its last answer."""
        if self.shutdown.begin(time.monotonic(), self.lame_duck_s,
                               self.drain_s):
            self.log.info('stopping', running=self.in_flight)
            self.on_drain()
