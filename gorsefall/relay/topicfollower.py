"""Follows a topic of the store that keeps the newest record of each key.

A follower that reads continuously keeps reading the store. Any other follower
receives the changes that it missed from another entry and reads the store only
when ``read_once`` is called.
"""

import enum
import functools
import random

import msgspec

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import freshness
from gorsefall.relay import changes
from gorsefall.relay import positions
from gorsefall.relay import topic

RETRY_PAUSE_RANGE_S = (0.05, 0.2)
"""Range of the pause after a failed call, s. It is random so that entries that
lost the store together do not return to it together."""

MAX_RETRY_PAUSE_S = 0.5
"""Longest pause after consecutive failures, s."""

MAX_PASSIVE_READ_ATTEMPTS = 2
"""Attempts of a read by a follower that does not read continuously."""

PROMPT_READ_S = 0.3
"""Time after which a read may be given up for another one, s: a slow store
takes 0.25 s."""

FAULT_PAUSE_S = 1.0
"""Pause after a fault in handling a response, s. It may repeat with each read,
and the store charges by the call."""

RECORD_LAPSE_S = 3 * topic.HEARTBEAT_S
"""Time between two confirmations after which records may have lapsed, s."""

CHECKED_BYTES = 512
"""Length of a value from which on it is checked before it is kept, bytes: the
record of a replica takes some 300."""


class _State(enum.Enum):
    """What a follower does at the moment.

    Attributes:
        IDLE: Nothing; a read may be called for.
        PAUSING: It pauses before the next read.
        READING: It waits for the response to a read.
        BUSY: It reads a snapshot or handles a response.
    """
    IDLE = 'idle'
    PAUSING = 'pausing'
    READING = 'reading'
    BUSY = 'busy'


