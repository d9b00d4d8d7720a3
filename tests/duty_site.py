"""Entries with duties, a store and a platform, in simulated time with faults.

The platform checks each call against what the store has appended.
"""

import collections
import random
import types

import entries

from gorsefall import errors
from gorsefall.duties import claims
from gorsefall.duties import coordinator
from gorsefall.duties import demand
from gorsefall.duties import kinds
from gorsefall.duties import lease
from gorsefall.duties import reports
from gorsefall.duties import truetime
from gorsefall.emulator import clock
from gorsefall.policy import entrystatus
from gorsefall.policy import membership
from gorsefall.relay import changes
from gorsefall.relay import messages
from gorsefall.relay import positions
from gorsefall.relay import settings
from gorsefall.relay import topic

EPOCH_S = 1_750_000_000.0
"""True time at the start of the simulation, s since 1970."""

LATENCY_S = 0.004
HEARTBEAT_S = 0.5
LEASE_S = 3.0
WINDOW_S = 5.0
DUE_S = 10.0


class Loop(entries.EntryLoop):
    """The loop of one entry, with the periodic calls of the reactor."""

    def call_every(self, period_s, callback):

        def run():
            self.call_later(period_s, run)
            callback()

        self.call_later(period_s, run)


class Store:
    """One topic with conditional appends."""

    def __init__(self, loop):
        self.loop = loop
        self.records = []
        self.era = 0
        self.holders = {}
        self.calls = 0
        self.up = True

    def append(self, key, value, end):
        """Appends if the topic ends there; returns the position or None."""
        if end != self.end:
            return None
        self.records.append((key, value))
        position = positions.Position(self.era, end)
        if key == lease.claim_key(self.era):
            self.holders[positions.fencing_token(position)] = claims.decode(
                value).holder
        return position

    @property
    def end(self):
        """Offset after the last record."""
        return len(self.records)

    def newest(self):
        """Returns the newest ``changes.Record`` of each key, a list."""
        found = {key: (value, i) for i, (key, value) in enumerate(self.records)}
        return [
            changes.Record(key, value, i, era=self.era)
            for key, (value, i) in found.items()
        ]

    def restore(self, lost):
        """Comes back without the last ``lost`` records."""
        self.era += 1
        del self.records[max(0, self.end - lost):]


class StoreLink(topic.Source):
    """The store as one entry reaches it.

    Attributes:
        up: Whether the entry reaches it.
        faults: Outcomes of the next appends: ``lost`` (done, no answer),
            ``dropped`` (not done, no answer) or ``late`` (done 4 s later).
    """

    def __init__(self, loop, store):
        self._loop = loop
        self._store = store
        self.up = True
        self.faults = collections.deque()

    def _answer(self, done, result, exc=None, *, after_s=LATENCY_S):
        self._loop.call_later(after_s, lambda: done(result, exc))

    def _is_up(self, silence_s, done):
        self._store.calls += 1
        if self.up and self._store.up:
            return True
        self._answer(done, None, errors.StoreError('away'), after_s=silence_s)
        return False

    def read_snapshot(self, after, silence_s, done):
        if not self._is_up(silence_s, done):
            return
        self._answer(
            done,
            topic.SnapshotPage(self._store.newest(), False, self._store.end,
                               self._store.era))

    def append_at(self, key, value, end, silence_s, done):
        if not self._is_up(silence_s, done):
            return
        fault = self.faults.popleft() if self.faults else None
        if fault == 'late':
            self._store.loop.call_later(
                4.0, lambda: self._store.append(key, value, end))
        elif fault != 'dropped':
            position = self._store.append(key, value, end)
            if fault is None:
                exc = errors.ConflictError('end') if position is None else None
                self._answer(done, position, exc)
                return
        self._answer(done, None, errors.StoreError('lost'), after_s=silence_s)


class Platform:
    """Receives the calls of all entries and checks them.

    Attributes:
        usage: ``window -> counts`` that were accepted.
        orders: ``pool -> count`` that were accepted last.
        violations: What must not happen, a list of str.
        sent: ``(at, holder)`` of each call, when it was sent.
    """

    def __init__(self, loop, store):
        self.loop = loop
        self._store = store
        self._fences = {}
        self.usage = {}
        self.orders = {}
        self.unavailable = set()
        self.violations = []
        self.sent = []
        self.up = True
        self.calls = 0

    def check_sent(self, holder, token):
        """Checks a call when it is sent."""
        if self._store.holders[token] != holder:
            self.violations.append(f'{holder} used the token {token} of '
                                   f'{self._store.holders[token]}')
        later = {h for t, h in self._store.holders.items() if t >= token}
        later -= {holder}
        if later:
            self.violations.append(f'{holder} acted after a claim of {later}')
        self.sent.append((self.loop.now, holder))

    def execute(self, subject, token, action):
        """Carries a call out; returns the status."""
        self.calls += 1
        if token < self._fences.get(subject, -1):
            return 409
        self._fences[subject] = token
        return action()

    def report(self, window, counts):
        known = self.usage.setdefault(window, counts)
        if known != counts:
            self.violations.append(f'two reports of window {window}')
        return 200

    def order(self, pool, count):
        if pool in self.unavailable:
            return 409
        self.orders[pool] = count
        return 200


