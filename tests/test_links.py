"""Calls of the own wire to peers that end, stay silent or say too little."""

import contextlib
import dataclasses

import pytest

import peers
from gorsefall.net import links

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}\r\n'


@dataclasses.dataclass
class Outcome:
    """What the owner of a call was told."""
    heads: list = dataclasses.field(default_factory=list)
    body: bytes = b''
    ends: list = dataclasses.field(default_factory=list)

    def data(self, data):
        self.body += data


@contextlib.contextmanager
def calling(script, idle_s=2.0):
    """Calls a peer with ``script``; yields the loop, call and outcome."""
    peer = peers.ScriptedPeer([script])
    out = Outcome()
    with peers.loop() as loop:
        call = links.Call(loop,
                          peer.addr,
                          'POST',
                          '/load', {'a': 1},
                          on_head=out.heads.append,
                          on_data=out.data,
                          on_end=out.ends.append,
                          idle_s=idle_s)
        call.begin(links.ConnectionPools(loop).pool(peer.addr))
        yield loop, call, out
    peer.close()


def test_a_whole_reply():
    with calling([WHOLE]) as (loop, call, out):
        peers.run(loop, lambda: out.ends)
        assert (out.heads, out.body, out.ends) == ([200], b'{}\r\n', [None])
        assert call.sent and call.status == 200


@pytest.mark.parametrize('script', [
    [b'HTTP/1.1 200 OK\r\n\r\n{}', None],
    [WHOLE[:-2], None],
    [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n', None],
    [None],
    [b'no HTTP at all\r\n\r\n'],
])
def test_what_was_cut_is_no_reply(script):
    """Symptom: callers get a 200 with half a body. Sequence: the peer dies in
    the middle of its reply. Cause: the end of the connection was taken for
    the end of the reply."""
    with calling(script) as (loop, call, out):
        peers.run(loop, lambda: out.ends)
        assert len(out.ends) == 1 and out.ends[0] is not None
        assert call.sent


def test_a_peer_that_is_silent_is_given_up():
    """A connection that something between the ends lost track of shows no
    error of its own."""
    with calling([b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'],
                 idle_s=0.2) as (loop, call, out):
        peers.run(loop, lambda: out.ends)
        assert 'silent' in str(out.ends[0]) and call.sent


def test_one_that_goes_on_is_not():
    pieces = [b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n'] + [b'x'] * 400
    with calling(pieces, idle_s=0.2) as (loop, _, out):
        peers.run(loop, lambda: out.ends)
        assert out.ends == [None]


def test_a_refused_connection_was_not_sent():
    """Only what never left may be told as not run."""
    peer = peers.ScriptedPeer([])
    peer.close()
    out = Outcome()
    with peers.loop() as loop:
        call = links.Call(loop,
                          peer.addr,
                          'GET',
                          '/load',
                          None,
                          on_head=None,
                          on_data=None,
                          on_end=out.ends.append,
                          idle_s=2.0)
        call.begin(links.ConnectionPools(loop).pool(peer.addr))
        assert not out.ends
        peers.run(loop, lambda: out.ends)
        assert not call.sent


def test_nothing_is_told_after_a_cancel():
    with calling([WHOLE]) as (loop, call, out):
        call.cancel()
        for _ in range(20):
            loop.step(0.005)
        assert not out.heads and not out.ends


def test_a_task_that_fails_once_is_called_again():
    """Symptom: an entry never reads its catalogue again. Sequence: one call
    of the task raises. Cause: the next one was set after the call."""
    calls = []

    def task():
        calls.append(1)
        raise ValueError('once')

    with peers.loop() as loop:
        loop.call_every(0.005, task)
        peers.run(loop, lambda: len(calls) > 2)
