"""Decoders of what comes from outside the process; each fails in one way.

``msgspec`` raises an error of its own for most of what it cannot decode, and
``RecursionError`` for values that are nested deeply, also in fields that it
only skips. Whoever reads many values that others wrote has to go on after any
of them.
"""

import typing

import msgspec

from gorsefall import errors

_FAILURES = (ValueError, TypeError, OverflowError, RecursionError)
"""What decoding raises; ``msgspec.DecodeError`` is a ``ValueError``."""


class Decoder:
    """Decodes bytes of one type."""

    def __init__(self, decoder):
        """Creates a decoder.

        Args:
            decoder: A decoder of ``msgspec``.
        """
        self._decode = decoder.decode

    def decode(self, data):
        """Returns the decoded value.

        Raises:
            errors.UndecodableError: It cannot be decoded.
        """
        try:
            return self._decode(data)
        except _FAILURES as exc:
            raise errors.UndecodableError(str(exc)) from exc


def json_decoder(kind=typing.Any):
    """Returns a ``Decoder`` of JSON that holds a value of type ``kind``."""
    return Decoder(msgspec.json.Decoder(kind))


def msgpack_decoder(kind=typing.Any):
    """Returns a ``Decoder`` of msgpack that holds a value of type ``kind``."""
    return Decoder(msgspec.msgpack.Decoder(kind))
