"""The entry process: HTTP routes, admission, watchers, graceful shutdown."""

import collections
import resource
import time

from circuits import core
from circuits import web

from gorsefall import daemon
from gorsefall import directory
from gorsefall import errors
from gorsefall import logs
from gorsefall import messages
from gorsefall import metrics
from gorsefall import registry
from gorsefall import replies
from gorsefall import settingsfile
from gorsefall.entry import api
from gorsefall.entry import dispatch
from gorsefall.entry import fleet
from gorsefall.entry import ledger
from gorsefall.entry import peers
from gorsefall.entry import watchers
from gorsefall.net import callerguard
from gorsefall.net import links
from gorsefall.net import poller
from gorsefall.net import reactor
from gorsefall.policy import admission
from gorsefall.policy import retry_delay
from gorsefall.policy import limits
from gorsefall.policy import routing

TIMER_CHECK_PERIOD_S = 0.1
"""Period of the checks for expired deadlines and starved requests, s.

Callers' deadlines are hundreds of ms, and one check of all queues takes less
than 1 ms."""

MAX_HEAD_BYTES = 65536
"""Longest head of a request, bytes."""

FINAL_WRITES_S = 0.2
"""Time to write the last responses before the process exits, s."""


class Entry(daemon.Daemon):
    """The entry daemon: its fleet, the admission of each pool and its jobs.

    Attributes:
        cfg: The ``settings.Settings``.
        entry_name: This entry's name.
        max_body_bytes: Maximum size of a request body, bytes.
        fleet: The ``fleet.Fleet``.
        catalogue: The ``watchers.CatalogueWatch``.
        ledger: The ``ledger.Ledger``.
        jobs: ``rid -> jobs.Job`` of the unfinished requests.
    """
    channel = 'entry'

    def __init__(self, cfg):
        super().__init__(logs.get('entry').bind(entry=cfg.entry.name))
        self.cfg = cfg
        self.entry_name = cfg.entry.name
        self.max_body_bytes = cfg.entry.max_body_bytes
        self.fleet = fleet.Fleet(cfg)
        policy = registry.policy(cfg.entry.policy)
        self._create_admission = policy.admission
        self._router = policy.router(cfg.entry.load_max_age_s)
        self._limiter = limits.Limits(self.fleet.shares)
        self._admissions = {}
        self.jobs = {}
        self._rid_by_socket = {}
        self._stop_scheduled = False
        self._register_tasks()

    def _register_tasks(self):
        cfg = self.cfg.entry
        log_addr = settingsfile.split_addr(cfg.log_service)
        vm_addr = settingsfile.split_addr(cfg.vm_list) if cfg.vm_list else None
        self.catalogue = watchers.CatalogueWatch(
            log_addr, cfg.catalogue_poll_s, cfg.snapshot_s,
            self._on_catalogue).register(self)
        self.ledger = ledger.Ledger(log_addr, self.entry_name,
                                    cfg.ledger_poll_s,
                                    cfg.ledger_ttl_s).register(self)
        watchers.MembershipWatch(vm_addr, self.fleet,
                                 cfg.vm_poll_s).register(self)
        watchers.LoadWatch(self.fleet, self.entry_name, cfg.load_poll_s,
                           cfg.load_polls_per_s,
                           self._on_load_report).register(self)
        peers.PeerWatch(self.fleet, self._limiter,
                        cfg.peer_poll_s).register(self)

    # -- catalogue -------------------------------------------------------------

    def lookup_class(self, customer, name):
        """Returns the catalogue class of a customer.

        Args:
            customer: Customer name.
            name: Name of the class.

        Raises:
            errors.NoCatalogueError: No catalogue is loaded yet.
            errors.UnknownCustomerError: The customer owns no class.
            errors.UnknownClassError: The customer owns no class of that name.
        """
        state = directory.require_loaded(self.catalogue.in_force)
        klass = state.lookup(customer, name)
        if klass is not None:
            return klass
        if any(k.owner == customer for k in state.doc.classes):
            raise errors.UnknownClassError(f'{customer} has no class {name!r}')
        raise errors.UnknownCustomerError(
            f'no customer {customer!r} in catalogue v{state.version}')

    def _limit_scopes(self, klass):
        scopes = [(klass.key, klass.rate_per_s, klass.concurrency)]
        customer = self.catalogue.state.customer(klass.owner)
        if customer is not None:
            scopes.append(
                (customer.key, customer.rate_per_s, customer.concurrency))
        return scopes

    def _on_catalogue(self, state):
        self._limiter.forget(state.keys())

    # -- requests --------------------------------------------------------------

    def is_ready(self):
        """Returns True if the load balancer may send new requests here."""
        return not self.draining and self.catalogue.in_force is not None

    def refresh_admission(self, pool):
        """Returns the pool's admission, updated with the state of the fleet."""
        adm = self._admissions.get(pool)
        if adm is None:
            adm = self._create_admission(0, self.cfg.entry.queue_limit,
                                         self._limiter)
            self._admissions[pool] = adm
        adm.capacity = self.fleet.capacity(pool)
        adm.others = self.fleet.others_in_flight(pool, time.time(),
                                                 self.cfg.entry.load_max_age_s)
        return adm

    def submit(self, request, http_req, http_res):
        """Admits a request; its job sends the response.

        Args:
            request: The ``jobs.CallerRequest``.
            http_req: The circuits.web request.
            http_res: The circuits.web response.

        Raises:
            errors.NotRunError: The request was refused and not executed: the
                entry drains, a limit is reached or the request is shed.
        """
        labels = (request.customer, request.klass.name, str(request.klass.tier))
        try:
            self._admit(request, http_req, http_res)
        except errors.NotRunError as exc:
            metrics.SHED.labels(*labels, exc.code).inc()
            raise

    def _admit(self, request, http_req, http_res):
        now = time.monotonic()
        if not self.shutdown.accepts_requests(now):
            raise errors.DrainingError(
                'entry is shutting down; retry elsewhere')
        if request.klass.pool not in self.fleet.pools:
            raise errors.NoReplicaError(f'no pool {request.klass.pool!r} here')
        ticket = admission.Ticket(rid=request.rid,
                                  tier=request.klass.tier,
                                  arrived=now,
                                  deadline=request.deadline,
                                  target_s=request.klass.ttft_ms / 1000.0,
                                  group=request.klass.key,
                                  scopes=self._limit_scopes(request.klass))
        adm = self.refresh_admission(request.klass.pool)
        verdict, shed = adm.arrive(ticket, now)
        reply = replies.DeferredReply(self, http_res, closing=self.draining)
        job = dispatch.create_job(request, self, ticket, reply)
        self.jobs[request.rid] = job
        self._rid_by_socket[http_req.sock] = request.rid
        for dropped in shed:
            self._refuse(
                dropped,
                errors.ShedError('pushed out by a higher tier',
                                 retry_after=retry_delay.after_queue_s(
                                     adm.served_time_s)))
        metrics.QUEUED.labels(request.klass.pool).set(len(adm.waiting()))
        if verdict is admission.Verdict.RUN:
            job.start()

    def choose_replica(self, request, priority, tried):
        """Returns the replica for the next attempt of a request.

        Args:
            request: The ``jobs.CallerRequest``.
            priority: Priority of the attempt, 1 (highest) to 5.
            tried: Names of the replicas to exclude.

        Returns:
            A ``routing.Replica``, or None if no replica is available.
        """
        return self._router.choose(
            self.fleet.candidates(request.klass.pool, tried),
            routing.RequestProfile(request.prefix_text, priority),
            time.monotonic(), time.time())

    def _refuse(self, ticket, exc):
        job = self.jobs.get(ticket.rid)
        if job is not None:
            metrics.SHED.labels(*job.labels, exc.code).inc()
            job.fail(exc)

    def finish_job(self, job, served_s=None):
        """Releases a finished job's slot and starts the next queued jobs.

        Args:
            job: The finished ``jobs.Job``.
            served_s: Time from arrival to end, s; None if the job was never
                started.
        """
        self.jobs.pop(job.request.rid, None)
        pool = job.request.klass.pool
        adm = self.refresh_admission(pool)
        self._start_jobs(adm.finish(job.request.rid, time.monotonic(),
                                    served_s))
        metrics.QUEUED.labels(pool).set(len(adm.waiting()))

    def _start_jobs(self, tickets):
        for ticket in tickets:
            job = self.jobs.get(ticket.rid)
            if job is not None:
                job.start()

    def _on_load_report(self, pool):
        if pool in self._admissions:
            self._start_jobs(
                self.refresh_admission(pool).drain(time.monotonic()))

    @core.handler('started', channel='*')
    def _on_started(self, component):
        del component
        reactor.find_reactor(self).call_every(TIMER_CHECK_PERIOD_S,
                                              self._check_timers)

    def _check_timers(self):
        """Handles expired deadlines, starved requests and the drain's end."""
        now = time.monotonic()
        for pool in list(self._admissions):
            adm = self.refresh_admission(pool)
            for ticket in adm.expire(now):
                self._refuse(
                    ticket,
                    errors.DeadlineError('its deadline passed while it waited',
                                         retry_after=retry_delay.after_queue_s(
                                             adm.served_time_s)))
            served = {
                rid: self.jobs[rid].last_progress_at for rid in adm.running
            }
            start, raised = adm.promote(now, served)
            for ticket in start + raised:
                metrics.PROMOTED.labels(*self.jobs[ticket.rid].labels).inc()
            for ticket in raised:
                self.jobs[ticket.rid].raise_priority()
            self._start_jobs(start)
        self._check_drained(now)

    @core.handler('disconnect', channel=replies.WEB_CHANNEL)
    def _on_disconnect(self, sock):
        rid = self._rid_by_socket.pop(sock, None)
        job = self.jobs.get(rid)
        if job is not None:
            job.cancel()

    def serves(self, sock):
        """Returns whether a request of a caller's socket is unfinished."""
        return self._rid_by_socket.get(sock) in self.jobs

    def usage(self):
        """Returns the ``messages.PeerUsage`` of this entry."""
        return messages.PeerUsage(entry=self.entry_name,
                                  use=self._limiter.report(time.monotonic()))

    def status(self):
        """Returns the status page for operators as a dict."""
        state = self.catalogue.state
        wall_time, now = time.time(), time.monotonic()
        return {
            'entry': self.entry_name,
            'zone': self.cfg.entry.zone,
            'draining': self.draining,
            'entries': self.fleet.shares.entries,
            'rank': self.fleet.shares.rank,
            'silent_peers': self._limiter.silent_peers,
            'catalogue': {
                'version':
                    state.version,
                'offset':
                    state.offset,
                'classes':
                    len(state.doc.classes),
                'read_age_s':
                    round(wall_time - self.catalogue.last_success_at, 2)
            },
            'replicas': [{
                'name': r.name,
                'pool': r.pool,
                'zone': r.zone,
                'state': r.state.value,
                'inflight': r.inflight,
                'others': sum(r.others),
                'report_age_s': round(wall_time - r.reported_at, 2),
                'failures': r.failures,
                'ejected_s': round(max(0.0, r.eject_until - now), 2),
                'gap_ms': round(r.gap_s * 1000, 2)
            } for r in self.fleet.replicas.values()],
            'queues': {
                pool:
                    dict(
                        collections.Counter(f'tier {t.tier}'
                                            for t in adm.waiting()))
                for pool, adm in self._admissions.items()
            },
            'running': self.in_flight,
            'ledger': {
                'keys': len(self.ledger.state.claims),
                'offset': self.ledger.state.offset,
                'appends': self.ledger.append_calls,
                'records': self.ledger.appended_records
            },
        }

    # -- graceful shutdown -----------------------------------------------------

    @property
    def in_flight(self):
        """See ``daemon.Daemon``."""
        return len(self.jobs)

    @property
    def lame_duck_s(self):
        """See ``daemon.Daemon``."""
        return self.cfg.entry.lame_duck_s

    @property
    def drain_s(self):
        """See ``daemon.Daemon``."""
        return self.cfg.entry.drain_s

    def _check_drained(self, now):
        if self._stop_scheduled or not self.shutdown.is_finished(
                now, bool(self.jobs)):
            return
        self._stop_scheduled = True
        self.log.info('stopped', left=len(self.jobs))
        # The last responses may still be in the sockets' write buffers.
        reactor.find_reactor(self).call_later(FINAL_WRITES_S, self.root.stop)


