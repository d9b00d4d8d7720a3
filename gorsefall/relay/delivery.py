"""An answer's way to its caller: held until whole, or passed on by events."""

from gorsefall.relay import events

MAX_BUFFERED_BYTES = 4 << 20
"""Longest answer that is no stream, bytes: it is held back until it is whole,
so that another replica can still be asked. As much as callers may send."""


class Delivery:
    """What of a request's answers the caller got, and what is held back.

    Attributes:
        streaming: Whether the answer that came last is passed on as it comes.
    """

    def __init__(self, codec, reply):
        """Creates a delivery of which nothing is on its way.

        Args:
            codec: The ``codec.Codec`` of the wire.
            reply: The ``inbound.ResponseWriter`` to the caller.
        """
        self._codec = codec
        self._reply = reply
        self._answer = None
        self._held = []
        self._size = 0
        self._splitter = None
        self.streaming = False

    @property
    def started(self):
        """Whether the caller got part of an answer."""
        return self._reply.started

    @property
    def resuming(self):
        """Whether a stream was begun, so that only its rest is of use."""
        return self._splitter is not None

    @property
    def last_event_id(self):
        """Id of the last event passed on, bytes; None before any."""
        return self._splitter.last_id if self._splitter else None

    def begin(self, answer, *, streams):
        """Notes the head of an answer.

        Args:
            answer: The ``model.Response``.
            streams: Whether a success comes as a stream of events.
        """
        self._answer = answer
        self.streaming = streams and answer.success and answer.genuine
        if self.streaming:
            # The rest of a stream that has begun can only be more events.
            self._splitter = self._splitter or events.Splitter()
            self._splitter.partial = b''

    @property
    def event_count(self):
        """How many events became whole with the last piece of a stream."""
        return self._splitter.completed

    def buffer(self, data):
        """Keeps part of an answer; returns whether it is not too long."""
        self._held.append(data)
        self._size += len(data)
        return self._size <= MAX_BUFFERED_BYTES

    def split_events(self, data):
        """Returns what of a stream is whole events by now."""
        return self._splitter.feed(data)

    def forward(self, data):
        """Sends part of a stream; returns whether the caller keeps up."""
        self._begin()
        return self._reply.write(data)

    def _begin(self):
        if not self._reply.started:
            self._reply.start(self._answer.status,
                              self._codec.encode_response(self._answer))

    def end(self):
        """Ends a stream that is whole."""
        self._begin()
        if self._splitter.partial:
            self._reply.write(self._splitter.partial)
        self._reply.end()

    def send_buffered(self, answer):
        """Sends an answer that was held back."""
        self._reply.send(answer.status, self._codec.encode_response(answer),
                         b''.join(self._held))

    def discard(self):
        """Forgets what is held of an answer that failed."""
        self._answer = None
        self.streaming = False
        self._held.clear()
        self._size = 0

    def send_error(self, status, fields, body):
        """Sends an answer of our own."""
        self._reply.send(status, fields, body)

    def abort(self):
        """Ends what was begun so that nobody takes it for whole."""
        self._reply.abort()
