"""HTTP/1.1 towards back ends and the store: kept channels, one call at a time.

The framing is by ``h11``. The parser of ``circuits.web`` neither tells bytes
after an answer from the answer nor a cut body from one that ends with its
connection, and both decide here whether an answer may be passed on.
"""

import collections
import dataclasses
import re

import h11

from gorsefall.net import headers
from gorsefall.net import tcp

DEFAULT_IDLE_TIMEOUT_S = 0.4
"""How long a channel is kept where its peer names no timeout, s. Peers name
theirs in whole seconds, so an unnamed one may be under a second."""

IDLE_TIMEOUT_FRACTION = 0.7
"""Part of a peer's idle timeout for which a channel is used again; the rest
covers the way there, so that no request crosses the peer's close."""

_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why a call has no whole answer.

    Attributes:
        sent: Whether the peer may have received any of the request.
        reason: What happened, for logs.
        broke: Whether its connection ended by itself, as that of a peer does
            whose process ends; not so what we gave up or cannot read.
    """
    sent: bool
    reason: str
    connection_lost: bool = False


class Call:
    """One request and what to do with its answer; subclasses override.

    Attributes:
        method: HTTP method, bytes.
        target: Path and query, bytes.
        fields: Header fields, a list of byte pairs.
        body: Request body.
    """

    def __init__(self, method, target, fields, body=b''):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    def matches_response(self, status, fields):
        """Returns whether an answer head belongs to this request."""
        del status, fields
        return True

    def on_head(self, status, fields):
        """Called with the status and ``headers.Headers`` of the answer."""

    def on_data(self, data):
        """Called with each piece of the body."""

    def on_end(self):
        """Called once when the answer is whole."""

    def on_fail(self, failure):
        """Called once with the ``Failure`` when there is no whole answer."""


class Connection:
    """One connection to a peer.

    Attributes:
        busy: Whether a call is under way.
        bytes_in: Bytes received.
        bytes_out: Bytes handed to the kernel.
    """

    def __init__(self, loop, addr, timeout_s, released, window_bytes=None):
        """Starts connecting.

        Args:
            loop: The ``reactor.Reactor``.
            addr: ``(host, port)``.
            timeout_s: Longest time to connect, s.
            released: Called with ``(channel, idle_s)`` when the channel can
                be used again for ``idle_s``, with 0 when it is closed.
            window_bytes: See ``tcp.Connection.connect``.
        """
        self._loop = loop
        self._released = released
        self._call = None
        self._h11 = None
        self._spoilt = False
        self._skipping = False
        self._idle_s = DEFAULT_IDLE_TIMEOUT_S
        self._conn = tcp.Connection(loop, self)
        self._timer = loop.call_later(timeout_s, self._not_connected)
        self._conn.connect(addr, window_bytes)

    @property
    def busy(self):
        """See the class."""
        return self._call is not None

    @property
    def bytes_in(self):
        """See the class."""
        return self._conn.bytes_in

    @property
    def bytes_out(self):
        """See the class."""
        return self._conn.bytes_out

    def is_reusable(self):
        """Returns whether an idle channel is sound and quiet."""
        return self._conn.is_open and not self._conn.has_pending_input()

    def send(self, call):
        """Sends ``call``; only when no other is under way."""
        self._call = call
        self._conn.has_written = False
        self._conn.write(self._begin(call))

    def _begin(self, call):
        self._h11 = h11.Connection(h11.CLIENT)
        self._skipping = False
        out = self._h11.send(
            h11.Request(method=call.method,
                        target=call.target,
                        headers=call.fields))
        if call.body:
            out += self._h11.send(h11.Data(data=call.body))
        return out + self._h11.send(h11.EndOfMessage())

    def cancel(self):
        """Gives up the call; its peer sees the channel close.

        Returns:
            Whether the peer may have received any of the request.
        """
        self._call = None
        sent = self._conn.has_written
        self._shut()
        return sent

    def pause(self):
        """Stops reading while the answer's receiver is slow."""
        self._conn.pause()

    def resume(self):
        """Reads again after ``pause``."""
        self._conn.resume()

    def close(self):
        """Closes the channel, which must be idle."""
        self._shut()

    def on_connected(self):
        """See ``tcp.Connection``."""
        self._timer.cancel()

    def on_drained(self):
        """See ``tcp.Connection``."""

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        self._broke(reason)

    def on_bytes(self, data):
        """See ``tcp.Connection``."""
        if self._call is None:
            # An end, or bytes that answer nothing: whatever they are, the
            # next answer on this channel could not be told from them.
            self._shut()
            return
        try:
            self._h11.receive_data(data)
            while self._call is not None and self._next():
                pass
        except h11.RemoteProtocolError as exc:
            # An end where more is due is no fault of the peer's spelling.
            if data:
                self._fail(f'bad answer: {exc}')
            else:
                self._broke('closed before its answer was whole')

    def _next(self):
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            self._on_response(event)
        elif isinstance(event, h11.Data):
            if not self._skipping:
                self._call.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_message_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._broke('closed without an answer')
            return False
        return True

    def _on_response(self, event):
        fields = headers.from_items(event.headers.raw_items())
        if not self._call.matches_response(event.status_code, fields):
            # A peer may answer an earlier request twice or late. Taking
            # that for the answer due here would hand one caller another's
            # answer. It is read past; the channel is not used again.
            self._skipping = self._spoilt = True
            return
        keep = _KEEP_ALIVE.search(fields.by_name.get(b'keep-alive', b''))
        if keep:
            self._idle_s = IDLE_TIMEOUT_FRACTION * int(keep.group(1))
        self._call.on_head(event.status_code, fields)

    def _on_message_end(self):
        if self._skipping:
            rest, _ = self._h11.trailing_data
            self._begin(self._call)
            if rest:
                self._h11.receive_data(rest)
            return
        # Bytes after the answer belong to no request, and a peer that
        # answers before it has read the whole request would take our next
        # one for the rest of this.
        rest, closed = self._h11.trailing_data
        sound = (not self._spoilt and not rest and not closed and
                 not self._conn.unsent_bytes and
                 self._h11.their_state is h11.DONE and
                 self._h11.our_state is h11.DONE)
        call, self._call = self._call, None
        if sound:
            self._released(self, self._idle_s)
        else:
            self._shut()
        call.on_end()

    def _not_connected(self):
        self._fail('not connected in time')

    def _broke(self, reason):
        self._fail(reason, broke=True)

    def _fail(self, reason, *, broke=False):
        call, self._call = self._call, None
        sent = self._conn.has_written
        self._shut()
        if call is not None:
            call.on_fail(Failure(sent, reason, broke))

    def _shut(self):
        self._timer.cancel()
        self._conn.close()
        released, self._released = self._released, None
        if released is not None:
            released(self, 0.0)


