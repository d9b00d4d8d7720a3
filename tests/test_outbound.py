"""Kept channels against peers that answer late, twice, cut or spoilt."""

import socket

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import peers
from gorsefall.net import outbound

_FAULTS = ('whole', 'chunked', 'other first', 'twice', 'cut', 'garbage',
           'extra bytes', 'to the end', 'asks to close')


def head(rid, *fields):
    lines = ('HTTP/1.1 200 OK', f'Rid: {rid}', *fields)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def whole(rid, *fields):
    body = f'answer {rid}'.encode()
    return head(rid, f'Content-Length: {len(body)}', *fields) + body


def script(fault, rid):
    """Returns the pieces that a peer with ``fault`` sends for ``rid``."""
    body = f'answer {rid}'.encode()
    return {
        'whole': [whole(rid)],
        'chunked': [
            head(rid, 'Transfer-Encoding: chunked'),
            b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        ],
        'other first': [whole('old'), whole(rid)],
        'twice': [whole(rid), whole(rid)],
        'cut': [whole(rid)[:-2], None],
        'garbage': [b'\x01\x02 nothing\r\n\r\n', None],
        'extra bytes': [whole(rid) + b'more'],
        'to the end': [head(rid) + body, None],
        'asks to close': [whole(rid, 'Connection: close')],
    }[fault]


class Call(outbound.Call):
    """Remembers what came of it."""

    def __init__(self, rid):
        super().__init__(b'GET', b'/', [(b'Host', b'x')])
        self.rid = rid.encode()
        self.body = b''
        self.got = b''
        self.ended = False
        self.failure = None

    def matches_response(self, status, fields):
        return fields.by_name[b'rid'] == self.rid

    def on_data(self, data):
        self.got += data

    def on_end(self):
        self.ended = True

    def on_fail(self, failure):
        self.failure = failure


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(_FAULTS), min_size=1, max_size=12))
def test_each_call_gets_its_own_whole_answer_or_fails(faults):
    """One caller's answer at another.

    Symptom: a caller gets the answer of an earlier request. Sequence: a peer
    answers twice, late, or sends more than it announced, and the channel is
    used again. Cause: the next bytes were taken for the next answer.
    The oracle knows which faults leave a whole answer.
    """
    rids = [f'r{i}' for i in range(len(faults))]
    peer = peers.ScriptedPeer(
        [script(f, rid) for f, rid in zip(faults, rids, strict=True)])
    with peers.loop() as loop:
        pool = outbound.Pool(loop, peer.addr, max_size=4, connect_timeout_s=5.0)
        for fault, rid in zip(faults, rids, strict=True):
            call = Call(rid)
            pool.send(call)
            peers.run(loop, lambda c=call: c.ended or c.failure)
            if fault in ('cut', 'garbage'):
                assert call.failure.sent
            else:
                assert call.ended, call.failure
                assert call.got == f'answer {rid}'.encode()
        pool.close()
        assert pool.size == 0
    peer.close()


def test_a_refused_connection_was_not_sent():
    """Only what never left may be told as not run."""
    peer = peers.ScriptedPeer([])
    peer.close()
    with peers.loop() as loop:
        call = Call('r')
        pool = outbound.Pool(loop, peer.addr, max_size=1, connect_timeout_s=5.0)
        pool.send(call)
        peers.run(loop, lambda: call.failure)
        assert not call.failure.sent
        assert pool.size == 0


def test_a_connection_that_is_never_made_fails_in_time():
    """Silent peer: a full queue or a partition shows no error."""
    sock = socket.socket()
    sock.bind(('127.0.0.1', 0))
    sock.listen(0)
    full = [socket.socket() for _ in range(4)]
    for other in full:
        other.setblocking(False)
        other.connect_ex(sock.getsockname())
    with peers.loop() as loop:
        call = Call('r')
        outbound.Pool(loop,
                      sock.getsockname(),
                      max_size=1,
                      connect_timeout_s=0.2).send(call)
        peers.run(loop, lambda: call.failure)
        assert not call.failure.sent
    for other in (*full, sock):
        other.close()