class Follower:
    """Keeps a listener up to date with one topic.

    Attributes:
        position: ``positions.Position`` that the next read starts from.
        known_end: Position after the last record that is known to exist;
            records from ``position`` on are still to be read.
        confirmed_at: When the newest read that returned all records was sent,
            s (``freshness.clock``), by this entry or another one.
        has_snapshot: Whether a snapshot was read.
        failed_reads: Own reads that failed since the last success.
        pace: The ``topic.ReadPace`` of its continuous reads.
        recent: The ``changes.RecentChanges`` that can be sent to other
            entries.
        listener: The ``topic.Listener``.
        on_own_era_change: Called when an own read showed that the store came
            back from an older copy, before anything of it is confirmed.
    """

    def __init__(self,
                 loop,
                 source,
                 listener,
                 *,
                 name,
                 pace=topic.CONTINUOUS_READS,
                 max_kb=topic.MAX_READ_KB,
                 on_change=lambda: None,
                 rng=random):
        """Creates a follower that reads continuously; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``topic.Source``.
            listener: The ``topic.Listener``.
            name: Name for logs.
            pace: Its ``topic.ReadPace``.
            max_kb: Most data of one read, KB. If more is new, a snapshot is
                read instead, so that only the newest record of each key is
                transferred.
            on_change: Called after a read that changed the observed state.
            rng: A ``random.Random``.
        """
        self._loop = loop
        self._source = source
        self.listener = listener
        self._max_kb = max_kb
        self._on_change = on_change
        self._rng = rng
        self._continuous = True
        self._may_wait = False
        self._read_number = 0
        self._state = _State.BUSY
        self._after_pause = None
        self._snapshot = {}
        self._snapshot_after = ''
        self._snapshot_end = None
        self._failures = 0
        self._sent_at = None
        self._newest = {}
        self._stopped = False
        self._log = logs.get('follower').bind(topic=name)
        self.pace = pace
        self.position = self.known_end = positions.START
        self._last_record_kb = 0.0
        self.confirmed_at = float('-inf')
        self.has_snapshot = False
        self.failed_reads = 0
        self.recent = changes.RecentChanges()
        self.on_own_era_change = lambda: None

    def start(self):
        """Begins by reading a snapshot."""
        self._read_snapshot('')

    def stop(self):
        """Stops for good; responses still on their way are ignored."""
        self._stopped = True

    @property
    def continuous(self):
        """Whether it keeps reading the store."""
        return self._continuous

    def age_s(self):
        """Returns the age of the newest confirmation, s."""
        return freshness.clock() - self.confirmed_at

    def changes_since(self,
                      position,
                      max_bytes=changes.MAX_SENT_BYTES,
                      version=0):
        """Returns the ``changes.ChangeSet`` for another follower.

        Args:
            position: That of the follower; None if it has read nothing.
            max_bytes: Most bytes of changes to send.
            version: Its ``topic.Listener.version``.
        """
        age_s = max(0.0, self.age_s())
        if position is None:
            found = changes.ChangeSet(age_s, self.position, complete=False)
        elif self.position < self.known_end:
            found = changes.ChangeSet(age_s, self.known_end, complete=False)
        else:
            found = self.recent.changes_since(position, age_s, self.position,
                                              max_bytes)
        return msgspec.structs.replace(found,
                                       version=self.listener.version,
                                       lost=self._lost_change(
                                           position, version))

    def _lost_change(self, position, version):
        """Returns the newest record for a follower that the store fails.

        It has read the store as far as this one and has an older version.
        """
        record = self.listener.newest_record
        if (record is None or version >= self.listener.version or
                position is None or position < self.position):
            return None
        change = changes.pack(record)
        return change if change.size <= changes.MAX_SENT_BYTES_CUT_OFF else None

    def learn(self, change_set):
        """Learns what another entry knows and the store may have lost.

        Args:
            change_set: Its ``changes.ChangeSet``.

        Raises:
            errors.RecordError: It cannot be unpacked; nothing was applied.
        """
        lost = change_set.lost
        self.listener.on_version_told(change_set.version, lost and
                                      changes.unpack(lost))

    # -- own reads and changes from other entries ------------------------------

    def set_continuous(self, continuous):
        """Sets whether to read the store continuously."""
        self._continuous = continuous
        self._may_wait &= continuous
        if continuous:
            self.read_once()

    def read_once(self, end=positions.START):
        """Reads now, unless a read is in progress.

        Args:
            end: Position after the last record, if another entry reported it.
        """
        if self._state is not _State.IDLE:
            return
        self._state = _State.BUSY
        if (end.era == self.position.era and
                end.offset - self.position.offset > 1 and
                self._last_record_kb > self._max_kb):
            # Each of several large records takes as long as the newest, and
            # only that one is needed.
            self._read_snapshot('')
        else:
            self._read()

    def read_early(self):
        """Reads now, unless a read was begun just now.

        A read that has been under way for longer may have lost its response,
        which only shows after ``topic.SILENCE_TIMEOUT_S``.
        """
        if self._state is _State.PAUSING:
            self._after_pause()
        elif self._is_overdue():
            self._state = _State.IDLE
        self.read_once()

    def _is_overdue(self):
        return (self._state is _State.READING and
                freshness.clock() - self._sent_at > PROMPT_READ_S)

    def apply_changes(self, sent_at, change_set):
        """Applies changes that another entry has read.

        Args:
            sent_at: When that entry's newest read was sent at the earliest,
                s (``freshness.clock``).
            change_set: Its complete ``changes.ChangeSet`` since ``position``.

        Raises:
            errors.RecordError: It cannot be unpacked; nothing was applied.
        """
        if not self.has_snapshot or change_set.end.era < self.position.era:
            return
        records = [changes.unpack(c) for c in change_set.changes]
        if change_set.end > self.position:
            # An own read in progress is older, and its response is ignored: a
            # snapshot would revert what is applied here. If nothing is new,
            # the read continues: it may be of a record that the other entry
            # does not know yet.
            self._read_number += 1
            self._state = _State.IDLE
        if sent_at - self.confirmed_at > RECORD_LAPSE_S:
            # The entry that reads could not reach the store in that time.
            # Nor could the replicas, so records of live replicas may have
            # lapsed.
            self._record_failure('not confirmed for long')
        self._record_success()
        if change_set.end.era > self.position.era:
            self._enter_era(change_set.end)
        for record in records:
            self._apply(record)
        self.position = max(self.position, change_set.end)
        self._confirm(sent_at)
        if self._continuous and self._state is _State.IDLE:
            # What the own reads could not bring has come from elsewhere.
            self._schedule_read()

    # -- reads -----------------------------------------------------------------

    def _new_callback(self, handler):
        """Returns the callback of a new read; earlier reads are ignored."""
        self._state = _State.BUSY
        self._read_number += 1
        return functools.partial(self._on_result, self._read_number, handler)

    def _on_result(self, number, handler, result, exc):
        if self._stopped or number != self._read_number:
            return
        self._state = _State.BUSY
        try:
            handler(result, exc)
        except Exception:
            # The end of the handler begins the next read. Without one the
            # topic would not be read any more, which shows only by the age of
            # its state.
            self._log.exception('read_failed')
            self._pause(FAULT_PAUSE_S, lambda: self._read_snapshot(''))

    def _read_snapshot(self, after):
        if self._stopped:
            return
        self._snapshot_after = after
        if not after:
            self._snapshot = {}
            self._snapshot_end = None
            self._sent_at = freshness.clock()
        self._source.read_snapshot(after, topic.SILENCE_TIMEOUT_S,
                                   self._new_callback(self._on_snapshot_page))

    def _on_snapshot_page(self, page, exc):
        if exc is not None:
            # Retries this page only: if each failure restarted the snapshot,
            # one of several pages would rarely complete while the store loses
            # responses.
            self._retry_later(exc,
                              lambda: self._read_snapshot(self._snapshot_after))
            return
        end = positions.Position(page.era, page.end)
        if self._snapshot_end is None:
            # Pages are read one after the other. Reading on from the end as
            # of the first page includes all changes since.
            self._snapshot_end = end
        if page.era != self._snapshot_end.era or end.era < self.position.era:
            # Pages of two histories do not fit together, and a history that
            # was lost confirms nothing.
            self._retry_later(errors.StoreError(f'history {page.era}'),
                              lambda: self._read_snapshot(''))
            return
        for record in page.records:
            self._snapshot[record.key] = self._condense(record)
        after = page.next_after(self._snapshot_after)
        if after is not None:
            self._read_snapshot(after)
            return
        if page.more:
            self._log.error('pages_skipped', after=self._snapshot_after)
        self.failed_reads = 0
        self._record_success()
        self._apply_snapshot(self._snapshot_end)
        self._confirm(self._sent_at)
        self._on_change()
        self._read_on()

    def _apply_snapshot(self, end):
        restored = self.has_snapshot and end.era > self.position.era
        if restored:
            self._enter_era(end)
            self.on_own_era_change()
        metrics.STORE_ERA.set(end.era)
        self.has_snapshot = True
        self.position = end
        records = [
            r for r in self._snapshot.values() if r.value or not r.well_formed
        ]
        self._log.info('listed',
                       keys=len(records),
                       offset=end.offset,
                       era=end.era)
        changed = self.listener.on_snapshot(
            [r for r in records if self._is_new(r)])
        if not restored:
            self.recent.reset(end)
            return
        # Entries that followed the lost history get the difference, so that
        # they do not all read the store that has just come back.
        for record in changed:
            self.recent.add(record)

    def _enter_era(self, end):
        """Records that the store came back from an older copy.

        Args:
            end: Position after its last record.
        """
        self._log.warning('store_restored',
                          era=end.era,
                          before=self.position.era,
                          end=end.offset,
                          offset=self.position.offset)
        metrics.STORE_ERA.set(end.era)
        self.recent.end_era(self.position, end)
        self.listener.on_store_restored(end)

    def _read(self):
        if self._stopped:
            return
        self._sent_at = freshness.clock()
        callback = self._new_callback(self._on_batch)
        self._state = _State.READING
        self._source.read(self.position.offset,
                          self.pace.wait_s if self._may_wait else 0.0,
                          self._max_kb,
                          topic.SILENCE_TIMEOUT_S,
                          callback,
                          on_large=functools.partial(self._on_large_record,
                                                     self._read_number))

    def _on_large_record(self, number, end):
        # On a slow link a large record takes a second. Entries that only read
        # it after this one has received it would have it twice as late.
        if not self._stopped and number == self._read_number:
            self.known_end = max(self.known_end, end)
            self._on_change()

    def _on_batch(self, batch, exc):
        if exc is not None:
            if exc.records_expired:
                self._log.info('history_forgotten', offset=self.position.offset)
                self._read_snapshot('')
                return
            self._retry_later(exc, self._read)
            return
        self.failed_reads = 0
        self._record_success()
        if batch.era != self.position.era:
            # The offset that was read from belongs to another history.
            self._read_snapshot('')
            return
        changed = [self._apply(record) for record in batch.records]
        self.position = max(self.position,
                            positions.Position(batch.era, batch.next))
        if self.position.offset < batch.end:
            # The read did not return all records. Confirming now would let
            # an old configuration accept keys that a newer one revokes. A
            # snapshot skips the versions in between: on a slow link each
            # takes as long as the newest one and would delay it.
            self._read_snapshot('')
            return
        self._confirm(self._sent_at)
        if any(changed):
            self._on_change()
        self._schedule_read()

    def _schedule_read(self):
        if self._continuous and self.pace.pause_s:
            self._pause(self.pace.pause_s, self._read_on)
        else:
            self._read_on()

    def _read_on(self):
        if self._continuous:
            self._read()
        else:
            self._state = _State.IDLE

    def _pause(self, pause_s, then):
        """Calls ``then`` after a pause, unless a read has begun since."""
        self._state = _State.PAUSING
        self._after_pause = then
        number = self._read_number
        self._loop.call_later(
            pause_s, lambda: then() if number == self._read_number else None)

    def _apply(self, record):
        """Applies a record; returns whether it changed the observed state."""
        if not self._is_new(record):
            return False
        self._last_record_kb = len(record.value) / 1024
        changed = self.listener.apply(record)
        if changed:
            self.recent.add(self._condense(record))
        return changed

    def _condense(self, record):
        """Returns a record without its value if that is long and of no use.

        All pages of a snapshot are held in memory until the last one is read.
        """
        if (len(record.value) <= CHECKED_BYTES or
                self.listener.is_usable(record)):
            return record
        return record._replace(value=b'', well_formed=False)

    def _confirm(self, sent_at):
        # Only a read after a prompt one may wait. After a failure one that does
        # not shows at once that the store is back. A slow response confirms
        # only the state at the time of its request. What others sent may be
        # from before an outage, and beyond the end of an older copy a read
        # waits in vain.
        took_s = freshness.clock() - sent_at
        self._may_wait = (self._continuous and
                          took_s <= self.pace.wait_s + topic.SILENCE_TIMEOUT_S)
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.listener.on_confirmed(sent_at)

    def _is_new(self, record):
        # Responses may be late and snapshots overlap reads; a record must
        # not replace a newer one of its key.
        if record.position < self._newest.get(record.key, positions.START):
            return False
        self._newest[record.key] = record.position
        return True

    def _record_success(self):
        if self._failures:
            self._log.info('store_regained', failures=self._failures)
            self._failures = 0
            self.listener.on_store_regained()

    def _record_failure(self, error):
        if not self._failures:
            self._log.warning('store_lost', error=error)
            self.listener.on_store_lost()
        self._may_wait = False
        self._failures += 1

    def _retry_later(self, exc, retry):
        self.failed_reads += 1
        self._record_failure(str(exc))
        if (not self._continuous and self.has_snapshot and
                self.failed_reads >= MAX_PASSIVE_READ_ATTEMPTS):
            # The entries that read continuously keep trying, and send what
            # they read.
            self._state = _State.IDLE
            return
        pause = min(MAX_RETRY_PAUSE_S,
                    self._rng.uniform(*RETRY_PAUSE_RANGE_S) * self._failures)
        self._pause(pause, retry)
