"""Periodic reads of an entry: the catalogue, the VM list, load reports."""

import math
import random
import time

import msgspec
from circuits import core

from gorsefall import catalogue
from gorsefall import logs
from gorsefall import messages
from gorsefall import metrics
from gorsefall import publish
from gorsefall.entry import streams
from gorsefall.net import links
from gorsefall.net import reactor
from gorsefall.policy import routing

MAX_RECORDS_PER_READ = 500
LOAD_IDLE_TIMEOUT_S = 2.0
IDLE_POLL_PERIODS = 4


class Watcher(core.BaseComponent):
    """Polls a source every ``period_s``, with at most one poll in flight.

    A poll without a response ends with the idle timeout of its connection,
    and the next tick starts another. Without that timeout, such a poll would
    stop the watcher for good, for instance with the catalogue of one entry
    stuck at an old version.

    Attributes:
        period_s: Seconds between polls.
        busy: Whether a poll is in flight.
        last_success_at: Time of the last successful poll, s (epoch); 0 before.
    """

    def __init__(self, period_s, channel):
        super().__init__(channel=channel)
        self.period_s = period_s
        self.busy = False
        self.last_success_at = 0.0

    @core.handler('started', channel='*')
    def _on_started(self, component):
        del component
        reactor.find_reactor(self).call_every(self.period_s, self._tick)
        self.poll()

    def _tick(self):
        self.on_tick()
        if not self.busy and self.is_due():
            self.poll()

    def is_due(self):
        """Returns True if a tick should start a poll."""
        return True

    def on_tick(self):
        """Called on every tick, also while a poll is in flight."""

    def poll(self):
        """Starts a poll; subclasses set ``busy`` and clear it at its end."""


class CatalogueWatch(Watcher):
    """Tails the catalogue stream and applies its records in offset order.

    Attributes:
        snapshot_s: Time without a new snapshot after which one is added, s.
        state: The ``catalogue.State`` in force on this entry.
    """

    def __init__(self, log_addr, period_s, snapshot_s, on_change=None):
        """Creates the watcher.

        Args:
            log_addr: ``(host, port)`` of the log service.
            period_s: Seconds between reads.
            snapshot_s: Time without a new snapshot after which one is added, s.
            on_change: Called with the new ``State`` after each version.
        """
        super().__init__(period_s, channel='catalogue-watch')
        self._streams = streams.StreamClient(self, log_addr)
        self.snapshot_s = snapshot_s
        self.state = catalogue.State(keep=1)
        self._on_change = on_change
        self._last_snapshots_end = -1
        self._snapshot_check_at = 0.0
        self._log = logs.get('catalogue')

    @property
    def in_force(self):
        """The ``catalogue.State`` in force; None before the first version."""
        return self.state if self.state.version else None

    def poll(self):
        """Starts one read of the catalogue stream."""
        self.busy = True
        self._streams.read(publish.STREAM, self.state.offset,
                           MAX_RECORDS_PER_READ, self._on_read_done)

    def _on_read_done(self, page, exc):
        if exc is None and page.expired:
            # The next records were removed by the log's retention, at a first
            # start or after a long pause. Start from the newest snapshot.
            self._streams.read(publish.SNAPSHOTS, 0, 0,
                               self._on_snapshot_bounds)
            return
        self.busy = False
        if exc is not None:
            self._log.warning('catalogue_read_failed', error=str(exc))
            return
        self.last_success_at = time.time()
        for record in page.records:
            if self.state.apply(record.offset, record.data):
                self._on_new_state()
        if len(page.records) == MAX_RECORDS_PER_READ:
            self.poll()
        elif time.monotonic() >= self._snapshot_check_at and self.state.version:
            self._check_for_snapshot()

    def _on_new_state(self):
        metrics.CATALOGUE_VERSION.set(self.state.version)
        self._log.info('catalogue_in_force',
                       version=self.state.version,
                       offset=self.state.offset)
        if self._on_change is not None:
            self._on_change(self.state)

    # -- starting from a snapshot ----------------------------------------------

    def _on_snapshot_bounds(self, page, exc):
        if exc is not None or not page.end:
            self._log_no_snapshot(exc)
            return
        start = max(page.start, page.end - 1)
        self._streams.read(publish.SNAPSHOTS, start, 1, self._on_snapshot)

    def _on_snapshot(self, page, exc):
        if exc is not None or not page.records:
            self._log_no_snapshot(exc)
            return
        try:
            snapshot = msgspec.convert(page.records[-1].data,
                                       catalogue.Snapshot)
        except msgspec.ValidationError as decode_error:
            self._log_no_snapshot(decode_error)
            return
        if not self.state.restore(snapshot):
            self._log_no_snapshot(None)
            return
        self._on_new_state()
        self.poll()

    def _log_no_snapshot(self, exc):
        self.busy = False
        self._log.error('catalogue_no_snapshot',
                        offset=self.state.offset,
                        error=str(exc))

    # -- renewing the snapshot -------------------------------------------------

    # The log retains records for a limited time. A catalogue without changes
    # for longer than that would expire: running entries would not be
    # affected, but restarted entries would find no catalogue, and their
    # readyz would stay at 503. Therefore the first entry to observe that no
    # snapshot was added for ``snapshot_s`` adds one. The random delay makes
    # this usually a single entry; a second snapshot does no harm.

    def _check_for_snapshot(self):
        self._snapshot_check_at = time.monotonic() + self.snapshot_s * (
            1 + random.random())
        self.busy = True
        self._streams.read(publish.SNAPSHOTS, 0, 0, self._append_if_unchanged)

    def _append_if_unchanged(self, page, exc):
        self.busy = False
        if exc is not None:
            return
        is_renewed = page.end != self._last_snapshots_end
        self._last_snapshots_end = page.end
        if is_renewed and page.end > 0:
            return
        self._last_snapshots_end += 1
        self._streams.append(publish.SNAPSHOTS, [self.state.snapshot()],
                             self._on_snapshot_appended)

    def _on_snapshot_appended(self, exc):
        self._log.info('catalogue_snapshot',
                       version=self.state.version,
                       error=str(exc) if exc else None)


