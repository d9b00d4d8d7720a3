"""Which ends of event streams are whole, against another reading of them."""

import re

import hypothesis
import hypothesis.strategies as st
import pytest

from gorsefall.policy import streamend
from gorsefall.relay import events

WHOLE_ENDS = (b'', b'\n', b'\r', b' ', b'\n \n', b': bye', b':\n', b': bye\n',
              b'data: 4\n', b'id: 4\r\ndata: 4\r\n', b'data: 4\r\n\r',
              b'data: 4\n: bye', b'id: 4\ndata: a\ndata: b\n ')
BROKEN_ENDS = (b'i', b'id', b'id: 4', b'id: 4\n', b'id: 4\nda', b'data: pie',
               b'data: a\ndata', b'event: x\n', b': bye\nid: 4\n', b'data:')


@pytest.mark.parametrize('rest', WHOLE_ENDS)
def test_a_whole_stream_is_not_taken_for_broken(rest):
    """A replica ends its streams with comments, spaces, half of a line end."""
    assert not streamend.ends_inside_event(rest)


@pytest.mark.parametrize('rest', BROKEN_ENDS)
def test_a_stream_that_ends_inside_an_event_is_broken(rest):
    """A caller gets half an event of an answer that looks complete."""
    assert streamend.ends_inside_event(rest)


def test_a_stream_without_events_needs_its_framing():
    """A connection that ends before the first event looks like a whole one."""
    verdicts = [
        streamend.judge(rest,
                        has_events=False,
                        framed=framed,
                        declared=declared)
        for rest in (b'', b': comment\n\n')
        for declared in (None, True)
        for framed in (True, False)
    ]
    assert verdicts == 4 * [streamend.Verdict.WHOLE, streamend.Verdict.NO_EVENT]


@pytest.mark.parametrize('framed, declared, is_whole', [
    (True, None, True),
    (True, False, True),
    (False, False, True),
    (True, True, False),
    (False, None, False),
    (False, True, False),
])
def test_a_body_that_is_not_known_as_events_cannot_end_inside_one(
        framed, declared, is_whole):
    """An answer of another kind on a route of streams is broken off."""
    verdict = streamend.judge(b'{"text": "whole"}',
                              has_events=False,
                              framed=framed,
                              declared=declared)
    assert (verdict is streamend.Verdict.WHOLE) == is_whole
    assert streamend.judge(b'id: 3',
                           has_events=True,
                           framed=framed,
                           declared=declared) is streamend.Verdict.INSIDE_EVENT


_LINES = st.lists(st.sampled_from(
    (b'id: 7', b'data: some words', b'data', b'event: x', b': note', b' ')),
                  max_size=4)


def _oracle(rest):
    """Reads byte by byte: which fields are complete when the stream ends."""
    complete, line = set(), b''
    for byte in re.sub(rb'\r\n?', b'\n', rest):
        if byte != 0x0a:
            line += bytes([byte])
            continue
        if line.strip() and line[:1] != b':':
            complete.add(line.split(b':')[0])
        line = b''
    if line.strip() and line[:1] != b':':
        return True
    return complete != set() and b'data' not in complete


@hypothesis.given(lines=_LINES,
                  newline=st.sampled_from((b'\n', b'\r\n', b'\r')),
                  cut=st.integers(0, 60),
                  pieces=st.integers(1, 7))
def test_verdicts_against_a_reader_of_single_bytes(lines, newline, cut, pieces):
    """Any way of cutting a stream into pieces shows the same end."""
    stream = b'id: 1\ndata: x\n\n' + newline.join(lines + [b''])
    stream = stream[:len(stream) - min(cut, len(stream))]
    splitter = events.Splitter()
    for at in range(0, len(stream), pieces):
        splitter.feed(stream[at:at + pieces])
    assert streamend.ends_inside_event(splitter.partial) == _oracle(
        splitter.partial)
