"""Streams on shared connections: each call gets its own pieces, in order."""

import dataclasses
import re

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import forwarding_site
import peers
from gorsefall.net import outbound
from gorsefall.standins import acceptor

EVENT_COUNT = 6
PADDING_BYTES = 3000
"""Bytes of an event, so that a stream spans several reads."""

MAX_CONNECTIONS = 50
TIMEOUT_S = 5.0


def _stream(number):
    return b''.join(b'id: %d\ndata: of %d %s\n\n' %
                    (i, number, b'x' * PADDING_BYTES)
                    for i in range(1, EVENT_COUNT + 1))


@dataclasses.dataclass(frozen=True)
class Plan:
    """What happens to one call.

    Attributes:
        end: How its replica ends the stream.
        piece_bytes: Bytes that its replica sends at once.
        forwarded: Whether another entry forwards it.
        pauses: Whether its caller is slow: each piece pauses it.
        afterwards: What its caller has it do once it has ended, if the end of
            its connection ended it.
        follows: Whether it is sent only once the call before has ended.
    """
    end: str = 'chunked'
    piece_bytes: int = 1000
    forwarded: bool = False
    pauses: bool = False
    afterwards: str = 'resume'
    follows: bool = False


_PLANS = st.builds(Plan,
                   end=st.sampled_from(
                       ['chunked', 'length', 'unframed', 'cut', 'late first']),
                   piece_bytes=st.sampled_from([100, 1000, 10000, 10**6]),
                   forwarded=st.booleans(),
                   pauses=st.booleans(),
                   afterwards=st.sampled_from(['cancel', 'pause', 'resume']),
                   follows=st.booleans())


class _Replica(acceptor.Acceptor):
    """Sends the stream that a request's path names, as its plan says."""

    def __init__(self, plans):
        self._plans = plans
        super().__init__()

    def serve_connection(self, sock):
        while data := sock.recv(65536):
            number = int(re.match(rb'POST /(\d+) ', data)[1])
            plan = self._plans[number]
            response = _response(plan.end, number)
            for i in range(0, len(response), plan.piece_bytes):
                sock.sendall(response[i:i + plan.piece_bytes])
            if plan.end in ('unframed', 'cut'):
                return


def _head(number, *fields):
    lines = (b'HTTP/1.1 200 OK', b'Rid: %d' % number, b'Keep-Alive: timeout=9',
             *fields)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def _response(end, number):
    body = _stream(number)
    with_length = _head(number, b'Content-Length: %d' % len(body)) + body
    if end == 'length':
        return with_length
    if end == 'unframed':
        return _head(number) + body
    if end == 'late first':
        return _head(number + 1, b'Content-Length: 4') + b'late' + with_length
    chunked = (_head(number, b'Transfer-Encoding: chunked') +
               b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body))
    return chunked if end == 'chunked' else chunked[:-PADDING_BYTES]


class _Call(forwarding_site.Call):
    """A call of a caller that may be slow."""

    def __init__(self, number, plan):
        super().__init__(str(number))
        self.target = b'/%d' % number
        self.number = number
        self.plan = plan
        self.conn = None
        self.paused = False

    def matches_response(self, status, fields):
        return fields.by_name[b'rid'] == self.request_id.encode()

    def on_data(self, data):
        super().on_data(data)
        if self.plan.pauses:
            self.paused = True
            self.conn.pause()

    def catch_up(self):
        """Has the caller read what it has got, until the response has ended."""
        if self.paused and not self.done:
            self.paused = False
            self.conn.resume()


def _send(site, number, plan):
    call = _Call(number, plan)
    call.conn = (site.send(call)
                 if plan.forwarded else site.replica.pool.send(call))
    return call


def _run_until_done(loop, calls):

    def all_done():
        for call in calls:
            call.catch_up()
        return all(c.done for c in calls)

    peers.run(loop, all_done, TIMEOUT_S)


def _play(loop, site, plans):
    """Sends the calls of all plans; returns them when they have ended."""
    calls = []
    for number, plan in enumerate(plans):
        if plan.follows:
            _run_until_done(loop, calls)
        calls.append(_send(site, number, plan))
        if plan.follows and number:
            _act_late(calls[number - 1])
    _run_until_done(loop, calls)
    return calls


def _act_late(call):
    """Has a call that has ended do what its exchange may still do then."""
    if call.ended and call.ending is outbound.Ending.CLOSED:
        getattr(call.conn, call.plan.afterwards)()


@settings(deadline=None, max_examples=60)
@given(st.lists(_PLANS, min_size=1, max_size=8))
@example([Plan(piece_bytes=10**6, pauses=True), Plan(follows=True)])
@example([
    Plan('unframed', forwarded=True, afterwards='cancel'),
    Plan(forwarded=True, follows=True)
])
def test_each_call_gets_the_pieces_of_its_own_stream_once(plans):
    """A piece is missing, comes twice or is another stream's, as calls follow
    each other on connections and channels between entries."""
    replica = _Replica(plans)
    with (peers.loop() as loop, forwarding_site.site(loop, replica.address) as
          site):
        site.replica.pool = outbound.Pool(loop,
                                          replica.address,
                                          max_size=MAX_CONNECTIONS,
                                          connect_timeout_s=TIMEOUT_S)
        calls = _play(loop, site, plans)
        site.replica.pool.close()
    replica.close()
    for call in calls:
        body = _stream(call.number)
        if call.plan.end == 'cut':
            assert call.failure.fault is outbound.Fault.LOST
            assert body.startswith(call.received)
        else:
            assert call.ended, call.failure
            assert call.received == body
