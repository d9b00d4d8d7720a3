"""What a node learns from the store: its configuration and its replicas."""

import typing

from gorsefall import errors
from gorsefall import logs
from gorsefall.relay import topic


class ConfigurationListener(topic.Listener):
    """Keeps the node's table and proof current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._spoilt = topic.MalformedRecords(logs.get('configuration'))

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        for record in records:
            self.on_record(record)

    def on_record(self, record):
        """See ``topic.Listener``."""
        try:
            table = self._records.decode_table(record)
        except errors.RecordError as exc:
            # What is in force stays: a configuration is never half known.
            self._spoilt.record_fault(record, exc)
            return True
        self._spoilt.record_valid(record.key)
        if table is not None:
            self._node.adopt(table)
        return True

    def on_confirmed(self, sent_at):
        """See ``topic.Listener``."""
        self._node.record_confirmation(sent_at)


class _Spoilt(typing.NamedTuple):
    """A record that cannot be decoded, and why."""
    error: str


class ReplicasListener(topic.Listener):
    """Keeps the node's fleet current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._known = {}
        self._spoilt = topic.MalformedRecords(logs.get('replicas'))

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        names = {r.key for r in records}
        self._known = {k: v for k, v in self._known.items() if k in names}
        self._node.fleet.keep_only(names, self._node.loop.now)
        for record in records:
            self.on_record(record)
        self._node.replicas_known = True

    def on_record(self, record):
        """See ``topic.Listener``."""
        if record.well_formed and not record.value:
            self._spoilt.record_valid(record.key)
            self._node.fleet.remove(record.key, self._node.loop.now)
            return self._known.pop(record.key, None) is not None
        try:
            decoded = self._records.decode_replica(record)
        except errors.RecordError as exc:
            self._spoilt.record_fault(record, exc)
            self._node.fleet.mark_malformed(record.key)
            return self._learned(record.key, _Spoilt(str(exc)))
        self._spoilt.record_valid(record.key)
        self._node.fleet.put(decoded)
        return self._learned(record.key, decoded)

    def _learned(self, key, known):
        """Returns whether ``known`` is news of a key."""
        if self._known.get(key) == known:
            return False
        self._known[key] = known
        return True

    def on_store_lost(self):
        """See ``topic.Listener``."""
        self._node.fleet.on_store_lost()

    def on_store_regained(self):
        """See ``topic.Listener``."""
        self._node.fleet.on_store_regained(self._node.loop.now)


class RecordDecoder:
    """The seam to how records are spelled."""

    def decode_table(self, record):
        """Returns the ``routes.Table`` of a record, None if it is no table.

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