class Pool:
    """The channels of one peer, kept and used again.

    Attributes:
        opened: Channels that were opened.
        size: Channels open now.
        max_size: Most channels open at once.
    """

    def __init__(self,
                 loop,
                 addr,
                 *,
                 max_size,
                 connect_timeout_s,
                 window_bytes=None):
        self._loop = loop
        self._addr = addr
        self._connect_timeout_s = connect_timeout_s
        self._window_bytes = window_bytes
        self._idle = collections.deque()
        self.max_size = max_size
        self.size = 0
        self.opened_count = 0

    def is_full(self):
        """Returns whether no call can be sent now."""
        return self.size >= self.max_size and not self._idle

    def send(self, call):
        """Sends ``call`` on a kept channel or a new one; returns it."""
        channel = self._kept()
        if channel is None:
            self.size += 1
            self.opened_count += 1
            channel = Connection(self._loop, self._addr,
                                 self._connect_timeout_s, self._on_released,
                                 self._window_bytes)
        channel.send(call)
        return channel

    def _kept(self):
        while self._idle:
            channel, timer = self._idle.pop()
            timer.cancel()
            if channel.is_reusable():
                return channel
            channel.close()
        return None

    def _on_released(self, channel, idle_s):
        if idle_s:
            timer = self._loop.call_later(idle_s, channel.close)
            self._idle.append((channel, timer))
            return
        self.size -= 1
        for entry in self._idle:
            if entry[0] is channel:
                entry[1].cancel()
                self._idle.remove(entry)
                break

    def close(self):
        """Closes the idle channels; busy ones end with their calls."""
        while self._idle:
            channel, timer = self._idle.pop()
            timer.cancel()
            channel.close()
