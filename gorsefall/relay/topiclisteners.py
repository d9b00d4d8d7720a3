"""Applies the records of replicas to a node, and the interface that decodes."""

import typing

from gorsefall import errors
from gorsefall import logs
from gorsefall.relay import changes
from gorsefall.relay import malformed
from gorsefall.relay import model
from gorsefall.relay import positions
from gorsefall.relay import topic

MAX_REMOVED = 4096
"""Most replicas that left and are remembered: twice those planned in two
years."""


class _Malformed(typing.NamedTuple):
    """Stands for a record that cannot be decoded; holds the error."""
    error: str


class ReplicasListener(topic.Listener):
    """Keeps the node's fleet current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._observed_states = {}
        self._log = logs.get('replicas')
        self._malformed = malformed.MalformedRecords(self._log, 'replicas')
        self._removed = {}
        self._entry = positions.START

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        names = {r.key for r in records}
        # Dropped keys have the position from which on records are certainly
        # new, so that one that is written again counts.
        changed = [
            changes.Record(key, b'', self._entry.offset, era=self._entry.era)
            for key in self._observed_states
            if key not in names
        ]
        for record in changed:
            self._remove(record.key)
        self._node.fleet.keep_only(names, self._node.loop.now)
        changed += [
            r for r in records if not self._is_outdated(r) and self.apply(r)
        ]
        self._node.replicas_known = True
        return changed

    def on_confirmed(self, sent_at):
        """See ``topic.Listener``."""
        self._node.fleet.on_confirmed(sent_at)
        self._node.current_list.on_confirmed()

    def on_store_restored(self, entry):
        """See ``topic.Listener``."""
        self._entry = entry
        self._node.fleet.on_store_restored(self._node.loop.now)

    def _is_outdated(self, record):
        """Returns whether a record of an older copy is known to be outdated.

        Its replica is expected to write again soon if it lives. Until then a
        replica that has announced its exit, or has left, would be used again.
        """
        if record.position >= self._entry:
            return False
        if record.key in self._removed:
            self._log.info('outdated_record', replica=record.key, known='left')
            return True
        known = self._observed_states.get(record.key)
        if not isinstance(known, model.ReplicaRecord):
            return False
        try:
            copied = self._records.decode_replica(record)
        except errors.RecordError:
            # Logged when it is applied.
            return False
        if copied.number >= known.number or not known.same_incarnation(copied):
            return False
        if copied != known:
            self._log.info('outdated_record',
                           replica=record.key,
                           known=known.status.value)
        return True

    def _remove(self, key):
        """Drops what is known of a replica; returns whether it was known."""
        self._malformed.record_valid(key)
        self._node.fleet.remove(key, self._node.loop.now)
        self._removed.pop(key, None)
        self._removed[key] = None
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        return self._observed_states.pop(key, None) is not None

    def on_record(self, record):
        """See ``topic.Listener``."""
        if record.well_formed and not record.value:
            return self._remove(record.key)
        self._removed.pop(record.key, None)
        decoded = self._records.decode_replica(record)
        self._malformed.record_valid(record.key)
        self._node.fleet.put(decoded)
        return self._observe(record.key, decoded)

    def is_usable(self, record):
        """See ``topic.Listener``."""
        try:
            self._records.decode_replica(record)
        except Exception:
            # Told of when it is applied, without its value.
            return False
        return True

    def on_unusable_record(self, record, exc):
        """See ``topic.Listener``."""
        self._malformed.record_fault(record, exc)
        self._node.fleet.mark_malformed(record.key)
        return self._observe(record.key, _Malformed(str(exc)))

    def _observe(self, key, state):
        """Stores the observed state of a key; returns whether it changed."""
        before = self._observed_states.get(key)
        self._observed_states[key] = state
        return before != state

    def on_store_lost(self):
        """See ``topic.Listener``."""
        self._node.fleet.on_store_lost()

    def on_store_regained(self):
        """See ``topic.Listener``."""
        self._node.fleet.on_store_regained(self._node.loop.now)


class RecordDecoder:
    """Interface to the encoding of the store's records."""

    def decode_table(self, record):
        """Returns the ``routes.Table`` of a record, None if it holds none.

        Raises:
            errors.RecordError: It cannot be decoded.
        """
        raise NotImplementedError

    def decode_replica(self, record):
        """Returns the ``model.ReplicaRecord`` of a record.

        Raises:
            errors.RecordError: It cannot be decoded.
        """
        raise NotImplementedError
