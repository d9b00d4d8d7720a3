"""HTTP/1.1 client: persistent connections, one call at a time on each.

``h11`` does the framing. The parser of ``circuits.web`` cannot be used: it
distinguishes neither surplus bytes from the response before them, nor a
truncated body from one that is delimited by the end of the connection. Both
decide whether a response may be passed on.
"""

import collections
import dataclasses
import enum
import re

import h11

from gorsefall.net import headers
from gorsefall.net import tcp

DEFAULT_IDLE_TIMEOUT_S = 0.4
"""Longest time a connection stays in the pool if its peer announces no
keep-alive timeout, s. Peers announce whole seconds, so an unannounced timeout
may be below one second."""

IDLE_TIMEOUT_FRACTION = 0.7
"""Fraction of a peer's announced idle timeout for which a connection is reused.
The rest covers the network delay: a request sent later could reach the peer
after it has closed the connection."""

LARGE_BODY_BYTES = 65536
"""Size of a request body that the kernel of a peer may not hold for a process
that does not read it."""

RECV_BYTES = 16384
"""Most bytes received at once: what was received when reading is paused is
kept until the consumer of the response goes on."""

MAX_STRAY_RESPONSES = 8
"""Most responses to earlier requests that a call skips. A peer repeats one or
is late with one; more of them hold the thread, and no end of them is known."""

MAX_INTERIM_RESPONSES = 64
"""Most interim responses to a call, for the same reason."""

MAX_STATUS = 599
"""Largest status that HTTP defines a class for."""

_KEEP_ALIVE = re.compile(rb'timeout=(\d{1,9})(?!\d)')


class Fault(enum.Enum):
    """What failed about a call."""
    UNREACHED = 'unreached'
    """No connection was established."""
    LOST = 'lost'
    """The connection failed or was closed by the peer, as when the peer's
    process exits."""
    INVALID = 'invalid'
    """The response is not acceptable, or did not come in time."""
    FORWARDER = 'forwarder'
    """Another entry that should forward the call failed or refused. It shows
    nothing about the peer."""
    WITHHELD = 'withheld'
    """The call may not be sent any more. It shows nothing about the peer."""


