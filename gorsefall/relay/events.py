"""Splits server-sent event streams into complete events."""

import re

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_FIELD = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
_NUMBER = re.compile(rb'[0-9]{1,18}')


class Splitter:
    """Buffers the bytes of a stream and returns complete events.

    A replica may fail in the middle of an event. Only complete events are
    forwarded, so that another replica can continue after the last one without
    an event whose bytes come from two different runs. Events with which that
    replica repeats what was forwarded before are left out.

    Attributes:
        last_id: Id of the last complete event, as sent; None before the first.
        partial: Bytes of the incomplete event at the end.
        completed: Number of events completed by the last call of ``feed``.
        count: Number of complete events, with those left out.
    """

    def __init__(self, after=None):
        """Creates a splitter without bytes.

        Args:
            after: Id of the event after which the stream goes on, bytes; None
                for a stream from its beginning.
        """
        self._after = _number(after)
        self.last_id = None
        self.partial = b''
        self.completed = self.count = 0

    def feed(self, data):
        """Adds ``data``; returns the bytes of the events it completes."""
        buf = self.partial + data
        start = end = self.completed = 0
        for match in _EVENT_END.finditer(buf):
            if self._is_repeated(buf[end:match.end()]):
                start = match.end()
            end = match.end()
            self.completed += 1
        self.count += self.completed
        complete, self.partial = buf[start:end], buf[end:]
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1]
        return complete

    def _is_repeated(self, event):
        """Returns whether the stream had ``event`` before it went on."""
        if self._after is None:
            return False
        ids = _ID_FIELD.findall(event)
        number = _number(ids[-1]) if ids else None
        if number is None:
            return False
        if number > self._after:
            self._after = None
            return False
        return True


def _number(event_id):
    """Returns the number that an id is; None if it is none."""
    if event_id is None or _NUMBER.fullmatch(event_id) is None:
        return None
    return int(event_id)
