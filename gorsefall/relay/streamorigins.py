"""Finds out where a stream began, at any entry.

While a stream may have begun at several software versions or services, the
entry that begins it tells a few others, chosen by hash, so that it can be taken
up at any entry when the first one is gone. An entry at which a stream is taken
up asks those that would have been told, and the store for the versions: all of
these entries may have just started. What none of them knows is sought in the
store, too.
"""

import collections
import dataclasses
import random
import typing

from gorsefall import digests
from gorsefall import ids
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import rendezvous
from gorsefall.policy import softwareversions
from gorsefall.policy import streammemory
from gorsefall.relay import messages
from gorsefall.relay import missingrecords
from gorsefall.relay import routerecord
from gorsefall.relay import versionrecords

TOLD_ENTRIES = 3
"""Entries that are told of a stream: it is known after two were lost."""

ASKED_ENTRIES = 5
"""Entries that are asked: their order differs by those that have come and gone
since, and by the two that choose, which do not choose themselves."""

ANSWER_TIMEOUT_S = 0.1
"""Longest wait for answers, s: a round trip takes up to 20 ms, and the shortest
objective of a stream is 250 ms."""

MAX_STREAMS_PER_MESSAGE = 100
"""Streams in one message, which is then some 3 KB long."""


@dataclasses.dataclass(eq=False)
class _Lookup:
    """A question to other entries whose answers are awaited."""

    digest: ids.StreamDigest | None
    services: tuple[ids.ServiceName, ...]
    route: str
    own: softwareversions.Knowledge
    hosts: list[str]
    done: typing.Callable
    stored: versionrecords.StoredVersions | None = None
    store_read: bool = False
    answers: dict = dataclasses.field(default_factory=dict)
    timer: typing.Any = None


