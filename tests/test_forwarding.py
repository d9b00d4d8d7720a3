"""Calls to a replica that another entry forwards."""

import contextlib
import socket
import struct
import time

import pytest

import forwarding_site
import peers
from gorsefall.net import outbound
from gorsefall.relay import forwarder
from gorsefall.relay import forwarding
from gorsefall.relay import inbound
from gorsefall.relay import memory
from gorsefall.relay import prober
from gorsefall.standins import acceptor

RESPONSE = (b'HTTP/1.1 200 OK\r\nRid: r\r\nKeep-Alive: timeout=5\r\n'
            b'Content-Length: 4\r\n\r\nbody')

LARGE_BYTES = 30_000_000
"""Size of a large response."""

PAUSE_S = 5.0
"""Time for which a caller that is alive reads nothing, s."""

TRANSFER_TIMEOUT_S = 120.0
"""Longest time for a large response, s: it only turns a hang into a failure."""


@pytest.fixture(name='loop')
def _loop():
    with peers.loop() as loop:
        yield loop


def _run(loop, scripts, call, prepare=lambda site: None):
    """Sends a call to a scripted replica; returns the site after its end."""
    peer = peers.ScriptedPeer(scripts)
    with forwarding_site.site(loop, peer.addr) as site:
        prepare(site)
        site.send(call)
        peers.run(loop, lambda: call.done)
        site.requests = peer.requests
    peer.close()
    return site


def test_a_response_arrives_whole_and_unchanged(loop):
    """A caller of a cut entry gets another response than the replica gave."""
    call = forwarding_site.Call(body=b'question')
    site = _run(loop, [[RESPONSE]], call)
    assert (call.status, call.received, call.ended) == (200, b'body', True)
    assert site.requests[0].endswith(b'\r\n\r\nquestion')
    assert site.observer.elsewhere == [True]


def test_connections_are_kept_for_further_calls(loop):
    """Each forwarded call opens two new connections."""
    peer = peers.ScriptedPeer([[RESPONSE], [RESPONSE]])
    with forwarding_site.site(loop, peer.addr) as site:
        for _ in range(2):
            call = forwarding_site.Call()
            site.send(call)
            peers.run(loop, lambda c=call: c.done)
            assert call.ended
        assert site.replica.pool.opened_count == 1
        assert len(site.forwarder._peers) == 1
    peer.close()


def test_a_fresh_call_is_sent_on_a_new_connection(loop):
    """A silent attempt is let go of for one on a connection that was lost."""
    peer = peers.ScriptedPeer([[RESPONSE], [RESPONSE]])
    with forwarding_site.site(loop, peer.addr) as site:
        for fresh in (False, True):
            call = forwarding_site.Call()
            site.client.send('127.0.0.1', site.replica, call, fresh=fresh)
            peers.run(loop, lambda c=call: c.done)
            assert call.ended
        assert site.replica.pool.opened_count == 2
    peer.close()


def test_a_response_to_another_request_is_skipped(loop):
    """A late response on a connection of the forwarder reaches a caller."""
    old = RESPONSE.replace(b'Rid: r', b'Rid: x').replace(b'body', b'old!')
    call = forwarding_site.Call()
    _run(loop, [[old + RESPONSE]], call)
    assert call.received == b'body'


def test_a_replica_that_the_forwarder_does_not_reach_either(loop):
    """A request that was never sent is said to have an unknown outcome."""
    peer = peers.ScriptedPeer([])
    peer.close()
    call = forwarding_site.Call()
    with forwarding_site.site(loop, peer.addr) as site:
        site.send(call)
        peers.run(loop, lambda: call.done)
    assert not call.failure.sent
    assert call.failure.fault is outbound.Fault.FORWARDER
    assert not site.observer.elsewhere


def test_a_replica_that_breaks_the_connection_is_told_from_the_forwarder(loop):
    """A request that crashes replicas is not blamed when it is forwarded."""
    call = forwarding_site.Call()
    _run(loop, [[RESPONSE[:-2], None]], call)
    assert call.failure.sent
    assert call.failure.fault is outbound.Fault.LOST


_REFUSALS = {
    'draining':
        lambda site: setattr(site.node, 'draining', True),
    'no path':
        lambda site: setattr(site, 'in_doubt', True),
    'leaving':
        lambda site: setattr(site.replica, 'is_leaving', True),
    'paused':
        lambda site: setattr(site.replica.acceptance, 'on_trial', True),
    'unknown incarnation':
        lambda site: setattr(site.replica.record, 'started_at_ms', 8),
}


