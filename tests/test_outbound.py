"""Persistent connections to peers that send late, repeated or bad data."""

import contextlib
import os
import resource
import socket
import time
import tracemalloc

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

import peers
from gorsefall.net import outbound
from gorsefall.standins import acceptor

_BEHAVIOURS = ('complete', 'chunked', 'other first', 'twice', 'cut', 'garbage',
               'extra bytes', 'to the end', 'asks to close')


def head(rid, *fields):
    lines = ('HTTP/1.1 200 OK', f'Rid: {rid}', *fields)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def complete_response(rid, *fields):
    body = f'answer {rid}'.encode()
    return head(rid, f'Content-Length: {len(body)}', *fields) + body


def script(behaviour, rid):
    """Returns the pieces that a peer with ``behaviour`` sends for ``rid``."""
    body = f'answer {rid}'.encode()
    return {
        'complete': [complete_response(rid)],
        'chunked': [
            head(rid, 'Transfer-Encoding: chunked'),
            b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        ],
        'other first': [complete_response('old'),
                        complete_response(rid)],
        'twice': [complete_response(rid),
                  complete_response(rid)],
        'cut': [complete_response(rid)[:-2], None],
        'garbage': [b'\x01\x02 nothing\r\n\r\n', None],
        'extra bytes': [complete_response(rid) + b'more'],
        'to the end': [head(rid) + body, None],
        'asks to close': [complete_response(rid, 'Connection: close')],
    }[behaviour]


class RecordingCall(outbound.Call):
    """A call that records its outcome."""

    def __init__(self, rid):
        super().__init__(b'GET', b'/', [(b'Host', b'x')])
        self.rid = rid.encode()
        self.body = b''
        self.received = b''
        self.ended = False
        self.failure = None

    def matches_response(self, status, fields):
        return fields.by_name[b'rid'] == self.rid

    def on_data(self, data):
        self.received += data

    def on_end(self):
        self.ended = True

    def on_fail(self, failure):
        self.failure = failure


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(_BEHAVIOURS), min_size=1, max_size=12))
def test_each_call_gets_its_own_complete_response_or_fails(behaviours):
    """A caller gets the response to another caller's request.

    A peer responds twice or late, or sends more bytes than announced, and the
    connection is reused: the surplus bytes are then read as the next response.
    The test knows which behaviours leave a complete response.
    """
    rids = [f'r{i}' for i in range(len(behaviours))]
    peer = peers.ScriptedPeer(
        [script(f, rid) for f, rid in zip(behaviours, rids, strict=True)])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=4, connect_timeout_s=5.0)
        for behaviour, rid in zip(behaviours, rids, strict=True):
            call = RecordingCall(rid)
            pool.send(call)
            peers.run(loop, lambda c=call: c.ended or c.failure)
            if behaviour in ('cut', 'garbage'):
                assert call.failure.sent
            else:
                assert call.ended, call.failure
                assert call.received == f'answer {rid}'.encode()
        pool.close()
        assert pool.size == 0
    peer.close()


def test_a_call_fails_whose_connection_ends_with_another_response():
    """A caller waits in vain for its response, as a late response to another
    request, which only the end of the connection ends, came instead."""
    peer = peers.ScriptedPeer([[head('old') + b'answer old', None]])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=5.0)
        call = RecordingCall('r')
        pool.send(call)
        peers.run(loop, lambda: call.failure, 2.0)
        assert call.failure.sent
        assert call.failure.fault is outbound.Fault.LOST
        assert (call.received, pool.size) == (b'', 0)
    peer.close()


def test_refused_connection_counts_as_not_sent():
    """Only a request that was never sent may be reported as not run."""
    peer = peers.ScriptedPeer([])
    peer.close()
    with peers.loop() as loop:
        call = RecordingCall('r')
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=5.0)
        pool.send(call)
        peers.run(loop, lambda: call.failure)
        assert not call.failure.sent
        assert pool.size == 0


def test_connect_timeout_fails_the_call():
    """A full listen queue or a network partition shows no error."""
    sock = socket.socket()
    sock.bind(('127.0.0.1', 0))
    sock.listen(0)
    pending_socks = [socket.socket() for _ in range(4)]
    for other in pending_socks:
        other.setblocking(False)
        other.connect_ex(sock.getsockname())
    with peers.loop() as loop:
        call = RecordingCall('r')
        outbound.Pool(loop,
                      sock.getsockname(),
                      max_size=1,
                      connect_timeout_s=0.2).send(call)
        peers.run(loop, lambda: call.failure)
        assert not call.failure.sent
    for other in (*pending_socks, sock):
        other.close()


