"""Background tasks of an entry: the catalogue, the VM list, load reports."""

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
    """Polls one thing every ``period_s``; at most one poll in flight.

    A poll that never answers would otherwise stop the watcher for good
    (symptom: catalogue version stuck on one entry); the link's idle timeout
    ends it and the next tick polls again.

    Attributes:
        period_s: Seconds between polls.
        busy: Whether a poll is in flight.
        last_success_at: When a poll last succeeded, s (epoch); 0 before.
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
        """Whether a tick should start a poll."""
        return True

    def on_tick(self):
        """Called on every tick; for work that does not wait for a poll."""

    def poll(self):
        """Starts one poll; subclasses set ``busy`` and clear it when done."""


class CatalogueWatch(Watcher):
    """Tails the catalogue stream and applies it in offset order.

    Attributes:
        state: The ``catalogue.State`` in force on this entry.
    """

    def __init__(self, log_addr, period_s, snapshot_s, on_change=None):
        """Creates the watcher.

        Args:
            log_addr: ``(host, port)`` of the log service.
            period_s: Seconds between reads.
            snapshot_s: Age at which the newest snapshot is renewed, s.
            on_change: Called with the new ``State`` after each version.
        """
        super().__init__(period_s, channel='catalogue-watch')
        self._streams = streams.StreamClient(self, log_addr)
        self.snapshot_s = snapshot_s
        self.state = catalogue.State(keep=1)
        self._on_change = on_change
        self._snapshot_end = -1
        self._snapshot_due = 0.0
        self._log = logs.get('catalogue')

    @property
    def in_force(self):
        """The ``catalogue.State`` in force, None before the first."""
        return self.state if self.state.version else None

    def poll(self):
        """Starts one read; see the class docstring."""
        self.busy = True
        self._streams.read(publish.STREAM, self.state.offset,
                           MAX_RECORDS_PER_READ, self._read)

    def _read(self, page, exc):
        if exc is None and page.expired:
            # Retention expired the records we needed (after a long pause,
            # or at a fresh start): begin from the newest snapshot.
            self._streams.read(publish.SNAPSHOTS, 0, 0, self._find_snapshot)
            return
        self.busy = False
        if exc is not None:
            self._log.warning('catalogue_read_failed', error=str(exc))
            return
        self.last_success_at = time.time()
        for rec in page.records:
            if self.state.apply(rec.offset, rec.data):
                self._adopted()
        if len(page.records) == MAX_RECORDS_PER_READ:
            self.poll()
        elif time.monotonic() >= self._snapshot_due and self.state.version:
            self._check_snapshot()

    def _adopted(self):
        metrics.CATALOGUE_VERSION.set(self.state.version)
        self._log.info('catalogue_in_force',
                       version=self.state.version,
                       offset=self.state.offset)
        if self._on_change is not None:
            self._on_change(self.state)

    # -- starting from a snapshot ----------------------------------------------

    def _find_snapshot(self, page, exc):
        if exc is not None or not page.end:
            self._no_snapshot(exc)
            return
        start = max(page.start, page.end - 1)
        self._streams.read(publish.SNAPSHOTS, start, 1, self._restore)

    def _restore(self, page, exc):
        if exc is not None or not page.records:
            self._no_snapshot(exc)
            return
        try:
            snap = msgspec.convert(page.records[-1].data, catalogue.Snapshot)
        except msgspec.ValidationError as bad:
            self._no_snapshot(bad)
            return
        if not self.state.restore(snap):
            self._no_snapshot(None)
            return
        self._adopted()
        self.poll()

    def _no_snapshot(self, exc):
        self.busy = False
        self._log.error('catalogue_no_snapshot',
                        offset=self.state.offset,
                        error=str(exc))

    # -- keeping a fresh snapshot ----------------------------------------------

    # The log keeps records for a limited time. With no change for longer,
    # the catalogue itself would expire: entries that run would not notice,
    # entries that start would find nothing (noticed as readyz staying 503
    # after a restart). So whichever entry first sees that no snapshot was
    # added for ``snapshot_s`` adds one; the random delay makes it one entry
    # as a rule, and a second snapshot is harmless.

    def _check_snapshot(self):
        self._snapshot_due = time.monotonic() + self.snapshot_s * (
            1 + random.random())
        self.busy = True
        self._streams.read(publish.SNAPSHOTS, 0, 0, self._maybe_snapshot)

    def _maybe_snapshot(self, page, exc):
        self.busy = False
        if exc is not None:
            return
        fresh = page.end != self._snapshot_end
        self._snapshot_end = page.end
        if fresh and page.end > 0:
            return
        self._snapshot_end += 1
        self._streams.append(publish.SNAPSHOTS, [self.state.snapshot()],
                             self._snapshot_written)

    def _snapshot_written(self, exc):
        self._log.info('catalogue_snapshot',
                       version=self.state.version,
                       error=str(exc) if exc else None)


class MembershipWatch(Watcher):
    """Follows the platform's VM list: replicas and the other entries.

    The list lags; a leaving replica gets no new work from the poll that
    first shows it, so the delay is lag + ``period_s`` at most. A replica
    that was shown and is shown no more is gone. While the list cannot be
    read, what it last said stays in force.
    """

    def __init__(self, vm_addr, fleet, period_s):
        """Creates the watcher.

        Args:
            vm_addr: ``(host, port)`` of the VM list, or None.
            fleet: The ``fleet.Fleet`` to keep up to date.
            period_s: Seconds between reads.
        """
        super().__init__(period_s, channel='membership-watch')
        self.vm_addr = vm_addr
        self.fleet = fleet
        self._log = logs.get('membership')

    def poll(self):
        """Starts one read; see the class docstring."""
        if self.vm_addr is None:
            return
        self.busy = True
        links.fetch_json(self, self.vm_addr, 'GET', '/vms', done=self._read)

    def _read(self, status, obj, exc):
        self.busy = False
        if exc is not None or status != 200 or obj is None:
            self._log.warning('vm_list_failed', status=status, error=str(exc))
            return
        try:
            vms = msgspec.convert(obj, list[messages.VmEntry])
        except msgspec.ValidationError as bad:
            self._log.error('vm_list_malformed', error=str(bad))
            return
        self.last_success_at = time.time()
        self.fleet.update(vms)


class LoadWatch(Watcher):
    """Reads replicas' load reports into their ``routing.Replica``.

    A replica with requests of ours is asked every period, an idle one every
    ``IDLE_POLL_PERIODS``, at most ``max_polls_per_s`` in all, the one asked
    longest ago first: what an entry spends on this does not grow with the
    number of replicas. Each replica is asked on its own; waiting for a
    whole round let one frozen replica hold up all reports for 2 s.
    """

    def __init__(self, fleet, entry_name, period_s, max_polls_per_s,
                 on_reports):
        """Creates the watcher.

        Args:
            fleet: The ``fleet.Fleet`` whose replicas are read.
            entry_name: This entry's name in the reports.
            period_s: Seconds between reads of a busy replica.
            max_polls_per_s: Most reads a second.
            on_reports: Called after each report.
        """
        super().__init__(period_s, channel='load-watch')
        self.fleet = fleet
        self.entry_name = entry_name
        self.max_polls_per_s = max_polls_per_s
        self._on_reports = on_reports
        self._asked = {}
        self._open = set()

    def poll(self):
        """Asks the replicas that are due; see the class docstring."""
        now = time.monotonic()
        live = {
            r.name: r
            for r in self.fleet.replicas.values()
            if r.state is not routing.ReplicaState.DOWN
        }
        self._asked = {n: at for n, at in self._asked.items() if n in live}
        due = [r for r in live.values() if self._is_due(r, now)]
        due.sort(key=lambda r: self._asked.get(r.name, 0.0))
        for replica in due[:max(1, int(self.max_polls_per_s * self.period_s))]:
            self._asked[replica.name] = now
            self._open.add(replica.name)
            links.fetch_json(self,
                             replica.addr,
                             'GET',
                             '/load',
                             idle_s=LOAD_IDLE_TIMEOUT_S,
                             done=self._reader(replica))

    def _is_due(self, replica, now):
        if replica.name in self._open:
            return False
        age = now - self._asked.get(replica.name, -math.inf)
        # The timer itself is a little late or early.
        return replica.inflight > 0 or age >= (IDLE_POLL_PERIODS -
                                               0.5) * self.period_s

    def _reader(self, replica):

        def done(status, obj, exc):
            self._open.discard(replica.name)
            if exc is None and status == 200:
                report = msgspec.convert(obj, messages.LoadReport)
                replica.others = report.others(self.entry_name)
                replica.reported_at = report.at
                replica.record_report()
            elif exc is not None:
                replica.record_missed_report(time.monotonic())
            self._on_reports(replica.pool)

        return done
