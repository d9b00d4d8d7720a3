"""What cannot be read of the store, or of other entries, costs itself alone."""

import types
from unittest import mock

import msgspec
import pytest

import entries
import stores

from gorsefall import errors
from gorsefall import replies
from gorsefall.duties import claims
from gorsefall.net import links
from gorsefall.policy import entrystatus
from gorsefall.policy import freshness
from gorsefall.policy import softwareversions
from gorsefall.relay import changes
from gorsefall.relay import crashstore
from gorsefall.relay import forwardmessages
from gorsefall.relay import malformed
from gorsefall.relay import messages
from gorsefall.relay import routerecord
from gorsefall.relay import snapshots
from gorsefall.relay import streamlog
from gorsefall.relay import topic
from gorsefall.relay import topicfollower
from gorsefall.relay import versionrecords

DEPTH = 30_000
NESTED = b'\x91' * DEPTH + b'\x01'
NESTED_JSON = b'[' * DEPTH + b']' * DEPTH

_ORIGIN = softwareversions.Origin('s', 'v1')
_REPORT = entrystatus.RunReport(b'd' * 16, 0, 'r')


def _extended(value, *path):
    """Returns a value with one more element, nested deeply.

    Args:
        value: An array, msgpack.
        *path: Indices of the inner array that gets the element.
    """
    raw = msgspec.msgpack.decode(value)
    inner = raw
    for i in path:
        inner = inner[i]
    inner.append(msgspec.Raw(NESTED))
    return msgspec.msgpack.encode(raw)


@pytest.mark.parametrize(('decode', 'value'), [
    (claims.decode, _extended(claims.encode(claims.Claim()))),
    (claims.decode, NESTED),
    (lambda v: crashstore.decode(v, 0),
     _extended(crashstore.encode([_REPORT], 0), 0)),
    (lambda v: crashstore.decode(v, 0), NESTED),
    (routerecord.decode, b'\x81\xa1s' + NESTED),
    (messages.decode, _extended(messages.encode(messages.AskVersions(1)))),
    (messages.decode, NESTED),
    (forwardmessages.decode,
     _extended(forwardmessages.encode(forwardmessages.Refused('x')))),
    (forwardmessages.decode, NESTED),
])
def test_each_decoder_fails_in_one_way(decode, value):
    """A nested value raised what no reader of records expects."""
    with pytest.raises(errors.GorsefallError):
        decode(value)


def _snapshot(values):
    records = [
        changes.Record(key, value, i)
        for i, (key, value) in enumerate(values.items())
    ]
    return snapshots.Snapshot(records, len(records), 0)


def test_a_version_that_cannot_be_read_costs_no_other():
    """No version was known as long as one record could not be read."""
    found = versionrecords.decode(
        _snapshot({
            'a': b'["s",' + NESTED_JSON + b']',
            'b': versionrecords.encode(_ORIGIN)[1],
            'c': b'["s","v2",' + NESTED_JSON + b']',
            versionrecords.ROUTES_KEY: b'\x81\xa1s' + NESTED,
        }))
    assert found.origins == {_ORIGIN}
    assert not found.proven


def test_streams_that_cannot_be_read_cost_no_others():
    """Streams of all entries were unknown beside one that cannot be read."""
    loop = stores.Loop()
    log = streamlog.StreamLog.__new__(streamlog.StreamLog)
    log._loop = loop
    log._log = types.SimpleNamespace(warning=lambda *a, **kw: None)
    log._keep(_snapshot({'a': NESTED, 'b': msgspec.msgpack.encode(())}))
    assert log._batches == []
    assert log._read_at == loop.now


def test_a_response_of_nested_json_is_no_json(monkeypatch):
    """A caller of the log service waited for ever."""
    started = {}

    def call(mgr, addr, method, path, body, **kw):
        started.update(kw)
        return types.SimpleNamespace(status=200)

    monkeypatch.setattr(links, 'call', call)
    found = []
    links.fetch_json(None,
                     None,
                     'GET',
                     '/',
                     done=lambda *result: found.append(result))
    started['on_data'](NESTED_JSON)
    started['on_end'](None)
    assert found == [(200, None, None)]


def test_a_body_of_nested_json_is_refused():
    """A caller of the own wire got an internal error."""
    body = types.SimpleNamespace(seek=lambda at: None,
                                 read=lambda size: NESTED_JSON[:size])
    with pytest.raises(errors.BadRequestError):
        replies.read_json(types.SimpleNamespace(body=body), len(NESTED_JSON),
                          list)


class _Choking(stores.ObservedState):
    """A listener that some records make fail."""

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        for key in set(self.newest) - {r.key for r in records}:
            del self.newest[key]
        return [r for r in records if self.apply(r)]

    def on_record(self, record):
        """See ``topic.Listener``."""
        if record.value == b'foreign':
            raise RecursionError('too deep')
        return super().on_record(record)

    def on_unusable_record(self, record, exc):
        """See ``topic.Listener``."""
        self.offsets[record.key] = record.offset
        return True


FOREIGN = ('0', 'b', 'zz')


