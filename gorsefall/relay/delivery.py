"""Delivers a response to its caller: buffered until complete, or streamed."""

import dataclasses

from gorsefall.relay import events
from gorsefall.relay import memory
from gorsefall.relay import model

MAX_BUFFERED_BYTES = 4 << 20
"""Maximum size of a response that isn't a stream, the same as the default
limit for request bodies. Such a response is buffered until it is complete, so
that another replica can still be tried if the first one fails midway."""


@dataclasses.dataclass
class PartialResponse:
    """What was received of the response to one attempt.

    Attributes:
        response: Its ``model.Response``; None before its head.
        splitter: The ``events.Splitter`` of its body if that is forwarded as it
            arrives, else None.
        chunks: The buffered pieces of its body, if it isn't forwarded.
        size: Their size, bytes.
        hold: The ``memory.Hold`` of the buffered body; None before its head.
    """
    response: model.Response | None = None
    splitter: events.Splitter | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    hold: memory.Hold | None = None


class Delivery:
    """Forwards the responses of a request's attempts to its caller.

    Attributes:
        resuming: Whether a stream was started, which a retry can only continue.
        last_event_id: Id of the last event forwarded, bytes; None before the
            first.
    """

    def __init__(self, codec, writer, new_hold):
        """Creates a delivery that has sent nothing.

        Args:
            codec: The ``codec.Codec`` of the wire.
            writer: The ``responsewriter.ResponseWriter`` of the caller.
            new_hold: Returns a ``memory.Hold`` of nothing yet.
        """
        self._new_hold = new_hold
        self._holds = []
        self._codec = codec
        self._writer = writer
        self._part = PartialResponse()
        self.resuming = False
        self.last_event_id = None

    @property
    def streaming(self):
        """Whether the current response is forwarded as it arrives."""
        return self._part.splitter is not None

    @property
    def started(self):
        """Whether the caller has received part of a response."""
        return self._writer.started

    def begin(self, response, *, streams):
        """Starts to handle a response of a replica.

        Args:
            response: The ``model.Response``.
            streams: Whether a successful response is an event stream.
        """
        self._part.response = response
        if streams and response.usable:
            # Once a stream was started, only more of its events can follow.
            self.resuming = True
            self._part.splitter = events.Splitter(after=self.last_event_id)
        else:
            self._part.hold = self._new_hold()
            self._holds.append(self._part.hold)

    @property
    def event_count(self):
        """Number of events completed by the last piece of the stream."""
        return self._part.splitter.completed

    @property
    def overflows(self):
        """Whether the stream has an event that is too long to be one."""
        return self._part.splitter.overflows

    def buffer(self, data):
        """Buffers a piece of the body."""
        self._part.chunks.append(data)
        self._part.size += len(data)

    def split_events(self, data):
        """Adds a piece of a stream; returns the events it completes, bytes."""
        splitter = self._part.splitter
        complete = splitter.feed(data)
        if splitter.last_id is not None:
            self.last_event_id = splitter.last_id
        return complete

    def forward(self, data):
        """Sends part of a stream; returns whether the caller keeps up."""
        self._start()
        return self._writer.write(data)

    def _start(self):
        if not self._writer.started:
            response = self._part.response
            self._writer.start(response.status,
                               self._codec.encode_response(response))

    def end(self):
        """Ends a whole stream; sends what follows its last event."""
        self._start()
        if self._part.splitter.partial:
            self._writer.write(self._part.splitter.partial)
        self._writer.end()

    def send_buffered(self, response):
        """Sends a buffered response."""
        self._writer.send_pieces(response.status,
                                 self._codec.encode_response(response),
                                 self._part.chunks)

    def discard(self):
        """Drops what is buffered of a failed response."""
        if self._part.hold is not None:
            self._part.hold.release()
        self._part = PartialResponse()

    def release(self):
        """Ends the holds of all that was buffered."""
        for hold in self._holds:
            hold.release()

    @property
    def part(self):
        """The ``PartialResponse`` of the current response."""
        return self._part

    def detach(self):
        """Sets the current response aside; returns its ``PartialResponse``."""
        part, self._part = self._part, PartialResponse()
        return part

    def reattach(self, part):
        """Goes on with a response that was set aside."""
        self._part = part

    def set_time_limit(self, time_left_s):
        """Sets how long the caller may take to read its response, s."""
        self._writer.set_time_limit(time_left_s)

    def send_error(self, status, fields, body):
        """Sends an error response of this entry."""
        self._writer.send(status, fields, body)

    def abort(self):
        """Closes the connection so that the response can't look complete."""
        self._writer.abort()
