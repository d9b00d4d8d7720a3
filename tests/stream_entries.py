"""Entries that remember streams, their messages and store in simulated time."""

import heapq
import itertools
import random
import types

import stores

from gorsefall import errors
from gorsefall.policy import softwareversions
from gorsefall.relay import messages
from gorsefall.relay import positions
from gorsefall.relay import streamlog
from gorsefall.relay import streamorigins
from gorsefall.relay import versionstore
from gorsefall.relay import versionwitnesses

SERVICE = 'pool'
RTT_S = 0.003

READ_PAUSE_S = 1.0
"""Pause between two reads of the replicas, s."""

OBSERVED_S = 30.0
"""Time after which entries have seen which versions serve, s."""


class Store(stores.Store):
    """A store that is written under a condition, too, or is away.

    Attributes:
        away: Whether it says nothing.
        writes: Number of writes that were asked for.
        reads: Number of pages that were asked for.
    """
    page_records = 500

    def __init__(self, loop):
        super().__init__(loop, [])
        self.away = False
        self.writes = self.reads = 0
        self._sim = loop

    def _respond(self, make, silence_s, done):
        if self.away:
            self._sim.call_later(silence_s,
                                 lambda: done(None, errors.StoreError('away')))
        else:
            super()._respond(make, silence_s, done)

    def read_snapshot(self, after, silence_s, done):
        """See ``topic.Source``."""
        self.reads += 1
        super().read_snapshot(after, silence_s, done)

    def append(self, key, value, silence_s, done):
        """See ``topic.Source``."""
        self.append_at(key, value, None, silence_s, done)

    def append_all_at(self, records, end, silence_s, done):
        """See ``topic.Source``."""
        self.writes += 1

        def write():
            if end not in (None, len(self.records)):
                done(None, errors.ConflictError('ends elsewhere'))
                return
            for record in records:
                self.put(*record)
            done(positions.Position(self.era, end), None)

        if self.away:
            self._sim.call_later(silence_s,
                                 lambda: done(None, errors.StoreError('away')))
        else:
            self._sim.call_later(0.004, write)


class Entry:
    """One entry: its ``StreamOrigins``, what it sees, and its socket."""

    def __init__(self, fleet, host, store=None):
        self.fleet, self.host = fleet, host
        self.alive, self.heard_at = True, fleet.now
        self.started_at = fleet.now
        self.bytes_out = 0
        self.handlers = {}
        self.versions = softwareversions.VersionHistory()
        self.routes = softwareversions.RouteHistory()
        self.on_version_added = lambda origin: None
        self.store_lost = False
        self.loop = self
        self.observation = softwareversions.Observation(lambda: fleet.now)
        self.origins = streamorigins.StreamOrigins(self, self, self, 'k')
        self.origins.start(self)
        self.observe()
        if store is not None:
            self.origins.stream_log = streamlog.StreamLog(
                self, fleet.stream_store, self, host)
            self.origins.version_store = versionstore.VersionStore(
                self, store, self, host, fleet.rng)
            store = self.origins.version_store
            store.reader_names = self._readers
            store.witnesses = versionwitnesses.VersionWitnesses(
                self, self, self)
            store.witnesses.start(self)

    @property
    def alive(self):
        return self._alive

    @alive.setter
    def alive(self, alive):
        self._alive, self.heard_at = alive, self.fleet.now

    @property
    def now(self):
        return self.fleet.now

    def call_later(self, delay_s, action):
        """Calls ``action`` unless the process is gone by then."""

        def act():
            if self.alive:
                action()

        return self.fleet.call_later(delay_s, act)

    def observe(self):
        """Reads all replicas again and again, while it sees the store."""
        # Without a configuration it knows no replicas.
        if not self.store_lost and self.versions.all_origins(self.now):
            self.observation.record(self.now)
        self.call_later(READ_PAUSE_S, self.observe)

    def _readers(self):
        return [
            h for h, e in self.fleet.entries.items()
            if e.alive and not e.store_lost
        ]

    def host_of(self, name, now):
        return name if name in self.live_hosts(now) else None

    def oldest_host(self, now):
        others = [
            e for h, e in self.fleet.entries.items()
            if e.alive and e is not self
        ]
        oldest = min(others, key=lambda e: e.started_at, default=None)
        return None if oldest is None else oldest.host

    def heard_since(self, at):
        # Those at the same host are told apart by their age.
        return [
            h for h, e in self.fleet.entries.items()
            if h != self.host and (e.alive or e.heard_at >= at)
        ]

    def live_hosts(self, now):
        # Also those that died a moment ago, which nobody knows yet.
        del now
        return [h for h in self.fleet.entries if h != self.host]

    def register_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, host):
        data = messages.encode(message)
        self.bytes_out += len(data)
        if self.fleet.rng.random() >= self.fleet.loss:
            self.fleet.deliver(self, host, messages.decode(data))

    def remove(self, version):
        self.versions.remove(SERVICE, version, self.now)

    def add(self, version):
        new = version not in self.versions.served(SERVICE, self.fleet.now)
        self.versions.add(SERVICE, version)
        if new:
            self.on_version_added(softwareversions.Origin(SERVICE, version))


