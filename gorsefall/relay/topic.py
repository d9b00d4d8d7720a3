"""A topic of the store that keeps the newest record of each key.

Interfaces to the store that is read, and to what receives the records.
"""

import typing

from gorsefall import ids

SILENCE_TIMEOUT_S = 0.9
"""Longest time without a byte of a response, beyond the requested wait, s. The
store responds in 4 ms, at times 60 times as slowly. A dead connection shows
only by this timeout, and two of them stay well below the bound on the age of a
confirmation."""

HEARTBEAT_S = 1.0
"""Shortest time between two writes of a replica's record, s; it lapses after
three without one."""

MAX_READ_KB = 1024
"""Most data of one read, KB: the heartbeats of thousands of replicas between
two reads."""


class SnapshotPage(typing.NamedTuple):
    """A page of the newest records of all keys.

    Attributes:
        records: List of ``changes.Record``.
        more: Whether another page follows.
        end: Offset after the topic's last record.
        era: The ``ids.Era`` of the history that the offsets belong to.
        last_key: Last key of the page that can be named exactly in the next
            call; None if it is that of the last record.
    """
    records: list
    more: bool
    end: int
    era: ids.Era = ids.NO_ERA
    last_key: str | None = None

    def next_after(self, after):
        """Returns the key after which the next page begins; None without one.

        A page that leads no further than the one before would be read for ever.

        Args:
            after: The key after which this page begins.
        """
        if not self.more:
            return None
        key = self.last_key
        if key is None and self.records:
            key = self.records[-1].key
        return key if key is not None and key > after else None


class Batch(typing.NamedTuple):
    """Records read from an offset on.

    Attributes:
        records: List of ``changes.Record``, in order.
        next: Offset to read from next.
        end: Offset after the topic's last record.
        era: The ``ids.Era`` of the history that the offsets belong to.
    """
    records: list
    next: int
    end: int
    era: ids.Era = ids.NO_ERA


class NewRecord(typing.NamedTuple):
    """A record to be appended.

    Attributes:
        key: Its key.
        value: Its value, bytes; empty to drop the key.
    """
    key: str
    value: bytes


class Source:
    """Interface to the store: reads and appends of one keyed topic.

    ``done(result, exc)`` receives the result or an ``errors.StoreError``. A
    call times out after ``silence_s`` without a byte, whatever its duration.
    """

    def read_snapshot(self, after, silence_s, done):
        """Reads a page of the newest records, after the key ``after``."""
        raise NotImplementedError

    def append(self, key, value, silence_s, done):
        """Appends a record; an empty ``value`` drops the key."""
        raise NotImplementedError

    def append_at(self, key, value, end, silence_s, done):
        """Appends a record if the topic ends at the offset ``end``.

        ``done(position, exc)`` receives the ``positions.Position`` of the
        record, or an ``errors.ConflictError`` if the topic ends elsewhere.
        After any other error the record may have been appended, or may still
        be. The history may be another one than that in which the topic was
        seen to end there: the era of the position tells.
        """
        self.append_all_at([NewRecord(key, value)], end, silence_s, done)

    def append_all_at(self, records, end, silence_s, done):
        """Appends all of some ``NewRecord`` objects, or none of them.

        See ``append_at``; the position is that of the first one.
        """
        raise NotImplementedError

    def read(self, offset, wait_s, max_kb, silence_s, done, *, on_large=None):
        """Reads from ``offset``, waiting up to ``wait_s`` for a record.

        The response holds up to ``max_kb`` KB of records, or a single larger
        one. In that case ``on_large(end)`` is called when ``max_kb`` KB have
        arrived, with the ``positions.Position`` after the topic's last record.
        """
        raise NotImplementedError


class Listener:
    """Receives what a follower reads; subclasses override what they need.

    Attributes:
        version: Version of the newest state that is known, if the topic's
            records name their own order; 0 if they do not.
        newest_record: The ``changes.Record`` of that version; None without.
    """
    version = 0
    newest_record = None

    def on_snapshot(self, records):
        """Called with the newest record of every key.

        Returns:
            The records that changed the observed state, a list; for a key that
            is no longer there, one without value.
        """
        return records

    def on_store_restored(self, entry):
        """Called when the store came back from an older copy.

        Args:
            entry: The ``positions.Position`` from which on records have
                certainly been written since.
        """

    def on_version_told(self, version, record):
        """Called with the version that another entry knows.

        Args:
            version: Its ``version``.
            record: Its ``newest_record`` if the store has lost it, else None.
        """

    def on_version_stated(self, version):
        """Called with a version that another entry claims to know; 0: no more.

        It may be one of another store, and is not believed for long.
        """

    def hold_confirmations(self):
        """Called before other entries are asked what the store has lost."""

    def release_confirmations(self):
        """Called when they have answered, or none did in time."""

    def apply(self, record):
        """Applies a record with ``on_record``; returns whether it changed any.

        Many records are read together, and more will be. The failure of one
        must not be that of all of them, whatever its writer has put into it.
        """
        try:
            return self.on_record(record)
        except Exception as exc:
            return self.on_unusable_record(record, exc)

    def is_usable(self, record):
        """Returns whether a record can be decoded.

        Asked of records with a long value, which is not kept otherwise.
        """
        del record
        return True

    def on_unusable_record(self, record, exc):
        """Called with a record that ``on_record`` has failed for.

        Args:
            record: The ``changes.Record``.
            exc: An ``errors.RecordError`` if it cannot be decoded; any other
                exception is a fault here.

        Returns:
            See ``on_record``.
        """
        del record, exc
        return False

    def on_record(self, record):
        """Called with each later record.

        Raises:
            errors.RecordError: It cannot be decoded.

        Returns:
            Whether it changes the observed state. A heartbeat does not, and is
            not sent to entries that do not read the store themselves.
        """
        return True

    def on_confirmed(self, sent_at):
        """Called when all records as of ``sent_at``, s, have been read."""

    def on_store_lost(self):
        """Called once when the store stops responding."""

    def on_store_regained(self):
        """Called once when the store responds again."""


class ReadPace(typing.NamedTuple):
    """How often a follower reads.

    Attributes:
        wait_s: How long a read may wait at the store, s.
        pause_s: Pause between reads, s.
    """
    wait_s: float = 0.0
    pause_s: float = 0.0

    @property
    def max_confirmation_age_s(self):
        """Age of a confirmation just before the next one, s.

        A confirmation dates from when its read was sent, and the read waits at
        the store.
        """
        return 2 * self.wait_s + self.pause_s


CONTINUOUS_READS = ReadPace()
"""Each read is sent as soon as the one before has returned."""
