"""Applies the store's topics to a node: its configuration and its replicas."""

import typing

from gorsefall import errors
from gorsefall import logs
from gorsefall.relay import malformed
from gorsefall.relay import topic


class ConfigurationListener(topic.Listener):
    """Keeps the node's routing table and its confirmation current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._malformed = malformed.MalformedRecords(logs.get('configuration'))

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        for record in records:
            self.on_record(record)

    def on_record(self, record):
        """See ``topic.Listener``."""
        try:
            table = self._records.decode_table(record)
        except errors.RecordError as exc:
            # The active configuration stays; a malformed one is never
            # applied in part.
            self._malformed.record_fault(record, exc)
            return True
        self._malformed.record_valid(record.key)
        if table is not None:
            self._node.adopt(table)
        return True

    def on_confirmed(self, sent_at):
        """See ``topic.Listener``."""
        self._node.record_confirmation(sent_at)


class _Malformed(typing.NamedTuple):
    """Stands for a record that cannot be decoded; holds the error."""
    error: str


class ReplicasListener(topic.Listener):
    """Keeps the node's fleet current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._observed_states = {}
        self._malformed = malformed.MalformedRecords(logs.get('replicas'))

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        names = {r.key for r in records}
        self._observed_states = {
            k: v for k, v in self._observed_states.items() if k in names
        }
        self._node.fleet.keep_only(names, self._node.loop.now)
        for record in records:
            self.on_record(record)
        self._node.replicas_known = True

    def on_record(self, record):
        """See ``topic.Listener``."""
        if record.well_formed and not record.value:
            self._malformed.record_valid(record.key)
            self._node.fleet.remove(record.key, self._node.loop.now)
            return self._observed_states.pop(record.key, None) is not None
        try:
            decoded = self._records.decode_replica(record)
        except errors.RecordError as exc:
            self._malformed.record_fault(record, exc)
            self._node.fleet.mark_malformed(record.key)
            return self._observe(record.key, _Malformed(str(exc)))
        self._malformed.record_valid(record.key)
        self._node.fleet.put(decoded)
        return self._observe(record.key, decoded)

    def _observe(self, key, state):
        """Stores the observed state of a key; returns whether it changed."""
        if self._observed_states.get(key) == state:
            return False
        self._observed_states[key] = state
        return True

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