@pytest.fixture(name='site', params=[1, 28])
def _site(request):
    loop = stores.Loop()
    with (mock.patch.object(stores, 'Loop', lambda: loop),
          mock.patch.object(freshness, 'clock', lambda: loop.now)):
        yield entries.Site(
            request.param,
            'abcdefg',
            new_listener=lambda entry: _Choking(entry.site.store))


def _check_reads_go_on(site, key):
    for foreign in FOREIGN:
        site.store.put(foreign, b'foreign')
    site.store.put(key, b'sound')
    site.run(3.0)
    assert all(e.observed.newest.get(key) == b'sound' for e in site.entries)
    assert all(e.age_s() < entries.BOUND_S for e in site.entries)


def test_reads_go_on_whatever_becomes_of_one_record(site):
    """One record made every entry stop reading, and none start."""
    site.run(3.0)
    _check_reads_go_on(site, 'c')
    for entry in site.entries:
        entry.loop.dead = True
    for entry in site.entries:
        entry.start()
    site.run(3.0)
    _check_reads_go_on(site, 'd')


class _FailingSnapshot(topic.Listener):
    """A listener whose first snapshots fail."""

    def __init__(self, failures):
        self._failures = failures
        self.confirmed = False

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        self._failures -= 1
        if self._failures >= 0:
            raise ValueError('fault')
        return records

    def on_confirmed(self, sent_at):
        """See ``topic.Listener``."""
        self.confirmed = True


def test_a_reader_outlasts_a_fault_in_what_it_calls():
    """A reader that failed once waited for a response that had come."""
    loop = stores.Loop()
    store = stores.Store(loop, ())
    store.put('a', b'x')
    listener = _FailingSnapshot(3)
    topicfollower.Follower(loop, store, listener, name='t').start()
    loop.run(loop.now + 8.0)
    assert listener.confirmed


class _SamePage(stores.Store):
    """Has pages whose last key cannot be named, so that the next is the same.

    Attributes:
        asked: The keys after which pages were asked for.
    """

    def __init__(self, loop, last_key):
        super().__init__(loop, ())
        self.asked = []
        self._last_key = last_key

    def read_snapshot(self, after, silence_s, done):
        """See ``topic.Source``."""
        self.asked.append(after)
        keys = ['a', 'b\ufffd'] if after < 'b' else ['b\ufffd']
        page = topic.SnapshotPage(
            [changes.Record(k, b'v', i) for i, k in enumerate(keys)],
            True,
            9,
            last_key=self._last_key)
        self._loop.call_later(0.004, lambda: done(page, None))


@pytest.mark.parametrize('last_key', [None, 'a'])
def test_a_page_that_leads_no_further_is_the_last(last_key):
    """Pages of keys that are no text were read for ever."""
    loop = stores.Loop()
    store = _SamePage(loop, last_key)
    found = []
    snapshots.SnapshotReader(
        loop, store).read(lambda snapshot, exc: found.append(snapshot))
    listener = _FailingSnapshot(0)
    topicfollower.Follower(loop, store, listener, name='t').start()
    loop.run(loop.now + 1.0)
    assert found
    assert listener.confirmed
    assert found[0].records[0].key == 'a'


def test_one_that_waits_for_a_snapshot_and_fails_keeps_no_other():
    """Who waited for the same read got no result, and no later read began."""
    loop = stores.Loop()
    store = stores.Store(loop, ())
    reader = snapshots.SnapshotReader(loop, store)
    found = []

    def fail(snapshot, exc):
        raise ValueError('fault')

    # What is asked during a read shares the next one.
    reader.read(lambda snapshot, exc: None)
    reader.read(fail)
    reader.read(lambda snapshot, exc: found.append(snapshot))
    for _ in range(2):
        try:
            loop.run(loop.now + 1.0)
        except ValueError:
            # The reactor logs it and goes on.
            continue
    assert len(found) == 1


def test_many_records_that_cannot_be_read_are_few_lines():
    """An entry that started wrote a line for each of 100,000 before it was
    ready."""
    log = mock.MagicMock()
    records = malformed.MalformedRecords(log, 'replicas')
    for i in range(5000):
        records.record_fault(changes.Record(f'{i}', b'', i),
                             errors.RecordError('x'))
    assert len(log.error.mock_calls) <= malformed.MAX_LINES


class _Picky(topic.Listener):
    """A listener that can use no record of more than some bytes."""

    def __init__(self):
        self.sizes = {}

    def is_usable(self, record):
        """See ``topic.Listener``."""
        return record.value.startswith(b'sound')

    def on_snapshot(self, records):
        """See ``topic.Listener``."""
        self.sizes = {r.key: (len(r.value), r.well_formed) for r in records}
        return records


def test_long_values_that_cannot_be_used_are_not_held():
    """Some hundred records at the size limit took the memory of an entry that
    started."""
    loop = stores.Loop()
    store = stores.Store(loop, ())
    for key in 'abc':
        store.put(key, b'x' * 262_000)
    store.put('d', b'sound' * 200)
    store.put('e', b'short')
    listener = _Picky()
    topicfollower.Follower(loop, store, listener, name='t').start()
    loop.run(loop.now + 1.0)
    assert listener.sizes == {
        'a': (0, False),
        'b': (0, False),
        'c': (0, False),
        'd': (1000, True),
        'e': (5, True)
    }
