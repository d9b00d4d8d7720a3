"""A relay entry: wires listeners, followers, fleet and exchanges."""

import os
import signal

from gorsefall import daemon
from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall import settingsfile
from gorsefall.net import reactor
from gorsefall.net import tcp
from gorsefall.policy import budget
from gorsefall.policy import freshness
from gorsefall.policy import patience
from gorsefall.policy import share
from gorsefall.relay import announcing
from gorsefall.relay import crashes
from gorsefall.relay import ends
from gorsefall.relay import exchange
from gorsefall.relay import fleet
from gorsefall.relay import following
from gorsefall.relay import messages
from gorsefall.relay import outcomes
from gorsefall.relay import pacing
from gorsefall.relay import peers
from gorsefall.relay import remembered
from gorsefall.relay import servers
from gorsefall.relay import settings
from gorsefall.relay import workload

PROOF_READY_SHARE = 0.9
"""Part of the proof's bound after which the entry reports itself not ready,
so that the balancer prefers entries that reach the store."""

LAME_DUCK_S = 3.0
"""Time after the stop signal in which new requests are still served, s: the
balancer asks once a second and goes by two misses."""

LAST_ANSWERS_S = 0.7
"""Time before the platform's kill at which what still runs is ended, s."""

STOP_POLL_S = 0.05
SETTINGS_POLL_S = 2.0
"""How often the settings file is looked at, s: it may change without a
signal."""


