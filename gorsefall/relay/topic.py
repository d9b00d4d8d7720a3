"""Following a topic that keeps the newest record of each key."""

import random
import typing

from gorsefall import logs
from gorsefall.policy import freshness

SILENCE_S = 0.9
"""Longest time without a byte of an answer beyond the wait asked for, s. The
store answers in 4 ms, at times 60 times as slowly; a silent channel shows only
by this, and two such waits stay well under the proof's bound."""

RETRY_S = (0.05, 0.2)
"""Range of the pause after a failed call, s; spread, so that entries that
lost the store together do not return together."""

RETRY_MAX_S = 0.5
"""Longest pause after failures in a row, s."""

MOST_KB = 1024
"""Most data of one read, KB: the heartbeats of thousands of replicas between
two reads."""

MAX_CAUSES = 1000
"""Keys whose faults are remembered: a few times the replicas of today, a
record's cause being some 100 bytes."""


class Record(typing.NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its bytes; empty when the key was dropped.
        offset: Its place in the topic.
        whole: Whether the store's client could take it apart; what is not
            whole has no value, but its key was not dropped.
    """
    key: str
    value: bytes
    offset: int
    whole: bool = True


class Newest(typing.NamedTuple):
    """A page of the newest records of all keys.

    Attributes:
        records: List of ``Record``.
        more: Whether another page follows.
        end: Offset after the topic's last record.
    """
    records: list
    more: bool
    end: int


class Batch(typing.NamedTuple):
    """Records read from an offset on.

    Attributes:
        records: List of ``Record``, in order.
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

    def newest(self, after, silence_s, done):
        """Reads a page of newest records, after the key ``after``."""
        raise NotImplementedError

    def read(self, offset, wait_s, most_kb, silence_s, done):
        """Reads from ``offset``, waiting up to ``wait_s`` for a record.

        The answer holds ``most_kb`` KB of records, or one that is larger.
        """
        raise NotImplementedError


class Listener:
    """Is told what a follower learns; subclasses override what they need."""

    def on_listing(self, records):
        """Called with the newest record of every key."""

    def on_record(self, record):
        """Called with each later record."""

    def on_confirmed(self, sent_at):
        """Called when all up to a read sent at ``sent_at`` is known."""

    def on_lost(self):
        """Called once when the store stops answering."""

    def on_regained(self):
        """Called once when it answers again."""


class Follower:
    """Keeps a listener up to date with one topic.

    Attributes:
        offset: Offset the next read starts from.
    """

    def __init__(self,
                 loop,
                 source,
                 listener,
                 *,
                 name,
                 wait_s=0.0,
                 pause_s=0.0,
                 most_kb=MOST_KB):
        """Creates a follower; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``Source``.
            listener: The ``Listener``.
            name: Name for logs.
            wait_s: How long a read may wait at the store, s.
            pause_s: Pause between reads, s.
            most_kb: Most data of one read, KB. What is new beyond that is
                listed, so that only the newest of each key is fetched.
        """
        self._loop = loop
        self._source = source
        self._listener = listener
        self._name = name
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._most_kb = most_kb
        self._listed = {}
        self._after = ''
        self._end = None
        self._failures = 0
        self._overdue = False
        self._sent_at = None
        self._newest_seen = {}
        self._stopped = False
        self._log = logs.get('follower').bind(topic=name)
        self.offset = 0

    def start(self):
        """Begins with a listing."""
        self._list('')

    def stop(self):
        """Ends for good; answers that are still to come are passed over."""
        self._stopped = True

    def _list(self, after):
        if self._stopped:
            return
        self._after = after
        if not after:
            self._listed = {}
            self._end = None
            self._listing_sent_at = freshness.clock()
        self._source.newest(after, SILENCE_S, self._on_newest)

    def _on_newest(self, page, exc):
        if self._stopped:
            return
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
        self._answered()
        self.offset = self._end
        records = [r for r in self._listed.values() if r.value or not r.whole]
        self._log.info('listed', keys=len(records), offset=self.offset)
        self._listener.on_listing([r for r in records if self._is_new(r)])
        self._confirmed(self._listing_sent_at)
        self._read()

    def _read(self):
        if self._stopped:
            return
        # After a failure the first read does not wait: it tells at once
        # that the store is back, and renews the proof as much sooner. Nor
        # after an answer that took long, as it proves only what was true
        # when it was asked for.
        wait_s = 0.0 if self._failures or self._overdue else self._wait_s
        self._sent_at = freshness.clock()
        self._source.read(self.offset, wait_s, self._most_kb, SILENCE_S,
                          self._on_batch)

    def _on_batch(self, batch, exc):
        if self._stopped:
            return
        if exc is not None:
            if exc.forgotten:
                self._log.info('history_forgotten', offset=self.offset)
                self._list('')
                return
            self._failed(exc, self._read)
            return
        self._answered()
        for record in batch.records:
            if self._is_new(record):
                self._listener.on_record(record)
        self.offset = max(self.offset, batch.next)
        if self.offset < batch.end:
            # A read holds only so much. Confirmed now, an old configuration
            # would let in keys that a newer one takes away. Versions between
            # are passed over: on a slow link each takes as long as the
            # newest, which comes into force late behind them.
            self._list('')
            return
        self._confirmed(self._sent_at)
        if self._pause_s:
            self._loop.later(self._pause_s, self._read)
        else:
            self._read()

    def _confirmed(self, sent_at):
        took_s = freshness.clock() - sent_at
        self._overdue = took_s > self._wait_s + SILENCE_S
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
            self._listener.on_regained()

    def _failed(self, exc, again):
        if not self._failures:
            self._log.warning('store_lost', error=str(exc))
            self._listener.on_lost()
        self._failures += 1
        pause = min(RETRY_MAX_S, random.uniform(*RETRY_S) * self._failures)
        self._loop.later(pause, again)


class Spoilt:
    """Logs records that cannot be decoded, once for each key and cause.

    A writer at fault writes again and again, and a line for each time would
    bury the others.
    """

    def __init__(self, log):
        self._log = log
        self._causes = {}

    def note(self, record, exc):
        """Logs that ``record`` is at fault, as the ``exc`` says."""
        if self._causes.get(record.key) == str(exc):
            return
        if len(self._causes) >= MAX_CAUSES:
            self._causes.clear()
        self._causes[record.key] = str(exc)
        self._log.error('record_spoilt',
                        key=record.key,
                        offset=record.offset,
                        error=str(exc))

    def mended(self, key):
        """Notes that a key's newest record is sound, or gone."""
        if self._causes.pop(key, None) is not None:
            self._log.info('record_mended', key=key)
