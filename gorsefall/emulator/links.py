"""Simulated links: messages wait in a queue for the bandwidth."""

MAX_DATAGRAM_WAIT_S = 0.25
"""Longest time that a datagram waits in the queue of a link, s. A link with
more bytes in its queue drops datagrams."""


class Link:
    """One direction of the link of a VM.

    Attributes:
        bytes_sent: Bytes that it accepted.
        dropped: Datagrams that it dropped.
    """

    def __init__(self, loop, bytes_per_s, delay_s):
        """Creates an idle link.

        Args:
            loop: The ``clock.Loop``.
            bytes_per_s: Its bandwidth.
            delay_s: Time from the last byte sent until it arrives.
        """
        self._loop = loop
        self._bytes_per_s = bytes_per_s
        self._delay_s = delay_s
        self._free_at = 0.0
        self.bytes_sent = 0
        self.dropped = 0

    @property
    def wait_s(self):
        """Time that the next message waits in the queue, s."""
        return max(0.0, self._free_at - self._loop.now)

    def send(self, size, deliver, *, datagram=False):
        """Calls ``deliver()`` when ``size`` bytes have arrived."""
        if datagram and self.wait_s > MAX_DATAGRAM_WAIT_S:
            self.dropped += 1
            return
        self.bytes_sent += size
        sent_at = max(self._loop.now, self._free_at) + size / self._bytes_per_s
        self._free_at = sent_at
        self._loop.call_later(sent_at + self._delay_s - self._loop.now, deliver)