def _caller_limits(cfg):
    """Returns the ``callerguard.Limits`` of an ``settings.Entry``."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return callerguard.Limits(conns=cfg.max_conns or soft // 2,
                              head_bytes=MAX_HEAD_BYTES,
                              body_bytes=cfg.max_body_bytes,
                              held_bytes=int(cfg.callers_mb * (1 << 20)),
                              request_s=cfg.request_timeout_s,
                              unread_s=cfg.unread_timeout_s)


def build(cfg):
    """Builds the circuits tree of an entry process.

    Args:
        cfg: The ``settings.Settings``.

    Returns:
        ``(root, entry)``: the root component and the ``Entry``.
    """
    host, port = settingsfile.split_addr(cfg.entry.listen)
    server = web.Server((host, port), channel=replies.WEB_CHANNEL)
    loop = reactor.Reactor().register(server)
    poller.Poller(loop).register(server)
    links.ConnectionPools(loop).register(server)
    replies.JsonOnly().register(server)
    entry = Entry(cfg).register(server)
    callerguard.CallerGuard(server, _caller_limits(cfg.entry),
                            entry.serves).register(server)
    api.V1(entry).register(server)
    api.Chat(entry).register(server)
    api.Peer(entry).register(server)
    api.Ops(entry).register(server)
    return server, entry
