"""Delivers a response to its caller: buffered until complete, or streamed."""

from gorsefall.relay import events

MAX_BUFFERED_BYTES = 4 << 20
"""Maximum size of a response that isn't a stream, the same as the default
limit for request bodies. Such a response is buffered until it is complete, so
that another replica can still be tried if the first one fails midway."""


class Delivery:
    """Forwards the responses of a request's attempts to its caller.

    Attributes:
        streaming: Whether the current response is forwarded as it arrives.
    """

    def __init__(self, codec, writer):
        """Creates a delivery that has sent nothing.

        Args:
            codec: The ``codec.Codec`` of the wire.
            writer: The ``inbound.ResponseWriter`` of the caller.
        """
        self._codec = codec
        self._writer = writer
        self._response = None
        self._chunks = []
        self._size = 0
        self._splitter = None
        self.streaming = False

    @property
    def started(self):
        """Whether the caller has received part of a response."""
        return self._writer.started

    @property
    def resuming(self):
        """Whether a stream was started, which a retry can only continue."""
        return self._splitter is not None

    @property
    def last_event_id(self):
        """Id of the last event forwarded, bytes; None before the first."""
        return self._splitter.last_id if self._splitter else None

    def begin(self, response, *, streams):
        """Starts to handle a response of a replica.

        Args:
            response: The ``model.Response``.
            streams: Whether a successful response is an event stream.
        """
        self._response = response
        self.streaming = streams and response.success and response.genuine
        if self.streaming:
            # Once a stream was started, only more of its events can follow.
            self._splitter = self._splitter or events.Splitter()
            self._splitter.partial = b''

    @property
    def event_count(self):
        """Number of events completed by the last piece of the stream."""
        return self._splitter.completed

    def buffer(self, data):
        """Buffers a piece of the body; returns False if it gets too large."""
        self._chunks.append(data)
        self._size += len(data)
        return self._size <= MAX_BUFFERED_BYTES

    def split_events(self, data):
        """Adds a piece of a stream; returns the events it completes, bytes."""
        return self._splitter.feed(data)

    def forward(self, data):
        """Sends part of a stream; returns whether the caller keeps up."""
        self._start()
        return self._writer.write(data)

    def _start(self):
        if not self._writer.started:
            self._writer.start(self._response.status,
                               self._codec.encode_response(self._response))

    def end(self):
        """Ends a complete stream; sends any bytes left after its last event."""
        self._start()
        if self._splitter.partial:
            self._writer.write(self._splitter.partial)
        self._writer.end()

    def send_buffered(self, response):
        """Sends a buffered response."""
        self._writer.send(response.status,
                          self._codec.encode_response(response),
                          b''.join(self._chunks))

    def discard(self):
        """Drops what is buffered of a failed response."""
        self._response = None
        self.streaming = False
        self._chunks.clear()
        self._size = 0

    def send_error(self, status, fields, body):
        """Sends an error response of this entry."""
        self._writer.send(status, fields, body)

    def abort(self):
        """Closes the connection so that the response can't look complete."""
        self._writer.abort()