class Ending(enum.Enum):
    """What marked the end of a response."""
    FRAMED = 'framed'
    """Its length, its last chunk, or a status that has no body."""
    CLOSED = 'closed'
    """The end of its connection only."""


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why a call got no complete response.

    Attributes:
        sent: Whether the peer may have received part of the request.
        reason: What happened, for logs.
        fault: The ``Fault``.
    """
    sent: bool
    reason: str
    fault: Fault = Fault.INVALID


WITHHELD = Failure(False, 'not sent any more', Fault.WITHHELD)
"""That of a call which ``Call.may_be_sent`` holds back."""


class Call:
    """A request and the callbacks for its response; subclasses override.

    Attributes:
        method: HTTP method, bytes.
        target: Path and query, bytes.
        fields: Header fields, a list of byte pairs.
        body: Request body.
        time_limit_s: Longest time until the end of the response, s; 0 for no
            limit.
        ending: The ``Ending`` of a complete response; ``FRAMED`` before it.
    """

    def __init__(self, method, target, fields, body=b'', time_limit_s=0.0):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.time_limit_s = time_limit_s
        self.ending = Ending.FRAMED

    def may_be_sent(self):
        """Returns whether to send it still, asked as its first bytes leave.

        The process may have been suspended since its peer was chosen.
        """
        return True

    def on_sent(self):
        """Called once when the request was handed to the kernel."""

    def matches_response(self, status, fields):
        """Returns whether a response head belongs to this request."""
        del status, fields
        return True

    def on_interim(self, status, fields):
        """Called with the head of each interim (1xx) response."""

    def on_head(self, status, fields):
        """Called with the status and ``headers.Headers`` of the response."""

    def on_data(self, data):
        """Called with each piece of the body."""

    def on_end(self):
        """Called once when the response is complete."""

    def on_fail(self, failure):
        """Called once with a ``Failure`` if no complete response arrives."""


class Connection:
    """One connection to a peer.

    Attributes:
        busy: Whether a call is in progress.
        bytes_in: Bytes received.
        bytes_out: Bytes handed to the kernel.
        via: None: no other process is in between.
    """
    via = None

    def __init__(self,
                 loop,
                 addr,
                 connect_timeout_s,
                 on_release,
                 window_bytes=None,
                 *,
                 on_connect=None):
        """Starts connecting.

        Args:
            loop: The ``reactor.Reactor``.
            addr: ``(host, port)``.
            connect_timeout_s: Longest time to connect, s.
            on_release: Called with ``(conn, idle_timeout_s)`` when the
                connection can be reused within ``idle_timeout_s`` seconds, and
                with a timeout of 0 when it is closed.
            window_bytes: See ``tcp.Connection.connect``.
            on_connect: Called once with whether the connection was
                established.
        """
        self._loop = loop
        self._on_release = on_release
        self._on_connect = on_connect
        self._connected = False
        self._call = None
        self._h11 = None
        self._desynchronized = False
        self._skipping_response = False
        self._stray_count = self._interim_count = 0
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._transport = tcp.Connection(loop, self)
        self._transport.max_recv_bytes = RECV_BYTES
        self._timer = loop.call_later(connect_timeout_s,
                                      self._on_connect_timeout)
        self._transport.connect(addr, window_bytes)

    @property
    def busy(self):
        """See the class."""
        return self._call is not None

    @property
    def sent(self):
        """Whether the peer may have received part of the request."""
        return self._transport.has_written

    @property
    def bytes_in(self):
        """See the class."""
        return self._transport.bytes_in

    @property
    def bytes_out(self):
        """See the class."""
        return self._transport.bytes_out

    def is_reusable(self):
        """Returns whether an idle connection is open with no input pending."""
        return (self._transport.is_open and
                not self._transport.has_pending_input())

    def send(self, call):
        """Sends ``call``; no other call may be in progress."""
        self._call = call
        self._stray_count = self._interim_count = 0
        self._transport.has_written = False
        self._set_time_limit(call)
        pieces = self._start_exchange(call)
        if self._connected and not call.may_be_sent():
            # Deferred, so that no callback runs before this method returns.
            self._loop.call_later(0, self._withhold)
            return
        self._transport.write(*pieces)
        if self._transport.has_written:
            call.on_sent()

    def _withhold(self):
        self._fail(WITHHELD.reason, WITHHELD.fault)

    def _set_time_limit(self, call):
        """Lets a peer that is alive read a large body as slowly as it may."""
        large = len(call.body) > LARGE_BODY_BYTES
        self._transport.set_time_limit(call.time_limit_s if large else 0.0)

    def _start_exchange(self, call):
        """Resets the HTTP state; returns the pieces of the call's request."""
        self._h11 = h11.Connection(h11.CLIENT)
        self._skipping_response = False
        out = [
            self._h11.send(
                h11.Request(method=call.method,
                            target=call.target,
                            headers=call.fields))
        ]
        if call.body:
            out += self._h11.send_with_data_passthrough(
                h11.Data(data=call.body))
        out.append(self._h11.send(h11.EndOfMessage()))
        return out

    def cancel(self):
        """Cancels the call by a reset; no callback follows.

        After an orderly end the kernel goes on sending what the peer has not
        received yet, for as long as it takes: the request would reach a peer
        that has left since.

        Returns:
            Whether the peer may have received part of the request.
        """
        self._call = None
        sent = self._transport.has_written
        self._transport.abort()
        self._close()
        return sent

    def pause(self):
        """Stops reading while the consumer of the response is slow."""
        self._transport.pause()

    def resume(self):
        """Resumes reading after ``pause``."""
        self._transport.resume()

    def close(self):
        """Closes the connection, which must be idle."""
        self._close()

    def on_connected(self):
        """See ``tcp.Connection``."""
        self._timer.cancel()
        self._connected = True
        self._report_connect(True)
        if self._call is None:
            return
        if self._call.may_be_sent():
            self._call.on_sent()
        else:
            self._withhold()

    def _report_connect(self, established):
        if self._on_connect is not None:
            self._on_connect(established)

    def on_drained(self):
        """See ``tcp.Connection``."""

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        self._fail_connection(reason)

    def on_bytes(self, data):
        """See ``tcp.Connection``."""
        if self._call is None:
            # The peer closed an idle connection or sent unsolicited bytes.
            # The next response could not be distinguished from such bytes.
            self._close()
            return
        try:
            self._h11.receive_data(data)
            while (self._call is not None and
                   self._process_event(at_eof=not data)):
                pass
        except h11.RemoteProtocolError as exc:
            # h11 also raises this error at a premature end of the stream,
            # which is a lost connection rather than malformed HTTP.
            if data:
                self._fail(f'bad answer: {exc}')
            else:
                self._fail_connection('closed before its answer was whole')

    def _process_event(self, *, at_eof):
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            self._on_response(event)
        elif isinstance(event, h11.InformationalResponse):
            self._on_interim(event)
        elif isinstance(event, h11.Data):
            if not self._skipping_response:
                self._call.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_message_end(Ending.CLOSED if at_eof else Ending.FRAMED)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail_connection('closed without an answer')
            return False
        return True

    def _on_interim(self, event):
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            self._fail('bad answer: interim responses without end')
        elif not self._skipping_response:
            self._call.on_interim(event.status_code,
                                  headers.from_items(event.headers.raw_items()))

    def _on_response(self, event):
        if event.status_code > MAX_STATUS:
            self._fail(f'bad answer: status {event.status_code}')
            return
        fields = headers.from_items(event.headers.raw_items())
        if not self._call.matches_response(event.status_code, fields):
            # A peer may respond twice or late to an earlier request. If
            # that were taken for the response to this request, one caller
            # would get another caller's response. It is skipped, and the
            # connection is not reused.
            self._skipping_response = self._desynchronized = True
            self._stray_count += 1
            if self._stray_count > MAX_STRAY_RESPONSES:
                self._fail('bad answer: responses to no request without end')
            return
        match = _KEEP_ALIVE.search(fields.by_name.get(b'keep-alive', b''))
        if match:
            self._idle_timeout_s = IDLE_TIMEOUT_FRACTION * int(match.group(1))
        self._call.on_head(event.status_code, fields)

    def _on_message_end(self, ending):
        if self._skipping_response:
            rest, closed = self._h11.trailing_data
            self._start_exchange(self._call)
            if rest:
                self._h11.receive_data(rest)
            if closed:
                self._h11.receive_data(b'')
            return
        # Bytes after the response belong to no request. A peer that responds
        # before it has read the whole request would read the next request as
        # the rest of this one. In both cases the connection is not reused.
        if ending is Ending.CLOSED and self._transport.unsent_bytes:
            # A peer that closes without having read the request resets its
            # connection, and its end of file may arrive before that.
            self._fail_connection('closed before it had the request')
            return
        rest, closed = self._h11.trailing_data
        reusable = (not self._desynchronized and not rest and not closed and
                    not self._transport.unsent_bytes and
                    self._h11.their_state is h11.DONE and
                    self._h11.our_state is h11.DONE)
        call, self._call = self._call, None
        if reusable:
            # The last piece of the response may have paused the connection.
            self._transport.resume()
            self._on_release(self, self._idle_timeout_s)
        else:
            self._close()
        call.ending = ending
        call.on_end()

    def _on_connect_timeout(self):
        self._fail('not connected in time')

    def _fail_connection(self, reason):
        self._fail(reason, Fault.LOST)

    def _fail(self, reason, fault=Fault.INVALID):
        call, self._call = self._call, None
        sent = self._transport.has_written
        self._close()
        if not self._connected:
            fault = Fault.UNREACHED
            self._report_connect(False)
        if call is not None:
            call.on_fail(Failure(sent, reason, fault))

    def _close(self):
        self._timer.cancel()
        self._transport.close()
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release(self, 0.0)


