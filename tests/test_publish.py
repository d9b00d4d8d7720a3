"""What an operator is told of a change, whatever else is written meanwhile."""

import msgspec
import pytest

from gorsefall import catalogue
from gorsefall import errors
from gorsefall import messages
from gorsefall import logclient
from gorsefall import publish

ADDR = ('127.0.0.1', 1)


class Log:
    """The log service's streams, without network.

    Attributes:
        streams: ``name -> [(offset, data)]``.
        after_append: Called with the stream's name after each append.
    """

    def __init__(self):
        self.streams = {publish.STREAM: [], publish.SNAPSHOTS: []}
        self._ends = dict.fromkeys(self.streams, 0)
        self.after_append = lambda stream: None
        self.lose = False

    def append(self, addr, stream, records):
        offset = self._ends[stream]
        for data in records:
            self.streams[stream].append((self._ends[stream], data))
            self._ends[stream] += 1
        self.after_append(stream)
        if self.lose:
            raise errors.LogServiceError('reply lost')
        return offset

    def read_all(self, addr, stream, start=0):
        kept = self.streams[stream]
        first = kept[0][0] if kept else self._ends[stream]
        out = [messages.StreamRecord(o, d) for o, d in kept if o >= start]
        return out, max(start, first), self._ends[stream]

    def trim(self, stream, keep):
        del self.streams[stream][:-keep]


@pytest.fixture
def log(monkeypatch):
    found = Log()
    monkeypatch.setattr(logclient, 'append', found.append)
    monkeypatch.setattr(logclient, 'read_all', found.read_all)
    return found


def _doc(rate):
    limits = catalogue.Customer(name='c', rate_per_s=rate, concurrency=1)
    return catalogue.Document(customers=[limits])


def _snapshot_by_an_entry(log):
    """Has an entry renew the snapshot right after the next change."""

    def renew(stream):
        if stream == publish.STREAM:
            log.after_append = lambda stream: None
            state = publish.current(ADDR)
            log.append(ADDR, publish.SNAPSHOTS,
                       [msgspec.to_builtins(state.snapshot())])

    log.after_append = renew


def test_a_snapshot_that_covers_the_change_does_not_hide_it(log):
    """An accepted change that its operator is told may be lost.

    Symptom: "the change is not in the stream", seen once in a scenario of two
    operators, right after one that had old records expire. Sequence: old
    records are gone, so states start from the newest snapshot; an operator's
    change is appended; an entry, whose snapshot is due, adds one that covers
    it; the operator reads back and starts behind the change. Cause: reading
    back forgot what was known before, and with it which change made which
    version.
    """
    for rate in (1.0, 2.0, 3.0):
        publish.publish(ADDR, _doc(rate))
    log.trim(publish.STREAM, 1)
    _snapshot_by_an_entry(log)
    assert publish.publish(ADDR, _doc(4.0)) == 4


def test_a_change_whose_reply_was_lost_is_found(log):
    publish.publish(ADDR, _doc(1.0))
    log.lose = True
    assert publish.publish(ADDR, _doc(2.0)) == 2


def test_records_that_expire_while_publishing(log):
    """What expires between both reads is made good by a snapshot."""
    for rate in (1.0, 2.0, 3.0):
        publish.publish(ADDR, _doc(rate))

    def expire(stream):
        if stream == publish.STREAM:
            log.trim(publish.STREAM, 1)

    log.after_append = expire
    assert publish.publish(ADDR, _doc(4.0)) == 4


def test_why_a_change_was_not_written_is_told(log, monkeypatch):
    """Symptom: an operator reads that a change may yet come, and not why."""
    publish.publish(ADDR, _doc(1.0))

    def refuse(addr, stream, records):
        raise errors.LogServiceError('429 append rate exceeded')

    monkeypatch.setattr(logclient, 'append', refuse)
    with pytest.raises(errors.LogServiceError, match='append rate exceeded'):
        publish.publish(ADDR, _doc(2.0))