@pytest.mark.parametrize('why', _REFUSALS)
def test_a_refusal_leaves_the_request_unsent(loop, why):
    """A forwarder sends to a replica that it must not use."""
    call = forwarding_site.Call()
    site = _run(loop, [[RESPONSE]], call, _REFUSALS[why])
    assert not call.failure.sent
    assert call.failure.fault is outbound.Fault.FORWARDER
    assert not site.requests


class _Silent(acceptor.Acceptor):
    """Another entry that accepts connections and does not answer."""

    def serve_connection(self, sock):
        while sock.recv(65536):
            pass


def test_a_forwarder_that_was_held_up_sends_nothing_by_an_old_list(loop):
    """A request reaches a replica that had left while its VM was suspended."""
    call = forwarding_site.Call()
    site = _run(loop, [[RESPONSE]], call,
                lambda site: setattr(site, 'is_usable', False))
    assert not site.requests
    assert (call.failure.sent, call.failure.fault) == (False,
                                                       outbound.Fault.FORWARDER)


def test_what_may_not_be_sent_any_more_is_not_forwarded(loop):
    """A suspended entry goes on with what another entry agreed to forward."""
    call = forwarding_site.Call()
    call.withheld = True
    site = _run(loop, [[RESPONSE]], call)
    assert not site.requests
    assert (call.failure.sent, call.failure.fault) == (False,
                                                       outbound.Fault.WITHHELD)
    assert not site.observer.elsewhere + site.observer.refusals


def test_a_forwarder_that_does_not_answer_has_no_part_of_the_request(loop):
    """A caller waits for a frozen entry, and is told that its request may have
    run."""
    silent = _Silent()
    observer = forwarding_site.Observer()
    client = forwarding.Client(loop, silent.address[1], observer)
    call = forwarding_site.Call()
    client.send('127.0.0.1', forwarding_site.Replica(loop, ('127.0.0.1', 1)),
                call)
    peers.run(loop, lambda: call.done, forwarding.OPEN_TIMEOUT_S + 1.0)
    assert not call.failure.sent
    assert call.failure.fault is outbound.Fault.FORWARDER
    silent.close()


def test_a_forwarder_that_ends_leaves_the_outcome_unknown(loop):
    """A request that may run once is sent again after its forwarder ended."""
    peer = peers.ScriptedPeer([[]])
    call = forwarding_site.Call()
    with forwarding_site.site(loop, peer.addr) as site:
        site.send(call)
        peers.run(loop, lambda: peer.requests)
        site.forwarder.close_all()
        peers.run(loop, lambda: call.done)
    assert call.failure.sent
    assert call.failure.fault is outbound.Fault.FORWARDER
    peer.close()


class _Replica(acceptor.Acceptor):
    """A replica that never responds, and notes when a connection closes."""

    def __init__(self):
        self.received = b''
        self.closed = False
        super().__init__()

    def serve_connection(self, sock):
        # A reset closes it as well.
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                self.received += data
        self.closed = True


def test_a_cancel_reaches_the_replica(loop):
    """A replica works on for a caller that has left."""
    replica = _Replica()
    with forwarding_site.site(loop, replica.address) as site:
        conn = site.send(forwarding_site.Call())
        peers.run(loop, lambda: replica.received)
        assert conn.cancel()
        peers.run(loop, lambda: replica.closed)
        assert site.forwarder.in_flight == 0
    replica.close()


def test_a_cancel_before_the_forwarder_agreed_counts_as_not_sent(loop):
    """A request that was withdrawn in time is said to have run perhaps."""
    replica = _Replica()
    with forwarding_site.site(loop, replica.address) as site:
        assert not site.send(forwarding_site.Call()).cancel()
    replica.close()


def _large_response_peer():
    """Returns a peer whose response is more than the kernel buffers."""
    head = (b'HTTP/1.1 200 OK\r\nRid: r\r\nContent-Length: %d\r\n\r\n' %
            LARGE_BYTES)
    return peers.ScriptedPeer([[head, b'x' * LARGE_BYTES]])


@contextlib.contextmanager
def _paused_call(loop):
    """Yields a site and its call, which reads nothing; then reads all of it."""
    peer = _large_response_peer()
    call = forwarding_site.Call()
    with forwarding_site.site(loop, peer.addr) as site:
        conn = site.send(call)
        peers.run(loop, lambda: call.received)
        conn.pause()
        yield site, call
        conn.resume()
        peers.run(loop, lambda: call.done, TRANSFER_TIMEOUT_S)
        assert call.failure is None
        assert len(call.received) == LARGE_BYTES
    peer.close()


def test_a_slow_reader_holds_back_the_replica(loop):
    """A stream that its caller does not read fills the forwarder's memory."""
    with _paused_call(loop) as (site, call):
        for _ in range(200):
            loop.step(0.005)
        (held,) = site.forwarder._peers
        assert held._conn.unsent_bytes < 1_000_000
        assert len(call.received) < LARGE_BYTES / 2


def test_a_reader_that_pauses_for_seconds_gets_the_whole_response(loop):
    """A stream is cut as its caller, which is alive, reads nothing for 5 s."""
    with _paused_call(loop):
        resume_at = time.monotonic() + PAUSE_S
        while time.monotonic() < resume_at:
            loop.step(0.05)


def test_a_replica_held_back_by_its_last_piece_serves_the_next_call(
        loop, monkeypatch):
    """A stream is silent, as the one before had ended for a slow reader."""
    monkeypatch.setattr(inbound, 'MAX_PENDING_BYTES', 0)
    peer = peers.ScriptedPeer([[RESPONSE], [RESPONSE]])
    with forwarding_site.site(loop, peer.addr) as site:
        for _ in range(2):
            call = forwarding_site.Call()
            site.send(call)
            peers.run(loop, lambda c=call: c.done, 2.0)
            assert call.ended
        assert site.replica.pool.opened_count == 1
    peer.close()


UNFRAMED = b'HTTP/1.1 200 OK\r\nRid: r\r\n\r\nbody'
"""A response that only the end of its connection ends. An exchange keeps its
attempt until it is found out whether that is the end of the response."""


@contextlib.contextmanager
def _call_after_an_unframed_response(loop):
    """Yields an ended call's connection, the next call and its connection."""
    peer = peers.ScriptedPeer([[UNFRAMED, None], [RESPONSE]])
    first, second = forwarding_site.Call(), forwarding_site.Call()
    with forwarding_site.site(loop, peer.addr) as site:
        ended = site.send(first)
        peers.run(loop, lambda: first.done)
        assert first.ending is outbound.Ending.CLOSED
        conn = site.send(second)
        peers.run(loop, lambda: conn.sent)
        yield ended, second, conn
        assert len(site.forwarder._peers) == 1
        assert second.received == b'body'
    peer.close()


@pytest.mark.parametrize('action', ['cancel', 'pause'])
def test_a_call_that_has_ended_does_not_silence_the_next_one(loop, action):
    """A stream is silent, as the caller of an unframed response left late."""
    with _call_after_an_unframed_response(loop) as (ended, call, _):
        getattr(ended, action)()
        peers.run(loop, lambda: call.done, 2.0)


def test_a_call_that_has_ended_does_not_resume_the_next_one(loop):
    """Memory fills with a stream that its caller does not read."""
    with _call_after_an_unframed_response(loop) as (ended, call, conn):
        conn.pause()
        ended.resume()
        for _ in range(20):
            loop.step(0.01)
        assert not call.received
        conn.resume()
        peers.run(loop, lambda: call.done, 2.0)


def test_what_a_response_announces_binds_the_forwarder_too(loop):
    """A replica asks for rest, and the entry that forwards sends on."""
    call = forwarding_site.Call()
    leaving = b'HTTP/1.1 102 Processing\r\nLeaving: 1\r\n\r\n'
    site = _run(loop, [[leaving + RESPONSE]], call)
    assert call.interim == 1
    assert site.node.announcements.leaving == [site.replica]
    assert len(site.node.announcements.responses) == 1


@pytest.mark.parametrize(('up', 'verdict'), [(True, prober.Verdict.ALIVE),
                                             (False, prober.Verdict.EXITED)])
def test_a_probe_through_another_entry(loop, up, verdict):
    """A replica is judged by an entry that cannot reach it."""
    peer = peers.ScriptedPeer([])
    verdicts = []
    with forwarding_site.site(loop, peer.addr) as site:
        if not up:
            peer.close()
        site.client.probe('127.0.0.1', site.replica, verdicts.append)
        peers.run(loop, lambda: verdicts)
    assert verdicts == [verdict.value]
    peer.close()