class StreamOrigins:
    """The streams that began of late, and the questions about them.

    Attributes:
        routes: The ``softwareversions.RouteHistory`` of ``fleet``.
        version_store: The ``versionstore.VersionStore``; None without one.
        stream_log: The ``streamlog.StreamLog``; None without one.
    """

    def __init__(self, loop, fleet, members, digest_key, *, rng=random):
        """Creates the state of an entry without other entries.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            members: The ``membership.Members``.
            digest_key: Key shared by all entries.
            rng: A ``random.Random``.
        """
        self._loop = loop
        self._fleet = fleet
        self._members = members
        self._digest_key = digest_key
        self._memory = streammemory.StreamMemory()
        self._peers = None
        self._lookups = {}
        self._rng = rng
        self.routes = fleet.routes
        self.version_store = self.stream_log = None
        self._log = logs.get('streams')
        fleet.on_version_added = self._on_version_added

    def start(self, peers):
        """Begins to talk to other entries, if there are ``peers``."""
        self._peers = peers
        if peers is not None:
            peers.register_handler(messages.StreamsBegun, self._on_begun)
            peers.register_handler(messages.AskStream, self._on_ask)
            peers.register_handler(messages.StreamKnown, self._on_known)

    def digest(self, account, request_id):
        """Returns the ``ids.StreamDigest`` of a stream.

        An id that another account names is another stream, of which nothing is
        known.

        Args:
            account: Name of the client account; '' on public routes.
            request_id: Id of the request that brought its first event.
        """
        return digests.stream_digest(self._digest_key.encode(), account,
                                     request_id)

    def __len__(self):
        return len(self._memory)

    @property
    def age_s(self):
        """Time for which this entry has observed which versions serve, s."""
        return round(self._fleet.observation.age_s, 1)

    def unrecorded(self, service):
        """Returns versions at which no stream should begin yet, a set."""
        if self.version_store is None:
            return set()
        return self.version_store.unrecorded(service)

    def admit(self, beginning, retry):
        """Returns whether a stream may begin now.

        Args:
            beginning: The ``missingrecords.Beginning``.
            retry: Called later if not.
        """
        return (self.version_store is None or
                self.version_store.admit(beginning, retry))

    # -- streams of this entry -------------------------------------------------

    def record_begun(self, digest, origin, services, *, route=''):
        """Records that a caller gets events of a stream.

        Args:
            digest: Its ``ids.StreamDigest``.
            origin: The ``softwareversions.Origin`` of its replica.
            services: Names of the services of its route.
            route: ``model.Route.key`` of its route.
        """
        now = self._loop.now
        self._memory.put(digest, streammemory.BegunStream(origin, now,
                                                          own=True))
        versions = self._fleet.versions
        versions.record_running(origin, now)
        if self.version_store is not None:
            self.version_store.on_stream_begun(
                missingrecords.Beginning(origin.service,
                                         frozenset({origin.software}), route))
        # Another version may come after the keeper has dropped this one.
        if (versions.origins(services, now) != {origin} or
                not versions.has_replicas(origin)):
            self._tell([(digest, origin.software)], origin.service)

    def record_served(self, digest):
        """Records that the caller has the whole stream."""
        self._memory.forget(digest)

    def _on_version_added(self, origin):
        """Tells others of the running streams when a second version serves."""
        if self.version_store is not None:
            self.version_store.on_version_added(origin)
        now, service = self._loop.now, origin.service
        served = self._fleet.versions.served(service, now)
        if len(served) < 2:
            return
        streams = self._memory.own(service, now)
        self._log.info('versions_serve',
                       service=service,
                       versions=sorted(served),
                       streams=len(streams))
        self._tell([(digest, s.origin.software) for digest, s in streams],
                   service)

    def _tell(self, streams, service):
        """Tells a few others of streams, and the one that stores each."""
        told = collections.defaultdict(list)
        hosts = self._members.live_hosts(self._loop.now)
        for stream in streams:
            chosen = set(rendezvous.top(stream[0], hosts, TOLD_ENTRIES))
            chosen |= self._keeper_hosts(
                softwareversions.Origin(service, stream[1]))
            writer = None
            if self.stream_log is not None:
                writer = self.stream_log.writer(stream[0])
                if writer is None:
                    self.stream_log.add([stream], service)
                else:
                    chosen.add(writer)
            for host in chosen:
                told[host, host == writer].append(stream)
        for (host, to_store), part in told.items():
            self._send_begun(host, service, part, to_store)

    def _keeper_hosts(self, origin):
        """Returns whom to tell so that a version is not dropped, a set."""
        versions = self._fleet.versions
        if self.version_store is None or versions.has_replicas(origin):
            return set()
        host = self._members.host_of(self.version_store.keeper(),
                                     self._loop.now)
        return set() if host is None else {host}

    def _send_begun(self, host, service, streams, to_store):
        for first in range(0, len(streams), MAX_STREAMS_PER_MESSAGE):
            part = streams[first:first + MAX_STREAMS_PER_MESSAGE]
            metrics.STREAMS_TOLD.inc(len(part))
            self._peers.send(
                messages.StreamsBegun(service, tuple(part), to_store), host)

    # -- streams that are taken up ---------------------------------------------

    def look_up(self, digest, services, done, *, route=''):
        """Finds out where a stream may go on.

        Args:
            digest: Its ``ids.StreamDigest``; None if its caller names none.
            services: Names of the services of its route, a tuple.
            route: ``model.Route.key`` of its route.
            done: Called with the ``softwareversions.Decision`` and the number
                of other entries that answered, now or after
                ``ANSWER_TIMEOUT_S`` at most.
        """
        own = self._knowledge(digest, services, route)
        hosts = self._hosts_to_ask(digest, own)
        lookup = _Lookup(digest, services, route, own, hosts, done)
        if own.began is not None:
            self._decide(lookup)
            return
        query_id = self._rng.getrandbits(63)
        self._lookups[query_id] = lookup
        lookup.timer = self._loop.call_later(ANSWER_TIMEOUT_S,
                                             lambda: self._end_lookup(query_id))
        for host in hosts:
            self._peers.send(
                messages.AskStream(query_id, digest or b'', services, route),
                host)
        self._read_versions(query_id)

    def _read_versions(self, query_id):
        """Reads the store beside: entries asked may all have just started."""

        def on_read(stored):
            lookup = self._lookups.get(query_id)
            if lookup is not None:
                lookup.stored, lookup.store_read = stored, True
                self._end_if_complete(query_id)

        if self.version_store is None:
            on_read(None)
        else:
            self.version_store.read(on_read)

    def _end_if_complete(self, query_id):
        lookup = self._lookups[query_id]
        if lookup.store_read and len(lookup.answers) == len(lookup.hosts):
            self._end_lookup(query_id)

    def _hosts_to_ask(self, digest, own):
        if self._peers is None or own.began is not None:
            return []
        now = self._loop.now
        hosts = rendezvous.top(digest or b'', self._members.live_hosts(now),
                               ASKED_ENTRIES)
        # All of these may have just started.
        oldest = self._members.oldest_host(now)
        return hosts if oldest in hosts or oldest is None else [*hosts, oldest]

    def _knowledge(self, digest, services, route):
        now = self._loop.now
        services = {*services, *self.routes.of_late(route, now)}
        return softwareversions.Knowledge(
            self._memory.origin(digest, now),
            self._fleet.versions.origins(services, now),
            self._fleet.observation.covers() and not self._fleet.store_lost)

    def _end_lookup(self, query_id):
        lookup = self._lookups.pop(query_id)
        lookup.timer.cancel()
        self._decide(lookup)

    def _decide(self, lookup):
        origins, services, older_copy = None, frozenset(), False
        if lookup.stored is not None:
            older_copy = not lookup.stored.in_era
            # Otherwise those that have observed all versions may say.
            origins = lookup.stored.origins if lookup.stored.proven else None
            services = routerecord.services_of(lookup.route,
                                               lookup.stored.routes)
        decision = softwareversions.decide(
            lookup.services,
            lookup.own,
            list(lookup.answers.values()),
            view_current=not self._fleet.store_lost,
            stored=origins,
            stored_services=services,
            older_copy=older_copy)
        if (decision.reason is softwareversions.Reason.SEVERAL_VERSIONS and
                lookup.digest is not None and self.stream_log is not None):
            self.stream_log.find(lookup.digest,
                                 lambda origin: self._on_sought(lookup, origin))
        else:
            self._finish(lookup, decision)

    def _on_sought(self, lookup, origin):
        """Goes by where the store says that a stream began, or refuses it."""
        self._finish(lookup,
                     softwareversions.decide_stored(origin, lookup.services))

    @staticmethod
    def _finish(lookup, decision):
        metrics.STREAMS_TAKEN_UP.labels(decision.reason.value).inc()
        lookup.done(decision, len(lookup.answers))

    # -- messages of other entries ---------------------------------------------

    def _on_begun(self, message, host):
        del host
        now = self._loop.now
        for digest, software in message.streams:
            origin = softwareversions.Origin(message.service, software)
            self._memory.put(digest,
                             streammemory.BegunStream(origin, now, own=False))
            self._fleet.versions.record_running(origin, now)
        if message.to_store and self.stream_log is not None:
            self.stream_log.add(message.streams, message.service)

    def _on_ask(self, message, host):
        known = self._knowledge(message.digest, message.services, message.route)
        self._peers.send(
            messages.StreamKnown(message.query_id, known.began,
                                 tuple(known.served), known.covers), host)

    def _on_known(self, message, host):
        lookup = self._lookups.get(message.query_id)
        if lookup is None or host not in lookup.hosts:
            # Late, repeated, or a response to an earlier process.
            return
        lookup.answers[host] = softwareversions.Knowledge(
            message.began, frozenset(message.served), message.covers)
        if message.began is not None:
            self._end_lookup(message.query_id)
        else:
            self._end_if_complete(message.query_id)
