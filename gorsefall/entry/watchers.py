"""Background tasks of an entry: the catalogue, the VM list, load reports."""

import time

import msgspec
from circuits import core

from gorsefall import catalogue
from gorsefall import links
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import routing

CATALOGUE_STREAM = 'catalogue'
READ_LIMIT = 500


class _Tick(core.Event):
    """A watcher's timer fired."""
    name = 'watch_tick'


class Watcher(core.BaseComponent):
    """Polls one thing every ``period_s``; at most one poll in flight.

    A poll that never answers would otherwise stop the watcher for good
    (symptom: catalogue version stuck on one entry); the link's idle timeout
    ends it and the next tick polls again.
    """

    def __init__(self, period_s, channel):
        super().__init__(channel=channel)
        self.period_s = period_s
        self.busy = False
        self.last_ok = 0.0

    @core.handler('started', channel='*')
    def _on_started(self, component):
        del component
        core.Timer(self.period_s, _Tick(), self.channel,
                   persist=True).register(self)
        self.poll()

    @core.handler('watch_tick')
    def _on_tick(self):
        if not self.busy:
            self.poll()

    def poll(self):
        """Starts one poll; subclasses set ``busy`` and clear it when done."""


class CatalogueWatch(Watcher):
    """Tails the catalogue stream and applies it in offset order.

    Attributes:
        state: The ``catalogue.State`` in force on this entry.
        applied_at: When each version came into force here, epoch s.
    """

    def __init__(self, log_addr, period_s):
        super().__init__(period_s, channel='catalogue-watch')
        self.log_addr = log_addr
        self.state = catalogue.State()
        self.applied_at = {}
        self._log = logs.get('catalogue')

    def poll(self):
        """Starts one read; see the class docstring."""
        self.busy = True
        path = (f'/streams/{CATALOGUE_STREAM}/read?start={self.state.offset}'
                f'&limit={READ_LIMIT}')
        links.fetch_json(self, self.log_addr, 'GET', path, done=self._read)

    def _read(self, status, obj, exc):
        self.busy = False
        if exc is not None or obj is None:
            self._log.warning('catalogue_read_failed',
                              error=str(exc),
                              status=status)
            return
        if status == 410:
            # Retention expired the records we needed: restart from the
            # newest snapshot that the stream still holds.
            self.busy = True
            path = (f'/streams/{CATALOGUE_STREAM}/read?start={obj["start"]}'
                    f'&limit={READ_LIMIT * 20}')
            links.fetch_json(self,
                             self.log_addr,
                             'GET',
                             path,
                             done=self._restore)
            return
        if status != 200:
            return
        self.last_ok = time.time()
        for rec in obj['records']:
            if self.state.apply(rec['offset'], rec['data']):
                self._in_force()
        if obj['records'] and len(obj['records']) == READ_LIMIT:
            self.poll()

    def _restore(self, status, obj, exc):
        self.busy = False
        if exc is not None or status != 200:
            return
        start = obj['start']
        snaps = [
            r for r in obj['records'] if r['data'].get('type') == 'snapshot' and
            r['data']['as_of'] >= start - 1
        ]
        if not snaps:
            self._log.error('catalogue_no_snapshot', start=start)
            return
        snap = msgspec.convert(snaps[-1]['data'], catalogue.Snapshot)
        self.state.restore(snap)
        self._in_force()
        self.poll()

    def _in_force(self):
        self.applied_at[self.state.version] = time.time()
        metrics.CATALOGUE_VERSION.set(self.state.version)
        self._log.info('catalogue_in_force',
                       version=self.state.version,
                       offset=self.state.offset)


class MembershipWatch(Watcher):
    """Marks replicas leaving or live from the platform's VM list.

    The list lags; a leaving replica gets no new work from the poll that
    first shows it, so the delay is lag + ``period_s`` at most.
    """

    def __init__(self, vm_addr, replicas, period_s):
        super().__init__(period_s, channel='membership-watch')
        self.vm_addr = vm_addr
        self.replicas = replicas

    def poll(self):
        """Starts one read; see the class docstring."""
        if self.vm_addr is None:
            return
        self.busy = True
        links.fetch_json(self, self.vm_addr, 'GET', '/vms', done=self._read)

    def _read(self, status, obj, exc):
        self.busy = False
        if exc is not None or status != 200 or obj is None:
            return
        self.last_ok = time.time()
        shown = {vm['name']: vm['state'] for vm in obj}
        for rep in self.replicas.values():
            state = shown.get(rep.name)
            if state == 'leaving':
                rep.state = routing.ReplicaState.LEAVING
            elif state == 'live':
                rep.state = routing.ReplicaState.LIVE


class LoadWatch(Watcher):
    """Reads each replica's load report into ``reported``/``reported_at``."""

    def __init__(self, replicas, period_s):
        super().__init__(period_s, channel='load-watch')
        self.replicas = replicas
        self._pending = 0

    def poll(self):
        """Starts one read; see the class docstring."""
        self.busy = bool(self.replicas)
        self._pending = len(self.replicas)
        for rep in self.replicas.values():
            links.fetch_json(self,
                             rep.addr,
                             'GET',
                             '/load',
                             idle_s=2.0,
                             done=self._reader(rep))

    def _reader(self, rep):

        def done(status, obj, exc):
            self._pending -= 1
            self.busy = self._pending > 0
            if exc is not None or status != 200 or obj is None:
                rep.failures = min(rep.failures + 1, 5)
                return
            rep.failures = 0
            rep.reported = obj['running'] + obj['waiting']
            rep.reported_at = obj['at']

        return done
