"""Lets circuits' own servers use the reactor of the process.

A circuits poller blocks while it waits, and so does the reactor: side by side,
each would delay the other. Here the reactor watches the sockets of a server,
and circuits' own events notify the server of ready sockets.
"""

from circuits import core
from circuits.core import pollers

from gorsefall.net import reactor


class _SocketHandler(reactor.Handler):
    """One socket of a server."""

    def __init__(self, poller, sock):
        self._poller = poller
        self._sock = sock

    def on_readable(self):
        """See ``reactor.Handler``."""
        self._fire(pollers._read)

    def on_writable(self):
        """See ``reactor.Handler``."""
        self._fire(pollers._write)

    def on_handler_error(self):
        """Does nothing: firing an event does not raise."""

    def _fire(self, event):
        self._poller.fire(event(self._sock), self._poller.getTarget(self._sock))


class Poller(pollers.BasePoller):
    """The poller that circuits' servers find in the component tree."""
    channel = 'poller'

    def __init__(self, loop):
        """Creates a poller.

        Args:
            loop: The ``reactor.Reactor`` of the process.
        """
        super().__init__(channel=self.channel)
        self._loop = loop

    @core.handler('generate_events', override=True)
    def _on_generate_events(self, event):
        """Does not wait: the reactor does."""

    def addReader(self, source, fd):  # noqa: N802
        """See circuits."""
        super().addReader(source, fd)
        self._watch(fd)

    def addWriter(self, source, fd):  # noqa: N802
        """See circuits."""
        super().addWriter(source, fd)
        self._watch(fd)

    def removeReader(self, fd):  # noqa: N802
        """See circuits."""
        super().removeReader(fd)
        self._watch(fd)

    def removeWriter(self, fd):  # noqa: N802
        """See circuits."""
        super().removeWriter(fd)
        self._watch(fd)

    def discard(self, fd):
        """See circuits."""
        super().discard(fd)
        self._watch(fd)

    def _watch(self, fd):
        if fd.fileno() < 0:
            # circuits also discards a socket that it has already closed.
            return
        read, write = self.isReading(fd), self.isWriting(fd)
        if read or write:
            self._loop.watch(fd,
                             _SocketHandler(self, fd),
                             read=read,
                             write=write)
        else:
            self._loop.unwatch(fd)
