"""Requests that crash replicas, and good ones beside them, before many entries.

Each entry has its own ``relay.crashes.CrashTracker``; what they tell each
other is late and at times lost. Both errors are counted: runs of a guilty
request that are too many, and good requests that are refused.
"""

import collections
import dataclasses
import itertools
import random
import types

from gorsefall import errors
from gorsefall.emulator import clock
from gorsefall.policy import membership
from gorsefall.relay import crashes
from gorsefall.relay import model
from gorsefall.relay import peers
from gorsefall.relay import prober

ONE_WAY_DELAY_S = 0.002
"""Time of a message, or of a look at a replica, s."""

CRASH_DELAY_S = 0.08
"""Time from the start of a guilty run to its replica's end, s."""

REPLICA_RESTART_S = 3.0
"""Time until a replica that crashed is back as a new start, s."""

MAX_ATTEMPTS = 2
"""Replicas that one attempt of a caller is sent to."""

CALLER_RETRY_DELAY_S = 0.3
"""Pause after which a caller comes back after a failure, once, s."""


@dataclasses.dataclass(eq=False)
class Replica:
    """One start of a replica; has what ``crashes`` sees of one."""
    record: object
    record_lapsed: bool = False
    exited_at: float | None = None
    up: bool = True
    runs: set = dataclasses.field(default_factory=set)


class Entry:
    """An entry; is the ``peers`` and the ``prober`` of its ``CrashTracker``."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.start()

    def start(self):
        """Starts a process, which knows nothing."""
        self.crashes = crashes.CrashTracker(self.site.loop, self, self.site,
                                            lambda: self.site.loop.now)
        self.crashes.start(self)

    def probe(self, replica, done):
        """See ``prober.ReplicaProber``."""
        verdict = prober.Verdict.ALIVE if replica.up else prober.Verdict.EXITED
        self.site.loop.call_later(ONE_WAY_DELAY_S, lambda: done(verdict))

    def send_all(self, message):
        """See ``peers.Peers``."""
        for other in self.site.entries:
            if other is not self:
                self._send(
                    lambda entry: entry.crashes.merge_reports(
                        message.run_reports), other)

    def send(self, message, host):
        """See ``peers.Peers``; a host is an entry's number."""
        answer = getattr(message, 'run_reports', None)
        if answer is None:
            self._send(lambda entry: entry.crashes.send_suspects(self.number),
                       self.site.entries[host])
        else:
            self._send(lambda entry: entry.crashes.merge_reports(answer),
                       self.site.entries[host])

    def broadcast_status(self):
        """Tells all others what was seen here."""
        status = membership.Status(
            f'e{self.number}',
            1,
            1,
            run_reports=self.crashes.recent_reports(self.site.loop.now),
            suspects_summary=self.crashes.suspects.summary)
        for other in self.site.entries:
            if other is not self:
                self._send(
                    lambda entry: entry.crashes.handle_status(
                        status, self.number), other)
        spread = self.site.rng.uniform(*peers.PAUSE_JITTER)
        self.site.loop.call_later(self.site.heartbeat_s * spread,
                                  self.broadcast_status)

    def _send(self, arrive, other):
        if self.site.rng.random() >= self.site.lost:
            self.site.loop.call_later(ONE_WAY_DELAY_S, lambda: arrive(other))


class CallerRequest:
    """One attempt of a caller at an entry."""

    def __init__(self, site, digest, run_s, *, poison, back=True):
        self._site = site
        self._digest = digest
        self._run_s = run_s
        self._poison = poison
        self._back = back
        self._entry = site.rng.choice(site.entries)
        self._left = MAX_ATTEMPTS
        self._sent_at = 0.0
        self.dispatch()

    def dispatch(self):
        """Sends it to a replica, unless it is blocked."""
        known = self._entry.crashes
        try:
            if not known.try_begin_run(self._digest, self):
                return
        except errors.PoisonRequestError:
            self._end('refused')
            return
        self._left -= 1
        replica = self._site.rng.choice(self._site.live_replicas())
        self._sent_at = self._site.loop.now
        replica.runs.add(self)
        if self._poison:
            self._site.poison_runs.append(self._sent_at)
        wait_s = CRASH_DELAY_S if self._poison else self._run_s
        self._site.loop.call_later(wait_s, lambda: self._over(replica))

    def _over(self, replica):
        if self not in replica.runs:
            return
        if self._poison:
            self._site.crash(replica)
            return
        replica.runs.discard(self)
        self._entry.crashes.record_completed_run(self._digest)
        self._end('served')

    def on_replica_exit(self, replica):
        """Called when its replica ended."""
        known = self._entry.crashes
        run = crashes.BrokenRun(self._digest,
                                self._sent_at,
                                None,
                                after_broken_run=self._left < MAX_ATTEMPTS - 1)
        known.handle_broken_run(replica, run, self._after)

    def _after(self):
        held = self._entry.crashes.suspects.must_serialize(self._digest)
        if self._left and not held:
            self.dispatch()
        else:
            self._end('failed')

    def _end(self, outcome):
        self._entry.crashes.end_run(self._digest, self)
        if outcome == 'failed' and self._back:
            self._site.loop.call_later(CALLER_RETRY_DELAY_S, self._return)
        elif not self._poison:
            self._site.good_outcomes[outcome] += 1

    def _return(self):
        CallerRequest(self._site,
                      self._digest,
                      self._run_s,
                      poison=self._poison,
                      back=False)


class Site:
    """Entries before replicas; also the ``fleet`` that ``crashes`` asks.

    Attributes:
        replicas: ``id -> Replica``.
        poison_runs: When runs of guilty requests began, s.
        good_outcomes: How good requests ended.
    """

    def __init__(self, entries, replicas, seed, *, lost=0.02):
        self.loop = clock.Loop()
        self.rng = random.Random(seed)
        self.lost = lost
        self.heartbeat_s = max(peers.MAX_PAUSE_S,
                               entries / peers.MAX_MESSAGES_PER_S)
        self.replicas = {}
        self.poison_runs = []
        self.good_outcomes = collections.Counter()
        self._starts = itertools.count()
        for _ in range(replicas):
            self._add()
        self.entries = [Entry(self, i) for i in range(entries)]
        for entry in self.entries:
            self.loop.call_later(self.rng.uniform(0, self.heartbeat_s),
                                 entry.broadcast_status)

    def _add(self):
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
        """Ends a replica, with all that runs there."""
        replica.up = False
        runs, replica.runs = replica.runs, set()
        self.loop.call_later(REPLICA_RESTART_S, lambda: self._back(replica))
        for run in sorted(runs, key=id):
            run.on_replica_exit(replica)

    def _back(self, replica):
        del self.replicas[replica.record.id]
        self._add()

    def submit(self, digest, run_s, *, poison=False):
        """A caller's request comes to an entry."""
        CallerRequest(self, digest, run_s, poison=poison)
