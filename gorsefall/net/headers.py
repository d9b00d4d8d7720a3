"""HTTP header fields, in order and by name."""

import datetime
import email.utils
import http
import math
import typing


class Headers(typing.NamedTuple):
    """Header fields in order, as received.

    Attributes:
        items: ``(name, value)`` bytes; names keep their case.
        by_name: Lowercase name -> the first value of that name.
    """
    items: list[tuple[bytes, bytes]]
    by_name: dict[bytes, bytes]


STATUSES_WITHOUT_BODY = (http.HTTPStatus.NO_CONTENT,
                         http.HTTPStatus.NOT_MODIFIED)
"""Statuses of responses that have no body, whatever their header says."""


def parse_retry_after(value, now):
    """Returns the delay of a ``Retry-After`` field, s; None if it has none.

    Args:
        value: The field's value, bytes: seconds, perhaps with a fraction, or
            an HTTP date.
        now: The time of day, s since 1970.
    """
    text = value.decode('latin-1').strip()
    try:
        delay_s = float(text)
    except ValueError:
        delay_s = _seconds_until(text, now)
    return delay_s if 0 < delay_s < math.inf else None


def _seconds_until(text, now):
    """Returns the time until an HTTP date, s; NaN if ``text`` is none."""
    try:
        date = email.utils.parsedate_to_datetime(text)
    except ValueError:
        return math.nan
    if date.tzinfo is None:
        date = date.replace(tzinfo=datetime.UTC)
    return date.timestamp() - now


def from_items(items):
    """Returns the ``Headers`` of an iterable of ``(name, value)`` bytes."""
    items = list(items)
    by_name = {}
    for name, value in items:
        by_name.setdefault(name.lower(), value)
    return Headers(items, by_name)
