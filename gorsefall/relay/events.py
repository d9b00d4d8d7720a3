"""Splits server-sent event streams into complete events."""

import re

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_FIELD = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


class Splitter:
    """Buffers the bytes of a stream and returns complete events.

    A replica may fail in the middle of an event. Only complete events are
    forwarded, so that another replica can continue after the last one without
    an event whose bytes come from two different runs.

    Attributes:
        last_id: Id of the last complete event, as sent; None before the first.
        partial: Bytes of the incomplete event at the end.
        completed: Number of events completed by the last call of ``feed``.
        count: Number of complete events.
    """

    def __init__(self):
        self.last_id = None
        self.partial = b''
        self.completed = self.count = 0

    def feed(self, data):
        """Adds ``data``; returns the bytes of the events it completes."""
        buf = self.partial + data
        end = self.completed = 0
        for match in _EVENT_END.finditer(buf):
            end = match.end()
            self.completed += 1
        self.count += self.completed
        complete, self.partial = buf[:end], buf[end:]
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1]
        return complete
