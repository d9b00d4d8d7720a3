"""HTTP/1.1 server side: reads requests of callers and writes responses.

Reports to the exchange of a request when its caller disconnects.
"""

import sys

import h11

from gorsefall import digests
from gorsefall import errors
from gorsefall.net import headers
from gorsefall.net import tcp
from gorsefall.policy import memoryshares
from gorsefall.policy import retry_delay
from gorsefall.relay import callerwaits
from gorsefall.relay import memory
from gorsefall.relay import responsewriter

MAX_PENDING_BYTES = 32768
"""Limit of the unsent response bytes, above which reading from the replica is
paused."""

HEAD_RECV_BYTES = 16384
"""Most bytes that are received at once outside a body: what follows a request
is read ahead, and nothing more is received then."""

CONN_BYTES = 8192
"""Memory that a connection takes without any request, bytes."""

MAX_EVENTS = 64
"""Pieces of requests that are handled before other connections have their
turn: a body may come in pieces of one byte."""

DISCARD_S = 1.0
"""Longest time for which the rest of a body that was refused is read and
dropped, s: callers read a response once they have sent their request, and a
close with unread bytes resets the connection."""

HEADER_EXTRA_BYTES = 4
"""Bytes of a header line besides its name and value: colon, space, CRLF."""

_HOP_BY_HOP = frozenset((b'connection', b'keep-alive', b'proxy-connection',
                         b'te', b'trailer', b'transfer-encoding', b'upgrade'))


def end_to_end_fields(fields):
    """Returns the ``(name, value)`` fields that aren't hop-by-hop.

    Args:
        fields: A ``headers.Headers``.
    """
    drop = set(_HOP_BY_HOP)
    for name, value in fields.items:
        if name.lower() == b'connection':
            drop.update(token.strip().lower() for token in value.split(b','))
    return [(n, v) for n, v in fields.items if n.lower() not in drop]


