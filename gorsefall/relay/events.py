"""Event streams, cut into whole events."""

import re

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


class Splitter:
    """Collects bytes of a stream and gives back whole events.

    A replica may stop in the middle of an event. Passing on only whole
    events lets another replica go on after the last one without a piece
    that is half from one run and half from the other.

    Attributes:
        last_id: Id of the last whole event, as sent; None before any.
        rest: Bytes of the event that is not whole yet.
        whole: Events that became whole with the last bytes.
    """

    def __init__(self):
        self.last_id = None
        self.partial = b''
        self.completed = 0

    def feed(self, data):
        """Returns the bytes that are whole events by now."""
        buf = self.partial + data
        end = self.completed = 0
        for match in _END.finditer(buf):
            end = match.end()
            self.completed += 1
        whole, self.partial = buf[:end], buf[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole
