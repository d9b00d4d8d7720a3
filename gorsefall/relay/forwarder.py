"""Forwards requests of other entries that have lost their paths to replicas."""

import functools
import time

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.net import frames
from gorsefall.net import idletimer
from gorsefall.net import outbound
from gorsefall.net import tcp
from gorsefall.policy import memoryshares
from gorsefall.relay import descriptors
from gorsefall.relay import forwardmessages as messages
from gorsefall.relay import inbound

MAX_RUNS = 128
"""Most requests of other entries that are forwarded at once. Half of the
entries may have lost their paths, and a few others may have to do for them."""

MAX_CONNS = 512
"""Most connections of other entries, which close theirs once they have not used
them for ``forwarding.IDLE_TIMEOUT_S``."""

UNUSED_S = 10.0
"""Time after which a connection on which nothing comes is closed, s. Other
entries close theirs sooner."""


class _Run(outbound.Call):
    """The request of another entry at a replica."""

    def __init__(self, peer, replica, request):
        super().__init__(request.method, request.path, request.fields,
                         request.body)
        self._peer = peer
        self.replica = replica
        self._response = None
        self.id = request.id
        self.sent_at = time.monotonic()
        self.conn = None

    def may_be_sent(self):
        """See ``outbound.Call``."""
        node = self._peer.node
        return (node.current_list.is_usable() and
                node.fleet.is_listed(self.replica))

    def matches_response(self, status, fields):
        """See ``outbound.Call``."""
        self._response = self._peer.node.codec.decode_response(status, fields)
        return self._response.request_id in (None, self.id)

    def on_interim(self, status, fields):
        """See ``outbound.Call``."""
        node = self._peer.node
        if node.codec.decode_response(status, fields).leaving:
            node.announcements.record_leaving(self.replica)
        self._peer.send(messages.Interim(status, list(fields.items)))

    def on_head(self, status, fields):
        """See ``outbound.Call``."""
        # A pause that the replica asks for is meant for the sender, this entry.
        self._peer.node.announcements.record_response(self.replica,
                                                      self._response,
                                                      self.sent_at)
        self._peer.send(messages.Head(status, list(fields.items)))

    def on_data(self, data):
        """See ``outbound.Call``."""
        self._peer.send(messages.Data(data))
        if self._peer.is_behind:
            self.conn.pause()

    def on_end(self):
        """See ``outbound.Call``."""
        self._peer.end_run(messages.End(self.ending), 'complete')

    def on_fail(self, failure):
        """See ``outbound.Call``."""
        fault = failure.fault
        if fault is outbound.Fault.WITHHELD:
            # The other entry is to ask one that was not held up.
            fault = outbound.Fault.UNREACHED
        self._peer.end_run(messages.Failed(failure.sent, failure.reason, fault),
                           failure.fault.value)