class CallerConnection:
    """One connection of a caller.

    The server object it belongs to provides ``limits``, ``draining``,
    ``memory``, a ``memory.Memory``, ``body_timeout_s``,
    ``on_conn_closed(conn)``, ``error_response(exc)``,
    ``hold_memory(method, target, fields)``, which returns a ``memory.Hold`` or
    None, and ``handle_request(method, target, fields, body, writer)``, which
    calls the release of the body's hold in the end. The last one gets
    a ``digests.Body`` and returns an exchange with ``owner``, a
    ``memoryshares.Owner``, ``on_caller_disconnected(reason)``,
    ``on_caller_lost(reason)``, ``on_caller_drained()`` and
    ``yield_to_others(shortage)``, which aborts the response, or None when it
    has already responded.

    Besides, it is a connection of ``callerwaits.CallerWaits``.

    Attributes:
        used: Whether a request was read.
        idle_since: When it was opened, or its last response had left, s
            (monotonic).
    """

    def __init__(self, loop, server, sock):
        self._loop = loop
        self._server = server
        self._body = digests.Body()
        self._head = None
        self._exchange = None
        self._responding = False
        self._closing = False
        self._waiting = False
        self._leaving = False
        self._unread_bytes = self._kernel_bytes = 0
        self._timer = None
        self._body_timer = None
        self.used = False
        self.idle_since = loop.now
        self._limits = server.limits
        # The limit may rise while the connection is open: see `_advance`.
        self._h11 = h11.Connection(h11.SERVER,
                                   max_incomplete_event_size=sys.maxsize)
        self._hold = server.memory.hold(memoryshares.Owner())
        self._conn = tcp.Connection(loop, self, sock)
        self._conn.max_recv_bytes = HEAD_RECV_BYTES
        self._count()
        self._start_timer(self._limits.idle_timeout_s)

    @property
    def idle(self):
        """Whether no request is being read or responded to."""
        return (not self._responding and not self._leaving and
                self._head is None and not self._h11.trailing_data[0])

    @property
    def has_unread_request(self):
        """Whether it is idle, and bytes have come that are read next."""
        return self.idle and self._conn.unread_bytes() > 0

    @property
    def has_unsent(self):
        """Whether response bytes are still to be sent to the caller."""
        return bool(self._conn.unsent_bytes)

    def on_connected(self):
        """See ``tcp.Connection``; callers open the connection."""

    def on_bytes(self, data):
        """See ``tcp.Connection``."""
        if not data:
            self._on_disconnected('closed by the caller')
            return
        if self._closing:
            self._discard(len(data))
            return
        if self.idle and not self._responding:
            self._start_timer(self._limits.header_timeout_s)
        try:
            self._h11.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as exc:
            self._on_protocol_error(exc)

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        self._on_disconnected(reason, by_caller=self._conn.broken_by_peer)

    def on_drained(self):
        """See ``tcp.Connection``."""
        if self._leaving:
            self._leaving = False
            self._end_cycle()
        elif self._closing and not self._responding:
            self._close_if_read()
        elif self._exchange is not None:
            self._exchange.on_caller_drained()
        if self._hold.size != CONN_BYTES:
            self._count()

    # -- memory ----------------------------------------------------------------

    @property
    def owner(self):
        """See ``callerwaits.CallerWaits``."""
        return (self._body.hold or self._hold).owner

    @property
    def held_bytes(self):
        """See ``callerwaits.CallerWaits``."""
        body = self._body.hold
        return self._hold.size + (body.size if body is not None else 0)

    @property
    def moved_bytes(self):
        """See ``callerwaits.CallerWaits``."""
        return self._conn.bytes_in + self._conn.bytes_out

    @property
    def idle_limit_s(self):
        """See ``callerwaits.CallerWaits``."""
        return self._limits.idle_timeout_s

    @property
    def _awaits_caller(self):
        """Whether its memory is held for as long as the caller likes."""
        if self._conn.unsent_bytes:
            return True
        if self._responding and self._h11.trailing_data[0]:
            # It has sent ahead, and is not read until its response has left.
            return True
        return (not self._responding and not self._closing and
                not self._waiting and not self.idle)

    def _count(self):
        """Counts the memory that it holds, beside that of its request."""
        if not self._conn.is_open:
            return
        size = (len(self._h11.trailing_data[0]) + self._conn.unsent_bytes +
                self._kernel_bytes)
        self._hold.resize(CONN_BYTES + size)
        callers = self._server.memory.callers
        if self._awaits_caller:
            callers.add(self)
        else:
            callers.discard(self)

    def measure(self):
        """See ``callerwaits.CallerWaits``."""
        self._kernel_bytes = self._conn.unread_bytes()
        self._count()

    def yield_room(self, shortage):
        """See ``callerwaits.CallerWaits``."""
        if self._exchange is not None:
            self._exchange.yield_to_others(shortage)
        elif self._body.hold is None:
            self.abort()
        else:
            self._refuse(self._body.hold.refuse())
            if shortage is callerwaits.Shortage.CONNECTIONS:
                # At once, though the rest of the body is on its way.
                self.close()

    def close_idle(self):
        """See ``callerwaits.CallerWaits``."""
        if self._leaving:
            self.abort()

    # -- reading ---------------------------------------------------------------

    def _advance(self):
        for _ in range(MAX_EVENTS):
            if not self._read_event():
                break
        else:
            self._conn.pause()
            self._loop.call_later(0, self._resume)
        self._count()
        if ((self._responding or self._leaving) and self._h11.trailing_data[0]):
            self._conn.pause()

    def _read_event(self):
        """Handles the next event; returns whether another may follow."""
        if (self._responding or self._closing or self._waiting or
                self._leaving or not self._conn.is_open):
            return False
        event = self._h11.next_event()
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_data(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._on_request_end()
        else:
            if event is h11.NEED_DATA:
                self._on_incomplete()
            return False
        return True

    def _on_incomplete(self):
        """Handles a request of which all that was received is read."""
        self._check_incomplete()
        if self._closing:
            return
        if self._h11.they_are_waiting_for_100_continue:
            self._conn.write(
                self._h11.send(
                    h11.InformationalResponse(status_code=100, headers=[])))
        if self._head is not None and self._body.hold is None:
            self._hold_body(self._body.size + self._unread_bytes)

    def _check_incomplete(self):
        """Refuses a request of which an incomplete head or line is too long."""
        if self._head is None:
            self._limits = self._server.limits
        if len(self._h11.trailing_data[0]) > self._limits.header_bytes:
            self._refuse(
                errors.HeadTooLargeError(
                    f'head over {self._limits.header_bytes} bytes'))

    def _on_head(self, event):
        self._limits = self._server.limits
        self._head = event
        self._start_timer(self._limits.idle_timeout_s)
        # h11 only limits the size of a head that is still incomplete.
        size = len(event.target) + sum(
            len(n) + len(v) + HEADER_EXTRA_BYTES for n, v in event.headers)
        if size > self._limits.header_bytes:
            self._refuse(
                errors.HeadTooLargeError(
                    f'head over {self._limits.header_bytes} bytes'))
            return
        length = dict(event.headers).get(b'content-length')
        if length and int(length) > self._limits.body_bytes:
            self._refuse(
                errors.BodyTooLargeError(
                    f'body over {self._limits.body_bytes} bytes'))
            return
        self._unread_bytes = int(length or 0)
        if self._unread_bytes >= memory.LARGE_BODY_BYTES:
            self._await_room(self._unread_bytes)
        self._conn.max_recv_bytes = tcp.MAX_RECV_BYTES

    def _on_data(self, data):
        # A long body may take longer than a head on a slow link.
        self._start_timer(self._limits.idle_timeout_s)
        self._body.add(data)
        size = self._body.size
        self._unread_bytes = max(0, self._unread_bytes - len(data))
        if size > self._limits.body_bytes:
            self._refuse(
                errors.BodyTooLargeError(
                    f'body over {self._limits.body_bytes} bytes'))
            return
        held = self._body.hold.size if self._body.hold else 0
        if size >= memory.LARGE_BODY_BYTES and size > held:
            self._await_room(size - held + memory.GROWTH_BYTES)
        elif self._body.hold is not None and size > held:
            self._hold_body(size - held)

    def _draw_hold(self):
        """Returns the hold of the body; None if none is needed."""
        if self._body.hold is None:
            head = self._head
            hold = self._body.hold = self._server.hold_memory(
                head.method, head.target,
                headers.from_items(head.headers.raw_items()))
            if hold is not None:
                self._limit_body_time(hold.time_left_s)
        return self._body.hold

    def _limit_body_time(self, time_left_s):
        # The idle time restarts with each byte, so a caller could go on for
        # ever.
        limit_s = self._server.body_timeout_s
        if time_left_s is not None:
            limit_s = min(limit_s, time_left_s)
        self._body_timer = self._loop.call_later(limit_s, self._on_body_overdue)

    def _on_body_overdue(self):
        self._body_timer = None
        if self._waiting:
            self._waiting = False
            self._conn.resume()
        self._refuse(
            errors.DeadlineError('its body did not arrive in time',
                                 retry_after=retry_delay.short_delay_s()))

    def _hold_body(self, size):
        """Counts the memory of a short, unfinished body, or refuses it."""
        hold = self._draw_hold()
        if (hold is not None and not hold.grow(size, small=True) and
                not self._closing):
            self._refuse(hold.refuse())

    def _await_room(self, size):
        """Reads nothing more of a body until there is room for it."""
        if self._draw_hold() is None:
            return
        self._waiting = True
        self._body.hold.grow_later(size, self._on_room)
        if self._waiting:
            self._cancel_timer()
            self._conn.pause()

    def _on_room(self, granted):
        """Goes on with a body for which there is room, or refuses it."""
        self._waiting = False
        if not granted:
            self._conn.resume()
            # At most, if its length is not known.
            self._unread_bytes = self._unread_bytes or self._limits.body_bytes
            self._refuse(self._body.hold.refuse())
            return
        if not self._body.size:
            self._body.reserve(self._unread_bytes)
        if self._timer is None:
            self._start_timer(self._limits.idle_timeout_s)
            self._conn.resume()
            self._loop.call_later(0, self._resume)

    def _on_request_end(self):
        head, body = self._head, self._body
        self._head = None
        self._body = digests.Body()
        self._responding = self.used = True
        self._conn.max_recv_bytes = HEAD_RECV_BYTES
        self._cancel_timer()
        self._cancel_body_timer()
        # What the request needs must not be taken from its own connection.
        self._server.memory.callers.discard(self)
        fields = headers.from_items(head.headers.raw_items())
        exchange = self._server.handle_request(
            head.method, head.target, fields, body,
            responsewriter.ResponseWriter(self))
        if exchange is not None:
            self._hold.move_to(exchange.owner)
        if self._responding:
            self._exchange = exchange

    def _on_protocol_error(self, exc):
        if self._responding:
            # The bytes after the current request are malformed. Its response
            # is still sent, and the connection is closed after it.
            self._closing = True
            return
        kind = (errors.HeadTooLargeError
                if exc.error_status_hint == 431 else errors.BadRequestError)
        self._refuse(kind(f'malformed request: {exc}'))

    def _refuse(self, exc):
        """Responds to a request that wasn't read completely, and closes."""
        self._responding = self._closing = True
        self._head = None
        self._release_body()
        self._unread_bytes = max(
            0, self._unread_bytes - len(self._h11.trailing_data[0]))
        responsewriter.ResponseWriter(self).send(
            *self._server.error_response(exc))

    # -- writing ---------------------------------------------------------------

    def send_head(self, status, fields, length):
        """Sends a response head; ``length`` None means chunked."""
        out = list(fields)
        if length is not None:
            out.append((b'Content-Length', str(length).encode()))
        elif (self._h11.their_http_version >= b'1.1' and
              status not in headers.STATUSES_WITHOUT_BODY):
            out.append((b'Transfer-Encoding', b'chunked'))
        if self._server.draining or self._closing:
            out.append((b'Connection', b'close'))
        self._conn.write(
            self._h11.send(h11.Response(status_code=status, headers=out)))

    def send_body(self, data):
        """Sends a piece of the response body."""
        self._conn.write(
            *self._h11.send_with_data_passthrough(h11.Data(data=data)))
        if self._conn.unsent_bytes:
            self._count()

    def set_time_limit(self, limit_s):
        """Sets how long the caller may leave bytes unread, s."""
        self._conn.set_time_limit(limit_s)

    def can_write(self):
        """Returns whether the caller reads fast enough to send it more."""
        return self._conn.unsent_bytes < MAX_PENDING_BYTES

    def end(self):
        """Ends the response; then reads the next request or closes."""
        self._conn.write(self._h11.send(h11.EndOfMessage()))
        self._responding = False
        self._exchange = None
        if not self._conn.is_open:
            return
        if self._conn.unsent_bytes:
            # Nothing else is read before the response has left: a caller that
            # asks and does not read would have one after another kept for it.
            self._leaving = True
            self._count()
            return
        self._end_cycle()

    def _end_cycle(self):
        """Reads the next request or closes, as a response has left."""
        self.idle_since = self._loop.now
        self._kernel_bytes = 0
        self._count()
        # A response head sent before a shutdown didn't announce the close, so
        # the caller may send another request, which couldn't be finished in
        # time. A request that is in flight when the connection closes was not
        # read, and its caller sends it to another entry.
        last = self._server.draining and not self._h11.trailing_data[0]
        if (last or self._closing or self._h11.our_state is not h11.DONE or
                self._h11.their_state is not h11.DONE):
            self._closing = True
            self._close_if_read()
            return
        self._h11.start_next_cycle()
        self._start_timer(self._limits.idle_timeout_s)
        self._conn.resume()
        if self._h11.trailing_data[0]:
            self._loop.call_later(0, self._resume)

    def _resume(self):
        try:
            if self._conn.is_open and not self._waiting:
                self._conn.resume()
                self._advance()
        except h11.RemoteProtocolError as exc:
            self._on_protocol_error(exc)

    def abort(self):
        """Resets the connection in the middle of a response."""
        self._responding = self._leaving = False
        self._exchange = None
        self._conn.abort()
        self._on_closed()

    def close(self):
        """Closes the connection, which has nothing left to send."""
        self._conn.close()
        self._on_closed()

    # -- closing ---------------------------------------------------------------

    def _cancel_body_timer(self):
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def _release_body(self):
        self._cancel_body_timer()
        hold = self._body.hold
        self._body = digests.Body()
        if hold is not None:
            hold.release()

    def _discard(self, size):
        """Drops bytes of a body that was refused."""
        self._unread_bytes = max(0, self._unread_bytes - size)
        if not self._responding:
            self._close_if_read()

    def _close_if_read(self):
        """Closes once the response is sent and the refused body was read."""
        if self._conn.unsent_bytes:
            return
        if self._unread_bytes:
            if self._timer is None:
                self._start_timer(DISCARD_S)
            return
        self.close()

    def _on_disconnected(self, reason, *, by_caller=True):
        exchange, self._exchange = self._exchange, None
        self._responding = False
        self._conn.close()
        self._on_closed()
        if exchange is not None and by_caller:
            exchange.on_caller_disconnected(reason)
        elif exchange is not None:
            exchange.on_caller_lost(reason)

    def _on_closed(self):
        self._cancel_timer()
        self._waiting = False
        self._release_body()
        self._hold.release()
        self._server.memory.callers.discard(self)
        self._server.on_conn_closed(self)

    def _start_timer(self, timeout_s):
        self._cancel_timer()
        self._timer = self._loop.call_later(timeout_s, self._on_timeout)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self):
        # A caller that stops in the middle of a request must not occupy a
        # file descriptor forever. Nothing of the request was forwarded yet.
        if not self._responding:
            self.close()