class Fleet:
    """Entries, their messages and timers in simulated time."""
    entry_type = Entry

    def __init__(self, count, versions, loss=0.0, seed=1, stored=False):
        self.now = 100.0
        self.loss = loss
        self.rng = random.Random(seed)
        self.due = []
        self._numbers = itertools.count()
        self.store = Store(self) if stored else None
        self.stream_store = Store(self) if stored else None
        self.versions = list(versions)
        self.entries = {}
        for i in range(count):
            self.entries[f'10.0.{i // 250}.{i % 250}'] = None
        for host in self.entries:
            self.entries[host] = types.SimpleNamespace(alive=True)
        for host in list(self.entries):
            self.entries[host] = self.entry_type(self, host, self.store)
        for entry in self.entries.values():
            for version in versions:
                entry.add(version)
        self.hosts = list(self.entries)
        self.run(OBSERVED_S)

    def restart(self, hosts):
        """Kills the entries at some hosts, and starts them anew at once."""
        for host in hosts:
            self.entries[host].alive = False
            self.entries[host] = self.entry_type(self, host, self.store)
        for host in hosts:
            for version in self.versions:
                self.entries[host].add(version)

    def replace(self, old, new):
        """Kills all entries, and starts them as other replicas serve."""
        for entry in self.entries.values():
            entry.alive = False
        self.remove(old)
        self.add(new)
        self.restart(self.hosts)

    def set_away(self, away):
        """Has the store away for all entries, which know it, or back."""
        self.store.away = away
        for entry in self.entries.values():
            entry.store_lost = away

    def add(self, version):
        self.versions.append(version)
        for entry in self.entries.values():
            entry.add(version)

    def remove(self, version):
        self.versions.remove(version)
        for entry in self.entries.values():
            entry.remove(version)

    def call_later(self, delay_s, action):
        timer = types.SimpleNamespace(action=action, cancelled=False)
        timer.cancel = lambda: setattr(timer, 'cancelled', True)
        heapq.heappush(self.due,
                       (self.now + delay_s, next(self._numbers), timer))
        return timer

    def deliver(self, sender, host, message):
        entry = self.entries[host]

        def receive():
            if entry.alive:
                entry.handlers[type(message)](message, sender.host)

        self.call_later(RTT_S / 2, receive)

    def run(self, for_s):
        end = self.now + for_s
        while self.due and self.due[0][0] <= end:
            at, _, timer = heapq.heappop(self.due)
            if not timer.cancelled:
                self.now = at
                timer.action()
        self.now = end

    def begin(self, host, rid, version, services=(SERVICE,), route=''):
        origins = self.entries[host].origins
        origins.record_begun(origins.digest('a', rid),
                             softwareversions.Origin(services[0], version),
                             services,
                             route=route)

    def take_up(self, host, rid, account='a', services=(SERVICE,), route=''):
        """Returns the ``Decision``, and after how long it was made, s."""
        found = []
        began = self.now
        origins = self.entries[host].origins
        origins.look_up(origins.digest(account, rid),
                        services,
                        lambda decision, answers: found.append(
                            (decision, self.now - began)),
                        route=route)
        self.run(0.2)
        ((decision, after_s),) = found
        return decision, after_s
