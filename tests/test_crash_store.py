"""What crashes replicas, in a store that comes back from an older copy."""

import types

from gorsefall.emulator import clock
from gorsefall.policy import entrystatus
from gorsefall.policy import rendezvous
from gorsefall.relay import crashstore
from gorsefall.relay import topic

NAMES = ['a', 'b', 'c']
DIGESTS = [b'one', b'two', b'three', b'four']


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


def _crashes(name, blamed):
    """Returns what a ``crashstore.CrashStore`` uses of a ``CrashTracker``."""
    reports = types.SimpleNamespace(
        of=lambda digest: [entrystatus.RunReport(digest, 5, 'r1', 1)])
    others = [n for n in NAMES if n != name]
    return types.SimpleNamespace(reports=reports,
                                 suspects=types.SimpleNamespace(blamed=blamed),
                                 entry_names=lambda: [name, *others])


def _stores(blamed):
    loop = clock.Loop()
    source = _Store(loop)
    return loop, source, [
        crashstore.CrashStore(loop, source, _crashes(name, blamed))
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
