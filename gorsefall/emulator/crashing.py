"""Simulates poison requests and good requests at a site with many entries.

A poison request crashes each replica that runs it: always the same request, or
one with the same part in its prompt. Each entry has its own
``relay.crashes.CrashTracker``; messages between entries are delayed and may be
lost. The simulation counts both kinds of error: runs of poison requests, and
good requests that are refused.
"""

import collections
import dataclasses
import itertools
import random
import types

from gorsefall.emulator import clock
from gorsefall import errors
from gorsefall.policy import crashrecords
from gorsefall.policy import entrystatus
from gorsefall.relay import crashes
from gorsefall.relay import messages
from gorsefall.relay import model
from gorsefall.relay import peers
from gorsefall.relay import prober

ONE_WAY_DELAY_S = 0.002
"""Delay of a message, and of a probe of a replica, s."""

BEGIN_DELAY_S = 0.1
"""Time from the arrival of a request at its replica to its first event, s."""

CRASH_DELAY_S = 0.08
"""Time from the first event of a poison run to the crash of its replica, s."""

REPLICA_RESTART_S = 3.0
"""Time until a crashed replica is up again as a new incarnation, s."""

MAX_ATTEMPTS = 2
"""Replicas that an entry sends one request of a caller to, at most."""

CALLER_RETRY_DELAY_S = 0.3
"""Delay after which a caller retries a failed request, once, s."""


@dataclasses.dataclass(eq=False)
class Replica:
    """One incarnation of a replica, with what ``crashes`` uses of it."""
    record: object
    record_lapsed: bool = False
    is_leaving: bool = False
    exited_at: float | None = None
    up: bool = True
    runs: dict = dataclasses.field(default_factory=dict)

    def is_reported_leaving(self, now):
        """See ``replicas.Replica``."""
        del now
        return False


