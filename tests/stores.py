"""A store without network whose responses fail, and a listener's state."""

from gorsefall import errors
from gorsefall.emulator import clock
from gorsefall.relay import changes
from gorsefall.relay import topic

READ_RECORDS = 3
"""Most records of one read."""

WAIT_STEP_S = 0.05
"""Pause between the checks of a waiting read for new records, s."""

LONG_S = 4.0
"""How long a response takes on a slow link, s."""

Loop = clock.Loop


class Store(topic.Source):
    """Keeps all records; each response takes the next fault of a list.

    Attributes:
        page_records: Most records of a page of a snapshot.
    """
    page_records = 2

    def __init__(self, loop, faults):
        self._loop = loop
        self._faults = iter(faults)
        self.records = []
        self.written_at = []
        self.first = 0
        self.era = 0

    def put(self, key, value):
        self.records.append(
            changes.Record(key, value, len(self.records), era=self.era))
        self.written_at.append(self._loop.now)

    def restore(self, lost):
        """Comes back without the last ``lost`` records."""
        self.era += 1
        kept = max(0, len(self.records) - lost)
        self.records = [r._replace(era=self.era) for r in self.records[:kept]]
        del self.written_at[kept:]
        self.first = min(self.first, kept)

    def _respond(self, make, silence_s, done):
        fault = next(self._faults, 'ok')
        if fault == 'late':
            # Current when sent, but late.
            result = make()
            self._loop.call_later(silence_s * 0.9, lambda: done(result, None))
        elif fault == 'long':
            # Its bytes arrive one after the other, without a silence.
            result = make()
            self._loop.call_later(LONG_S, lambda: done(result, None))
        elif fault in ('lost', 'busy'):
            after = silence_s if fault == 'lost' else 0.004
            self._loop.call_later(after,
                                  lambda: done(None, errors.StoreError(fault)))
        else:
            self._loop.call_later(0.004, lambda: done(make(), None))

    def read_snapshot(self, after, silence_s, done):

        def make():
            newest = {r.key: r for r in self.records}
            found = sorted(
                r for r in newest.values() if r.value and r.key > after)
            return topic.SnapshotPage(found[:self.page_records],
                                      len(found) > self.page_records,
                                      len(self.records), self.era)

        self._respond(make, silence_s, done)

    def read(self, offset, wait_s, max_kb, silence_s, done, *, on_large=None):
        if wait_s > 0 and offset >= len(self.records):
            step_s = min(wait_s, WAIT_STEP_S)
            self._loop.call_later(
                step_s, lambda: self.read(offset,
                                          wait_s - step_s,
                                          max_kb,
                                          silence_s,
                                          done,
                                          on_large=on_large))
            return
        if offset < self.first or offset > len(self.records):
            self._loop.call_later(
                0.004, lambda: done(
                    None, errors.StoreError('gone', records_expired=True)))
            return
        self._respond(lambda: self._batch(offset, max_kb), silence_s, done)

    def _batch(self, offset, max_kb):
        found = self.records[offset:offset + READ_RECORDS]
        while len(found) > 1 and sum(
                len(r.value) for r in found) > max_kb * 1024:
            found.pop()
        return topic.Batch(found, offset + len(found), len(self.records),
                           self.era)


class ObservedState(topic.Listener):
    """A listener's state; asserts that it never reverts or is outdated."""

    def __init__(self, store):
        self._store = store
        self.newest = {}
        self.offsets = {}
        self.confirmed = []

    def on_snapshot(self, records):
        for key in set(self.newest) - {r.key for r in records}:
            del self.newest[key]
        for record in records:
            self.on_record(record)
        return records

    def on_record(self, record):
        assert record.offset >= self.offsets.get(record.key, 0)
        self.offsets[record.key] = record.offset
        if record.value:
            self.newest[record.key] = record.value
        else:
            self.newest.pop(record.key, None)
        return True

    def on_confirmed(self, sent_at):
        self.confirmed.append(sent_at)
        expected = {
            r.key: r
            for r, at in zip(
                self._store.records, self._store.written_at, strict=True)
            if at < sent_at
        }
        for key, record in expected.items():
            if self.offsets.get(key, -1) < record.offset:
                # A snapshot omits keys that were dropped by then.
                assert key not in self.newest
                assert self._dropped(key, record.offset)

    def _dropped(self, key, offset):
        return any(
            not r.value for r in self._store.records[offset:] if r.key == key)
