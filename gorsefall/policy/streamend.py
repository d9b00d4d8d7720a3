"""Decides whether an event stream that has ended is whole."""

import enum
import re

_LINE_END = re.compile(rb'\r\n|\n|\r')


class Verdict(enum.Enum):
    """What the end of a stream shows."""
    WHOLE = 'whole'
    INSIDE_EVENT = 'inside_event'
    """It was broken off inside an event."""
    NO_EVENT = 'no_event'
    """Its connection ended before its first event; nothing shows that the
    sender had nothing to say."""

    @property
    def reason(self):
        """What happened, for logs."""
        return _REASONS[self]


_REASONS = {
    Verdict.WHOLE: 'ended after an event',
    Verdict.INSIDE_EVENT: 'ended inside an event',
    Verdict.NO_EVENT: 'closed before its first event',
}


def judge(rest, *, has_events, framed, declared=None):
    """Returns the ``Verdict`` on a stream that has ended.

    Args:
        rest: The bytes after its last complete event.
        has_events: Whether it had a complete event.
        framed: Whether its end was marked by anything but the end of its
            connection.
        declared: Whether it is declared to be events; None if no type is
            declared.
    """
    # What is not known to be events cannot end inside one.
    is_other = declared is False or (declared is None and framed)
    if is_other and not has_events:
        return Verdict.WHOLE
    if ends_inside_event(rest):
        return Verdict.INSIDE_EVENT
    if not (framed or has_events or _fields(_lines(rest))):
        return Verdict.NO_EVENT
    return Verdict.WHOLE


def ends_inside_event(rest):
    """Returns whether ``rest``, at the end of a stream, is part of an event.

    It is not if the stream only lacks the empty line after its last event, or
    half of a line end, or ends with comments or spaces.

    Args:
        rest: The bytes after the last complete event.
    """
    *lines, last = _lines(rest)
    if _is_field(last):
        return True
    fields = _fields(lines)
    return bool(fields) and b'data' not in fields


def _lines(rest):
    return _LINE_END.split(rest)


def _is_field(line):
    return bool(line.strip()) and not line.startswith(b':')


def _fields(lines):
    """Returns the names of the fields in complete lines."""
    return {line.partition(b':')[0] for line in lines if _is_field(line)}