@contextlib.contextmanager
def _no_free_descriptor():
    """Has the process open no further file or socket."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_call_without_a_free_descriptor_fails_as_not_sent():
    """A caller's connection is closed without an answer, and its exchange left
    behind, at an entry that has no descriptor to spare."""
    peer = peers.ScriptedPeer([[complete_response('b')]])
    connected = []
    with peers.loop() as loop:
        pool = outbound.Pool(loop,
                             peer.addr,
                             max_size=1,
                             connect_timeout_s=5.0,
                             on_connect=connected.append)
        call = RecordingCall('a')
        call.time_limit_s = 30.0
        call.body = b'x' * (outbound.LARGE_BODY_BYTES + 1)
        call.fields.append((b'Content-Length', b'%d' % len(call.body)))
        with _no_free_descriptor():
            conn = pool.send(call)
        conn.pause()
        assert call.failure is None
        peers.run(loop, lambda: call.failure)
        assert call.failure.fault is outbound.Fault.UNREACHED
        assert not call.failure.sent
        assert (pool.size, connected) == (0, [False])
        second = RecordingCall('b')
        pool.send(second)
        peers.run(loop, lambda: second.ended)
        pool.close()
    peer.close()


def test_nothing_is_called_after_a_call_without_a_descriptor_was_cancelled():
    """A request that was cancelled fails all the same."""
    with peers.loop() as loop:
        pool = outbound.Pool(loop, ('127.0.0.1', 1),
                             max_size=1,
                             connect_timeout_s=0.05)
        call = RecordingCall('a')
        with _no_free_descriptor():
            conn = pool.send(call)
        assert not conn.cancel()
        for _ in range(10):
            loop.step(0.01)
        assert call.failure is None
        assert pool.size == 0


UNREAD_S = 5.0
"""Time for which a peer that is alive reads nothing, s."""

LARGE_BYTES = 20_000_000
"""Size of a request that the kernel does not hold for a peer."""


class _LateReader(acceptor.Acceptor):
    """Reads its first request late, and responds to it."""

    def serve_connection(self, sock):
        time.sleep(UNREAD_S)
        received = b''
        while len(received) < LARGE_BYTES:
            received += sock.recv(1 << 20)
        sock.sendall(complete_response('r'))
        sock.recv(1)


def test_a_peer_that_reads_a_large_request_late_is_not_given_up():
    """A request is lost, and its outcome unknown, at a replica that is busy."""
    call = RecordingCall('r')
    call.body = b'x' * LARGE_BYTES
    call.fields = [(b'Host', b'x'), (b'Content-Length', b'%d' % LARGE_BYTES)]
    call.time_limit_s = 30.0
    peer = _LateReader()
    with peers.loop() as loop:
        pool = outbound.Pool(loop,
                             peer.address,
                             max_size=1,
                             connect_timeout_s=1.0)
        pool.send(call)
        peers.run(loop, lambda: call.ended or call.failure, 30.0)
        pool.close()
    peer.close()
    assert call.failure is None


def test_a_fresh_connection_replaces_an_idle_one_of_a_full_pool():
    """A request is sent on a connection that was lost without a sign."""
    peer = peers.ScriptedPeer(
        [[complete_response('a', 'Keep-Alive: timeout=9')],
         [complete_response('b')]])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        for rid, fresh in (('a', False), ('b', True)):
            call = RecordingCall(rid)
            pool.send(call, fresh=fresh)
            peers.run(loop, lambda c=call: c.ended)
        assert (pool.opened_count, pool.size) == (2, 1)
        pool.close()
    peer.close()


class _PausingCall(RecordingCall):
    """A call whose caller reads nothing more once it has got a piece."""

    conn = None

    def on_data(self, data):
        super().on_data(data)
        self.conn.pause()


def test_a_connection_paused_by_the_last_piece_serves_the_next_call():
    """A caller gets nothing of its response, as the caller before was slow."""
    peer = peers.ScriptedPeer(
        [[complete_response('a', 'Keep-Alive: timeout=9')],
         [complete_response('b')]])
    first, second = _PausingCall('a'), RecordingCall('b')
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        first.conn = pool.send(first)
        peers.run(loop, lambda: first.ended)
        pool.send(second)
        peers.run(loop, lambda: second.ended, 2.0)
        assert pool.opened_count == 1
        pool.close()
    peer.close()


def test_an_idle_connection_paused_by_the_last_piece_notices_its_end():
    """A pool is full of connections that their peer has closed."""
    peer = peers.ScriptedPeer(
        [[complete_response('a', 'Keep-Alive: timeout=9'), None]])
    call = _PausingCall('a')
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        call.conn = pool.send(call)
        peers.run(loop, lambda: call.ended)
        peers.run(loop, lambda: not pool.size, 2.0)
    peer.close()


class _CancellingCall(RecordingCall):
    """A call that is cancelled as its response begins."""

    conn = None

    def on_head(self, status, fields):
        self.conn.cancel()


def test_nothing_is_called_after_a_call_was_cancelled_by_its_head():
    """A refusal of a cancelled attempt is handled twice."""
    peer = peers.ScriptedPeer([[complete_response('r')]])
    call = _CancellingCall('r')
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        call.conn = pool.send(call)
        peers.run(loop, lambda: not pool.size)
        for _ in range(5):
            loop.step(0.01)
    peer.close()
    assert (call.ended, call.failure, call.received) == (False, None, b'')


class _Unread(acceptor.Acceptor):
    """A peer that reads nothing."""

    def serve_connection(self, sock):
        time.sleep(UNREAD_S)


def test_a_large_body_that_waits_is_held_once():
    """Bodies that wait for a replica take several times their size."""
    call = RecordingCall('r')
    call.body = bytearray(LARGE_BYTES)
    call.fields = [(b'Host', b'x'), (b'Content-Length', b'%d' % LARGE_BYTES)]
    peer = _Unread()
    with peers.loop() as loop:
        pool = outbound.Pool(loop,
                             peer.address,
                             max_size=1,
                             connect_timeout_s=1.0)
        tracemalloc.start()
        conn = pool.send(call)
        peers.run(loop, lambda: conn.sent)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        pool.close()
    peer.close()
    assert peak < LARGE_BYTES / 4


class _WithheldCall(RecordingCall):
    """A call that may not be sent any more."""

    sent = False

    def may_be_sent(self):
        return False

    def on_sent(self):
        self.sent = True


@pytest.mark.parametrize('idle', [True, False])
def test_what_may_not_be_sent_any_more_does_not_leave(idle):
    """A process that was suspended while it sent goes on sending."""
    peer = peers.ScriptedPeer(
        [[complete_response('a', 'Keep-Alive: timeout=9')]])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=2, connect_timeout_s=1.0)
        if idle:
            first = RecordingCall('a')
            pool.send(first)
            peers.run(loop, lambda: first.ended)
        call = _WithheldCall('b')
        pool.send(call)
        assert call.failure is None
        peers.run(loop, lambda: call.failure is not None)
        for _ in range(5):
            loop.step(0.01)
        assert pool.size == 0
    peer.close()
    assert len(peer.requests) == idle
    assert (call.failure.sent, call.failure.fault,
            call.sent) == (False, outbound.Fault.WITHHELD, False)


@pytest.mark.parametrize('answer', [
    head('old', 'Content-Length: 0'), b'HTTP/1.1 204 X\r\nRid: old\r\n\r\n',
    b'HTTP/1.1 103 X\r\n\r\n'
])
def test_answers_of_no_request_without_end_end_the_call(answer):
    """Answers of no request held the thread for as long as they came."""
    peer = peers.ScriptedPeer([[answer * 1000, complete_response('a')]])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        call = RecordingCall('a')
        pool.send(call)
        peers.run(loop, lambda: call.ended or call.failure is not None)
        assert pool.size == 0
    peer.close()
    assert (call.failure.sent, call.failure.fault) == (True,
                                                       outbound.Fault.INVALID)


def test_a_few_answers_of_no_request_are_skipped():
    """A request is lost by an answer that a peer repeats."""
    strays = complete_response('old') * outbound.MAX_STRAY_RESPONSES
    peer = peers.ScriptedPeer([[strays, complete_response('a')]])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=1.0)
        call = RecordingCall('a')
        pool.send(call)
        peers.run(loop, lambda: call.ended or call.failure is not None)
    peer.close()
    assert call.received == b'answer a'
