"""Ways to the replicas: own connections, or those of another entry."""

import random

from gorsefall import logs
from gorsefall import metrics
from gorsefall import settingsfile
from gorsefall.policy import forwarders
from gorsefall.policy import reachability
from gorsefall.relay import forwarding
from gorsefall.relay import prober
from gorsefall.relay import replicas

PROBE_PAUSE_S = 0.5
"""Pause between probes of replicas while paths are lost, s. An entry probes one
replica at a time, so that a returning path is not met by a rush."""

FIRST_PROBE_PAUSE_S = 0.0
"""Pause before the first probe of each replica once paths are in doubt, s. If
only some replicas have failed, it ends the doubt within a round trip."""

REGAINED_PROBE_PAUSE_S = 0.05
"""Pause after a probe that reached its replica, s."""

SHARE_REFRESH_S = 0.5
"""Period in which the share of the entries that reach a service is counted
anew, s."""

MAX_CHECKED = 3
"""Replicas that are connected to in turn to see whether the own paths work.
Some of them may have failed at the same time."""

MAX_ASKED = 3
"""Entries that are asked in turn about a replica."""

PAUSE_JITTER = (0.8, 1.2)
"""Range of the factor of a pause, so that entries do not probe in step."""


class Paths:
    """Sends calls to replicas, through another entry where it has to."""

    def __init__(self, node):
        """Creates paths of which none is lost.

        Args:
            node: The ``node.Node``.
        """
        self._node = node
        self._loop = node.loop
        self._services = {}
        self._unfit_until = {}
        self._shares = {}
        self._probe_timer = None
        self._probing = False
        self._client = None
        if node.cfg.peers:
            _, port = settingsfile.split_addr(node.cfg.peers)
            self._client = forwarding.Client(node.loop, port, self)
        self._log = logs.get('paths')

    def _service(self, name):
        paths = self._services.get(name)
        if paths is None:
            paths = self._services[name] = reachability.ServicePaths(
                lambda: len(self._node.fleet.of_service(name)),
                lambda: any(p.lost_since is not None
                            for p in self._services.values()))
        return paths

    # -- sending ---------------------------------------------------------------

    def needs_detour(self, replica):
        """Returns whether calls to a replica should go through another entry.

        Args:
            replica: The ``replicas.Replica``.
        """
        return self._service(replica.record.service).needs_detour(
            replica.record.id, self._loop.now)

    def send(self, replica, call, *, fresh=False):
        """Sends ``call``; returns the connection, with ``via``.

        Args:
            replica: The ``replicas.Replica``.
            call: The ``outbound.Call``; has the ``request_id``.
            fresh: See ``outbound.Pool.send``.
        """
        if self.needs_detour(replica):
            host = self._choose_forwarder(replica.record.service)
            if host is not None:
                return self._client.send(host, replica, call, fresh=fresh)
        return replica.pool.send(call, fresh=fresh)

    def _choose_forwarder(self, service):
        if self._client is None:
            return None
        return forwarders.choose(self._candidates(service), self._node.cfg.zone)

    def _candidates(self, service):
        """Returns the ``forwarders.Candidate`` objects, a list."""
        now = self._loop.now
        members = self._node.work.peer_view.members
        return [
            forwarders.Candidate(
                host, status.zone,
                service not in status.unreachable_services and
                self._unfit_until.get((host, service), 0.0) <= now,
                sum(work.requests
                    for work in status.in_flight.values()))
            for host, status in members.live_statuses(now)
        ]

    def has_room(self, replica):
        """Returns whether a call fits in spite of a full connection pool.

        The connections that a replica accepts are shared by all entries. Those
        that reach it use the shares of those that do not, for whom they
        forward.
        """
        if self.needs_detour(replica):
            return True
        share = self._reaching_share(replica.record.service)
        return replica.pool.size * share < replica.pool.max_size

    def _reaching_share(self, service):
        """Returns the share of live entries that reach a service, 0 to 1."""
        now = self._loop.now
        computed_at, share = self._shares.get(service, (float('-inf'), 1.0))
        if now - computed_at >= SHARE_REFRESH_S:
            candidates = self._candidates(service)
            reaching = 1 + sum(c.reaches for c in candidates)
            share = reaching / (1 + len(candidates))
            self._shares[service] = now, share
        return share

    def is_in_doubt(self, service):
        """Returns whether the paths to a service are lost, or may be."""
        return self._service(service).is_in_doubt(self._loop.now)

    def unreachable_services(self):
        """Returns the services whose paths are lost or in doubt, a tuple."""
        return tuple(name for name in self._services if self.is_in_doubt(name))

    # -- evidence --------------------------------------------------------------

    def record_connect(self, replica, established):
        """Records the outcome of a new connection to a ``replicas.Replica``."""
        name = replica.record.service
        metrics.REPLICA_CONNECTS.labels(
            name, 'established' if established else 'failed').inc()
        paths = self._service(name)
        lost_since = paths.lost_since
        if paths.record_connect(replica.record.id, established, self._loop.now):
            self._log.info('paths_regained',
                           service=name,
                           after_s=round(self._loop.now - lost_since, 3),
                           replica=replica.record.id)
            self._on_change(name)
        elif (not established and not self._probing and self.is_in_doubt(name)):
            self._schedule_probe(FIRST_PROBE_PAUSE_S)

    def record_elsewhere(self, replica, reached, host):
        """Records whether another entry reached a ``replicas.Replica``."""
        name = replica.record.service
        paths = self._service(name)
        failed = paths.failed(self._loop.now)
        if paths.record_elsewhere(replica.record.id, reached, self._loop.now):
            self._log.warning('paths_lost',
                              service=name,
                              not_reached=sorted(failed),
                              reached=replica.record.id,
                              by=host)
            for other in self._node.fleet.of_service(name):
                other.view.forget_failures()
            self._on_change(name)
            self._schedule_probe(PROBE_PAUSE_S)

    def record_no_forwarding(self, replica, host, reason):
        """Records that an entry did not forward a request to a replica."""
        metrics.FORWARDED.labels('out', 'no_forwarding').inc()
        self._log.info('not_forwarded',
                       replica=replica.record.id,
                       entry=host,
                       reason=reason)
        now = self._loop.now
        self._unfit_until = {
            k: until for k, until in self._unfit_until.items() if until > now
        }
        self._unfit_until[host,
                          replica.record.service] = (now +
                                                     forwarders.REFUSAL_PAUSE_S)

    def _on_change(self, service):
        metrics.PATHS_LOST.labels(service).set(
            self._service(service).lost_since is not None)
        self._node.on_paths_changed()

    # -- probes ----------------------------------------------------------------

    def _schedule_probe(self, pause_s):
        if self._probe_timer is None:
            self._probe_timer = self._loop.call_later(
                pause_s * random.uniform(*PAUSE_JITTER), self._probe)

    def _probe(self):
        self._probe_timer = None
        replica = self._next_to_probe()
        if replica is None:
            return
        if self._service(replica.record.service).lost_since is None:
            self.probe_elsewhere(replica, lambda verdict: None)

        def on_probed(verdict):
            self._probing = False
            self._schedule_probe(
                self._pause_after(replica.record.service, verdict))

        self._probing = True
        self.connect(replica, on_probed)

    def _pause_after(self, service, verdict):
        """Returns the pause after a probe of a replica of a service, s."""
        if verdict is prober.Verdict.ALIVE:
            return REGAINED_PROBE_PAUSE_S
        names = [r.record.id for r in self._node.fleet.of_service(service)]
        if self._service(service).untried(names):
            return FIRST_PROBE_PAUSE_S
        return PROBE_PAUSE_S

    def _next_to_probe(self):
        services = list(self.unreachable_services())
        if not services:
            return None
        name = random.choice(services)
        known = {r.record.id: r for r in self._node.fleet.of_service(name)}
        chosen = self._service(name).next_to_probe(list(known), self._loop.now,
                                                   random)
        return known.get(chosen)

    def check(self, replica, done):
        """Checks the paths after connecting to a replica has failed.

        Args:
            replica: The ``replicas.Replica``.
            done: Called with whether another replica was reached, one of the
                same service if there is any; with True if there is none.
        """
        others = [
            r for r in self._node.fleet.replicas.values()
            if r is not replica and r.exited_at is None
        ]
        random.shuffle(others)
        service = replica.record.service
        others.sort(key=lambda r: r.record.service != service)
        if others:
            self._check_next(others[:MAX_CHECKED], done)
        else:
            done(True)

    def _check_next(self, others, done):
        """Connects to one replica after the other until one is reached."""

        def on_probed(verdict):
            reached = verdict is prober.Verdict.ALIVE
            if reached or len(others) == 1:
                done(reached)
            else:
                self._check_next(others[1:], done)

        self.connect(others[0], on_probed)

    def connect(self, replica, done):
        """Connects to a ``replicas.Replica`` and records the outcome.

        Args:
            replica: The replica.
            done: Called with the ``prober.Verdict``.
        """

        def on_probed(verdict):
            self.record_connect(replica, verdict is prober.Verdict.ALIVE)
            done(verdict)

        prober.ConnectProbe(self._loop, replica.record.addr,
                            replicas.CONNECT_TIMEOUT_S, on_probed)

    def probe_elsewhere(self, replica, done):
        """Calls ``done`` with what another entry finds out about a replica.

        Args:
            replica: The ``replicas.Replica``.
            done: Called with the ``prober.Verdict``, or None if no entry has
                any.
        """
        self._probe_elsewhere(replica, MAX_ASKED, done)

    def _probe_elsewhere(self, replica, tries, done):
        host = self._choose_forwarder(replica.record.service)
        if host is None or not tries:
            done(None)
            return

        def on_probed(value):
            if value is None:
                self._probe_elsewhere(replica, tries - 1, done)
                return
            verdict = prober.Verdict(value)
            self.record_elsewhere(replica, verdict is prober.Verdict.ALIVE,
                                  host)
            done(verdict)

        self._client.probe(host, replica, on_probed)
