"""Non-blocking TCP connections with buffered writes and bounded reads."""

import collections
import contextlib
import errno
import fcntl
import math
import os
import socket
import struct
import termios

from gorsefall import errors
from gorsefall.net import reactor

MAX_RECV_BYTES = 65536
LARGE_WRITE_BYTES = 65536
"""Size from which written bytes are not copied but kept as they are until they
are sent. Smaller ones are joined, as each call to the kernel costs more."""

MAX_KERNEL_BYTES = 131072
"""Bytes that the kernel keeps for a peer beyond those on their way, so that
what a peer does not read is counted where it is held, in the process."""

LISTEN_BACKLOG = 512
"""Connections that the kernel queues until they are accepted. If the queue is
full, the kernel drops a caller's SYN, and its retransmission takes seconds."""

MAX_ACCEPTS = 64
"""Connections that are accepted before other sockets have their turn."""

ACCEPT_PAUSE_S = 0.1
"""Time for which nothing is accepted as no descriptor is free, s: the reactor
would call the listener again at once, and do nothing else."""

KEEPALIVE_IDLE_S = 2
"""Time without data after which keep-alive probes are sent, s."""

KEEPALIVE_INTERVAL_S = 1
"""Time between two probes, s."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which an idle connection is considered dead: a single
packet may be lost."""

USER_TIMEOUT_MS = 3500
"""Age at which unacknowledged bytes close a connection, ms. This detects a
peer that lost power or is behind a network partition. The kernel ends an idle
connection by this time too, whatever the number of probes, so it lies between
the last probe and the time when that counts as unanswered."""

_SHORT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
"""Errors of a process or machine that has no room for a connection."""

_BROKEN_BY_PEER = frozenset((errno.ECONNRESET, errno.EPIPE))


def _set_options(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                    USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL,
                    KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT,
                        MAX_KERNEL_BYTES)


