"""Following a topic that keeps the newest record of each key.

A follower that leads reads the store again and again. One that does not is
told by another entry what it missed, and reads the store only when asked to.
"""

import functools
import random
import typing

from gorsefall import logs
from gorsefall.policy import freshness
from gorsefall.relay import changes

SILENCE_TIMEOUT_S = 0.9
"""Longest time without a byte of an answer beyond the wait asked for, s. The
store answers in 4 ms, at times 60 times as slowly; a silent channel shows only
by this, and two such waits stay well under the proof's bound."""

RETRY_PAUSE_RANGE_S = (0.05, 0.2)
"""Range of the pause after a failed call, s; spread, so that entries that
lost the store together do not return together."""

MAX_RETRY_PAUSE_S = 0.5
"""Longest pause after failures in a row, s."""

MAX_READ_KB = 1024
"""Most data of one read, KB: the heartbeats of thousands of replicas between
two reads."""

MAX_PASSIVE_READ_ATTEMPTS = 2
"""Reads that a follower which does not lead tries, one soon after another."""

RECORD_LAPSE_S = 3.0
"""Time between two confirmations after which records may have lapsed, s: three
heartbeats of a replica, each longer than a second."""

MAX_LOGGED_FAULTS = 1000
"""Keys whose faults are remembered: a few times the replicas of today, a
record's cause being some 100 bytes."""


class SnapshotPage(typing.NamedTuple):
    """A page of the newest records of all keys.

    Attributes:
        records: List of ``changes.Record``.
        more: Whether another page follows.
        end: Offset after the topic's last record.
    """
    records: list
    more: bool
    end: int


class Batch(typing.NamedTuple):
    """Records read from an offset on.

    Attributes:
        records: List of ``changes.Record``, in order.
        next: Offset to read from next.
        end: Offset after the topic's last record.
    """
    records: list
    next: int
    end: int


class Source:
    """The seam to the store: reads of one keyed topic.

    ``done(result, exc)`` gets the result or an ``errors.StoreError``. A read
    is given up after ``silence_s`` without a byte, not by how long it takes.
    """

    def read_snapshot(self, after, silence_s, done):
        """Reads a page of newest records, after the key ``after``."""
        raise NotImplementedError

    def append(self, key, value, silence_s, done):
        """Appends a record; an empty ``value`` drops the key."""
        raise NotImplementedError

    def read(self, offset, wait_s, max_kb, silence_s, done):
        """Reads from ``offset``, waiting up to ``wait_s`` for a record.

        The answer holds ``max_kb`` KB of records, or one that is larger.
        """
        raise NotImplementedError


