"""Frames on a byte stream: a length of four bytes, then that many bytes."""

import struct

from gorsefall import errors

MAX_FRAME_BYTES = 16 << 20
"""Longest frame, bytes: a request with the largest body that settings allow
and its head fit."""

_LENGTH = struct.Struct('>I')


def encode(payload):
    """Returns the bytes of a frame."""
    return _LENGTH.pack(len(payload)) + payload


class Reader:
    """Splits the bytes that arrive into frames."""

    def __init__(self):
        self._buffer = bytearray()

    @property
    def pending_bytes(self):
        """Size of a frame that is incomplete so far, bytes."""
        return len(self._buffer)

    def feed(self, data):
        """Adds bytes; returns the payloads of the frames they complete.

        Raises:
            errors.FrameError: A frame is too long.
        """
        self._buffer += data
        payloads = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer, start)
            if size > MAX_FRAME_BYTES:
                raise errors.FrameError(f'a frame of {size} bytes')
            end = start + _LENGTH.size + size
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[start + _LENGTH.size:end]))
            start = end
        del self._buffer[:start]
        return payloads
