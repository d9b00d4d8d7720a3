"""Lets circuits' own servers wait on the process's one reactor.

circuits' pollers wait by themselves: beside a reactor each would hold up the
other. Here a server's sockets are watched by the reactor, and what is ready is
told to the server by circuits' own events.
"""

from circuits import core
from circuits.core import pollers

from gorsefall.net import reactor


class _Watched(reactor.Handler):
    """One socket of a server."""

    def __init__(self, poller, sock):
        self._poller = poller
        self._sock = sock

    def on_readable(self):
        """See ``reactor.Handler``."""
        self._tell(pollers._read)

    def on_writable(self):
        """See ``reactor.Handler``."""
        self._tell(pollers._write)

    def on_handler_error(self):
        """See ``reactor.Handler``; firing an event does not fail."""

    def _tell(self, event):
        self._poller.fire(event(self._sock), self._poller.getTarget(self._sock))


class Poller(pollers.BasePoller):
    """The poller that circuits' servers find in the tree."""
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
        """Waits for nothing: the reactor does."""

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
            # circuits discards a socket also after it has closed it.
            return
        read, write = self.isReading(fd), self.isWriting(fd)
        if read or write:
            self._loop.watch(fd, _Watched(self, fd), read=read, write=write)
        else:
            self._loop.unwatch(fd)
