"""Recent changes of a topic, to send to entries that do not read the store."""

import typing
import zlib

import msgspec

from gorsefall import errors

MAX_RETAINED_BYTES = 65536
"""Most bytes of compressed changes retained: some hundred replicas' records
and a configuration."""

MAX_SENT_BYTES = 6000
"""Most bytes of compressed changes sent at once. An entry sends them to forty
others over a link that also carries its callers' streams; an entry that missed
more reads the store itself."""

MAX_SENT_BYTES_CUT_OFF = 48000
"""The same for an entry that cannot reach the store; fits in a datagram."""

MAX_UNPACKED_BYTES = 1 << 22
"""Most bytes to which a record's value is decompressed."""


class Record(typing.NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its bytes; empty when the key was dropped.
        offset: Its offset in the topic.
        well_formed: Whether the store's client could parse it. A record that
            is not well-formed has no value, but its key was not dropped.
    """
    key: str
    value: bytes
    offset: int
    well_formed: bool = True


class Change(typing.NamedTuple):
    """A record as it is sent to other entries.

    Attributes:
        key: See ``Record``.
        packed: Its compressed value.
        offset: See ``Record``.
        well_formed: See ``Record``.
    """
    key: str
    packed: bytes
    offset: int
    well_formed: bool

    @property
    def size(self):
        """Approximate size in a message, bytes."""
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
        raise errors.RecordError(
            f'{change.key}: compressed value is truncated or too long')
    return Record(change.key, value, change.offset, change.well_formed)


class ChangeSet(msgspec.Struct, frozen=True, array_like=True):
    """Changes of a topic that another entry may have missed.

    Attributes:
        age_s: Age of the sender's newest confirmed read, s.
        end: Offset after the last record that the sender has read.
        changes: The newest ``Change`` of each key since the receiver's offset,
            oldest first.
        complete: Whether these are all changes; if not, the receiver has to
            read the store.
    """
    age_s: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    end: typing.Annotated[int, msgspec.Meta(ge=0)]
    changes: tuple[Change, ...] = ()
    complete: bool = True


class RecentChanges:
    """The newest change of each key; the oldest changes are discarded."""

    def __init__(self):
        self._changes = {}
        self._since = 0
        self._size = 0

    def reset(self, offset):
        """Discards all changes; later ones start at ``offset``."""
        self._changes.clear()
        self._size = 0
        self._since = offset

    def add(self, record):
        """Adds a change, in place of an earlier one of its key."""
        change = pack(record)
        earlier = self._changes.pop(record.key, None)
        self._size += change.size - (earlier.size if earlier else 0)
        self._changes[record.key] = change
        while self._size > MAX_RETAINED_BYTES:
            oldest = self._changes.pop(next(iter(self._changes)))
            self._size -= oldest.size
            self._since = oldest.offset + 1

    def changes_since(self, offset, age_s, end, max_bytes=MAX_SENT_BYTES):
        """Returns the ``ChangeSet`` for an entry that is at ``offset``.

        Args:
            offset: Offset from which that entry would read.
            age_s: Age of the newest confirmed read, s.
            end: Offset after the last record read here.
            max_bytes: Most bytes of changes to send.
        """
        changes = tuple(c for c in self._changes.values() if c.offset >= offset)
        if (offset < self._since or sum(c.size for c in changes) > max_bytes):
            return ChangeSet(age_s, end, complete=False)
        return ChangeSet(age_s, end, changes)