class Client(kinds.Client):
    """The platform as one entry reaches it; see ``StoreLink.faults``."""

    def __init__(self, loop, platform, name):
        self._loop = loop
        self._platform = platform
        self._name = name
        self.up = True
        self.faults = collections.deque()

    def report_usage(self, token, window, counts, done):
        self._call(token, 'usage',
                   lambda: self._platform.report(window, dict(counts)), done)

    def order(self, token, pool, count, done):
        self._call(token, pool, lambda: self._platform.order(pool, count), done)

    def _call(self, token, subject, action, done):
        self._platform.check_sent(self._name, token)
        fault = self.faults.popleft() if self.faults else None
        answers = {200: kinds.Answer.ACCEPTED, 409: kinds.Answer.CONFLICT}
        if not self.up or not self._platform.up:
            fault = 'dropped'
        if fault == 'rejected':
            self._loop.call_later(LATENCY_S,
                                  lambda: done(kinds.Answer.REJECTED))
            return
        if fault == 'late':
            self._platform.loop.call_later(
                4.0, lambda: self._platform.execute(subject, token, action))
        elif fault != 'dropped':
            status = self._platform.execute(subject, token, action)
            if fault is None:
                self._loop.call_later(LATENCY_S, lambda: done(answers[status]))
                return
        self._loop.call_later(0.9, lambda: done(kinds.Answer.UNKNOWN))


class Entry:
    """One entry: its members, its coordinator and its links."""

    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.host = name
        self.clock_step_s = 0.0
        self.peers_up = True
        self.seq = 0
        self.starts = 0
        self.sent_runs = collections.Counter()
        self._start_process()

    def _start_process(self):
        self.starts += 1
        self.seq = 0
        self.loop = Loop(self.site.loop)
        self.source = StoreLink(self.loop, self.site.store)
        self.client = Client(self.loop, self.site.platform, self.name)
        self.members = membership.Members(self.name)
        self.started_at_ms = int(self.wall_time() * 1000)
        peer_view = types.SimpleNamespace(members=self.members)
        self.node = types.SimpleNamespace(
            loop=self.loop,
            cfg=types.SimpleNamespace(name=self.name),
            work=types.SimpleNamespace(peer_view=peer_view),
            can_read_store=True)
        tracker = demand.DemandTracker()
        self.lease = lease.Lease(self.source,
                                 self.name,
                                 self.site.lease_s,
                                 clock=lambda: self.site.loop.now,
                                 rng=self.site.rng)
        self.duties = coordinator.Coordinator(
            self.node,
            settings.Duties(lease_s=self.site.lease_s,
                            report_window_s=self.site.window_s,
                            report_due_s=self.site.due_s),
            lease=self.lease,
            client=self.client,
            true_time=truetime.TrueTime(lambda: self.site.loop.now,
                                        self.wall_time),
            tracker=tracker,
            reports_usage=True)
        self.duties.start(self)
        self.loop.call_every(HEARTBEAT_S, self._send_status)

    def wall_time(self):
        return EPOCH_S + self.site.loop.now + self.clock_step_s

    def kill(self):
        self.loop.dead = True

    def restart(self):
        self.kill()
        self._start_process()

    def freeze(self, for_s):
        self.loop.frozen_until = self.site.loop.now + for_s

    def run(self, account):
        """Has a replica begin to run a request of an account now."""
        self.loop.call(lambda: self.duties.record_run(account))

    # -- the interface of ``peers.Peers`` --------------------------------------

    def register_handler(self, kind, handler):
        assert kind is reports.EntryReport
        self._handler = handler

    def send(self, message, host):
        self.site.send(self, messages.encode(message), host)

    def _send_status(self):
        self.seq += 1
        status = entrystatus.Status(self.name,
                                    self.started_at_ms,
                                    self.seq,
                                    can_read_store=True,
                                    **self.duties.status_fields())
        for host in self.site.entries:
            if host != self.host:
                self.site.send(self, messages.encode(status), host)

    def receive(self, data, host):
        message = messages.decode(data)
        if isinstance(message, entrystatus.Status):
            if self.members.record_status(host, message, self.loop.now):
                self.duties.handle_status(message, host)
        else:
            self._handler(message, host)


class Site:
    """All entries, the store and the platform."""

    def __init__(self,
                 count,
                 seed=0,
                 window_s=WINDOW_S,
                 lease_s=LEASE_S,
                 due_s=DUE_S):
        self.window_s = window_s
        self.due_s = due_s
        self.lease_s = lease_s
        self.rng = random.Random(seed)
        self.loop = clock.Loop()
        self.store = Store(self.loop)
        self.platform = Platform(self.loop, self.store)
        self.loss = 0.0
        self.entries = {}
        for i in range(count):
            name = f'entry-{i}'
            self.entries[name] = Entry(self, name)

    def send(self, sender, data, host):
        if self.rng.random() < self.loss or not sender.peers_up:
            return
        receiver = self.entries[host]

        def arrive():
            if receiver.peers_up:
                receiver.loop.call(lambda: receiver.receive(data, sender.host))

        self.loop.call_later(0.001, arrive)

    def holders(self):
        """Returns the entries that hold the duties as far as they know."""
        return [
            e for e in self.entries.values() if e.lease.held and
            not e.loop.dead and e.loop.frozen_until <= self.loop.now
        ]

    def run(self, seconds):
        self.loop.run(self.loop.now + seconds)
