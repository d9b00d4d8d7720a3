"""Has another entry forward requests to replicas.

The other entry only lends its connections. Everything else remains here:
whether and to which replica a request is sent, with which account, priority
and time limit, whether it may be sent again, and who is told what.
"""

import functools

from gorsefall import errors
from gorsefall.net import frames
from gorsefall.net import headers
from gorsefall.net import outbound
from gorsefall.net import tcp
from gorsefall.relay import forwardmessages as messages

OPEN_TIMEOUT_S = 0.2
"""Longest time until another entry agrees to forward a request, s: connecting
and one round trip take a few ms, the shortest caller timeout is 600 ms."""

PROBE_TIMEOUT_S = 0.6
"""Longest time until another entry has probed a replica, s: it connects to the
replica within 0.25 s."""

IDLE_TIMEOUT_S = 2.0
"""Time after which a connection to another entry that is not in use is closed,
s."""


def target_of(replica):
    """Returns the ``messages.Target`` of a ``replicas.Replica``."""
    return messages.Target(replica.record.id, replica.record.started_at_ms)


class _Channel:
    """A connection to another entry, with one user at a time."""

    def __init__(self, loop, addr):
        self._reader = frames.Reader()
        self._conn = tcp.Connection(loop, self)
        self.user = None
        self.idle_timer = None
        self._conn.connect(addr)

    @property
    def is_open(self):
        """Whether it can be used."""
        return self._conn.is_open

    def send(self, message):
        """Sends a message."""
        self._conn.write(frames.encode(messages.encode(message)))

    def pause(self):
        """Stops reading."""
        self._conn.pause()

    def resume(self):
        """Resumes reading after ``pause``."""
        self._conn.resume()

    def close(self):
        """Closes the connection; the user is not called any more."""
        self.user = None
        self._conn.close()

    def abort(self):
        """As ``close``, with a reset: what has not arrived is dropped."""
        self.user = None
        self._conn.abort()

    def on_connected(self):
        """See ``tcp.Connection``."""

    def on_drained(self):
        """See ``tcp.Connection``."""

    def on_bytes(self, data):
        """See ``tcp.Connection``."""
        if not data:
            self.on_broken('closed by the other entry')
            return
        try:
            for payload in self._reader.feed(data):
                if self.user is not None:
                    self.user.on_message(messages.decode(payload))
        except errors.FrameError as exc:
            self.on_broken(str(exc))

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        user = self.user
        self.close()
        if user is not None:
            user.on_broken(reason)


class ForwardedCall:
    """A call that another entry forwards; replaces an ``outbound.Connection``.

    Attributes:
        via: Host of the other entry.
    """

    def __init__(self, client, host, replica, call, fresh):
        self._client = client
        self._fresh = fresh
        self.via = host
        self._replica = replica
        self._call = call
        self._requested = False
        self._timer = client.loop.call_later(OPEN_TIMEOUT_S,
                                             self._on_open_timeout)
        self._channel = client.channel(host)
        self._channel.user = self
        self._channel.send(messages.Open(target_of(replica)))

    @property
    def _holds_channel(self):
        """Whether the channel is open and still serves this call."""
        return self._channel.user is self

    def cancel(self):
        """See ``outbound.Connection``."""
        self._timer.cancel()
        if self._holds_channel:
            self._channel.abort()
        return self._requested

    @property
    def sent(self):
        """See ``outbound.Connection``."""
        return self._requested

    def pause(self):
        """See ``outbound.Connection``."""
        if self._holds_channel:
            self._channel.pause()

    def resume(self):
        """See ``outbound.Connection``."""
        if self._holds_channel:
            self._channel.resume()

    @functools.singledispatchmethod
    def on_message(self, message):
        """Handles a message of the other entry."""
        self._channel.on_broken(f'unexpected {type(message).__name__}')

    @on_message.register
    def _on_opened(self, message: messages.Opened):
        del message
        self._timer.cancel()
        call = self._call
        if not call.may_be_sent():
            self._channel.close()
            call.on_fail(outbound.WITHHELD)
            return
        self._requested = True
        call.on_sent()
        self._channel.send(
            messages.Request(call.request_id, call.method, call.target,
                             call.fields, call.body, call.time_limit_s,
                             self._fresh))

    @on_message.register
    def _on_refused(self, message: messages.Refused):
        self._release()
        self._fail(message.reason, outbound.Fault.FORWARDER)

    @on_message.register
    def _on_interim(self, message: messages.Interim):
        self._call.on_interim(message.status,
                              headers.from_items(message.fields))

    @on_message.register
    def _on_head(self, message: messages.Head):
        fields = headers.from_items(message.fields)
        self._client.observer.record_elsewhere(self._replica, True, self.via)
        if not self._call.matches_response(message.status, fields):
            self._channel.close()
            self._fail('response to another request', outbound.Fault.INVALID)
            return
        self._call.on_head(message.status, fields)

    @on_message.register
    def _on_data(self, message: messages.Data):
        self._call.on_data(message.data)

    @on_message.register
    def _on_end(self, message: messages.End):
        self._release()
        self._call.ending = message.ending
        self._call.on_end()

    @on_message.register
    def _on_failed(self, message: messages.Failed):
        self._release()
        self._requested = message.sent
        if message.fault is outbound.Fault.UNREACHED:
            # It may have lost its path too and not know it yet.
            self._fail(message.reason, outbound.Fault.FORWARDER)
            return
        self._client.observer.record_elsewhere(self._replica, True, self.via)
        self._fail(message.reason, message.fault)

    def _release(self):
        self._timer.cancel()
        self._client.release(self.via, self._channel)

    def _on_open_timeout(self):
        self._channel.close()
        self._fail('no answer of the other entry', outbound.Fault.FORWARDER)

    def on_broken(self, reason):
        """Called when the connection to the other entry broke."""
        self._timer.cancel()
        self._fail(reason, outbound.Fault.FORWARDER)

    def _fail(self, reason, fault):
        if fault is outbound.Fault.FORWARDER:
            self._client.observer.record_no_forwarding(self._replica, self.via,
                                                       reason)
        self._call.on_fail(outbound.Failure(self._requested, reason, fault))


