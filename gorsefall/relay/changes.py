"""Recent changes of a topic, to send to entries that do not read the store."""

import typing
import zlib

import msgspec

from gorsefall import errors
from gorsefall import ids
from gorsefall.relay import positions

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
        era: The ``ids.Era`` of the history that the offset belongs to.
    """
    key: str
    value: bytes
    offset: int
    well_formed: bool = True
    era: ids.Era = ids.NO_ERA

    @property
    def position(self):
        """Its ``positions.Position``."""
        return positions.Position(self.era, self.offset)


class Change(typing.NamedTuple):
    """A record as it is sent to other entries.

    Attributes:
        key: See ``Record``.
        packed: Its compressed value.
        position: See ``Record``.
        well_formed: See ``Record``.
    """
    key: str
    packed: bytes
    position: positions.Position
    well_formed: bool

    @property
    def size(self):
        """Approximate size in a message, bytes."""
        return len(self.key) + len(self.packed)


def pack(record):
    """Returns the ``Change`` of a ``Record``."""
    return Change(record.key, zlib.compress(record.value), record.position,
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
    era, offset = change.position
    return Record(change.key, value, offset, change.well_formed, era)


class ChangeSet(msgspec.Struct, frozen=True, array_like=True):
    """Changes of a topic that another entry may have missed.

    Attributes:
        age_s: Age of the sender's newest confirmed read, s.
        end: Position after the last record that the sender has read.
        changes: The newest ``Change`` of each key since the receiver's
            position, oldest first.
        complete: Whether these are all changes; if not, the receiver has to
            read the store.
        version: The sender's ``topic.Listener.version``.
        lost: A ``Change`` that the store has lost and the receiver lacks, or
            None.
    """
    age_s: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    end: positions.Position
    changes: tuple[Change, ...] = ()
    complete: bool = True
    version: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    lost: Change | None = None


class RecentChanges:
    """The newest change of each key; the oldest changes are discarded."""

    def __init__(self):
        self._changes = {}
        self._since = positions.START
        self._size = 0
        self._era_ends = {}
        self._era_entries = {}

    def reset(self, position):
        """Discards all changes; later ones start at ``position``."""
        self._changes.clear()
        self._era_ends.clear()
        self._era_entries.clear()
        self._size = 0
        self._since = position

    def end_era(self, position, entry):
        """Records that the store has lost its history.

        Args:
            position: What this entry had read of it, a ``positions.Position``.
            entry: Position up to which the difference to the new history is
                added next.
        """
        self._era_ends[position.era] = position
        self._era_entries[entry.era] = entry

    def add(self, record):
        """Adds a change, in place of an earlier one of its key."""
        change = pack(record)
        earlier = self._changes.pop(record.key, None)
        self._size += change.size - (earlier.size if earlier else 0)
        self._changes[record.key] = change
        while self._size > MAX_RETAINED_BYTES:
            oldest = self._changes.pop(next(iter(self._changes)))
            self._size -= oldest.size
            era, offset = oldest.position
            self._since = positions.Position(era, offset + 1)

    def changes_since(self, position, age_s, end, max_bytes=MAX_SENT_BYTES):
        """Returns the ``ChangeSet`` for an entry that is at ``position``.

        Args:
            position: Position from which that entry would read.
            age_s: Age of the newest confirmed read, s.
            end: Position after the last record read here.
            max_bytes: Most bytes of changes to send.
        """
        changes = tuple(
            c for c in self._changes.values() if c.position >= position)
        if (position < self._since or self._is_ahead(position, end) or
                self._is_between(position) or
                sum(c.size for c in changes) > max_bytes):
            return ChangeSet(age_s, end, complete=False)
        return ChangeSet(age_s, end, changes)

    def _is_between(self, position):
        """Returns whether a position is in the part that was read at once.

        Only the difference to the lost history is known of that part. What an
        entry at such a position has dropped, and was written again since, is
        no difference.
        """
        return position < self._era_entries.get(position.era, positions.START)

    def _is_ahead(self, position, end):
        """Returns whether a position in a lost history was not reached here.

        What that entry has read beyond it may differ from the copy, which only
        the store can tell.
        """
        return position.era < end.era and position > self._era_ends.get(
            position.era, positions.START)
