"""What a node learns from the store: its configuration and its replicas."""

from gorsefall import errors
from gorsefall import logs
from gorsefall.relay import topic


class Configuration(topic.Listener):
    """Keeps the node's table and proof current."""

    def __init__(self, node, records):
        self._node = node
        self._records = records
        self._log = logs.get('configuration')

    def on_listing(self, records):
        """See ``topic.Listener``."""
        for record in records:
            self.on_record(record)

    def on_record(self, record):
        """See ``topic.Listener``."""
        try:
            table = self._records.table(record)
        except errors.RecordError as exc:
            topic.spoilt(self._log, record, exc)
            return
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
        self._log = logs.get('replicas')

    def _decode(self, record):
        try:
            return self._records.replica(record)
        except errors.RecordError as exc:
            topic.spoilt(self._log, record, exc)
            return None

    def on_listing(self, records):
        """See ``topic.Listener``."""
        decoded = [self._decode(r) for r in records]
        self._node.fleet.reset([r for r in decoded if r is not None],
                               self._node.loop.now)
        self._node.replicas_known = True

    def on_record(self, record):
        """See ``topic.Listener``."""
        if not record.value:
            self._node.fleet.remove(record.key, self._node.loop.now)
            return
        decoded = self._decode(record)
        if decoded is not None:
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
