"""Simulates a site under its load, event by event."""

import collections
import dataclasses
import heapq
import itertools
import random

from gorsefall.emulator import calls
from gorsefall.emulator import engine as engines
from gorsefall.emulator import entries
from gorsefall.emulator import policies
from gorsefall.emulator import site as sites


@dataclasses.dataclass
class Result:
    """The result of a simulation.

    Attributes:
        on_time: ``kind name -> share of requests on time``, 0 to 1.
        refused: ``kind name -> share of requests finally refused``, 0 to 1.
        worth: Value earned as a share of the value of all requests, 0 to 1.
    """
    on_time: dict
    refused: dict
    worth: float


class Tally:
    """Counts requests and their outcomes."""

    def __init__(self):
        self._requests = collections.Counter()
        self._on_time = collections.Counter()
        self._refused = collections.Counter()
        self._total_worth = self._earned_worth = 0.0

    def count_request(self, kind):
        """Counts a request of ``kind``."""
        self._requests[kind.name] += 1
        self._total_worth += kind.worth

    def count_refused(self, kind):
        """Counts a request that was finally refused."""
        self._refused[kind.name] += 1

    def count_served(self, kind, *, on_time):
        """Counts a complete response."""
        self._on_time[kind.name] += on_time
        self._earned_worth += kind.worth if on_time else kind.late_worth

    def result(self):
        """Returns the ``Result``."""
        requests = self._requests
        return Result({n: self._on_time[n] / requests[n] for n in requests},
                      {n: self._refused[n] / requests[n] for n in requests},
                      self._earned_worth /
                      self._total_worth if self._total_worth else 0.0)


def _random_requests(site, seconds, rng):
    for kind in site.kinds:
        at = 0.0
        while True:
            at += rng.expovariate(kind.per_s)
            if at > seconds:
                break
            spread = rng.lognormvariate(-kind.spread**2 / 2, kind.spread)
            events = max(1, int(rng.expovariate(1 / kind.events)))
            yield engines.Request(
                kind=kind,
                at_ms=at * 1000,
                entry=rng.randrange(site.entries),
                session=f'{kind.name}-{rng.randrange(kind.sessions)}',
                own_tokens=max(16, int(kind.own * spread)),
                tokens_out=site.engines.stride * events)


class Simulation:
    """One simulation of a site; ``run`` may be called once.

    Attributes:
        calls: The ``calls.CallSimulation`` of its plain replicas.
    """

    def __init__(self, site, policy, seed, loss):
        self._site = site
        self._policy = policy
        self._rng = random.Random(seed)
        loss_rng = random.Random(f'loss {seed}')
        spec = site.engines
        names = [f'e{i}' for i in range(spec.count)]
        self._engines = {
            name:
                engines.Engine(name, spec, spec.speeds[i % len(spec.speeds)],
                               loss_rng, loss.get(name, 0.0))
            for i, name in enumerate(names)
        }
        self._entries = [
            entries.Entry(i, site, names) for i in range(site.entries)
        ]
        self._rank_stats = site.rank_stats()
        self._tally = Tally()
        self.calls = calls.CallSimulation(site, policy, self._tally,
                                          self._schedule,
                                          random.Random(f'calls {seed}'))
        self._stepping = set()
        self._count = itertools.count()
        self._events = []

    def _schedule(self, at_ms, action, *args):
        heapq.heappush(self._events, (at_ms, next(self._count), action, args))

    def run(self, seconds):
        """Simulates ``seconds`` of load to its end; returns the ``Result``."""
        for req in _random_requests(self._site, seconds, self._rng):
            self._schedule(req.at_ms, self._arrive, req)
        self.calls.schedule(seconds)
        for fault in self._site.faults:
            self._schedule(fault.at_s * 1000, self._begin_fault, fault)
        if self._site.exchange_ms:
            for entry in self._entries:
                first = self._rng.uniform(0, self._site.exchange_ms)
                self._schedule(first, self._send_status, entry, seconds * 1000)
        while self._events:
            now_ms, _, action, args = heapq.heappop(self._events)
            action(now_ms, *args)
        return self._tally.result()

    def _arrive(self, now_ms, req):
        if not req.is_retry:
            self._tally.count_request(req.kind)
        entry = self._entries[req.entry]
        limit_ms = self._rank_stats.queue_limit_ms(req.kind.priority,
                                                   req.kind.aim_ms)
        choice = entry.decide(req, self._policy, limit_ms, now_ms, self._rng)
        if isinstance(choice, policies.Refusal):
            self._handle_refusal(now_ms, req, choice)
            return
        entry.record_sent(req, choice, now_ms)
        engine = self._engines[choice.target.name]
        if engine.up:
            engine.admit(req)
            self._schedule_step(now_ms, engine)
        else:
            self._handle_failure(now_ms, req)

    def _handle_refusal(self, now_ms, req, refusal):
        if req.is_retry:
            self._tally.count_refused(req.kind)
            return
        # A caller retries once, at another entry.
        req.is_retry = True
        req.entry = self._rng.randrange(len(self._entries))
        self._schedule(now_ms + refusal.retry_after_ms, self._arrive, req)

    def _handle_failure(self, now_ms, req):
        req.target.record_failure(now_ms / 1000)
        self._record_end(now_ms, req)

    def _record_end(self, now_ms, req):
        self._entries[req.entry].record_end(req, now_ms)
        if req.decoded >= req.tokens_out:
            self._tally.count_served(req.kind, on_time=req.on_time)

    def _schedule_step(self, now_ms, engine):
        if engine.busy and engine.name not in self._stepping:
            self._stepping.add(engine.name)
            self._schedule(now_ms + engine.step_ms(), self._step, engine)

    def _step(self, now_ms, engine):
        self._stepping.discard(engine.name)
        if not engine.up:
            return
        for req in engine.step(now_ms):
            if req.decoded >= req.tokens_out:
                req.target.record_success()
            self._record_end(now_ms, req)
        for req in engine.take_started():
            self._entries[req.entry].record_first_event(req, now_ms)
        self._schedule_step(now_ms, engine)

    def _begin_fault(self, now_ms, fault):
        engine = list(self._engines.values())[fault.engine]
        end_ms = now_ms + fault.for_s * 1000
        if fault.what is sites.FaultKind.SLOW:
            engine.slowdown = fault.times
            self._schedule(end_ms, self._end_slowdown, engine)
            return
        for req in engine.crash():
            self._handle_failure(now_ms, req)
        self._schedule(end_ms, self._restart, engine)

    def _end_slowdown(self, now_ms, engine):
        del now_ms
        engine.slowdown = 1.0

    def _restart(self, now_ms, engine):
        del now_ms
        engine.up = True

    def _send_status(self, now_ms, entry, until_ms):
        status = entry.status(now_ms)
        for other in self._entries:
            if other is not entry:
                other.receive_status(status, now_ms)
        if now_ms < until_ms:
            self._schedule(now_ms + self._site.exchange_ms, self._send_status,
                           entry, until_ms)


def simulate(site, *, policy=policies.placed, seconds=20.0, seed=1, loss=None):
    """Simulates a site; returns the ``Result``.

    Args:
        site: The ``site.Site``.
        policy: One of the functions in ``policies.POLICIES``.
        seconds: Length of the load, s.
        seed: Seed of all random generators.
        loss: ``engine name -> share of its events lost on the way``.
    """
    return Simulation(site, policy, seed, loss or {}).run(seconds)