class Entry:
    """An entry, which is also the peers and prober of its ``CrashTracker``."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.start()

    def start(self):
        """Starts a new process, without any state."""
        self.crashes = crashes.CrashTracker(self.site.loop, self, self.site,
                                            lambda: self.site.loop.now)
        self.crashes.entry_names = lambda: [
            f'e{self.number}', *(f'e{e.number}' for e in self.site.entries
                                 if e is not self)
        ]
        self.crashes.start(self)

    def probe(self, replica, done):
        """See ``prober.ReplicaProber``."""
        verdict = prober.Verdict.ALIVE if replica.up else prober.Verdict.EXITED
        self.site.loop.call_later(ONE_WAY_DELAY_S, lambda: done(verdict))

    def send_all(self, message):
        """See ``peers.Peers``."""
        self.site.report_bytes += len(
            messages.encode(message)) * (len(self.site.entries) - 1)
        for other in self.site.entries:
            if other is not self:
                self._send(
                    lambda entry: entry.crashes.reports.handle_suspects(
                        message.run_reports, self.number), other)

    def send(self, message, host):
        """See ``peers.Peers``; ``host`` is the number of an entry."""
        self.site.report_bytes += len(messages.encode(message))
        run_reports = getattr(message, 'run_reports', None)
        if run_reports is None:
            self._send(
                lambda entry: entry.crashes.reports.send_suspects(self.number),
                self.site.entries[host])
        else:
            self._send(
                lambda entry: entry.crashes.reports.handle_suspects(
                    run_reports, self.number), self.site.entries[host])

    def broadcast_status(self):
        """Sends the status to all other entries, and schedules the next one."""
        status = entrystatus.Status(
            f'e{self.number}',
            1,
            1,
            run_reports=self.crashes.reports.recent(self.site.loop.now),
            suspects_summary=self.crashes.suspects.summary)
        reports = messages.Suspects(status.run_reports)
        if status.run_reports:
            self.site.report_bytes += len(
                messages.encode(reports)) * (len(self.site.entries) - 1)
        for other in self.site.entries:
            if other is not self:
                self._send(
                    lambda entry: entry.crashes.reports.handle_status(
                        status, self.number), other)
        jitter = self.site.rng.uniform(*peers.PAUSE_JITTER)
        self.site.loop.call_later(self.site.heartbeat_s * jitter,
                                  self.broadcast_status)

    def _send(self, deliver, other):
        if self.site.rng.random() >= self.site.loss:
            self.site.loop.call_later(ONE_WAY_DELAY_S, lambda: deliver(other))


class CallerRequest:
    """One request of a caller at an entry."""

    def __init__(self, site, causes, run_s, *, poison, retries=True):
        self._site = site
        self.causes = causes
        self._run_s = run_s
        self.replica = None
        self._begun_at = None
        self._whole = False
        self._poison = poison
        self._retries = retries
        self._entry = site.rng.choice(site.entries)
        self._attempts_left = MAX_ATTEMPTS
        self._sent_at = 0.0
        self._entry.crashes.record_arrival(causes)
        self.dispatch()

    def dispatch(self):
        """Sends the request to a replica, unless it is blocked or parked."""
        tracker = self._entry.crashes
        try:
            if not tracker.try_begin_run(self.causes, self):
                return
        except errors.PoisonRequestError:
            self._end('refused')
            return
        except errors.SuspectedPartError as exc:
            self._end('postponed', exc.retry_after)
            return
        self._attempts_left -= 1
        live = self._site.live_replicas()
        if not live:
            self._end('failed')
            return
        self.replica = self._site.rng.choice(live)
        self._sent_at = self._site.loop.now
        self.replica.runs[self] = True
        if self._poison:
            self._site.poison_runs.append(self._sent_at)
        self._site.loop.call_later(BEGIN_DELAY_S,
                                   lambda: self._begin(self.replica))

    @property
    def went_on(self):
        """See ``sending.Attempt``."""
        return self._whole or self in self.replica.runs

    def _begin(self, replica):
        if self not in replica.runs:
            return
        self._begun_at = self._site.loop.now
        self._entry.crashes.record_begun_run(self, self.causes, self)
        wait_s = CRASH_DELAY_S if self._poison else self._run_s
        self._site.loop.call_later(wait_s, lambda: self._finish(replica))

    def _finish(self, replica):
        if self not in replica.runs:
            return
        if self._poison:
            self._site.crash(replica)
            return
        self._whole = True
        del replica.runs[self]
        self._entry.crashes.record_completed_run(self.causes.request)
        self._end('served')

    def on_replica_exit(self, replica):
        """Called when its replica has crashed."""
        tracker = self._entry.crashes
        run = crashes.BrokenRun(self.causes,
                                self._sent_at,
                                self._begun_at,
                                after_broken_run=self._attempts_left
                                < MAX_ATTEMPTS - 1)
        tracker.handle_broken_run(replica, run, self._retry_or_fail)

    def _retry_or_fail(self):
        serialized = self._entry.crashes.must_serialize(self.causes)
        if self._attempts_left and not serialized:
            self.dispatch()
        else:
            self._end('failed')

    def _end(self, outcome, retry_after_s=CALLER_RETRY_DELAY_S):
        self._entry.crashes.end_run(self)
        if outcome in {'failed', 'postponed'} and self._retries:
            self._site.loop.call_later(retry_after_s, self._caller_retry)
        elif not self._poison:
            self._site.good_outcomes[outcome] += 1

    def _caller_retry(self):
        CallerRequest(self._site,
                      self.causes,
                      self._run_s,
                      poison=self._poison,
                      retries=False)


class Site:
    """Entries and replicas, which is also the fleet of the ``CrashTracker``.

    Attributes:
        replicas: ``id -> Replica``.
        poison_runs: Start times of the runs of poison requests, s.
        good_outcomes: ``outcome -> number of good requests``.
        report_bytes: Size of all reports sent between entries.
    """

    def __init__(self, entries, replicas, seed, *, loss=0.02):
        self.loop = clock.Loop()
        self.rng = random.Random(seed)
        self.loss = loss
        self.heartbeat_s = max(peers.MAX_PAUSE_S,
                               entries / peers.MAX_MESSAGES_PER_S)
        self.replicas = {}
        self.poison_runs = []
        self.good_outcomes = collections.Counter()
        self.report_bytes = 0
        self._starts = itertools.count()
        for _ in range(replicas):
            self._add_replica()
        self.entries = [Entry(self, i) for i in range(entries)]
        for entry in self.entries:
            self.loop.call_later(self.rng.uniform(0, self.heartbeat_s),
                                 entry.broadcast_status)

    def _add_replica(self):
        name = f'r{next(self._starts)}'
        record = types.SimpleNamespace(id=name,
                                       started_at_ms=0,
                                       status=model.ReplicaStatus.READY)
        self.replicas[name] = Replica(record)

    def record_exit(self, replica, at):
        """See ``fleet.Fleet``."""
        replica.exited_at = replica.exited_at or at

    def live_replicas(self):
        """Returns the replicas that are up."""
        return [r for r in self.replicas.values() if r.up]

    def crash(self, replica):
        """Crashes a replica, with all requests that run there."""
        replica.up = False
        runs, replica.runs = replica.runs, {}
        self.loop.call_later(REPLICA_RESTART_S, lambda: self._restart(replica))
        for run in runs:
            run.on_replica_exit(replica)

    def _restart(self, replica):
        del self.replicas[replica.record.id]
        self._add_replica()

    def submit(self, digest, run_s, *, parts=(), poison=False):
        """Sends a caller's request to an entry.

        Args:
            digest: The digest of the request.
            run_s: How long a good run lasts after its first event, s.
            parts: The digests of the parts of its prompt.
            poison: Whether it crashes replicas.
        """
        causes = crashrecords.PossibleCauses(digest, tuple(parts))
        CallerRequest(self, causes, run_s, poison=poison)