class Connection(reactor.Handler):
    """One TCP connection; calls back its owner on every event.

    The owner implements ``on_connected()``, ``on_bytes(data)`` (empty when the
    peer has shut down its sending side), ``on_broken(reason)`` (called once
    when the connection has failed and is closed) and ``on_drained()`` (all
    written bytes were handed to the kernel).

    Attributes:
        unsent_bytes: Number of bytes written but not yet handed to the kernel.
        has_written: True once any byte was handed to the kernel.
        was_refused: Whether connecting failed because nothing listens at the
            address.
        is_open: False once closed.
        broken_by_peer: Whether the peer closed or reset the failed connection;
            False if the kernel gave up on the peer, or after a fault here.
        max_recv_bytes: Most bytes that are received at once.
        bytes_in: Bytes received.
        bytes_out: Bytes handed to the kernel.
    """

    def __init__(self, loop, owner, sock=None):
        self._loop = loop
        self._owner = owner
        self._sock = sock
        self._send_queue = collections.deque()
        self._unsent_bytes = 0
        self._reading = True
        self._connecting = self._failing = False
        self.has_written = self.was_refused = False
        self.broken_by_peer = False
        self._user_timeout_ms = USER_TIMEOUT_MS
        self.max_recv_bytes = MAX_RECV_BYTES
        self.bytes_in = self.bytes_out = 0
        self.is_open = sock is not None
        if sock is not None:
            _set_options(sock)
            self._update_watch()

    @property
    def unsent_bytes(self):
        """See the class."""
        return self._unsent_bytes

    def connect(self, addr, window_bytes=None):
        """Starts connecting to ``addr``; a callback reports the outcome.

        Args:
            addr: ``(host, port)``.
            window_bytes: Size of the receive buffer, which limits the bytes
                the peer may have in flight; None for the kernel's default.
        """
        self.is_open = True
        self._connecting = True
        code = self._start_connecting(addr, window_bytes)
        if code not in (0, errno.EINPROGRESS):
            # Deferred, so that no callback runs before this method returns.
            self._loop.call_later(0, lambda: self._fail_connecting(code))
            return
        self._update_watch()

    def _start_connecting(self, addr, window_bytes):
        """Opens the socket; returns an ``errno`` code, 0 for success."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            # No descriptor is free. The connection is closed without a socket.
            return exc.errno
        self._sock = sock
        _set_options(sock)
        if window_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        try:
            return sock.connect_ex(addr)
        except (OSError, OverflowError, UnicodeError):
            # Nothing can be connected to by such an address.
            return errno.EADDRNOTAVAIL

    def write(self, *pieces):
        """Sends ``pieces`` now or when the kernel accepts them.

        Args:
            *pieces: Bytes or bytearrays; a large one must not change any more.
        """
        if not self.is_open:
            return
        for piece in pieces:
            self._queue(piece)
        if not self._connecting:
            self._flush(self._fail_later)

    def _queue(self, piece):
        queue = self._send_queue
        self._unsent_bytes += len(piece)
        if len(piece) >= LARGE_WRITE_BYTES:
            queue.append(memoryview(piece))
        elif (queue and isinstance(queue[-1], bytearray) and
              len(queue[-1]) < LARGE_WRITE_BYTES):
            queue[-1].extend(piece)
        elif piece:
            queue.append(bytearray(piece))

    def set_time_limit(self, limit_s):
        """Sets how long the peer may leave bytes unread, s.

        The kernel takes a peer that reads nothing for one that is gone, though
        it acknowledges every probe.

        Args:
            limit_s: The time; ``USER_TIMEOUT_MS`` if that is longer.
        """
        # Whole seconds, so that the next request often needs no other value.
        timeout_ms = max(USER_TIMEOUT_MS, math.ceil(limit_s) * 1000)
        if (self.is_open and self._sock is not None and
                timeout_ms != self._user_timeout_ms):
            self._user_timeout_ms = timeout_ms
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                                  timeout_ms)

    def pause(self):
        """Stops reading, so that a fast peer cannot fill the memory."""
        self._set_reading(False)

    def resume(self):
        """Resumes reading after ``pause``."""
        self._set_reading(True)

    def unread_bytes(self):
        """Returns what the kernel has received that was not read, bytes."""
        size = bytearray(struct.calcsize('i'))
        try:
            fcntl.ioctl(self._sock, termios.FIONREAD, size)
        except OSError:
            return 0
        return struct.unpack('i', size)[0]

    def has_pending_input(self):
        """Returns whether the socket has unread bytes, an EOF or an error."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self):
        """Closes the connection; no callback follows."""
        if not self.is_open:
            return
        self.is_open = False
        if self._sock is not None:
            self._loop.unwatch(self._sock)
            self._sock.close()

    def abort(self):
        """Closes with a reset, which the peer cannot mistake for an EOF.

        The kernel drops what the peer has not received yet.
        """
        if self.is_open and self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      b'\x01\0\0\0\0\0\0\0')
        self.close()

    def on_readable(self):
        """See ``reactor.Handler``."""
        if self._connecting:
            self._finish_connecting()
            return
        if not self._reading:
            # A paused connection becomes readable only at a hang-up.
            self._check_hang_up()
            return
        try:
            data = self._sock.recv(self.max_recv_bytes)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(exc.strerror, exc.errno)
            return
        self.bytes_in += len(data)
        if not data:
            self._set_reading(False)
            if self._failing:
                # The write took the error off the socket: this is no end.
                return
        self._owner.on_bytes(data)

    def on_writable(self):
        """See ``reactor.Handler``."""
        if self._connecting:
            self._finish_connecting()
            return
        self._flush()

    def on_handler_error(self):
        """See ``reactor.Handler``."""
        self._fail('fault in the handler')

    def _check_hang_up(self):
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(os.strerror(code), code)
        else:
            self._fail('closed by the peer', errno.EPIPE)

    def _finish_connecting(self):
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail_connecting(code)
            return
        self._connecting = False
        self._owner.on_connected()
        if self.is_open:
            self._flush()

    def _fail_connecting(self, code):
        self.was_refused = code == errno.ECONNREFUSED
        self._fail(os.strerror(code), code)

    def _flush(self, on_error=None):
        while self._send_queue:
            piece = self._send_queue[0]
            try:
                n = self._sock.send(piece)
            except BlockingIOError:
                break
            except OSError as exc:
                (on_error or self._fail)(exc.strerror, exc.errno)
                return
            partial = n < len(piece)
            self._record_sent(piece, n)
            if partial:
                break
        self._update_watch()
        if not self._unsent_bytes:
            self._owner.on_drained()

    def _record_sent(self, piece, n):
        """Drops the first ``n`` bytes of the queue, which begins with piece."""
        self.has_written = True
        self.bytes_out += n
        self._unsent_bytes -= n
        if n == len(piece):
            self._send_queue.popleft()
        elif isinstance(piece, bytearray):
            del piece[:n]
        else:
            self._send_queue[0] = piece[n:]

    def _set_reading(self, reading):
        if self._reading != reading:
            self._reading = reading
            if self.is_open and self._sock is not None:
                self._update_watch()

    def _update_watch(self):
        self._loop.watch(self._sock,
                         self,
                         read=self._reading,
                         write=self._connecting or bool(self._unsent_bytes))

    def _fail_later(self, reason, code):
        # A request whose connection the peer has reset would fail before the
        # call that sends it has returned, and its sender not know the
        # connection yet.
        self._failing = True
        self._loop.call_later(0, lambda: self._fail(reason, code))

    def _fail(self, reason, code=None):
        if self.is_open:
            self.broken_by_peer = code in _BROKEN_BY_PEER
            self.close()
            self._owner.on_broken(reason)


class Listener(reactor.Handler):
    """Accepts connections on one address.

    Attributes:
        on_accept: Called with each accepted socket.
        addr: ``(host, port)`` it listens on.

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
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _ = self._sock.accept()
            except OSError as exc:
                # No connection is queued, or the peer has closed it, or there
                # is no room. The reactor calls again while any is queued.
                if exc.errno in _SHORT:
                    self._pause()
                return
            self.on_accept(sock)

    def _pause(self):
        self._loop.unwatch(self._sock)
        self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self):
        if self._sock.fileno() >= 0:
            self._loop.watch(self._sock, self, read=True, write=False)

    def on_writable(self):
        """Never called: listeners are not watched for writing."""

    def on_handler_error(self):
        """Goes on: the fault concerns one connection, which is dropped."""

    def close(self):
        """Stops accepting."""
        self._loop.unwatch(self._sock)
        self._sock.close()