class _Peer:
    """The connection of another entry."""

    def __init__(self, forwarder, sock, host):
        self._forwarder = forwarder
        self.node = forwarder.node
        self._reader = frames.Reader()
        self._replica = None
        self._run = None
        self._host = host
        self._hold = self.node.memory.hold(memoryshares.Owner())
        self._conn = tcp.Connection(self.node.loop, self, sock)
        self._unused_timer = idletimer.IdleTimer(self.node.loop, UNUSED_S,
                                                 self._on_unused)

    @property
    def is_running(self):
        """Whether a request is being forwarded."""
        return self._run is not None

    @property
    def is_behind(self):
        """Whether the other entry reads more slowly than the replica sends."""
        return self._conn.unsent_bytes >= inbound.MAX_PENDING_BYTES

    def send(self, message):
        """Sends a message to the other entry."""
        self._conn.write(frames.encode(messages.encode(message)))
        self._hold.resize(self._held_bytes())

    def _held_bytes(self):
        """Returns the memory that the other entry has this one hold, bytes."""
        body = len(self._run.body) if self._run is not None else 0
        return body + self._reader.pending_bytes + self._conn.unsent_bytes

    def _count(self):
        """Counts the memory that was received.

        Raises:
            errors.MemoryShortError: There is no room for it.
        """
        more = self._held_bytes() - self._hold.size
        if more <= 0 or self._run is not None:
            # A request that runs is not given up for what it holds already.
            self._hold.resize(self._held_bytes())
        elif not self._hold.grow_by_piece(more):
            raise self._hold.refuse()

    def _on_unused(self):
        if self._run is None:
            self.close()
        else:
            self._unused_timer = idletimer.IdleTimer(self.node.loop, UNUSED_S,
                                                     self._on_unused)

    # -- requests --------------------------------------------------------------

    @functools.singledispatchmethod
    def _handle(self, message):
        raise errors.FrameError(f'unexpected {type(message).__name__}')

    @_handle.register
    def _on_open(self, message: messages.Open):
        replica, reason = self._forwarder.admit(message.target)
        if reason is not None:
            metrics.FORWARDED.labels('in', 'refused').inc()
            self.send(messages.Refused(reason))
            return
        self._replica = replica
        self.send(messages.Opened())

    @_handle.register
    def _on_request(self, message: messages.Request):
        replica, self._replica = self._replica, None
        if replica is None or self._run is not None:
            raise errors.FrameError('a request that was not opened')
        if self._conn.has_pending_input():
            # Nothing follows a request, so the other entry has given up: this
            # process was not scheduled for a while. Sent now, the request
            # would run for nobody.
            self.close()
            return
        self._conn.set_time_limit(message.time_limit_s)
        self._run = _Run(self, replica, message)
        self._run.conn = replica.pool.send(self._run, fresh=message.fresh)

    @_handle.register
    def _on_probe(self, message: messages.Probe):
        replica, reason = self._forwarder.find(message.target)
        if reason is not None:
            self.send(messages.Refused(reason))
            return
        self.node.prober.probe_from_here(replica, self._on_probed)

    def _on_probed(self, verdict):
        self.send(
            messages.Refused('no path here either') if verdict is
            None else messages.Probed(verdict.value))

    def end_run(self, message, outcome):
        """Ends the request with a last message."""
        self._record_end(outcome)
        self.send(message)

    def _record_end(self, outcome):
        """Logs the end of the request; returns its ``_Run``."""
        run, self._run = self._run, None
        ms = round((time.monotonic() - run.sent_at) * 1000, 1)
        metrics.FORWARDED.labels('in', outcome).inc()
        self._forwarder.log.info('forwarded',
                                 rid=run.id,
                                 replica=run.replica.record.id,
                                 entry=self._host,
                                 outcome=outcome,
                                 ms=ms)
        return run

    # -- connection ------------------------------------------------------------

    def on_connected(self):
        """See ``tcp.Connection``; the other entry connects."""

    def on_drained(self):
        """See ``tcp.Connection``."""
        self._hold.resize(self._held_bytes())
        if self._run is not None and self._run.conn is not None:
            self._run.conn.resume()

    def on_bytes(self, data):
        """See ``tcp.Connection``."""
        if not data:
            self.close()
            return
        try:
            self._unused_timer.reset()
            for payload in self._reader.feed(data):
                self._handle(messages.decode(payload))
            if self._conn.is_open:
                self._count()
        except errors.MemoryShortError as exc:
            # Nothing was sent to the replica yet.
            self.send(messages.Failed(False, str(exc),
                                      outbound.Fault.UNREACHED))
            self.close()
        except errors.FrameError as exc:
            self._forwarder.log.warning('frame_unreadable',
                                        entry=self._host,
                                        error=str(exc))
            self.close()

    def on_broken(self, reason):
        """See ``tcp.Connection``."""
        del reason
        self.close()

    def close(self):
        """Closes the connection and cancels its request."""
        self._conn.close()
        self._unused_timer.cancel()
        if self._run is not None:
            self._record_end('cancelled').conn.cancel()
        self._hold.release()
        self._forwarder.remove(self)


class Forwarder:
    """Serves other entries that have lost their paths to replicas.

    Attributes:
        node: The ``node.Node``.
        listener: The ``tcp.Listener`` for other entries.
        log: Its logger.
    """

    def __init__(self, node, addr):
        """Begins to listen at ``addr``.

        Args:
            node: The ``node.Node``.
            addr: ``(host, port)``; the port is the same at all entries.
        """
        self.node = node
        self.log = logs.get('forwarder')
        self._peers = set()
        self.listener = tcp.Listener(node.loop, addr, self._accept)

    def _accept(self, sock):
        limit = descriptors.part(self.node.max_fds, descriptors.OTHER_ENTRIES)
        if len(self._peers) >= min(MAX_CONNS, limit):
            sock.close()
            return
        try:
            host, _ = sock.getpeername()
        except OSError:
            # It was reset before it was accepted.
            sock.close()
            return
        self._peers.add(_Peer(self, sock, host))

    def remove(self, peer):
        """Called by a connection when it was closed."""
        self._peers.discard(peer)

    @property
    def in_flight(self):
        """Number of requests that are being forwarded."""
        return sum(p.is_running for p in self._peers)

    def find(self, target):
        """Returns ``(replica, None)``, or ``(None, reason)``."""
        replica = self.node.fleet.find(target)
        if replica is None:
            return None, 'replica not known here'
        if self.node.paths.is_in_doubt(replica.record.service):
            return None, 'no path here either'
        return replica, None

    def admit(self, target):
        """Decides about a request of another entry to a replica.

        Args:
            target: The ``messages.Target``.

        Returns:
            ``(replica, None)``, or ``(None, reason)`` of the refusal.
        """
        replica, reason = self.find(target)
        if reason is not None:
            return None, reason
        if self.node.draining:
            return None, 'shutting down'
        has_room = (not replica.pool.is_full() or
                    self.node.paths.has_room(replica))
        if self.in_flight >= MAX_RUNS or not has_room:
            return None, 'no room'
        if replica.is_leaving or replica.acceptance.on_trial:
            return None, 'the replica wants no requests of this entry'
        return replica, None

    def close_all(self):
        """Ends all requests because the process exits."""
        for peer in list(self._peers):
            peer.close()
