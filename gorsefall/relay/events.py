"""Splits server-sent event streams into complete events."""

import re

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_FIELD = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
_NUMBER = re.compile(rb'[0-9]{1,18}')

LONGEST_END_BYTES = 4
"""Length of the longest end of an event, bytes."""

MAX_EVENT_BYTES = 1 << 20
"""Longest event, bytes; an event carries some tokens. A replica in trouble may
send bytes without end that are no events."""


class Splitter:
    """Buffers the bytes of a stream and returns complete events.

    A replica may fail in the middle of an event. Only complete events are
    forwarded, so that another replica can continue after the last one without
    an event whose bytes come from two different runs. Events with which that
    replica repeats what was forwarded before are left out.

    Attributes:
        last_id: Id of the last complete event, as sent; None before the first.
        partial: The incomplete event at the end, bytes.
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
        self._partial = bytearray()
        self.completed = self.count = 0

    @property
    def partial(self):
        """See the class."""
        return bytes(self._partial)

    @property
    def overflows(self):
        """Whether the incomplete event is too long to be one."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data):
        """Adds ``data``; returns the bytes of the events it completes."""
        searched = max(0, len(self._partial) - LONGEST_END_BYTES + 1)
        self._partial += data
        self.completed = 0
        if _EVENT_END.search(self._partial, searched) is None:
            return b''
        buf = bytes(self._partial)
        start, end = self._find_new(buf)
        self.count += self.completed
        complete, self._partial = buf[start:end], bytearray(buf[end:])
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1]
        return complete

    def _find_new(self, buf):
        """Counts the events; returns where the new ones begin and end."""
        if self._after is None:
            pieces = _EVENT_END.split(buf)
            self.completed = len(pieces) - 1
            return 0, len(buf) - len(pieces[-1])
        start = end = 0
        for match in _EVENT_END.finditer(buf):
            if self._is_repeated(buf[end:match.end()]):
                start = match.end()
            end = match.end()
            self.completed += 1
        return start, end

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
