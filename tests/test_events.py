"""Event streams that are split into events, as they go on from another run."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gorsefall.relay import events


def _event(number):
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def _feed_all(splitter, stream, piece_bytes):
    return b''.join(
        splitter.feed(stream[i:i + piece_bytes])
        for i in range(0, len(stream), piece_bytes))


@given(st.integers(1, 12), st.integers(0, 12), st.integers(1, 60))
def test_events_up_to_the_one_that_was_forwarded_are_left_out(
        first, after, piece_bytes):
    """A caller gets events twice, as a run that goes on repeats them."""
    stream = b''.join(map(_event, range(first, 13)))
    splitter = events.Splitter(after=b'%d' % after)
    out = _feed_all(splitter, stream, piece_bytes)
    kept = range(max(first, after + 1), 13)
    assert out == b''.join(map(_event, kept))
    assert splitter.last_id == (b'12' if kept else None)
    assert splitter.count == 13 - first


@pytest.mark.parametrize('after', [None, b'x7', b'', b'1' * 5000])
@pytest.mark.parametrize('first_id', [b'x7', b'1' * 5000, b'', b'7'])
def test_ids_that_do_not_tell_an_order_leave_out_nothing(after, first_id):
    """An event is lost, or its stream fails, as its id is no number."""
    stream = b'id: ' + first_id + b'\ndata: x\n\ndata: y\n\n'
    assert events.Splitter(after=after).feed(stream) == stream


def test_only_the_beginning_of_a_run_is_left_out():
    """An event is lost whose id does not grow, in a run that has gone on."""
    splitter = events.Splitter(after=b'2')
    stream = b''.join(map(_event, [2, 3, 1]))
    assert splitter.feed(stream) == _event(3) + _event(1)


def test_a_comment_before_the_first_event_is_kept():
    """A sign of life of a replica is lost."""
    splitter = events.Splitter(after=b'2')
    assert splitter.feed(b': ping\n\n') == b': ping\n\n'
    assert splitter.feed(_event(2) + _event(3)) == _event(3)


_PIECES = st.lists(st.sampled_from(
    [b'\n', b'\r', b'\r\n', b'a', b'id: 1', b'\n\n', b'\r\n\r\n', b'\r\r']),
                   max_size=40)


@given(_PIECES, st.integers(1, 5), st.sampled_from([None, b'0']))
def test_events_do_not_depend_on_how_their_bytes_arrive(pieces, size, after):
    """An event is cut or joined with the next one where a piece ends in it."""
    stream = b''.join(pieces)
    ends = [m.end() for m in events._EVENT_END.finditer(stream)]
    # A CR may be the first half of a CRLF that is still to come.
    splitter = events.Splitter(after=after)
    out, count = b'', 0
    for i in range(0, len(stream), size):
        out += splitter.feed(stream[i:i + size])
        count += splitter.completed
    assert out + splitter.partial == stream
    whole = events.Splitter(after=after)
    assert whole.feed(stream) == stream[:ends[-1] if ends else 0]
    assert whole.completed == len(ends)
    assert splitter.count == count


def test_bytes_without_end_are_no_event():
    """A replica in trouble sends bytes that are no events, without end; all of
    them are kept, and searched anew with each piece."""
    splitter = events.Splitter()
    piece = b'x' * 65536
    for i in range(1, 40):
        assert not splitter.feed(piece)
        assert splitter.overflows == (i * len(piece) > events.MAX_EVENT_BYTES)


def test_a_long_event_is_an_event():
    """A sound event is refused, as it is longer than usual."""
    splitter = events.Splitter()
    event = b'data: ' + b'x' * (events.MAX_EVENT_BYTES // 2) + b'\n\n'
    assert _feed_all(splitter, event, 65536) == event
    assert not splitter.overflows
