"""A relay entry: connects listeners, followers, replicas and exchanges."""

import os
import resource
import signal

from gorsefall import daemon
from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall import settingsfile
from gorsefall.duties import setup
from gorsefall.net import reactor
from gorsefall.net import tcp
from gorsefall.policy import attempt_timeouts
from gorsefall.policy import budget
from gorsefall.policy import freshness
from gorsefall.policy import memoryshares
from gorsefall.policy import traffic_share
from gorsefall.relay import announcements
from gorsefall.relay import crashes
from gorsefall.relay import crashstore
from gorsefall.relay import currentlist
from gorsefall.relay import exchange
from gorsefall.relay import fleet
from gorsefall.relay import followers
from gorsefall.relay import forwarder
from gorsefall.relay import grant
from gorsefall.relay import memory
from gorsefall.relay import messages
from gorsefall.relay import outcomes
from gorsefall.relay import pacing
from gorsefall.relay import paths
from gorsefall.relay import peers
from gorsefall.relay import prober
from gorsefall.relay import servers
from gorsefall.relay import settings
from gorsefall.relay import streamlog
from gorsefall.relay import streamorigins
from gorsefall.relay import unreadstreams
from gorsefall.relay import versionstore
from gorsefall.relay import versionwitnesses
from gorsefall.relay import workload

READY_CONFIRMATION_SHARE = 0.9
"""Share of the maximum confirmation age after which the entry reports itself
as not ready, so that the load balancer prefers entries that reach the store."""

LAME_DUCK_S = 3.0
"""Time after the stop signal in which new requests are still served, s: the
load balancer checks once a second and acts after two failed checks."""

KILL_MARGIN_S = 0.7
"""Time before the kill by the platform at which the remaining exchanges are
ended, s."""

DRAIN_POLL_S = 0.05
"""Period of the checks whether the drain is complete, s."""

SETTINGS_POLL_S = 2.0
"""Period of the checks whether the settings file changed, s: it may change
without a signal."""


