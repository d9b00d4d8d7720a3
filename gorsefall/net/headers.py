"""Header fields as they were received."""

import typing


class Headers(typing.NamedTuple):
    """Header fields in order, as received.

    Attributes:
        items: ``(name, value)`` bytes; names keep their case.
        by_name: Lowercase name -> its first value.
    """
    items: list[tuple[bytes, bytes]]
    by_name: dict[bytes, bytes]


def from_items(items):
    """Returns the ``Headers`` of an iterable of ``(name, value)`` bytes."""
    items = list(items)
    first = {}
    for name, value in items:
        first.setdefault(name.lower(), value)
    return Headers(items, first)
