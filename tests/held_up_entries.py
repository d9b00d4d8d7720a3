"""Entries that freeze, see late and lose the store, in simulated time."""

import types
import typing

import stream_entries

from gorsefall import errors
from gorsefall.policy import softwareversions
from gorsefall.relay import missingrecords
from gorsefall.relay import topic

Origin = softwareversions.Origin

NOTICE_S = 1.0
"""Time after which an entry notices that the store does not answer, s."""


class _Link(topic.Source):
    """The way of one entry to the store, which may be cut."""

    def __init__(self, store):
        self._store = store
        self.entry = None

    def _call(self, call, silence_s, done):
        entry = self.entry
        if entry.cut:
            entry.call_later(silence_s,
                             lambda: done(None, errors.StoreError('cut')))
            return
        call(lambda result, exc: entry.call_later(entry.answer_s, lambda: done(
            result, exc)))

    def read_snapshot(self, after, silence_s, done):
        self._call(
            lambda answer: self._store.read_snapshot(after, silence_s, answer),
            silence_s, done)

    def append_all_at(self, records, end, silence_s, done):
        self._call(
            lambda answer: self._store.append_all_at(records, end, silence_s,
                                                     answer), silence_s, done)


class Entry(stream_entries.Entry):
    """An entry that reads the replicas and routes of its ``World``.

    Attributes:
        frozen: Whether its process is stopped.
        cut: Whether the store does not answer it.
        answer_s: Delay of the store's answers, s.
    """
    frozen = cut = False
    answer_s = 0.0

    def __init__(self, fleet, host, store=None):
        self._backlog = []
        self._replicas = set()
        link = _Link(store)
        link.entry = self
        super().__init__(fleet, host, link)

    def call_later(self, delay_s, action):
        """See ``stream_entries.Entry``; a frozen one acts afterwards."""

        def act():
            if self.frozen:
                self._backlog.append(action)
            elif self.alive:
                action()

        return self.fleet.call_later(delay_s, act)

    def set_frozen(self, frozen):
        self.frozen = frozen
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.call_later(0.0, action)

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            self.call_later(NOTICE_S, self._notice)

    def _notice(self):
        self.store_lost = self.cut

    def observe(self):
        """Reads the world again and again, at times of its own."""
        self.call_later(self.fleet.rng.uniform(*self.fleet.view_range_s),
                        self.observe)
        if self.origins.version_store is None or self.cut:
            return
        self.store_lost = False
        world = self.fleet.world
        for origin in world.replicas - self._replicas:
            new = origin.software not in self.versions.served(
                origin.service, self.now)
            self.versions.add(origin.service, origin.software)
            if new:
                self.on_version_added(origin)
        for origin in self._replicas - world.replicas:
            self.versions.remove(origin.service, origin.software, self.now)
        self._replicas = set(world.replicas)
        self.routes.adopt({r: (s,) for r, s in world.routes.items()}, self.now)
        self.observation.record(self.now)

    def listed(self, service):
        """Returns the versions of a service with replicas, a set."""
        return {o.software for o in self._replicas if o.service == service}

    def service_of(self, route):
        """Returns the service that a route leads to; None if there is none."""
        return next(
            (o for o in self.fleet.services if self.routes.leads_to(route, o)),
            None)


class Stream(typing.NamedTuple):
    """A stream that has begun.

    Attributes:
        origin: The ``softwareversions.Origin`` where it did.
        route: Key of its route.
        began_at: When it did, s.
        excused: Whether the store did not answer its entry then.
    """
    origin: Origin
    route: str
    began_at: float
    excused: bool


class World(types.SimpleNamespace):
    """What is true: ``replicas``, origins, and ``routes``, to services."""


class Fleet(stream_entries.Fleet):
    """Entries before replicas and routes that change.

    Attributes:
        begun: ``id -> Stream`` of those that have begun.
        view_range_s: Range of the time between two reads of an entry, s.
    """
    entry_type = Entry
    view_range_s = (0.02, 1.0)

    def __init__(self, count, replicas, routes, seed=1):
        self.world = World(replicas={Origin(*r) for r in replicas},
                           routes=dict(routes))
        self.services = sorted({s for s, _ in replicas} | set(routes.values()))
        self.begun = {}
        super().__init__(count, [], seed=seed, stored=True)

    def begin_stream(self, host, rid, route):
        """Has a stream begin as the product does, once it is admitted."""
        entry = self.entries[host]

        def send():
            service = entry.service_of(route)
            listed = entry.listed(service)
            if not entry.alive or not listed:
                return
            lacking = entry.origins.unrecorded(service)
            free = listed - lacking
            beginning = missingrecords.Beginning(
                service, frozenset(() if free else lacking), route)
            if entry.origins.admit(beginning, send):
                self._begin(
                    entry, rid, route,
                    Origin(service, self.rng.choice(sorted(free or listed))))

        entry.call_later(0.0, send)

    def _begin(self, entry, rid, route, origin):
        if origin not in self.world.replicas:
            return
        self.begun[rid] = Stream(origin, route, self.now, entry.store_lost or
                                 entry.cut)
        entry.origins.record_begun(entry.origins.digest('a', rid),
                                   origin, (origin.service,),
                                   route=route)

    def kill(self, hosts):
        """Kills the entries at some hosts."""
        for host in hosts:
            self.entries[host].frozen = False
            self.entries[host].alive = False

    def start(self, hosts):
        """Starts new entries at some hosts."""
        for host in hosts:
            self.entries[host] = self.entry_type(self, host, self.store)

    def keeper(self):
        """Returns the host of the entry that stores versions."""
        live = next(e for e in self.entries.values() if e.alive)
        return live.origins.version_store.keeper()