class Pool:
    """A pool of persistent connections to one peer.

    Attributes:
        opened_count: Connections opened since the start.
        size: Connections open now.
        max_size: Largest number of connections open at once.
    """

    def __init__(self,
                 loop,
                 addr,
                 *,
                 max_size,
                 connect_timeout_s,
                 window_bytes=None,
                 on_connect=None):
        """Creates a pool without connections.

        Args:
            loop: The ``reactor.Reactor``.
            addr: ``(host, port)`` of the peer.
            max_size: Most connections open at once.
            connect_timeout_s: Longest time to connect, s.
            window_bytes: See ``tcp.Connection.connect``.
            on_connect: Called with whether a new connection was established;
                not called for one that was cancelled before.
        """
        self._loop = loop
        self._on_connect = on_connect
        self._addr = addr
        self._connect_timeout_s = connect_timeout_s
        self._window_bytes = window_bytes
        self._idle = collections.deque()
        self.max_size = max_size
        self.size = 0
        self.opened_count = 0

    def is_full(self):
        """Returns whether all connections are open and none is idle."""
        return self.size >= self.max_size and not self._idle

    def send(self, call, *, fresh=False):
        """Sends ``call``; returns the connection it is sent on.

        Args:
            call: The ``Call``.
            fresh: Whether to open a new connection, which shows that the peer
                is reached; an idle one may have been lost without a sign.
        """
        if fresh and self.size >= self.max_size:
            self._close_idle()
        conn = None if fresh else self._take_idle()
        if conn is None:
            self.size += 1
            self.opened_count += 1
            conn = Connection(self._loop,
                              self._addr,
                              self._connect_timeout_s,
                              self._on_released,
                              self._window_bytes,
                              on_connect=self._on_connect)
        conn.send(call)
        return conn

    def _close_idle(self):
        """Closes the connection that was idle for longest, if there is any."""
        if self._idle:
            conn, timer = self._idle.popleft()
            timer.cancel()
            conn.close()

    def _take_idle(self):
        while self._idle:
            conn, timer = self._idle.pop()
            timer.cancel()
            if conn.is_reusable():
                return conn
            conn.close()
        return None

    def _on_released(self, conn, idle_timeout_s):
        if idle_timeout_s:
            timer = self._loop.call_later(idle_timeout_s, conn.close)
            self._idle.append((conn, timer))
            return
        self.size -= 1
        for item in self._idle:
            if item[0] is conn:
                item[1].cancel()
                self._idle.remove(item)
                break

    def close(self):
        """Closes the idle connections; a busy one ends with its call."""
        while self._idle:
            conn, timer = self._idle.pop()
            timer.cancel()
            conn.close()
