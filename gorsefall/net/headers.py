"""HTTP header fields, in order and by name."""

import typing


class Headers(typing.NamedTuple):
    """Header fields in order, as received.

    Attributes:
        items: ``(name, value)`` bytes; names keep their case.
        by_name: Lowercase name -> the first value of that name.
    """
    items: list[tuple[bytes, bytes]]
    by_name: dict[bytes, bytes]


def from_items(items):
    """Returns the ``Headers`` of an iterable of ``(name, value)`` bytes."""
    items = list(items)
    by_name = {}
    for name, value in items:
        by_name.setdefault(name.lower(), value)
    return Headers(items, by_name)
