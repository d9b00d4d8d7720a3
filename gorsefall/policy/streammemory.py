"""Remembers at which software version streams began."""

import collections
import typing

from gorsefall.policy import softwareversions

RETENTION_S = 30.0
"""Time for which a stream is remembered, s: longer than it lasts and its caller
may take it up."""

MAX_STREAMS = 16384
"""Most streams that are remembered: an entry that begins 16 a second and is
told of three times as many by others remembers 1,920."""


class BegunStream(typing.NamedTuple):
    """A stream that has begun.

    Attributes:
        origin: The ``softwareversions.Origin`` that began it.
        at: When this entry learned of it, s (monotonic).
        own: Whether this entry began it.
    """
    origin: softwareversions.Origin
    at: float
    own: bool


class StreamMemory:
    """The streams that began of late, by digest, in the order of learning."""

    def __init__(self):
        self._streams = collections.OrderedDict()

    def __len__(self):
        return len(self._streams)

    def put(self, digest, stream):
        """Remembers a ``BegunStream``, or remembers it for longer."""
        self._streams[digest] = stream
        self._streams.move_to_end(digest)
        self._expire(stream.at)

    def forget(self, digest):
        """Forgets a stream whose caller has all of it."""
        self._streams.pop(digest, None)

    def origin(self, digest, now):
        """Returns the origin of a stream; None if not known."""
        self._expire(now)
        stream = self._streams.get(digest)
        return stream.origin if stream is not None else None

    def own(self, service, now):
        """Returns ``(digest, BegunStream)`` of this entry's streams, a list."""
        self._expire(now)
        return [(digest, stream)
                for digest, stream in self._streams.items()
                if stream.own and stream.origin.service == service]

    def _expire(self, now):
        while self._streams:
            digest, stream = next(iter(self._streams.items()))
            if (now - stream.at <= RETENTION_S and
                    len(self._streams) <= MAX_STREAMS):
                return
            del self._streams[digest]
