"""Stateful fuzzing of the catalogue against a linear oracle.

Guards against a version that decreases, an accepted change that is lost or
silently overwritten, and readers that disagree on which change was accepted.
The rules interleave changes based on old and new versions, malformed records,
replays, duplicates, expired records and restarts from a snapshot. A reader
fails if its decision depends on when it reads a record.
"""

import msgspec
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from gorsefall import catalogue

NAMES = ('a', 'b', 'c')


def _change(cid, base, name, rate, tier=1):
    change = catalogue.Change(id=cid,
                              base=base,
                              classes=[
                                  catalogue.Klass(owner='o',
                                                  name=name,
                                                  tier=tier,
                                                  pool='p',
                                                  rate_per_s=rate)
                              ])
    return msgspec.to_builtins(change)


class CatalogueMachine(stateful.RuleBasedStateMachine):
    """Readers of one stream against an oracle of accepted changes."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.start = 0
        self.version = 0
        self.rates = {}
        self.changed_at = {}
        self.accepted = []
        self.readers = [catalogue.State() for _ in range(3)]
        self.seen = [0, 0, 0]
        self.snapshot = None

    @stateful.rule(name=st.sampled_from(NAMES),
                   behind=st.integers(0, 4),
                   good=st.booleans())
    def publish(self, name, behind, good):
        cid = f'c{len(self.log)}'
        base = max(0, self.version - behind)
        rate = float(len(self.log) + 1)
        tier = 1 if good else 9
        self.log.append(_change(cid, base, name, rate, tier))
        if good and self.changed_at.get(name, 0) <= base:
            self.version += 1
            self.rates[name] = rate
            self.changed_at[name] = self.version
            self.accepted.append(cid)

    @stateful.rule()
    def append_malformed(self):
        self.log.append({'type': 'change', 'id': 5})

    @stateful.rule(index=st.integers(0, 100))
    def duplicate(self, index):
        if self.log:
            # The second copy is based on a version older than the first one.
            self.log.append(self.log[index % len(self.log)])
            data = self.log[-1]
            if data.get('base') is None or data['classes'][0]['tier'] == 9:
                return
            name = data['classes'][0]['name']
            if self.changed_at.get(name, 0) <= data['base']:
                self.version += 1
                self.rates[name] = data['classes'][0]['rate_per_s']
                self.changed_at[name] = self.version
                self.accepted.append(data['id'])

    @stateful.rule(i=st.integers(0, 2),
                   limit=st.integers(1, 20),
                   replay=st.booleans())
    def read(self, i, limit, replay):
        reader = self.readers[i]
        if reader.offset < self.start:
            assert reader.restore(self.snapshot)
        begin = self.start if replay else reader.offset
        for off in range(begin, min(reader.offset + limit, len(self.log))):
            reader.apply(off, self.log[off])
            reader.apply(off, self.log[off])
        assert reader.version >= self.seen[i], 'version decreased'
        self.seen[i] = reader.version

    @stateful.rule(i=st.integers(0, 2))
    def take_snapshot(self, i):
        snap = self.readers[i].snapshot()
        if self.snapshot is None or snap.as_of >= self.snapshot.as_of:
            raw = msgspec.json.encode(snap)
            self.snapshot = msgspec.json.decode(raw, type=catalogue.Snapshot)

    @stateful.rule(i=st.integers(0, 2))
    def an_old_snapshot_is_not_restored(self, i):
        reader = self.readers[i]
        before = (reader.version, reader.offset)
        if self.snapshot and self.snapshot.as_of < reader.offset:
            assert not reader.restore(self.snapshot)
            assert (reader.version, reader.offset) == before

    @stateful.rule()
    def expire(self):
        if self.snapshot:
            self.start = max(self.start, self.snapshot.as_of + 1)

    @stateful.rule(i=st.integers(0, 2))
    def restart(self, i):
        if self.snapshot or not self.start:
            self.readers[i] = catalogue.State()
            self.seen[i] = 0

    @stateful.invariant()
    def readers_agree_with_the_oracle(self):
        for reader in self.readers:
            assert reader.version <= self.version
            if reader.offset == len(self.log):
                assert reader.version == self.version
                rates = {k.name: k.rate_per_s for k in reader.doc.classes}
                assert rates == self.rates
            ids = list(reader.accepted)
            assert ids == [c for c in self.accepted if c in reader.accepted]


TestCatalogue = CatalogueMachine.TestCase
TestCatalogue.settings = settings(max_examples=150,
                                  stateful_step_count=50,
                                  deadline=None,
                                  derandomize=True)
