"""Wires an entry process: routes, admission, watchers, drain on shutdown."""

import signal
import time

from circuits import core
from circuits import web

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall import replies
from gorsefall import settings
from gorsefall.entry import api
from gorsefall.entry import jobs
from gorsefall.entry import ledger
from gorsefall.entry import watchers
from gorsefall.policy import admission
from gorsefall.policy import routing


class _DrainTick(core.Event):
    """Checks whether the drain is over."""
    name = 'drain_tick'


class Entry(core.BaseComponent):
    """The entry daemon's state: replicas, pools, admission, jobs.

    Attributes:
        cfg: The ``settings.Settings``.
        pools: ``pool -> {name: routing.Replica}``.
        jobs: ``rid -> jobs.Job`` not yet finished.
        draining: True after SIGTERM: no new work, finish what runs.
    """
    channel = 'entry'

    def __init__(self, cfg):
        super().__init__()
        self.cfg = cfg
        self.max_body = cfg.entry.max_body_bytes
        self.idle_s = cfg.entry.link_idle_s
        self.pools = {}
        self.replicas = {}
        for b in cfg.backends:
            rep = routing.Replica(name=b.name,
                                  addr=settings.split_addr(b.addr),
                                  pool=b.pool,
                                  zone=b.zone)
            self.replicas[b.name] = rep
            self.pools.setdefault(b.pool, {})[b.name] = rep
        self.admissions = {
            pool:
                admission.Admission(capacity=len(reps) *
                                    cfg.entry.slots_per_replica,
                                    queue_limit=cfg.entry.queue_limit,
                                    entries=cfg.entry.entries)
            for pool, reps in self.pools.items()
        }
        self.jobs = {}
        self._by_sock = {}
        self.draining = False
        self.log = logs.get('entry').bind(entry=cfg.entry.name)
        log_addr = settings.split_addr(cfg.entry.log_service)
        vm_addr = (settings.split_addr(cfg.entry.vm_list)
                   if cfg.entry.vm_list else None)
        self.catalogue = watchers.CatalogueWatch(
            log_addr, cfg.entry.catalogue_poll_s).register(self)
        self.ledger = ledger.Ledger(log_addr, cfg.entry.name).register(self)
        watchers.MembershipWatch(vm_addr, self.replicas,
                                 cfg.entry.vm_poll_s).register(self)
        watchers.LoadWatch(self.replicas, cfg.entry.load_poll_s).register(self)

    def lookup(self, customer, name):
        """Returns the catalogue class, or raises a coded error.

        Raises:
            errors.UnknownCustomerError: No class has this owner.
            errors.UnknownClassError: The owner has no class of this name.
        """
        klass = self.catalogue.state.lookup(customer, name)
        if klass is not None:
            return klass
        if any(k.owner == customer for k in self.catalogue.state.doc.classes):
            raise errors.UnknownClassError(f'{customer} has no class {name!r}')
        raise errors.UnknownCustomerError(
            f'no customer {customer!r} in catalogue '
            f'v{self.catalogue.state.version}')

    def ready(self):
        """True when the balancer may send new work here."""
        return not self.draining and self.catalogue.state.version > 0

    def submit(self, ask, req, res):
        """Admits ``ask``; the reply is sent by its job or at once on refusal.

        Raises:
            errors.NotRunError: Draining, over limits or shed (nothing ran).
        """
        labels = (ask.customer, ask.klass.name, str(ask.klass.tier))
        if self.draining:
            metrics.SHED.labels(*labels, 'draining').inc()
            raise errors.DrainingError(
                'entry is shutting down; retry elsewhere')
        adm = self.admissions.get(ask.klass.pool)
        if adm is None:
            raise errors.NoReplicaError(f'no pool {ask.klass.pool!r} here')
        job = jobs.Job(self, ask, replies.Later(self, res))
        ticket = admission.Ticket(rid=ask.rid,
                                  key=(ask.customer, ask.klass.name),
                                  tier=ask.klass.tier,
                                  arrived=time.monotonic(),
                                  deadline=ask.deadline)
        try:
            verdict, shed = adm.arrive(ticket, ask.klass, time.monotonic())
        except errors.NotRunError as exc:
            metrics.SHED.labels(*labels, exc.code).inc()
            raise
        self.jobs[ask.rid] = job
        self._by_sock[req.sock] = ask.rid
        for victim in shed:
            self._shed(victim)
        metrics.QUEUED.labels(ask.klass.pool).set(len(adm.waiting()))
        if verdict is admission.Verdict.RUN:
            job.start()

    def _shed(self, ticket):
        job = self.jobs.get(ticket.rid)
        if job is not None:
            metrics.SHED.labels(*job.labels, 'shed').inc()
            job.fail(
                errors.ShedError('pushed out by a higher tier',
                                 retry_after=1.0))

    def job_done(self, job, served_s=None):
        """Called by a job at its end: frees its slot, starts the next."""
        self.jobs.pop(job.ask.rid, None)
        adm = self.admissions[job.ask.klass.pool]
        for ticket in adm.finish(job.ask.rid, time.monotonic(), served_s):
            nxt = self.jobs.get(ticket.rid)
            if nxt is not None:
                nxt.start()
        metrics.QUEUED.labels(job.ask.klass.pool).set(len(adm.waiting()))

    @core.handler('disconnect', channel=replies.WEB_CHANNEL)
    def _on_disconnect(self, sock):
        rid = self._by_sock.pop(sock, None)
        job = self.jobs.get(rid)
        if job is not None:
            job.cancel()

    def status(self):
        """Returns the operators' status page as a dict."""
        state = self.catalogue.state
        return {
            'entry': self.cfg.entry.name,
            'zone': self.cfg.entry.zone,
            'draining': self.draining,
            'catalogue': {
                'version': state.version,
                'offset': state.offset,
                'classes': len(state.doc.classes)
            },
            'replicas': [{
                'name': r.name,
                'pool': r.pool,
                'zone': r.zone,
                'state': r.state.value,
                'inflight': r.inflight,
                'reported': r.reported,
                'report_age_s': round(time.time() - r.reported_at, 2),
                'failures': r.failures
            } for r in self.replicas.values()],
            'queues': {
                p: len(a.waiting()) for p, a in self.admissions.items()
            },
            'running': len(self.jobs),
            'ledger_appends': self.ledger.appends,
        }

    # -- graceful shutdown ------------------------------------------------

    def drain(self):
        """Stops taking work; exits once nothing is in flight or at drain_s.

        Readiness turns 503 at once so the balancer stops sending here;
        requests already admitted run to their end.
        """
        if self.draining:
            return
        self.draining = True
        self._drain_until = time.monotonic() + self.cfg.entry.drain_s
        self.log.info('draining', running=len(self.jobs))
        self._drain_timer = core.Timer(0.1,
                                       _DrainTick(),
                                       self.channel,
                                       persist=True).register(self)

    @core.handler('signal', channel='*', priority=100)
    def _on_signal(self, event, signo, stack):
        del stack
        if signo in (signal.SIGTERM, signal.SIGINT):
            # circuits.web's own handler closes every socket at once and
            # exits 3 s later, cutting answers in flight (symptom: callers
            # see a reset mid-stream on SIGTERM). Stopping the event here
            # keeps connections open until the drain is over.
            event.stop()
            self.drain()

    @core.handler('drain_tick')
    def _on_drain_tick(self):
        if self.jobs and time.monotonic() <= self._drain_until:
            return
        self.log.info('drained', left=len(self.jobs))
        self._drain_timer.unregister()
        # Give the last replies a moment to be written out.
        core.Timer(0.2, core.Event.create('stop_now'),
                   self.channel).register(self)

    @core.handler('stop_now')
    def _on_stop_now(self):
        self.root.stop()


def build(cfg):
    """Builds the circuits tree of an entry process; returns its root."""
    host, port = settings.split_addr(cfg.entry.listen)
    server = web.Server((host, port), channel=replies.WEB_CHANNEL)
    replies.JsonErrors().register(server)
    entry = Entry(cfg).register(server)
    api.V1(entry).register(server)
    api.Chat(entry).register(server)
    api.Ops(entry).register(server)
    return server, entry
