"""Link calls to peers that close, stay silent or truncate their response."""

import contextlib
import dataclasses

import pytest

import peers
from gorsefall.net import links

COMPLETE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}\r\n'


@dataclasses.dataclass
class CallOutcome:
    """The callbacks that a call made."""
    heads: list = dataclasses.field(default_factory=list)
    body: bytes = b''
    ends: list = dataclasses.field(default_factory=list)

    def add_data(self, data):
        self.body += data


@contextlib.contextmanager
def scripted_call(script, idle_s=2.0):
    """Calls a peer that sends ``script``; yields loop, call and outcome."""
    peer = peers.ScriptedPeer([script])
    outcome = CallOutcome()
    with peers.loop() as loop:
        call = links.Call(loop,
                          peer.addr,
                          'POST',
                          '/load', {'a': 1},
                          on_head=outcome.heads.append,
                          on_data=outcome.add_data,
                          on_end=outcome.ends.append,
                          idle_s=idle_s)
        call.begin(links.ConnectionPools(loop).pool(peer.addr))
        yield loop, call, outcome
    peer.close()


def test_complete_response():
    with scripted_call([COMPLETE_RESPONSE]) as (loop, call, outcome):
        peers.run(loop, lambda: outcome.ends)
        assert (outcome.heads, outcome.body, outcome.ends) == ([200], b'{}\r\n',
                                                               [None])
        assert call.sent and call.status == 200


@pytest.mark.parametrize('script', [
    [b'HTTP/1.1 200 OK\r\n\r\n{}', None],
    [COMPLETE_RESPONSE[:-2], None],
    [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n', None],
    [None],
    [b'no HTTP at all\r\n\r\n'],
])
def test_truncated_response_fails(script):
    """A caller gets a 200 with half a body.

    The peer exits while it sends its response, and the end of the connection
    is treated as the end of the response.
    """
    with scripted_call(script) as (loop, call, outcome):
        peers.run(loop, lambda: outcome.ends)
        assert len(outcome.ends) == 1 and outcome.ends[0] is not None
        assert call.sent


def test_silent_peer_fails_the_call():
    """A connection that a device on the path has dropped shows no error."""
    with scripted_call([b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'],
                       idle_s=0.2) as (loop, call, outcome):
        peers.run(loop, lambda: outcome.ends)
        assert 'silent' in str(outcome.ends[0]) and call.sent


def test_slow_response_does_not_fail():
    pieces = [b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n'] + [b'x'] * 400
    with scripted_call(pieces, idle_s=0.2) as (loop, _, outcome):
        peers.run(loop, lambda: outcome.ends)
        assert outcome.ends == [None]


def test_refused_connection_counts_as_not_sent():
    """Only a request that was never sent may be reported as not run."""
    peer = peers.ScriptedPeer([])
    peer.close()
    outcome = CallOutcome()
    with peers.loop() as loop:
        call = links.Call(loop,
                          peer.addr,
                          'GET',
                          '/load',
                          None,
                          on_head=None,
                          on_data=None,
                          on_end=outcome.ends.append,
                          idle_s=2.0)
        call.begin(links.ConnectionPools(loop).pool(peer.addr))
        assert not outcome.ends
        peers.run(loop, lambda: outcome.ends)
        assert not call.sent


def test_no_callback_after_cancel():
    with scripted_call([COMPLETE_RESPONSE]) as (loop, call, outcome):
        call.cancel()
        for _ in range(20):
            loop.step(0.005)
        assert not outcome.heads and not outcome.ends


def test_periodic_callback_continues_after_an_exception():
    """An entry stops reading its catalogue after one call has raised.

    This happens if the next call is scheduled only after the current one.
    """
    calls = []

    def task():
        calls.append(1)
        raise ValueError('once')

    with peers.loop() as loop:
        loop.call_every(0.005, task)
        peers.run(loop, lambda: len(calls) > 2)
