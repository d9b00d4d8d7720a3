"""What crashes replicas, in a store that comes back from an older copy."""

import types

from gorsefall import errors
from gorsefall.emulator import clock
from gorsefall.emulator import crashing
from gorsefall.policy import crashrecords
from gorsefall.policy import entrystatus
from gorsefall.policy import rendezvous
from gorsefall.relay import changes
from gorsefall.relay import crashes
from gorsefall.relay import crashstore
from gorsefall.relay import topic

NAMES = ['a', 'b', 'c']
DIGESTS = [b'one', b'two', b'three', b'four']

PROPAGATION_S = 3.0
"""Time in which all entries learn what one has observed, s."""

MAX_LATE_RUNS = 3
"""Most runs of a request later than that after its third one."""

FORGOTTEN_S = 2500.0
"""Time in which a suspect with two crashes is forgotten, s."""

READY_S = 0.3
"""Time from the start of an entry until it is ready, s."""


class _Store(topic.Source):
    """Keeps the newest value of each key and who wrote it."""

    def __init__(self, loop):
        self._loop = loop
        self.values = {}
        self.writes = []

    def append(self, key, value, silence_s, done):
        self.writes.append(key)
        self.values[key] = value
        self._loop.call_later(0.004, lambda: done(b'', None))


def _crashes(name, lasting):
    """Returns what a ``crashstore.CrashStore`` uses of a ``CrashTracker``."""
    reports = types.SimpleNamespace(
        of=lambda digest: [entrystatus.RunReport(digest, 5, 'r1', 1)])
    others = [n for n in NAMES if n != name]
    return types.SimpleNamespace(
        reports=reports,
        suspects=types.SimpleNamespace(lasting=lasting),
        entry_names=lambda: [name, *others])


def _stores(lasting):
    loop = clock.Loop()
    source = _Store(loop)
    return loop, source, [
        crashstore.CrashStore(loop, source, _crashes(name, lasting))
        for name in NAMES
    ]


def test_what_the_store_lost_is_written_again_once():
    """A known cause is gone from the store, and crashes three more replicas
    after a restart of all entries."""
    loop, source, found = _stores(DIGESTS)
    for entry in found:
        entry.write_again()
    loop.run(1.0)
    assert sorted(source.writes) == sorted(d.hex() for d in DIGESTS)
    assert all(source.values.values())


def test_a_suspect_whose_writer_is_gone_is_written_again():
    """What an entry wrote that has gone since is lost for good."""
    loop, source, found = _stores(DIGESTS)
    writer = rendezvous.top(DIGESTS[0], NAMES, 1)[0]
    rest = [n for n in NAMES if n != writer]
    for name, entry in zip(NAMES, found, strict=True):
        entry._crashes.entry_names = lambda n=name: [
            n, *(o for o in rest if o != n)
        ]
        if name != writer:
            entry.write_again()
    loop.run(1.0)
    assert DIGESTS[0].hex() in source.values


def test_what_was_cleared_is_dropped_again():
    """The store comes back with a cause that was cleared, and requests are
    refused after a restart of all entries."""
    loop, source, found = _stores(())
    found[0]._drop(DIGESTS[0])
    loop.run(1.0)
    source.values[DIGESTS[0].hex()] = b'from the copy'
    for entry in found:
        entry.write_again()
    loop.run(1.0)
    assert source.values == {DIGESTS[0].hex(): b''}


class _Book:
    """What a ``crashstore.CrashStore`` uses of a ``CrashTracker`` that reads.

    Attributes:
        known_at: When anything was merged, s; None before.
    """

    def __init__(self, loop):
        self._loop = loop
        self.known_at = None
        self.reports = types.SimpleNamespace(merge=self._merge,
                                             send_gravest_to_all=lambda: None)
        self.suspects = types.SimpleNamespace(summary=0)

    def _merge(self, reports):
        self.known_at = self._loop.now
        self.suspects.summary = 1


class _Reads(topic.Source):
    """Has one blamed request; the first reads fail.

    Attributes:
        reads: Number of reads.
    """

    def __init__(self, loop, failures=0):
        self._loop = loop
        self._failures = failures
        self.reads = 0

    def read_snapshot(self, after, silence_s, done):
        self.reads += 1
        if self.reads <= self._failures:
            self._loop.call_later(silence_s,
                                  lambda: done(None, errors.StoreError('')))
            return
        report = entrystatus.RunReport(b'one', 5, 'r1', 1)
        record = changes.Record('6f6e65', crashstore.encode([report], 0), 1)
        page = topic.SnapshotPage([record], False, 2, 0)
        self._loop.call_later(0.004, lambda: done(page, None))


def _start_reading(is_reader, failures=0):
    loop = clock.Loop()
    source, book = _Reads(loop, failures), _Book(loop)
    crashstore.CrashStore(loop, source, book).start(lambda: is_reader(loop.now),
                                                    lambda: 0.5)
    return loop, source, book


def test_pages_that_lead_no_further_are_not_read_for_ever(monkeypatch):
    """The keys of some records were no text, and one page was read again and
    again."""
    loop, source, book = _start_reading(lambda now: True)
    record = changes.Record('b\ufffd', crashstore.encode([], 0), 1)
    page = topic.SnapshotPage([record], True, 2, 0, last_key='a')

    def read_snapshot(after, silence_s, done):
        source.reads += 1
        loop.call_later(0.004, lambda: done(page, None))

    monkeypatch.setattr(source, 'read_snapshot', read_snapshot)
    loop.run(PROPAGATION_S + READY_S)
    assert source.reads <= 3
    del book


