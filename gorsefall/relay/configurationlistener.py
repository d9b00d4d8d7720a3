"""Keeps a node's configuration current, also when the store has lost it.

A configuration names its own version, which orders it in every history of the
store. One that was confirmed stays in force while the store holds an older
one, and entries that lack it get it from others.
"""

import typing

from gorsefall import errors
from gorsefall import logs
from gorsefall.relay import changes
from gorsefall.relay import malformed
from gorsefall.relay import routes
from gorsefall.relay import topic


class _Candidate(typing.NamedTuple):
    """A configuration that is not active yet."""
    table: routes.Table
    record: changes.Record


class ConfigurationListener(topic.Listener):
    """Keeps the node's routing table and its confirmation current."""

    def __init__(self, node, records):
        """Creates a listener.

        Args:
            node: The ``node.Node``.
            records: The ``topiclisteners.RecordDecoder``.
        """
        self._node = node
        self._records = records
        self._log = logs.get('configuration')
        self._malformed = malformed.MalformedRecords(self._log, 'configuration')
        self._undecodable = False
        self._stored_version = 0
        self._told_version = 0
        self._named_version = 0
        self._held = False
        self._withheld_at = None
        self._pending = None
        self.newest_record = None

    @property
    def version(self):
        """See ``topic.Listener``."""
        return self._node.table.version if self._node.table else 0

    # -- what the store holds --------------------------------------------------

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        return [r for r in records if self.apply(r)]

    def on_record(self, record):
        """See ``topic.Listener``."""
        table = self._records.decode_table(record)
        self._malformed.record_valid(record.key)
        if table is None:
            return True
        self._undecodable = False
        self._stored_version = table.version
        if table.version < self.version:
            # The newer one was confirmed, and the store is about to get it
            # again.
            self._log.warning('store_is_behind',
                              version=self.version,
                              stored=table.version)
            return False
        return self._adopt(_Candidate(table, record))

    def on_unusable_record(self, record, exc):
        """See ``topic.Listener``.

        The active configuration stays; a malformed one is never applied in
        part.
        """
        self._malformed.record_fault(record, exc)
        self._undecodable = True
        self._adopt_pending()
        return True

    def on_store_restored(self, entry):
        """See ``topic.Listener``."""
        self._node.on_store_restored()

    # -- which configuration is active -----------------------------------------

    def _adopt(self, candidate):
        """Makes a configuration active, or keeps it until that is safe."""
        if self._node.table is None and (self._held or self._is_behind(
                candidate.table.version)):
            # Until others have said what they know, this entry would refuse
            # what is in force.
            if (self._pending is None or
                    self._pending.table.version <= candidate.table.version):
                self._pending = candidate
            return True
        self._pending = None
        self.newest_record = candidate.record
        return self._node.adopt(candidate.table)

    def _adopt_pending(self):
        if self._pending is not None:
            self._adopt(self._pending)

    def _is_behind(self, version):
        """Returns whether another entry has a newer one that can be decoded."""
        return (version < max(self._told_version, self._named_version) and
                not self._undecodable)

    # -- what other entries know -----------------------------------------------

    def on_version_told(self, version, record):
        """See ``topic.Listener``."""
        if version <= self.version:
            return
        self._told_version = max(self._told_version, version)
        if record is None:
            return
        try:
            table = self._records.decode_table(record)
        except errors.RecordError as exc:
            self._malformed.record_fault(record, exc)
            return
        if table is not None and table.version > self.version:
            self._log.info('lost_version_told',
                           version=table.version,
                           stored=self._stored_version)
            self._adopt(_Candidate(table, record))
            self._confirm_withheld()

    def on_version_stated(self, version):
        """See ``topic.Listener``."""
        self._named_version = version
        if not version and not self._held:
            self._adopt_pending()
            self._confirm_withheld()

    def hold_confirmations(self):
        """See ``topic.Listener``."""
        self._held = True

    def release_confirmations(self):
        """See ``topic.Listener``."""
        self._held = False
        self._adopt_pending()
        self._confirm_withheld()

    def on_confirmed(self, sent_at):
        """See ``topic.Listener``."""
        if self._held or self._is_behind(self.version):
            # The store may have lost a version that takes a key away, and
            # would confirm an older one.
            if self._withheld_at is None:
                self._log.warning('confirmation_withheld',
                                  version=self.version,
                                  told=max(self._told_version,
                                           self._named_version))
            self._withheld_at = sent_at
            return
        self._withheld_at = None
        self._node.record_confirmation(sent_at)

    def _confirm_withheld(self):
        if self._withheld_at is not None:
            self.on_confirmed(self._withheld_at)