class Node(daemon.Daemon):
    """The relay entry's state and its tasks.

    Attributes:
        cfg: The ``settings.Relay``.
        dialect: The ``dialect.Dialect`` of the wire.
        loop: The ``reactor.Reactor``.
        table: The ``routes.Table`` in force; None before the first.
        proof: The ``freshness.Proof`` of the table.
        fleet: The ``fleet.Fleet``.
        ends: The ``ends.Ends`` of its replicas.
        crashes: The ``crashes.Crashes`` of requests there.
        work: The ``workload.Workload`` at its replicas.
        announcing: The ``announcing.Announcing`` of its replicas' limits.
        share: The ``share.Share`` of the traffic that comes here.
        replicas_known: Whether the replicas were listed once.
    """
    channel = 'node'

    def __init__(self, path, adapter):
        """Creates the node.

        Args:
            path: Settings file.
            adapter: Gives ``dialect``, ``records`` and
                ``source(loop, addr, topic)`` of the wire, and the names of its
            topics: ``configuration_topic``, ``replicas_topic`` and
            ``crashes_topic``.
        """
        self.cfg = settings.load(path)
        super().__init__(logs.get('node').bind(entry=self.cfg.name))
        self._path = path
        self.dialect = adapter.dialect
        self.loop = reactor.Reactor().register(self)
        self.table = None
        self.proof = freshness.Proof(self.cfg.revoke_s - pacing.PROOF_MARGIN_S)
        self.fleet = fleet.Fleet(self.loop, self._work_changed)
        self.ends = ends.Ends(self.loop)
        self.crashes = crashes.Crashes(self.loop, self.ends, self.fleet)
        self.work = workload.Workload(self.cfg.name, self.fleet,
                                      self.cfg.retries.window_s)
        self.announcing = announcing.Announcing(self.loop, self.fleet,
                                                self.work.view.members)
        self._peers = None
        self.replicas_known = False
        self._proven = False
        self.share = share.Share()
        self._budgets = {}
        self._patience = {}
        self._reads = following.Following(self, adapter)
        self._remembered = remembered.Remembered(
            self.loop,
            adapter.source(self.loop, settingsfile.split_addr(self.cfg.store),
                           adapter.crashes_topic), self.crashes)
        self._exchanges = set()
        self._settings_seen = self._settings_stamp()

    def start(self):
        """Opens the listeners and starts following the store."""
        self._callers = servers.Callers(self)
        host, _ = settingsfile.split_addr(self.cfg.callers)
        self._listener = tcp.Listener(self.loop,
                                      settingsfile.split_addr(self.cfg.callers),
                                      self._callers.accept)
        tcp.Listener(self.loop, settingsfile.split_addr(self.cfg.readiness),
                     servers.Readiness(self).accept)
        if self.cfg.metrics_port:
            tcp.Listener(self.loop, (host, self.cfg.metrics_port),
                         servers.Metrics(self).accept)
        if self.cfg.peers:
            self._peers = peers.Peers(self,
                                      settingsfile.split_addr(self.cfg.peers),
                                      self.cfg.seed_hosts)
            self._share_beliefs()
            self._peers.start()
        self._reads.start(self._peers)
        self.crashes.start(self._peers)
        self.announcing.start()
        self._remembered.start(
            lambda: self._reads.reads,
            self._peers.heartbeat_s if self._peers else lambda: 0.0)
        self.loop.later(SETTINGS_POLL_S, self._look_at_settings)
        self.log.info('started',
                      zone=self.cfg.zone,
                      callers=self.cfg.callers,
                      store=self.cfg.store)

    def _share_beliefs(self):
        self._peers.on_status = self._told
        self._peers.read(
            messages.Suspects,
            lambda message, host: self.crashes.take(message.sightings))
        self._peers.read(messages.AskSuspects,
                         lambda message, host: self.crashes.asked(host))

    def _told(self, status, host):
        self.crashes.heard(status, host)
        self.announcing.heard(status)
        self.fleet.heard(status, self.loop.now)

    # -- what is believed ------------------------------------------------------

    def adopt(self, table):
        """Adopts a configuration unless a newer one is in force."""
        old = self.table.version if self.table else None
        if old is not None and table.version <= old:
            return
        self.table = table
        self.fleet.services_changed(table.services)
        self.log.info('configuration',
                      version=table.version,
                      before=old,
                      routes=len(table.routes),
                      keys=len(table.accounts))

    def confirmed(self, sent_at):
        """Notes that the configuration was confirmed."""
        self.proof.confirmed(sent_at)
        if not self._proven:
            self._proven = True
            self.log.info('proof_regained', age_s=self.proof.logged_age_s())

    def ready(self):
        """Returns whether new work may come here."""
        if self.draining or self.table is None or not self.replicas_known:
            return False
        fresh = self.proof.age_s() <= self.proof.bound_s * PROOF_READY_SHARE
        if not fresh and self._proven:
            self._proven = False
            self.log.warning('proof_lost',
                             age_s=self.proof.logged_age_s(),
                             told_by=self._reads.told_by)
        return (fresh or not self.table.keyed or not self.cfg.strict_revocation)

    def budget(self, service):
        """Returns the ``budget.Budget`` of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = budget.Budget(
                self.cfg.retries, self.share,
                lambda: self.work.others_firsts(service))
        return found

    def _work_changed(self):
        if self._peers is not None:
            self._peers.changed()

    def status(self, boot, seq, hosts):
        """Returns the ``membership.Status`` to tell the other entries."""
        firsts = {
            service: known.firsts(self.loop.now)
            for service, known in self._budgets.items()
        }
        return self.work.status(boot,
                                seq,
                                hosts,
                                firsts=firsts,
                                zone=self.cfg.zone,
                                reads=self._reads.able and not self.draining,
                                sightings=self.crashes.told(self.loop.now),
                                suspects=self.crashes.suspects.summary,
                                limits=self.announcing.told(self.loop.now),
                                ended=self.fleet.ended_of_late(self.loop.now))

    def load_told(self, replica, load):
        """Notes the ``model.Load`` that a replica told with an answer."""
        replicas = self.fleet.of(replica.record.service)
        self.share.seen(own=sum(r.target.outstanding for r in replicas),
                        there=load.running + load.waiting,
                        replicas=len(replicas))
        if self.work.view.members.alone:
            replica.target.report(load.running, load.waiting, self.loop.now)

    def patience(self, service, kind):
        """Returns the ``patience.Patience`` of a service and kind."""
        return self._patience.setdefault((service, kind), patience.Patience())

    # -- requests --------------------------------------------------------------

    def begin(self, method, target, fields, body, reply):
        """Starts the exchange of a caller's request; returns it."""
        try:
            req = self.dialect.decode_request(method, target, fields)
        except errors.BadRequestError as exc:
            self.log.info('bad_request', error=str(exc))
            reply.whole(*outcomes.error_answer(exc))
            return None
        req.body, req.body_digest = bytes(body.data), body.digest
        running = exchange.Exchange(self, req, reply)
        self._exchanges.add(running)
        running.start()
        return running

    def exchange_done(self, ended):
        """Called by an exchange at its end."""
        self._exchanges.discard(ended)

    def measure(self):
        """Sets the gauges of what is believed and under way now."""
        metrics.RELAY_IN_FLIGHT.set(self.in_flight)
        metrics.CONFIGURATION_AGE.set(self.proof.age_s())
        if self.table is not None:
            metrics.CATALOGUE_VERSION.set(self.table.version)
            for service in self.table.services:
                metrics.USABLE_REPLICAS.labels(service).set(
                    len(self.fleet.candidates(service, ())))
        now = self.loop.now
        for service, known in self._budgets.items():
            metrics.RETRIES_LEFT.labels(service).set(known.room(now))

    # -- settings --------------------------------------------------------------

    def _settings_stamp(self):
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino

    def _look_at_settings(self):
        self.loop.later(SETTINGS_POLL_S, self._look_at_settings)
        stamp = self._settings_stamp()
        if stamp != self._settings_seen:
            self._settings_seen = stamp
            self._reload()

    def _reload(self):
        before = self.cfg
        try:
            self.cfg = settings.load(self._path)
        except errors.SettingsError as exc:
            # The file may be half written; what is in force stays, and the
            # next change is read again.
            self.log.error('reload_failed', error=str(exc))
            return
        self.proof.bound_s = self.cfg.revoke_s - pacing.PROOF_MARGIN_S
        for known in self._budgets.values():
            # Their counts stay: retries that were forgotten would be allowed
            # once more by every change of the settings.
            known.allowance = self.cfg.retries
        self._reads.settings_changed(before)
        if self._peers is not None:
            self._peers.seeds_changed(self.cfg.seed_hosts)
        self.log.info('reloaded', store=self.cfg.store)

    # -- shutdown --------------------------------------------------------------

    @property
    def in_flight(self):
        """See ``daemon.Daemon``."""
        return len(self._exchanges)

    @property
    def lame_duck_s(self):
        """See ``daemon.Daemon``."""
        return LAME_DUCK_S

    @property
    def drain_s(self):
        """See ``daemon.Daemon``."""
        return self.cfg.grace_s - LAST_ANSWERS_S

    def on_drain(self):
        """See ``daemon.Daemon``."""
        self.loop.later(LAME_DUCK_S, self._refuse_channels)

    def _refuse_channels(self):
        # A request taken late may outlast the grace time and be cut. A
        # caller whose channel is refused tries another entry at once.
        self._listener.close()
        self.log.info('no_new_channels', running=self.in_flight)
        self._check_drained()

    def _check_drained(self):
        # Idle channels are closed before those in use end: a caller whose
        # next request crosses the close was not read and tries elsewhere.
        self._callers.close_idle()
        now = self.loop.now
        if self.shutdown.late(now):
            for running in list(self._exchanges):
                running.cut()
        if self.shutdown.over(now, self.in_flight or self._callers.sending()):
            self._finish()
            return
        self.loop.later(STOP_POLL_S, self._check_drained)

    def _finish(self):
        # From here to the exit nothing more may be read: a request that is
        # read in between would be sent to a replica and then cut.
        self._callers.close_all()
        self.log.info('stopped')
        self.stop()


def run(path, adapter):
    """Runs a relay entry until it is stopped.

    Raises:
        errors.SettingsError: The settings file is at fault.
    """
    node = Node(path, adapter)
    signal.signal(signal.SIGHUP,
                  lambda signo, stack: node.loop.later(0, node._reload))
    node.start()
    node.run()
