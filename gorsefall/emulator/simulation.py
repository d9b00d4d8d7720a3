"""Plays a site's load, event by event."""

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
    """What came of a load.

    Attributes:
        on_time: ``kind name -> share on time``, 0 to 1.
        refused: ``kind name -> share refused for good``, 0 to 1.
        worth: Worth earned of the worth asked for, 0 to 1.
    """
    on_time: dict
    refused: dict
    worth: float


class Tally:
    """Counts what was asked and what was served."""

    def __init__(self):
        self._asked = collections.Counter()
        self._on_time = collections.Counter()
        self._refused = collections.Counter()
        self._owed = self._earned = 0.0

    def count_request(self, kind):
        """Notes a request of ``kind``."""
        self._asked[kind.name] += 1
        self._owed += kind.worth

    def count_refused(self, kind):
        """Notes a request that was refused for good."""
        self._refused[kind.name] += 1

    def count_served(self, kind, *, on_time):
        """Notes a whole answer."""
        self._on_time[kind.name] += on_time
        self._earned += kind.worth if on_time else kind.late_worth

    def result(self):
        """Returns the ``Result``."""
        asked = self._asked
        return Result({n: self._on_time[n] / asked[n] for n in asked},
                      {n: self._refused[n] / asked[n] for n in asked},
                      self._earned / self._owed if self._owed else 0.0)


def _arrivals(site, seconds, rng):
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
    """One play of a site; ``run`` it once.

    Attributes:
        calls: The ``calls.Calls`` to its plain replicas.
    """

    def __init__(self, site, policy, seed, loss):
        self._site = site
        self._policy = policy
        self._rng = random.Random(seed)
        luck = random.Random(f'loss {seed}')
        sheet = site.engines
        names = [f'e{i}' for i in range(sheet.count)]
        self._farm = {
            name:
                engines.Engine(name, sheet, sheet.speeds[i % len(sheet.speeds)],
                               luck, loss.get(name, 0.0))
            for i, name in enumerate(names)
        }
        self._entries = [
            entries.Entry(i, site, names) for i in range(site.entries)
        ]
        self._ranks = site.ranks()
        self._tally = Tally()
        self.calls = calls.CallSimulation(site, policy, self._tally, self._at,
                                          random.Random(f'calls {seed}'))
        self._stepping = set()
        self._count = itertools.count()
        self._todo = []

    def _at(self, at_ms, action, *args):
        heapq.heappush(self._todo, (at_ms, next(self._count), action, args))

    def run(self, seconds):
        """Plays ``seconds`` of load to its end; returns the ``Result``."""
        for req in _arrivals(self._site, seconds, self._rng):
            self._at(req.at_ms, self._arrive, req)
        self.calls.schedule(seconds)
        for fault in self._site.faults:
            self._at(fault.at_s * 1000, self._strike, fault)
        if self._site.exchange_ms:
            for entry in self._entries:
                first = self._rng.uniform(0, self._site.exchange_ms)
                self._at(first, self._speak, entry, seconds * 1000)
        while self._todo:
            now_ms, _, action, args = heapq.heappop(self._todo)
            action(now_ms, *args)
        return self._tally.result()

    def _arrive(self, now_ms, req):
        if not req.is_retry:
            self._tally.count_request(req.kind)
        entry = self._entries[req.entry]
        limit_ms = self._ranks.queue_limit_ms(req.kind.priority,
                                              req.kind.aim_ms)
        choice = entry.decide(req, self._policy, limit_ms, now_ms, self._rng)
        if isinstance(choice, policies.Refusal):
            self._refuse(now_ms, req, choice)
            return
        entry.record_sent(req, choice, now_ms)
        engine = self._farm[choice.target.name]
        if engine.up:
            engine.admit(req)
            self._go_on(now_ms, engine)
        else:
            self._lose(now_ms, req)

    def _refuse(self, now_ms, req, refused):
        if req.is_retry:
            self._tally.count_refused(req.kind)
            return
        # Callers return once, to another entry.
        req.is_retry = True
        req.entry = self._rng.randrange(len(self._entries))
        self._at(now_ms + refused.return_ms, self._arrive, req)

    def _lose(self, now_ms, req):
        req.target.record_failure(now_ms / 1000)
        self._ended(now_ms, req)

    def _ended(self, now_ms, req):
        self._entries[req.entry].record_end(req, now_ms)
        if req.decoded >= req.tokens_out:
            self._tally.count_served(req.kind, on_time=req.on_time)

    def _go_on(self, now_ms, engine):
        if engine.busy and engine.name not in self._stepping:
            self._stepping.add(engine.name)
            self._at(now_ms + engine.step_ms(), self._step, engine)

    def _step(self, now_ms, engine):
        self._stepping.discard(engine.name)
        if not engine.up:
            return
        for req in engine.step(now_ms):
            if req.decoded >= req.tokens_out:
                req.target.record_success()
            self._ended(now_ms, req)
        for req in engine.take_started():
            self._entries[req.entry].record_first_event(req, now_ms)
        self._go_on(now_ms, engine)

    def _strike(self, now_ms, fault):
        engine = list(self._farm.values())[fault.engine]
        back_ms = now_ms + fault.for_s * 1000
        if fault.what is sites.FaultKind.SLOW:
            engine.slowdown = fault.times
            self._at(back_ms, self._quicken, engine)
            return
        for req in engine.crash():
            self._lose(now_ms, req)
        self._at(back_ms, self._revive, engine)

    def _quicken(self, now_ms, engine):
        del now_ms
        engine.slowdown = 1.0

    def _revive(self, now_ms, engine):
        del now_ms
        engine.up = True

    def _speak(self, now_ms, entry, until_ms):
        status = entry.status(now_ms)
        for other in self._entries:
            if other is not entry:
                other.receive_status(status, now_ms)
        if now_ms < until_ms:
            self._at(now_ms + self._site.exchange_ms, self._speak, entry,
                     until_ms)


def simulate(site, *, policy=policies.placed, seconds=20.0, seed=1, loss=None):
    """Plays a load; returns its ``Result``.

    Args:
        site: The ``site.Site``.
        policy: One of ``policies.POLICIES``.
        seconds: Length of the load, s.
        seed: Seed of all draws.
        loss: ``engine name -> part of its events that links lose``.
    """
    return Simulation(site, policy, seed, loss or {}).run(seconds)