def test_a_lost_read_is_soon_made_up_for():
    """All entries restarted, and a known cause runs again as the answer to the
    first read of it was lost."""
    loop, _, book = _start_reading(lambda now: True, failures=1)
    loop.run(PROPAGATION_S + READY_S)
    assert book.known_at is not None


def test_an_entry_that_reads_for_others_later_learns_of_causes():
    """All entries restarted, and a known cause crashes three more replicas as
    the entry that should have read it was gone again."""
    loop, source, book = _start_reading(lambda now: now > 4.0)
    loop.run(3.9)
    assert source.reads == 0
    loop.run(4.0 + PROPAGATION_S)
    assert book.known_at is not None
    loop.run(60.0)
    assert source.reads == 1


def test_an_entry_that_was_told_reads_nothing():
    """All entries read at the store what one of them has told the others."""
    loop, source, book = _start_reading(lambda now: now > 4.0)
    loop.run(3.0)
    book.reports.merge([])
    loop.run(60.0)
    assert source.reads == 0


def test_crashes_after_the_start_do_not_stand_for_those_before():
    """All entries restarted, and a known cause crashes three more replicas as
    others crashed under something else before the store was read."""
    loop, _, book = _start_reading(lambda now: True)
    loop.run(1.0)
    book.suspects.summary = 7
    loop.run(PROPAGATION_S + READY_S)
    assert book.known_at is not None


class _Process(topic.Source):
    """The store as one process of an entry uses it, until that is killed.

    Attributes:
        killed: Whether the process is gone.
    """

    def __init__(self, loop, values):
        self._loop = loop
        self._values = values
        self.killed = False

    def append(self, key, value, silence_s, done):
        if not self.killed:
            self._values[key] = value
            self._answer(lambda: done(b'', None))

    def read_snapshot(self, after, silence_s, done):
        records = [
            changes.Record(key, value, 1)
            for key, value in self._values.items()
            if value
        ]
        self._answer(lambda: done(topic.SnapshotPage(records, False, 1), None))

    def _answer(self, done):
        self._loop.call_later(0.004, lambda: self.killed or done())


def test_a_lost_write_is_soon_made_up_for():
    """All entries are killed two seconds after the store was silent for one,
    and what it has not stored crashes three more replicas."""
    loop, source, found = _stores(DIGESTS[:1])
    append = source.append

    def lose_it(key, value, silence_s, done):
        source.append = append
        loop.call_later(silence_s, lambda: done(None, errors.StoreError('')))

    source.append = lose_it
    found[0]._write(DIGESTS[0])
    loop.run(2.0)
    assert source.values


class _Restarts:
    """A site whose entries share a store, and are all killed at times."""

    def __init__(self, seed):
        self.site = crashing.Site(3, 12, seed, loss=0.0)
        self.values = {}
        self._processes = []
        self._begin_processes()

    def restart_all(self):
        for process in self._processes:
            process.killed = True
        for entry in self.site.entries:
            entry.start()
        self._begin_processes()

    def _begin_processes(self):
        loop = self.site.loop
        self._processes = [_Process(loop, self.values) for _ in range(3)]
        for entry, process in zip(self.site.entries,
                                  self._processes,
                                  strict=True):
            crashstore.CrashStore(loop, process, entry.crashes).start(
                lambda: True, lambda: self.site.heartbeat_s)

    def crash_under(self, digest, entry=0):
        """Has a replica crash under a request unless that is blocked.

        Returns:
            Whether it ran.
        """
        loop, tracker = self.site.loop, self.site.entries[entry].crashes
        causes = crashrecords.PossibleCauses(digest)
        try:
            tracker.check(causes)
        except errors.PoisonRequestError:
            return False
        replica = self.site.live_replicas()[0]
        replica.up = False
        tracker.handle_broken_run(
            replica, crashes.BrokenRun(causes, loop.now - 0.1, None),
            lambda: None)
        loop.run(loop.now + PROPAGATION_S)
        return True


def test_crashes_of_a_cause_that_is_not_blamed_yet_outlast_all_entries():
    """Each kill of all entries costs two more replicas, as a request counts
    only once three of them crashed since the last one."""
    restarts = _Restarts(1)
    ran = 0
    for _ in range(4):
        ran += sum(restarts.crash_under(b'bad', entry) for entry in (0, 1))
        restarts.restart_all()
        restarts.site.loop.run(restarts.site.loop.now + PROPAGATION_S)
    assert ran <= 3 + MAX_LATE_RUNS


def test_a_request_that_completes_is_dropped_from_the_store():
    """A sound request that ran at two crashes of other causes is refused after
    a third one, though it has completed since."""
    restarts = _Restarts(1)
    for entry in (0, 1):
        restarts.crash_under(b'good', entry)
    assert any(restarts.values.values())
    restarts.site.entries[2].crashes.record_completed_run(b'good')
    restarts.site.loop.run(restarts.site.loop.now + 1.0)
    assert not any(restarts.values.values())


def test_what_is_forgotten_is_dropped_from_the_store():
    """The store keeps each request under which two replicas crashed by chance
    for good."""
    restarts = _Restarts(1)
    for entry in (0, 1):
        restarts.crash_under(b'good', entry)
    assert any(restarts.values.values())
    restarts.site.loop.run(FORGOTTEN_S)
    assert not any(restarts.values.values())
