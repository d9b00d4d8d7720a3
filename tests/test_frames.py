"""Frames on a byte stream."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.net import frames


@given(st.lists(st.binary(max_size=40), max_size=8), st.integers(1, 7))
def test_frames_survive_any_split(payloads, piece):
    """A message is lost or joined to the next one."""
    data = b''.join(map(frames.encode, payloads))
    reader = frames.Reader()
    received = []
    for i in range(0, len(data), piece):
        received += reader.feed(data[i:i + piece])
    assert received == payloads


def test_a_frame_that_is_too_long_is_refused():
    """A faulty process fills the memory of an entry."""
    with pytest.raises(errors.FrameError):
        frames.Reader().feed(b'\xff\xff\xff\xff')
