"""How the log service's calls are spelled, for every client of ours."""

import msgspec

from gorsefall import errors
from gorsefall import messages

OK_STATUS = 200
GONE_STATUS = 410
BUSY_STATUS = 429


def append_path(stream):
    """Returns the path that records are appended to."""
    return f'/streams/{stream}/append'


def read_path(stream, start, limit):
    """Returns the path that gives ``limit`` records from ``start`` on."""
    return f'/streams/{stream}/read?start={start}&limit={limit}'


def decode_page(status, obj, exc=None):
    """Returns the ``messages.StreamPage`` of an answer to a read.

    Args:
        status: Its HTTP status, None without an answer.
        obj: Its decoded body.
        exc: Why there is no whole answer, or None.

    Raises:
        errors.LogServiceError: It is no page.
    """
    if exc is not None or status not in (OK_STATUS, GONE_STATUS):
        raise errors.LogServiceError(f'status {status}: {exc or obj}')
    try:
        found = msgspec.convert(obj, messages.StreamPage)
    except msgspec.ValidationError as bad:
        raise errors.LogServiceError(f'unreadable answer: {bad}') from bad
    found.expired = status == GONE_STATUS
    return found
