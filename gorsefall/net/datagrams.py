"""Non-blocking UDP datagrams to and from other processes."""

import ipaddress
import socket

from gorsefall import errors
from gorsefall import logs
from gorsefall.net import reactor

MAX_DATAGRAM_BYTES = 65536
"""Receive buffer for one datagram; UDP allows no longer ones."""

MAX_DATAGRAMS_PER_PASS = 64
"""Datagrams read before other sockets are served, so that a flood of datagrams
does not block requests."""


class Endpoint(reactor.Handler):
    """A bound UDP socket.

    Attributes:
        on_datagram: Called with ``(data, host)`` for each datagram.
        bytes_in: Bytes received.
        bytes_out: Bytes sent.

    Raises:
        errors.SettingsError: The address cannot be bound.
    """

    def __init__(self, loop, addr, on_datagram):
        self._loop = loop
        self._log = logs.get('datagrams')
        self._dropping = False
        self.on_datagram = on_datagram
        self.bytes_in = self.bytes_out = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        try:
            self._sock.bind(addr)
        except OSError as exc:
            raise errors.SettingsError(
                f'cannot bind {addr[0]}:{addr[1]}: {exc.strerror}') from exc
        loop.watch(self._sock, self, read=True, write=False)

    def send(self, data, addr):
        """Sends a datagram, or drops it if the kernel does not accept it."""
        try:
            self._sock.sendto(data, addr)
        except OSError as exc:
            # No caller waits for a datagram, and the next one repeats its
            # content. Only the first of consecutive drops is logged, as a full
            # link drops many in a row.
            if not self._dropping:
                self._dropping = True
                self._log.warning('datagram_dropped', error=exc.strerror)
            return
        self._dropping = False
        self.bytes_out += len(data)

    def on_readable(self):
        """See ``reactor.Handler``."""
        for _ in range(MAX_DATAGRAMS_PER_PASS):
            try:
                data, (host, _) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # No datagram is queued, or an earlier one was sent to a closed
                # port.
                return
            self.bytes_in += len(data)
            self.on_datagram(data, host)

    def on_writable(self):
        """Never called: endpoints are not watched for writing."""

    def close(self):
        """Stops receiving."""
        self._loop.unwatch(self._sock)
        self._sock.close()


def is_ipv4_address(text):
    """Returns whether ``text`` is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