class _RemoteProbe:
    """Has another entry probe a replica."""

    def __init__(self, client, host, replica, done):
        self._client = client
        self._host = host
        self._replica = replica
        self._done = done
        self._timer = client.loop.call_later(
            PROBE_TIMEOUT_S, lambda: self._channel.on_broken('timeout'))
        self._channel = client.channel(host)
        self._channel.user = self
        self._channel.send(messages.Probe(target_of(replica)))

    def on_message(self, message):
        """Handles a message of the other entry."""
        self._timer.cancel()
        self._client.release(self._host, self._channel)
        if isinstance(message, messages.Probed):
            self._done(message.verdict)
            return
        self._client.observer.record_no_forwarding(
            self._replica, self._host, getattr(message, 'reason', 'no verdict'))
        self._done(None)

    def on_broken(self, reason):
        """Called when the connection to the other entry broke."""
        self._timer.cancel()
        self._client.observer.record_no_forwarding(self._replica, self._host,
                                                   reason)
        self._done(None)


class Client:
    """Connections to other entries that forward requests.

    Attributes:
        loop: The ``reactor.Reactor``.
        observer: Has ``record_elsewhere(replica, reached, host)`` and
            ``record_no_forwarding(replica, host, reason)``.
    """

    def __init__(self, loop, port, observer):
        """Creates a client without connections.

        Args:
            loop: The ``reactor.Reactor``.
            port: Port at which all entries listen for each other.
            observer: See the class.
        """
        self.loop = loop
        self.observer = observer
        self._port = port
        self._idle = {}

    def send(self, host, replica, call, *, fresh=False):
        """Has an entry forward ``call``; returns the ``ForwardedCall``.

        Args:
            host: The entry's host.
            replica: The ``replicas.Replica``.
            call: The ``outbound.Call``; has the ``request_id``.
            fresh: See ``outbound.Pool.send``.
        """
        return ForwardedCall(self, host, replica, call, fresh)

    def probe(self, host, replica, done):
        """Has an entry probe a replica.

        Args:
            host: The entry's host.
            replica: The ``replicas.Replica``.
            done: Called with the value of the ``prober.Verdict``, or None if
                the entry has none.
        """
        _RemoteProbe(self, host, replica, done)

    def channel(self, host):
        """Returns an idle or new channel to an entry."""
        idle = self._idle.get(host, [])
        while idle:
            channel = idle.pop()
            channel.idle_timer.cancel()
            if channel.is_open:
                return channel
        return _Channel(self.loop, (host, self._port))

    def release(self, host, channel):
        """Keeps a channel whose request has ended for the next one."""
        channel.user = None
        channel.resume()
        idle = self._idle.setdefault(host, [])
        idle.append(channel)

        def expire():
            if channel in idle:
                idle.remove(channel)
            channel.close()

        channel.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, expire)