def test_bytes_that_are_no_message_end_the_connection(loop):
    """A faulty process stops an entry from forwarding."""
    peer = peers.ScriptedPeer([[RESPONSE]])
    with forwarding_site.site(loop, peer.addr) as site:
        channel = site.client.channel('127.0.0.1')
        channel._conn.write(b'\0\0\0\3abc')
        peers.run(loop, lambda: not channel.is_open)
        call = forwarding_site.Call()
        site.send(call)
        peers.run(loop, lambda: call.done)
        assert call.ended
    peer.close()


def test_the_number_of_forwarded_requests_is_limited(loop, monkeypatch):
    """Entries without paths take all of another entry's memory."""
    monkeypatch.setattr(forwarder, 'MAX_RUNS', 1)
    replica = _Replica()
    with forwarding_site.site(loop, replica.address) as site:
        site.send(forwarding_site.Call())
        peers.run(loop, lambda: replica.received)
        second = forwarding_site.Call()
        site.send(second)
        peers.run(loop, lambda: second.done)
        assert not second.failure.sent
    replica.close()


def _connect(site):
    return socket.create_connection(site.forwarder.listener.addr)


def test_frames_that_do_not_end_are_bounded_in_all(loop):
    """Frames without their last bytes filled the forwarder's memory."""
    peer = peers.ScriptedPeer([])
    with forwarding_site.site(loop, peer.addr) as site:
        site.node.memory = memory.Memory(loop, lambda: 1.0, lambda: 0)
        conns = [_connect(site) for _ in range(20)]
        for conn in conns:
            conn.setblocking(False)
            conn.send(struct.pack('>I', 1 << 20) + bytes(100_000))
        peers.run(loop, lambda: site.node.memory.shares.held)
        for _ in range(50):
            loop.step(0.005)
        assert site.node.memory.shares.held <= site.node.memory.shares.room
        assert len(site.forwarder._peers) < 20
        for conn in conns:
            conn.close()
        peers.run(loop, lambda: not site.forwarder._peers)
        assert not site.node.memory.shares.held
    peer.close()


def test_connections_to_the_forwarder_are_bounded(loop, monkeypatch):
    """Connections without a request took all descriptors."""
    monkeypatch.setattr(forwarder, 'MAX_CONNS', 3)
    monkeypatch.setattr(forwarder, 'UNUSED_S', 0.2)
    peer = peers.ScriptedPeer([])
    with forwarding_site.site(loop, peer.addr) as site:
        conns = [_connect(site) for _ in range(5)]
        peers.run(loop, lambda: len(site.forwarder._peers) == 3)
        for _ in range(5):
            loop.step(0.005)
        assert len(site.forwarder._peers) == 3
        peers.run(loop, lambda: not site.forwarder._peers)
        for conn in conns:
            conn.close()
    peer.close()


def test_connections_to_the_forwarder_leave_descriptors(loop):
    """Connections to all listeners had more descriptors than there are."""
    peer = peers.ScriptedPeer([])
    with forwarding_site.site(loop, peer.addr) as site:
        site.node.max_fds = 18
        conns = [_connect(site) for _ in range(5)]
        for _ in range(50):
            loop.step(0.005)
        assert len(site.forwarder._peers) == 3
        for conn in conns:
            conn.close()
    peer.close()


def test_a_connection_that_is_reset_before_it_is_accepted_is_dropped(loop):
    """A connection that was reset at once failed the entry's listener."""
    peer = peers.ScriptedPeer([[RESPONSE]])
    with forwarding_site.site(loop, peer.addr) as site:
        conn = _connect(site)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b'\x01\0\0\0\0\0\0\0')
        conn.close()
        call = forwarding_site.Call()
        site.send(call)
        peers.run(loop, lambda: call.done)
        assert call.ended
        assert len(site.forwarder._peers) == 1
    peer.close()


def test_the_body_of_a_forwarded_request_is_counted_while_it_runs(loop):
    """Bodies that wait for slow replicas were counted by nobody here."""
    replica = _Replica()
    with forwarding_site.site(loop, replica.address) as site:
        call = forwarding_site.Call(body=bytes(200_000))
        conn = site.send(call)
        peers.run(loop, lambda: site.node.memory.shares.held >= 200_000)
        for _ in range(20):
            loop.step(0.005)
        assert site.node.memory.shares.held >= 200_000
        conn.cancel()
        peers.run(loop, lambda: not site.node.memory.shares.held)
    replica.close()