class MembershipWatch(Watcher):
    """Reads the replicas and the other entries from the platform's VM list.

    The list lags. A leaving replica gets no new requests after the first
    poll that lists it as leaving, at most the lag plus ``period_s`` later. A
    replica that is no longer listed counts as down. While the list is
    unavailable, its last contents apply.
    """

    def __init__(self, vm_addr, fleet, period_s):
        """Creates the watcher.

        Args:
            vm_addr: ``(host, port)`` of the VM list, or None.
            fleet: The ``fleet.Fleet`` to update.
            period_s: Seconds between reads.
        """
        super().__init__(period_s, channel='membership-watch')
        self.vm_addr = vm_addr
        self.fleet = fleet
        self._log = logs.get('membership')

    def poll(self):
        """Starts one read of the VM list."""
        if self.vm_addr is None:
            return
        self.busy = True
        links.fetch_json(self,
                         self.vm_addr,
                         'GET',
                         '/vms',
                         done=self._on_read_done)

    def _on_read_done(self, status, obj, exc):
        self.busy = False
        if exc is not None or status != 200 or obj is None:
            self._log.warning('vm_list_failed', status=status, error=str(exc))
            return
        try:
            vms = msgspec.convert(obj, list[messages.VmEntry])
        except msgspec.ValidationError as decode_error:
            self._log.error('vm_list_malformed', error=str(decode_error))
            return
        self.last_success_at = time.time()
        self.fleet.update(vms)


class LoadWatch(Watcher):
    """Reads the replicas' load reports into their ``routing.Replica``.

    A replica with requests of this entry is polled every period, an idle one
    every ``IDLE_POLL_PERIODS``. The total is limited to ``max_polls_per_s``,
    and the replica polled longest ago comes first, so that the cost does not
    grow with the number of replicas. Each replica is polled independently:
    if polls waited for a whole round, one unresponsive replica would delay
    all reports by 2 s.
    """

    def __init__(self, fleet, entry_name, period_s, max_polls_per_s, on_report):
        """Creates the watcher.

        Args:
            fleet: The ``fleet.Fleet`` whose replicas are polled.
            entry_name: This entry's name in the load reports.
            period_s: Seconds between polls of a busy replica.
            max_polls_per_s: Maximum number of polls per second.
            on_report: Called with the replica's pool after each poll.
        """
        super().__init__(period_s, channel='load-watch')
        self.fleet = fleet
        self.entry_name = entry_name
        self.max_polls_per_s = max_polls_per_s
        self._on_report = on_report
        self._last_polled_at = {}
        self._in_flight = set()

    def poll(self):
        """Polls the replicas that are due."""
        now = time.monotonic()
        live = {
            r.name: r
            for r in self.fleet.replicas.values()
            if r.state is not routing.ReplicaState.DOWN
        }
        self._last_polled_at = {
            n: at for n, at in self._last_polled_at.items() if n in live
        }
        due = [r for r in live.values() if self._is_due(r, now)]
        due.sort(key=lambda r: self._last_polled_at.get(r.name, 0.0))
        for replica in due[:max(1, int(self.max_polls_per_s * self.period_s))]:
            self._last_polled_at[replica.name] = now
            self._in_flight.add(replica.name)
            links.fetch_json(self,
                             replica.addr,
                             'GET',
                             '/load',
                             idle_s=LOAD_IDLE_TIMEOUT_S,
                             done=self._report_handler(replica))

    def _is_due(self, replica, now):
        if replica.name in self._in_flight:
            return False
        age = now - self._last_polled_at.get(replica.name, -math.inf)
        # Half a period of tolerance, as ticks are slightly early or late.
        return replica.inflight > 0 or age >= (IDLE_POLL_PERIODS -
                                               0.5) * self.period_s

    def _report_handler(self, replica):

        def done(status, obj, exc):
            self._in_flight.discard(replica.name)
            if exc is None and status == 200:
                report = msgspec.convert(obj, messages.LoadReport)
                replica.others = report.others(self.entry_name)
                replica.reported_at = report.at
                replica.record_report()
            elif exc is not None:
                replica.record_missed_report(time.monotonic())
            self._on_report(replica.pool)

        return done