class Node(daemon.Daemon):
    """A relay entry: owns its state and its tasks.

    Attributes:
        cfg: The ``settings.Relay``.
        codec: The ``codec.Codec`` of the wire.
        loop: The ``reactor.Reactor``.
        table: The active ``routes.Table``; None before the first.
        confirmation: The ``freshness.Confirmation`` of the table.
        current_list: The ``currentlist.CurrentList`` of the replicas.
        fleet: The ``fleet.Fleet``.
        prober: The ``prober.ReplicaProber`` of its replicas.
        crashes: The ``crashes.CrashTracker`` of its replicas.
        work: The ``workload.Workload`` at its replicas.
        paths: The ``paths.Paths`` to its replicas.
        forwarder: The ``forwarder.Forwarder`` for other entries; None before
            the start, and if there are none.
        announcements: The ``announcements.AnnouncementTracker`` of its
            replicas.
        streams: The ``streamorigins.StreamOrigins``.
        duties: This entry's part in the duties, a ``coordinator.NoDuties``.
        memory: The ``memory.Memory``.
        unread_streams: The ``unreadstreams.UnreadStreams``.
        share: The ``traffic_share.TrafficShare`` of this entry.
        replicas_known: Whether a snapshot of the replicas was read.
    """
    channel = 'node'

    def __init__(self, path, adapter):
        """Creates an entry that is not started.

        Args:
            path: Settings file.
            adapter: Provides ``codec``, ``records`` and
                ``source(loop, addr, topic)`` of the wire, and the names of
                the topics: ``configuration_topic``, ``replicas_topic``,
                ``crashes_topic``, ``versions_topic``, ``streams_topic`` and
                ``duties_topic``; for the duties ``duty_kinds``,
                ``name -> kinds.Kind``, and ``duty_client(loop, addr, holder)``.
        """
        self.cfg = settings.load(path)
        super().__init__(logs.get('node').bind(entry=self.cfg.name))
        self._path = path
        self.codec = adapter.codec
        self.loop = reactor.Reactor().register(self)
        self._fd_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.memory = memory.Memory(self.loop, lambda: self.cfg.memory_mb)
        self.table = None
        self.confirmation = freshness.Confirmation(self.cfg.revoke_s -
                                                   pacing.CONFIRMATION_MARGIN_S)
        self.fleet = fleet.Fleet(self.loop, self._on_load_changed)
        self.fleet.confirmation.bound_s = pacing.max_replicas_age_s(self.cfg)
        self.current_list = currentlist.CurrentList(self.loop,
                                                    self.fleet.confirmation)
        self.prober = prober.ReplicaProber(self.loop)
        self.crashes = crashes.CrashTracker(self.loop, self.prober, self.fleet)
        self.crashes.on_blocked = self._withdraw_blocked
        self.crashes.entry_names = self._entry_names
        self.work = workload.Workload(self.cfg.name, self.fleet,
                                      self.cfg.retries.window_s)
        self.unread_streams = unreadstreams.UnreadStreams(
            self.loop, self.work.is_full)
        self.paths = paths.Paths(self)
        self.prober.paths = self.fleet.paths = self.paths
        self.forwarder = None
        self.announcements = announcements.AnnouncementTracker(
            self.loop, self.fleet, self.work.peer_view.members)
        self.fleet.brittle = self.announcements.brittle
        self.streams = streamorigins.StreamOrigins(self.loop, self.fleet,
                                                   self.work.peer_view.members,
                                                   self.cfg.digest_key)
        self._add_stream_stores(adapter)
        self._peers = None
        self.replicas_known = False
        self._confirmed = False
        self.share = traffic_share.TrafficShare()
        self._budgets = {}
        self._began_at = self.loop.now
        self._start_latencies = {}
        self._followers = followers.Followers(self, adapter)
        self.current_list.read_now = self._followers.read_replicas
        self._crash_store = crashstore.CrashStore(
            self.loop,
            adapter.source(self.loop, settingsfile.split_addr(self.cfg.store),
                           adapter.crashes_topic), self.crashes)
        self.duties = setup.create_coordinator(self, adapter)
        self._exchanges = set()
        self._settings_version = self._read_settings_version()

    def _add_stream_stores(self, adapter):
        """Has what is known of streams outlast the entries."""
        streams, addr = self.streams, settingsfile.split_addr(self.cfg.store)
        streams.version_store = versionstore.VersionStore(
            self.loop, adapter.source(self.loop, addr, adapter.versions_topic),
            self.fleet, self.cfg.name)
        streams.version_store.reader_names = self._reader_names
        streams.version_store.witnesses = versionwitnesses.VersionWitnesses(
            self.loop, self.fleet, self.work.peer_view.members)
        host, _ = settingsfile.split_addr(self.cfg.peers or self.cfg.callers)
        streams.stream_log = streamlog.StreamLog(
            self.loop, adapter.source(self.loop, addr, adapter.streams_topic),
            self.work.peer_view.members, host)

    def start(self):
        """Opens the listeners and starts following the store."""
        self._callers = servers.CallerServer(self)
        host, _ = settingsfile.split_addr(self.cfg.callers)
        self._listener = tcp.Listener(self.loop,
                                      settingsfile.split_addr(self.cfg.callers),
                                      self._callers.accept)
        tcp.Listener(self.loop, settingsfile.split_addr(self.cfg.readiness),
                     servers.ReadinessServer(self).accept)
        if self.cfg.metrics_port:
            tcp.Listener(self.loop, (host, self.cfg.metrics_port),
                         servers.MetricsServer(self).accept)
        if self.cfg.peers:
            self._peers = peers.Peers(self,
                                      settingsfile.split_addr(self.cfg.peers),
                                      self.cfg.seed_hosts)
            self._register_handlers()
            self.announcements.demand.heartbeat_s = (self._peers.heartbeat_s)
            self._peers.start()
            self.forwarder = forwarder.Forwarder(
                self, settingsfile.split_addr(self.cfg.peers))
        self._followers.start(self._peers)
        self.crashes.start(self._peers)
        self.announcements.start()
        self.streams.start(self._peers)
        self.streams.version_store.witnesses.start(self._peers)
        self.duties.start(self._peers)
        self._crash_store.start(
            lambda: self._followers.is_reader,
            self._peers.heartbeat_s if self._peers else lambda: 0.0)
        self.loop.call_later(SETTINGS_POLL_S, self._check_settings)
        self.log.info('started',
                      zone=self.cfg.zone,
                      callers=self.cfg.callers,
                      store=self.cfg.store)

    def _register_handlers(self):
        self._peers.on_status = self._handle_status
        self._peers.register_handler(
            messages.Suspects,
            lambda message, host: self.crashes.reports.handle_suspects(
                message.run_reports, host))
        self._peers.register_handler(
            messages.AskSuspects,
            lambda message, host: self.crashes.reports.send_suspects(host))

    def _handle_status(self, status, host):
        self._followers.handle_status(status, host)
        self.crashes.reports.handle_status(status, host)
        self.announcements.handle_status(status)
        self.fleet.handle_status(status, self.loop.now)
        self.duties.handle_status(status, host)

    @property
    def max_fds(self):
        """Descriptors that sockets of the process may take."""
        limit = min(self.cfg.max_fds or self._fd_limit, self._fd_limit)
        return limit - self.cfg.file_fds

    # -- observed state --------------------------------------------------------

    def adopt(self, table):
        """Makes a configuration active unless it or a newer one already is.

        Returns:
            Whether it was made active.
        """
        old = self.table.version if self.table else None
        if old is not None and table.version <= old:
            return False
        self.table = table
        self.fleet.set_services(table.services)
        self.streams.routes.adopt(
            {r.key: r.service_names for r in table.routes if r.resumable},
            self.loop.now)
        self.log.info('configuration',
                      version=table.version,
                      before=old,
                      routes=len(table.routes),
                      keys=len(table.accounts))
        return True

    def on_store_restored(self):
        """Called when the store came back from an older copy."""
        self._crash_store.write_again()
        self.streams.version_store.on_store_restored()

    def record_confirmation(self, sent_at):
        """Records that a read confirmed the configuration.

        Args:
            sent_at: When the read was sent, s (monotonic).
        """
        self.confirmation.record_read(sent_at)
        if not self._confirmed:
            self._confirmed = True
            self.log.info('proof_regained',
                          age_s=self.confirmation.logged_age_s())

    def is_ready(self):
        """Returns whether the entry should receive new requests."""
        if self.draining or self.table is None or not self.replicas_known:
            return False
        if self._callers.is_full:
            return False
        fresh = (self.confirmation.age_s()
                 <= self.confirmation.bound_s * READY_CONFIRMATION_SHARE)
        if not fresh and self._confirmed:
            self._confirmed = False
            self.log.warning('proof_lost',
                             age_s=self.confirmation.logged_age_s(),
                             told_by=self.told_by)
        return (fresh or not self.table.requires_key or
                not self.cfg.strict_revocation)

    def retry_budget(self, service):
        """Returns the retry ``budget.Budget`` of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = budget.Budget(
                self.cfg.retries,
                self.share,
                lambda: self.work.others_first_attempts(service),
                began_at=self._began_at)
        return found

    def on_paths_changed(self):
        """Called when paths to replicas were lost or are back."""
        self._on_load_changed()

    def _on_load_changed(self):
        if self._peers is not None:
            self._peers.schedule_status()

    def status(self, started_at_ms, seq, known_hosts):
        """Returns the ``entrystatus.Status`` for the other entries.

        Args:
            started_at_ms: See ``workload.Workload.status``.
            seq: See there.
            known_hosts: Hosts of some live entries.
        """
        first_attempts = {
            service: service_budget.first_attempts(self.loop.now)
            for service, service_budget in self._budgets.items()
        }
        return self.work.status(
            started_at_ms,
            seq,
            known_hosts=tuple(known_hosts),
            first_attempts=first_attempts,
            zone=self.cfg.zone,
            can_read_store=self.can_read_store,
            configuration_version=self.table.version if self.table else 0,
            run_reports=self.crashes.reports.recent(self.loop.now),
            suspects_summary=self.crashes.suspects.summary,
            limit_reports=self.announcements.limits.recent_reports(
                self.loop.now),
            replica_exits=self.fleet.recent_exits(self.loop.now),
            leaving_replicas=self.announcements.recent_leaving(self.loop.now),
            unreachable_services=self.paths.unreachable_services(),
            demand_per_s=self.announcements.demand_report(),
            wanted_places=self.announcements.brittle.wanted_places(),
            place_loans=self.announcements.brittle.grant_loans(),
            **self.duties.status_fields())

    @property
    def can_read_store(self):
        """Whether others can rely on this entry to reach the store."""
        return self._followers.can_read_for_others and not self.draining

    def record_load(self, replica, load):
        """Records the ``model.Load`` that a replica sent with a response."""
        replicas = self.fleet.of_service(replica.record.service)
        self.share.record_sample(own=sum(r.view.outstanding for r in replicas),
                                 at_replica=load.running + load.waiting,
                                 replicas=len(replicas))
        if self.work.peer_view.members.alone:
            replica.view.record_load(load.running, load.waiting, self.loop.now)

    def start_latency(self, service, kind):
        """Returns the ``attempt_timeouts.StartLatency`` of service and kind."""
        return self._start_latencies.setdefault((service, kind),
                                                attempt_timeouts.StartLatency())

    # -- requests --------------------------------------------------------------

    def start_exchange(self, method, target, fields, body, writer):
        """Starts the exchange of a caller's request; returns it or None."""
        try:
            req = self.codec.decode_request(method, target, fields)
        except errors.BadRequestError as exc:
            self.log.info('bad_request', error=str(exc))
            if body.hold is not None:
                body.hold.release()
            writer.send(*outcomes.error_response(exc))
            return None
        req.body, req.body_digest = body.data, body.digest
        new = exchange.Exchange(self, req, writer, body.hold)
        self._exchanges.add(new)
        new.start()
        return new

    @property
    def told_by(self):
        """Host that last sent changes of the store; None after own reads."""
        return self._followers.source_host

    def hold_memory(self, method, target, fields):
        """Returns a ``memory.Hold`` for the body of a caller's request."""
        try:
            req = self.codec.decode_request(method, target, fields)
            drawn = grant.Grant(self, req)
            drawn.draw_service()
        except errors.GorsefallError:
            # It is refused once it is read, and is nobody's until then.
            return self.memory.hold(memoryshares.Owner())
        account = drawn.account.name if drawn.account else None
        return self.memory.hold(memoryshares.Owner(drawn.service, account),
                                request_id=req.id,
                                terms=drawn.terms,
                                time_left_s=req.time_left_s)

    def _entry_names(self):
        others = self.work.peer_view.members.probable_names(self.loop.now)
        return [self.cfg.name, *others]

    def _reader_names(self):
        """Returns the names of all live entries that read the store."""
        own = [] if self.fleet.store_lost else [self.cfg.name]
        members = self.work.peer_view.members.live_statuses(self.loop.now)
        return own + [s.name for _, s in members if s.can_read_store]

    def _withdraw_blocked(self):
        for active in list(self._exchanges):
            active.withdraw_if_blocked()

    def remove_exchange(self, exchange_):
        """Called by an exchange when it has ended."""
        self._exchanges.discard(exchange_)

    def update_gauges(self):
        """Sets the gauges to the current state."""
        metrics.RELAY_IN_FLIGHT.set(self.in_flight)
        self.memory.update_gauges()
        metrics.LOOP_WAIT.set(self.loop.longest_wait_s)
        self.loop.longest_wait_s = 0.0
        metrics.CONFIGURATION_AGE.set(self.confirmation.age_s())
        metrics.REPLICAS_AGE.set(self.fleet.confirmation.age_s())
        if self.table is not None:
            metrics.CATALOGUE_VERSION.set(self.table.version)
            for service in self.table.services:
                metrics.USABLE_REPLICAS.labels(service).set(
                    len(self.fleet.candidates(service, ())))
        self.duties.update_gauges()
        now = self.loop.now
        for service, service_budget in self._budgets.items():
            metrics.RETRIES_LEFT.labels(service).set(
                service_budget.available(now))

    # -- settings --------------------------------------------------------------

    def _read_settings_version(self):
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino

    def _check_settings(self):
        self.loop.call_later(SETTINGS_POLL_S, self._check_settings)
        version = self._read_settings_version()
        if version != self._settings_version:
            self._settings_version = version
            self._reload()

    def _reload(self):
        old = self.cfg
        try:
            self.cfg = settings.load(self._path)
        except errors.SettingsError as exc:
            # The file may be half written. The current settings stay active,
            # and the file is read again after its next change.
            self.log.error('reload_failed', error=str(exc))
            return
        self.confirmation.bound_s = (self.cfg.revoke_s -
                                     pacing.CONFIRMATION_MARGIN_S)
        self.fleet.confirmation.bound_s = pacing.max_replicas_age_s(self.cfg)
        for service_budget in self._budgets.values():
            # The counts are kept: otherwise every change of the settings
            # would allow the retries of the window once more.
            service_budget.allowance = self.cfg.retries
        self._followers.apply_settings(old)
        if self._peers is not None:
            self._peers.set_seeds(self.cfg.seed_hosts)
        self.log.info('reloaded', store=self.cfg.store)

    # -- shutdown --------------------------------------------------------------

    @property
    def in_flight(self):
        """See ``daemon.Daemon``."""
        forwarded = self.forwarder.in_flight if self.forwarder else 0
        return len(self._exchanges) + forwarded

    @property
    def lame_duck_s(self):
        """See ``daemon.Daemon``."""
        return LAME_DUCK_S

    @property
    def drain_s(self):
        """See ``daemon.Daemon``."""
        return self.cfg.grace_s - KILL_MARGIN_S

    def on_drain(self):
        """See ``daemon.Daemon``."""
        self.duties.hand_over()
        self.loop.call_later(LAME_DUCK_S, self._close_listener)

    def _close_listener(self):
        # A request accepted late might not end within the grace time and would
        # be aborted. A caller whose connection is refused tries another entry
        # at once.
        self._listener.close()
        self.log.info('no_new_channels', running=self.in_flight)
        self._check_drained()

    def _check_drained(self):
        # Idle connections are closed while others are still in use. If a
        # request arrives as its connection closes, it is not read, and its
        # caller tries another entry.
        self._callers.close_idle()
        now = self.loop.now
        if self.shutdown.is_overdue(now):
            for active in list(self._exchanges):
                active.abort()
            if self.forwarder is not None:
                self.forwarder.close_all()
        if self.shutdown.is_finished(
                now, self.in_flight or self._callers.has_unsent()):
            self._finish()
            return
        self.loop.call_later(DRAIN_POLL_S, self._check_drained)

    def _finish(self):
        # No request may be read between here and the exit: it would be sent
        # to a replica and then aborted.
        self._callers.close_all()
        self.duties.stop()
        self.log.info('stopped')
        self.stop()


def run(path, adapter):
    """Runs a relay entry until it is stopped.

    Raises:
        errors.SettingsError: The settings file is invalid.
    """
    node = Node(path, adapter)
    signal.signal(signal.SIGHUP,
                  lambda signo, stack: node.loop.call_later(0, node._reload))
    node.start()
    node.run()
