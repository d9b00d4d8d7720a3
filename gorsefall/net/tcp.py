"""TCP connections without blocking: buffered writes, bounded reads."""

import contextlib
import errno
import os
import socket

from gorsefall import errors
from gorsefall.net import reactor

MAX_RECV_BYTES = 65536
LISTEN_BACKLOG = 512
"""Connections the kernel holds for us; a full queue costs a caller seconds,
as its opening packet is dropped and sent again."""

USER_TIMEOUT_MS = 1500
"""Unacknowledged bytes older than this end a connection, ms. A peer without
power or behind a partition never answers; this is how it shows. Well above
a few lost packets' retransmissions (200 ms each)."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 2
"""Probes, each KEEPALIVE_IDLE_S apart, that go unanswered before a quiet
connection is taken for dead."""


def _options(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                    USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class Connection(reactor.Handler):
    """One TCP connection; tells its owner what happens on it.

    The owner implements ``on_connected()``, ``on_bytes(data)`` (empty at the
    peer's orderly end), ``on_broken(reason)`` (once, when the connection
    failed; it is closed then) and ``on_drained()`` (all written bytes were
    handed to the kernel).

    Attributes:
        unsent: Bytes written but not yet handed to the kernel, their number.
        wrote: True once any byte was handed to the kernel.
        refused: Whether it broke as nothing listens at the address.
        open: False once closed.
        bytes_in: Bytes received.
        bytes_out: Bytes handed to the kernel.
    """

    def __init__(self, loop, owner, sock=None):
        self._loop = loop
        self._owner = owner
        self._sock = sock
        self._out = bytearray()
        self._reading = True
        self._connecting = False
        self.has_written = self.was_refused = False
        self.bytes_in = self.bytes_out = 0
        self.is_open = sock is not None
        if sock is not None:
            _options(sock)
            self._watch()

    @property
    def unsent_bytes(self):
        """See the class."""
        return len(self._out)

    def connect(self, addr, window_bytes=None):
        """Starts connecting to ``addr``; the outcome comes by callback.

        Args:
            addr: ``(host, port)``.
            window_bytes: Most that the peer may send ahead; None leaves it to
                the kernel.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _options(sock)
        if window_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        self._sock = sock
        self.is_open = True
        self._connecting = True
        code = sock.connect_ex(addr)
        if code not in (0, errno.EINPROGRESS):
            # Deferred, so that no callback comes before this returns.
            self._loop.call_later(0, lambda: self._not_connected(code))
            return
        self._watch()

    def write(self, data):
        """Sends ``data``, now or as soon as the peer takes it."""
        if not self.is_open:
            return
        self._out += data
        if not self._connecting:
            self._flush()

    def pause(self):
        """Stops reading, so that a fast peer cannot fill our memory."""
        self._set_reading(False)

    def resume(self):
        """Reads again after ``pause``."""
        self._set_reading(True)

    def has_pending_input(self):
        """Returns whether unread bytes or an end wait on the socket."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self):
        """Closes the connection; nothing is called after this."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.unwatch(self._sock)
        self._sock.close()

    def abort(self):
        """Closes with a reset, so that the peer cannot take it for an end."""
        if self.is_open:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      b'\x01\0\0\0\0\0\0\0')
            self.close()

    def on_readable(self):
        """See ``reactor.Handler``."""
        if self._connecting:
            self._connected()
            return
        if not self._reading:
            # Only a hang-up wakes a paused connection.
            self._check_hang_up()
            return
        try:
            data = self._sock.recv(MAX_RECV_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._break(exc.strerror)
            return
        self.bytes_in += len(data)
        if not data:
            self._set_reading(False)
        self._owner.on_bytes(data)

    def on_writable(self):
        """See ``reactor.Handler``."""
        if self._connecting:
            self._connected()
            return
        self._flush()

    def on_handler_error(self):
        """See ``reactor.Handler``."""
        self._break('fault in the handler')

    def _check_hang_up(self):
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._break(os.strerror(code) if code else 'closed by the peer')

    def _connected(self):
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._not_connected(code)
            return
        self._connecting = False
        self._owner.on_connected()
        if self.is_open:
            self._flush()

    def _not_connected(self, code):
        self.was_refused = code == errno.ECONNREFUSED
        self._break(os.strerror(code))

    def _flush(self):
        if self._out:
            try:
                n = self._sock.send(self._out)
            except BlockingIOError:
                n = 0
            except OSError as exc:
                self._break(exc.strerror)
                return
            if n:
                self.has_written = True
                self.bytes_out += n
                del self._out[:n]
        self._watch()
        if not self._out:
            self._owner.on_drained()

    def _set_reading(self, reading):
        if self._reading != reading:
            self._reading = reading
            if self.is_open:
                self._watch()

    def _watch(self):
        self._loop.watch(self._sock,
                         self,
                         read=self._reading,
                         write=self._connecting or bool(self._out))

    def _break(self, reason):
        if self.is_open:
            self.close()
            self._owner.on_broken(reason)


class Listener(reactor.Handler):
    """Accepts connections on one address.

    Attributes:
        on_accept: Called with each new socket.

    Raises:
        errors.SettingsError: The address cannot be listened on.
    """

    def __init__(self, loop, addr, on_accept):
        self._loop = loop
        self.on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        try:
            self._sock.bind(addr)
        except OSError as exc:
            raise errors.SettingsError(
                f'cannot listen on {addr[0]}:{addr[1]}: {exc.strerror}'
            ) from exc
        self._sock.listen(LISTEN_BACKLOG)
        self.addr = self._sock.getsockname()
        loop.watch(self._sock, self, read=True, write=False)

    def on_readable(self):
        """See ``reactor.Handler``."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                # Nothing left to accept, the peer gave up, or descriptors
                # are used up: the poller calls again while any wait.
                return
            self.on_accept(sock)

    def on_writable(self):
        """Listeners are never watched for writing."""

    def close(self):
        """Stops accepting."""
        self._loop.unwatch(self._sock)
        self._sock.close()
