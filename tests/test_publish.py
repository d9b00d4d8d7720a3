"""Publishing reports the correct result despite concurrent writes."""

import msgspec
import pytest

from gorsefall import catalogue
from gorsefall import errors
from gorsefall import messages
from gorsefall import logclient
from gorsefall import publish

ADDR = ('127.0.0.1', 1)


class Log:
    """An in-memory log service.

    Attributes:
        streams: ``name -> [(offset, data)]``.
        after_append: Called with the stream's name after each append.
    """

    def __init__(self):
        self.streams = {publish.STREAM: [], publish.SNAPSHOTS: []}
        self._ends = dict.fromkeys(self.streams, 0)
        self.after_append = lambda stream: None
        self.lose_reply = False

    def append(self, addr, stream, records):
        offset = self._ends[stream]
        for data in records:
            self.streams[stream].append((self._ends[stream], data))
            self._ends[stream] += 1
        self.after_append(stream)
        if self.lose_reply:
            raise errors.LogServiceError('reply lost')
        return offset

    def read_all(self, addr, stream, start=0):
        retained = self.streams[stream]
        first = retained[0][0] if retained else self._ends[stream]
        out = [messages.StreamRecord(o, d) for o, d in retained if o >= start]
        return out, max(start, first), self._ends[stream]

    def trim(self, stream, keep):
        del self.streams[stream][:-keep]


@pytest.fixture
def log(monkeypatch):
    service = Log()
    monkeypatch.setattr(logclient, 'append', service.append)
    monkeypatch.setattr(logclient, 'read_all', service.read_all)
    return service


def _doc(rate):
    limits = catalogue.Customer(name='c', rate_per_s=rate, concurrency=1)
    return catalogue.Document(customers=[limits])


def _write_snapshot_after_next_change(log):
    """Simulates an entry that writes a snapshot right after the next change."""

    def write(stream):
        if stream == publish.STREAM:
            log.after_append = lambda stream: None
            state = publish.current(ADDR)
            log.append(ADDR, publish.SNAPSHOTS,
                       [msgspec.to_builtins(state.snapshot())])

    log.after_append = write


def test_a_snapshot_that_covers_the_change_does_not_hide_it(log):
    """Reading back must continue from the state before the append.

    Otherwise an accepted change is reported as "not in the stream": old
    records have expired, an entry writes a snapshot that covers the new
    change, and reading back starts from that snapshot, which does not contain
    which change led to which version.
    """
    for rate in (1.0, 2.0, 3.0):
        publish.publish(ADDR, _doc(rate))
    log.trim(publish.STREAM, 1)
    _write_snapshot_after_next_change(log)
    assert publish.publish(ADDR, _doc(4.0)) == 4


def test_a_change_whose_reply_was_lost_is_found(log):
    publish.publish(ADDR, _doc(1.0))
    log.lose_reply = True
    assert publish.publish(ADDR, _doc(2.0)) == 2


def test_records_that_expire_while_publishing(log):
    """Records that expire between both reads are replaced by a snapshot."""
    for rate in (1.0, 2.0, 3.0):
        publish.publish(ADDR, _doc(rate))

    def expire(stream):
        if stream == publish.STREAM:
            log.trim(publish.STREAM, 1)

    log.after_append = expire
    assert publish.publish(ADDR, _doc(4.0)) == 4


def test_the_error_contains_why_a_change_was_not_written(log, monkeypatch):
    """The cause must follow the text that the change may still appear."""
    publish.publish(ADDR, _doc(1.0))

    def refuse(addr, stream, records):
        raise errors.LogServiceError('429 append rate exceeded')

    monkeypatch.setattr(logclient, 'append', refuse)
    with pytest.raises(errors.LogServiceError, match='append rate exceeded'):
        publish.publish(ADDR, _doc(2.0))
