"""What a node learns from the store: its configuration and its replicas."""

from gorsefall import errors
from gorsefall import logs
from gorsefall.relay import topic


class Configuration(topic.Listener):
    """Keeps the node's table and proof current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._spoilt = topic.Spoilt(logs.get('configuration'))

    def on_listing(self, records):
        """See ``topic.Listener``."""
        for record in records:
            self.on_record(record)

    def on_record(self, record):
        """See ``topic.Listener``."""
        try:
            table = self._records.table(record)
        except errors.RecordError as exc:
            # What is in force stays: a configuration is never half known.
            self._spoilt.note(record, exc)
            return
        self._spoilt.mended(record.key)
        if table is not None:
            self._node.adopt(table)

    def on_confirmed(self, sent_at):
        """See ``topic.Listener``."""
        self._node.confirmed(sent_at)


class Replicas(topic.Listener):
    """Keeps the node's fleet current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._spoilt = topic.Spoilt(logs.get('replicas'))

    def on_listing(self, records):
        """See ``topic.Listener``."""
        self._node.fleet.keep_only({r.key for r in records},
                                   self._node.loop.now)
        for record in records:
            self.on_record(record)
        self._node.replicas_known = True

    def on_record(self, record):
        """See ``topic.Listener``."""
        if record.whole and not record.value:
            self._spoilt.mended(record.key)
            self._node.fleet.remove(record.key, self._node.loop.now)
            return
        try:
            decoded = self._records.replica(record)
        except errors.RecordError as exc:
            self._spoilt.note(record, exc)
            self._node.fleet.spoilt(record.key)
            return
        self._spoilt.mended(record.key)
        self._node.fleet.put(decoded)

    def on_lost(self):
        """See ``topic.Listener``."""
        self._node.fleet.store_lost()

    def on_regained(self):
        """See ``topic.Listener``."""
        self._node.fleet.store_back(self._node.loop.now)


class Records:
    """The seam to how records are spelled."""

    def table(self, record):
        """Returns the ``routes.Table`` of a record, None if it is no table.

        Raises:
            errors.RecordError: It cannot be decoded.
        """
        raise NotImplementedError

    def replica(self, record):
        """Returns the ``model.ReplicaRecord`` of a record.

        Raises:
            errors.RecordError: It cannot be decoded.
        """
        raise NotImplementedError