class Listener:
    """Is told what a follower learns; subclasses override what they need."""

    def on_snapshot(self, records):
        """Called with the newest record of every key."""

    def on_record(self, record):
        """Called with each later record.

        Returns:
            Whether it changes what is believed. A heartbeat does not, and is
            not passed on to entries that do not read for themselves.
        """
        return True

    def on_confirmed(self, sent_at):
        """Called when all up to a read sent at ``sent_at`` is known."""

    def on_store_lost(self):
        """Called once when the store stops answering."""

    def on_store_regained(self):
        """Called once when it answers again."""


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

        What a read confirms is as old as the read, which waits.
        """
        return 2 * self.wait_s + self.pause_s


CONTINUOUS_READS = ReadPace()
"""Reads one after the other."""


class Follower:
    """Keeps a listener up to date with one topic.

    Attributes:
        offset: Offset the next read starts from.
        confirmed_at: When the newest read that confirmed all was sent, s
            (``freshness.clock``), here or at another entry.
        listed: Whether the topic was listed once.
        unreached: Own reads that failed since one was answered.
        pace: The ``Pace`` of its reads while it leads.
        recent: The ``changes.RecentChanges`` that others may be told.
    """

    def __init__(self,
                 loop,
                 source,
                 listener,
                 *,
                 name,
                 pace=CONTINUOUS_READS,
                 max_kb=MAX_READ_KB,
                 on_change=lambda: None):
        """Creates a follower that leads; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``Source``.
            listener: The ``Listener``.
            name: Name for logs.
            pace: Its ``Pace``.
            max_kb: Most data of one read, KB. What is new beyond that is
                listed, so that only the newest of each key is fetched.
            on_change: Called after a read that changed what is believed.
        """
        self._loop = loop
        self._source = source
        self._listener = listener
        self._most_kb = max_kb
        self._on_news = on_change
        self._leads = True
        self._turn = 0
        self._idle = False
        self._listed = {}
        self._after = ''
        self._end = None
        self._failures = 0
        self._overdue = False
        self._sent_at = None
        self._newest_seen = {}
        self._stopped = False
        self._log = logs.get('follower').bind(topic=name)
        self.pace = pace
        self.offset = 0
        self.confirmed_at = float('-inf')
        self.has_snapshot = False
        self.failed_reads = 0
        self.recent = changes.RecentChanges()

    def start(self):
        """Begins with a listing."""
        self._list('')

    def stop(self):
        """Ends for good; answers that are still to come are passed over."""
        self._stopped = True

    def age_s(self):
        """Returns the age of the newest confirmation, s."""
        return freshness.clock() - self.confirmed_at

    def changes_since(self, offset, most_bytes=changes.MAX_SENT_BYTES):
        """Returns the ``changes.ChangeSet`` for one who knows all before it."""
        return self.recent.changes_since(offset, max(0.0, self.age_s()),
                                         self.offset, most_bytes)

    # -- reading by itself or being told ---------------------------------------

    def set_continuous(self, leads):
        """Says whether to read again and again."""
        self._leads = leads
        if leads:
            self.read_once()

    def read_once(self):
        """Reads now, unless a read is under way."""
        if self._idle:
            self._idle = False
            self._read()

    def apply_changes(self, sent_at, news):
        """Takes in what another entry knows.

        Args:
            sent_at: When that entry's newest read was sent at the earliest,
                s (``freshness.clock``).
            news: Its ``changes.ChangeSet`` since ``offset``, whole.

        Raises:
            errors.RecordError: It cannot be unpacked; nothing is taken in.
        """
        if self._leads or not self.has_snapshot:
            return
        records = [changes.unpack(c) for c in news.changes]
        # An own read that is under way is older: a listing among them would
        # take back what was just told.
        self._turn += 1
        self._idle = True
        if sent_at - self.confirmed_at > RECORD_LAPSE_S:
            # Whoever reads was without the store, and so were the replicas,
            # whose records may have lapsed though they live.
            self._lost('not confirmed for long')
        self._answered()
        for record in records:
            self._take(record)
        self.offset = max(self.offset, news.end)
        self._confirmed(sent_at)

    # -- reads -----------------------------------------------------------------

    def _expect(self, handler):
        """Returns the callback of a read; of the last one begun only."""
        self._turn += 1
        return functools.partial(self._came, self._turn, handler)

    def _came(self, turn, handler, result, exc):
        if not self._stopped and turn == self._turn:
            handler(result, exc)

    def _list(self, after):
        if self._stopped:
            return
        self._after = after
        if not after:
            self._listed = {}
            self._end = None
            self._sent_at = freshness.clock()
        self._source.read_snapshot(after, SILENCE_TIMEOUT_S,
                                   self._expect(self._on_newest))

    def _on_newest(self, page, exc):
        if exc is not None:
            # On from this page: begun anew, a listing of several would
            # seldom be whole beside a store that loses answers.
            self._failed(exc, lambda: self._list(self._after))
            return
        if self._end is None:
            # Pages are read one after the other; reading on from the first
            # page's end passes over nothing that changed meanwhile.
            self._end = page.end
        for record in page.records:
            self._listed[record.key] = record
        if page.more and page.records:
            self._list(page.records[-1].key)
            return
        self.failed_reads = 0
        self._answered()
        self.has_snapshot = True
        self.offset = self._end
        self.recent.reset(self.offset)
        records = [
            r for r in self._listed.values() if r.value or not r.well_formed
        ]
        self._log.info('listed', keys=len(records), offset=self.offset)
        self._listener.on_snapshot([r for r in records if self._is_new(r)])
        self._confirmed(self._sent_at)
        self._on_news()
        if self._leads:
            self._read()
        else:
            self._idle = True

    def _read(self):
        if self._stopped:
            return
        # After a failure the first read does not wait: it tells at once
        # that the store is back, and renews the proof as much sooner. Nor
        # after an answer that took long, as it proves only what was true
        # when it was asked for.
        waits = self._leads and not self._failures and not self._overdue
        self._sent_at = freshness.clock()
        self._source.read(self.offset, self.pace.wait_s if waits else 0.0,
                          self._most_kb, SILENCE_TIMEOUT_S,
                          self._expect(self._on_batch))

    def _on_batch(self, batch, exc):
        if exc is not None:
            if exc.records_expired:
                self._log.info('history_forgotten', offset=self.offset)
                self._list('')
                return
            self._failed(exc, self._read)
            return
        self.failed_reads = 0
        self._answered()
        changed = [self._take(record) for record in batch.records]
        self.offset = max(self.offset, batch.next)
        if self.offset < batch.end:
            # A read holds only so much. Confirmed now, an old configuration
            # would let in keys that a newer one takes away. Versions between
            # are passed over: on a slow link each takes as long as the
            # newest, which comes into force late behind them.
            self._list('')
            return
        self._confirmed(self._sent_at)
        if any(changed):
            self._on_news()
        self._go_on()

    def _go_on(self):
        if not self._leads:
            self._idle = True
        elif self.pace.pause_s:
            self._loop.call_later(self.pace.pause_s,
                                  functools.partial(self._resume, self._turn))
        else:
            self._read()

    def _resume(self, turn):
        if turn != self._turn:
            return
        if self._leads:
            self._read()
        else:
            self._idle = True

    def _take(self, record):
        """Takes in a record; returns whether it changed what is believed."""
        if not self._is_new(record):
            return False
        changed = self._listener.on_record(record)
        if changed:
            self.recent.add(record)
        return changed

    def _confirmed(self, sent_at):
        took_s = freshness.clock() - sent_at
        self._overdue = took_s > self.pace.wait_s + SILENCE_TIMEOUT_S
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self._listener.on_confirmed(sent_at)

    def _is_new(self, record):
        # Answers may come late and listings overlap reads; what is known of
        # a key only goes forward.
        if record.offset < self._newest_seen.get(record.key, 0):
            return False
        self._newest_seen[record.key] = record.offset
        return True

    def _answered(self):
        if self._failures:
            self._log.info('store_regained', failures=self._failures)
            self._failures = 0
            self._listener.on_store_regained()

    def _lost(self, error):
        if not self._failures:
            self._log.warning('store_lost', error=error)
            self._listener.on_store_lost()
        self._failures += 1

    def _failed(self, exc, again):
        self.failed_reads += 1
        self._lost(str(exc))
        if (not self._leads and self.has_snapshot and
                self.failed_reads >= MAX_PASSIVE_READ_ATTEMPTS):
            # Others try on for all; told by them, it need not.
            self._idle = True
            return
        pause = min(MAX_RETRY_PAUSE_S,
                    random.uniform(*RETRY_PAUSE_RANGE_S) * self._failures)
        turn = self._turn
        self._loop.call_later(pause, lambda: again()
                              if turn == self._turn else None)


class MalformedRecords:
    """Logs records that cannot be decoded, once for each key and cause.

    A writer at fault writes again and again, and a line for each time would
    bury the others.
    """

    def __init__(self, log):
        self._log = log
        self._causes = {}

    def record_fault(self, record, exc):
        """Logs that ``record`` is at fault, as the ``exc`` says."""
        if self._causes.get(record.key) == str(exc):
            return
        if len(self._causes) >= MAX_LOGGED_FAULTS:
            self._causes.clear()
        self._causes[record.key] = str(exc)
        self._log.error('record_spoilt',
                        key=record.key,
                        offset=record.offset,
                        error=str(exc))

    def record_valid(self, key):
        """Notes that a key's newest record is sound, or gone."""
        if self._causes.pop(key, None) is not None:
            self._log.info('record_mended', key=key)
