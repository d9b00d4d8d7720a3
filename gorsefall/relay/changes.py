"""The latest changes of a topic, to be told to entries that do not read it."""

import typing
import zlib

import msgspec

from gorsefall import errors

MAX_RETAINED_BYTES = 65536
"""Most bytes of changes kept, packed: some hundred replicas' records and a
configuration."""

MAX_SENT_BYTES = 6000
"""Most bytes of changes told at once, packed. An entry tells forty others,
over a link that carries its callers' streams too; what is larger each reads
from the store for itself."""

MAX_SENT_BYTES_CUT_OFF = 48000
"""The same for an entry that does not reach the store; fits in a datagram."""

MAX_UNPACKED_BYTES = 1 << 22
"""Longest record that is unpacked, bytes."""


class Record(typing.NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its bytes; empty when the key was dropped.
        offset: Its place in the topic.
        whole: Whether the store's client could take it apart; what is not
            whole has no value, but its key was not dropped.
    """
    key: str
    value: bytes
    offset: int
    well_formed: bool = True


class Change(typing.NamedTuple):
    """A record as it is told.

    Attributes:
        key: See ``Record``.
        packed: Its value, compressed.
        offset: See ``Record``.
        whole: See ``Record``.
    """
    key: str
    packed: bytes
    offset: int
    well_formed: bool

    @property
    def size(self):
        """Bytes that it takes in a message, about."""
        return len(self.key) + len(self.packed)


def pack(record):
    """Returns the ``Change`` of a ``Record``."""
    return Change(record.key, zlib.compress(record.value), record.offset,
                  record.well_formed)


def unpack(change):
    """Returns the ``Record`` of a ``Change``.

    Raises:
        errors.RecordError: Its value cannot be decompressed, or is too long.
    """
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(change.packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise errors.RecordError(f'{change.key}: {exc}') from exc
    if not stream.eof:
        raise errors.RecordError(f'{change.key}: too long, or cut short')
    return Record(change.key, value, change.offset, change.well_formed)


class ChangeSet(msgspec.Struct, frozen=True, array_like=True):
    """What an entry knows of a topic that another one may have missed.

    Attributes:
        age_s: Age of its newest confirmed read, s.
        end: Offset after the last record that it knows.
        changes: The newest ``Change`` of each key since the other's offset,
            oldest first.
        whole: Whether they are all; otherwise the store has to be read.
    """
    age_s: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    end: typing.Annotated[int, msgspec.Meta(ge=0)]
    changes: tuple[Change, ...] = ()
    complete: bool = True


class RecentChanges:
    """The newest change of each key from some offset on, as far as kept."""

    def __init__(self):
        self._changes = {}
        self._since = 0
        self._size = 0

    def reset(self, offset):
        """Forgets all; nothing is known of changes before ``offset``."""
        self._changes.clear()
        self._size = 0
        self._since = offset

    def add(self, record):
        """Notes a change; one of a key stands in place of earlier ones."""
        change = pack(record)
        earlier = self._changes.pop(record.key, None)
        self._size += change.size - (earlier.size if earlier else 0)
        self._changes[record.key] = change
        while self._size > MAX_RETAINED_BYTES:
            oldest = self._changes.pop(next(iter(self._changes)))
            self._size -= oldest.size
            self._since = oldest.offset + 1

    def changes_since(self, offset, age_s, end, most_bytes=MAX_SENT_BYTES):
        """Returns the ``News`` for an entry that knows all before ``offset``.

        Args:
            offset: Where that entry would read on.
            age_s: Age of the newest confirmed read, s.
            end: Offset after the last record known.
            most_bytes: Most bytes of changes to tell.
        """
        changes = tuple(c for c in self._changes.values() if c.offset >= offset)
        if (offset < self._since or sum(c.size for c in changes) > most_bytes):
            return ChangeSet(age_s, end, complete=False)
        return ChangeSet(age_s, end, changes)
