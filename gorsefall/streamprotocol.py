"""Paths, statuses and responses of the log service's HTTP interface.

Shared by the blocking client and the entries' event-driven client.
"""

import msgspec

from gorsefall import errors
from gorsefall import messages

OK_STATUS = 200
GONE_STATUS = 410
BUSY_STATUS = 429


def append_path(stream):
    """Returns the path for appending records."""
    return f'/streams/{stream}/append'


def read_path(stream, start, limit):
    """Returns the path for reading ``limit`` records from ``start`` on."""
    return f'/streams/{stream}/read?start={start}&limit={limit}'


def decode_page(status, obj, exc=None):
    """Returns the ``messages.StreamPage`` in the response to a read.

    Args:
        status: HTTP status; None if there was no response.
        obj: Decoded body.
        exc: Why the response is missing or incomplete, or None.

    Raises:
        errors.LogServiceError: The response contains no valid page.
    """
    if exc is not None or status not in (OK_STATUS, GONE_STATUS):
        raise errors.LogServiceError(f'status {status}: {exc or obj}')
    try:
        page = msgspec.convert(obj, messages.StreamPage)
    except msgspec.ValidationError as cause:
        raise errors.LogServiceError(f'unreadable answer: {cause}') from cause
    page.expired = status == GONE_STATUS
    return page
