"""Emulates engines under a load, to compare ways of placing requests.

No network and no clock of its own: entries, engines and requests are objects
driven in order of time, deterministic by seed. The decisions are those of
``policy.placement``; the engines follow their data sheet.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random

from gorsefall.policy import placement

STEP_MS = 3.09
STEP_MS_PER_REQUEST = 0.102
CHUNK_TOKENS = 2048
TOKENS_PER_EVENT = 6
KV_TOKENS = 289584
"""Engine figures, from the engines' data sheet: a step's time alone and per
running request, prompt tokens read in a step, tokens an event holds, memory."""

ENTRIES = 6


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its name.
        per_s: Requests a second.
        shared: Tokens of the shared part its prompt goes on from.
        own: Mean tokens of its own part, drawn log-normally.
        spread: Sigma of that.
        events: Mean events of an answer.
        sessions: Shared parts it draws from.
        aim_ms: Target for the first event.
        gap_ms: Longest pause between events that is on time.
    """
    name: str
    per_s: float
    shared: int
    own: int
    spread: float
    events: int
    sessions: int
    aim_ms: float
    gap_ms: float


DIGEST = Kind('digest', 12.5, 6300, 2890, 1.0, 9, 117, 1200.0, 1000.0)
ADVICE = Kind('advice', 7.8, 568, 1800, 1.3, 4, 109, 500.0, 400.0)
CHAT = Kind('chat', 5.9, 172, 543, 0.9, 47, 55, 300.0, 250.0)
"""The authority's three kinds of model request, from its load sheet."""


def burst(kind, times):
    """Returns ``kind`` at ``times`` its rate."""
    return dataclasses.replace(kind, per_s=kind.per_s * times)


@dataclasses.dataclass
class _Request:
    kind: Kind
    at_ms: float
    entry: int
    session: str
    own: int
    tokens_out: int
    to_read: int = 0
    written: int = 0
    last_event_ms: float = 0.0
    on_time: bool = True
    target: placement.Target | None = None


class _Engine:
    """One replica: reads prompts in chunks between the others' tokens."""

    def __init__(self, name):
        self.name = name
        self.reading = collections.deque()
        self.writing = []
        self._cached = collections.OrderedDict()

    def admit(self, req):
        missing = 0 if self._keep(req.session,
                                  req.kind.shared) else req.kind.shared
        req.to_read = req.own + missing
        self.reading.append(req)

    def _keep(self, session, tokens):
        known = session in self._cached
        self._cached[session] = tokens
        self._cached.move_to_end(session)
        while sum(self._cached.values()) > KV_TOKENS / 2:
            self._cached.popitem(last=False)
        return known

    def busy(self):
        return len(self.reading) + len(self.writing)

    def step_ms(self):
        chunk = min(CHUNK_TOKENS,
                    self.reading[0].to_read) if self.reading else 0
        return (STEP_MS + STEP_MS_PER_REQUEST * len(self.writing) +
                chunk / placement.PROMPT_TOKENS_PER_MS)

    def step(self, now_ms):
        """Ends one step; returns the requests that are done."""
        for req in self.writing:
            self._write(req, now_ms)
        if self.reading:
            req = self.reading[0]
            req.to_read -= CHUNK_TOKENS
            if req.to_read <= 0:
                self.writing.append(self.reading.popleft())
                self._first(req, now_ms)
        done = [r for r in self.writing if r.written >= r.tokens_out]
        self.writing = [r for r in self.writing if r.written < r.tokens_out]
        return done

    def _first(self, req, now_ms):
        req.written = 1
        req.last_event_ms = now_ms
        req.on_time = now_ms - req.at_ms <= req.kind.aim_ms
        req.target.pending_tokens -= req.own + req.kind.shared

    def _write(self, req, now_ms):
        req.written += 1
        if req.written % TOKENS_PER_EVENT == 0:
            if now_ms - req.last_event_ms > req.kind.gap_ms:
                req.on_time = False
            req.last_event_ms = now_ms


def placed(targets, want, now, rng):
    """The product's own way."""
    return placement.choose(targets, want, now, rng)


def least_loaded(targets, want, now, rng):
    """Least known load, nothing else."""
    del want
    return min(targets,
               key=lambda t: (t.outstanding + t.others *
                              (now - t.reported_at < 1.0), rng.random()))


def by_lot(targets, want, now, rng):
    """Any replica."""
    del want, now
    return rng.choice(targets)


POLICIES = {f.__name__: f for f in (placed, least_loaded, by_lot)}


def _arrivals(kinds, seconds, rng):
    for kind in kinds:
        at = 0.0
        while True:
            at += rng.expovariate(kind.per_s)
            if at > seconds:
                break
            yield _Request(
                kind=kind,
                at_ms=at * 1000,
                entry=rng.randrange(ENTRIES),
                session=f'{kind.name}-{rng.randrange(kind.sessions)}',
                own=max(
                    16,
                    int(kind.own *
                        rng.lognormvariate(-kind.spread**2 / 2, kind.spread))),
                tokens_out=TOKENS_PER_EVENT *
                max(1, int(rng.expovariate(1 / kind.events))))


def emulate(kinds, *, policy=placed, engines=5, seconds=20.0, seed=1):
    """Runs a load; returns ``kind name -> share on time``, 0 to 1.

    Args:
        kinds: The ``Kind`` objects of the load.
        policy: One of ``POLICIES``.
        engines: Number of replicas.
        seconds: Length of the load, s.
        seed: Seed of all draws.
    """
    rng = random.Random(seed)
    farm = {f'e{i}': _Engine(f'e{i}') for i in range(engines)}
    views = [[
        placement.Target(name=name, zone='z', slots=64, engine=True)
        for name in farm
    ]
             for _ in range(ENTRIES)]
    count = itertools.count()
    todo = [(r.at_ms, next(count), r) for r in _arrivals(kinds, seconds, rng)]
    heapq.heapify(todo)
    total, good = collections.Counter(), collections.Counter()
    stepping = set()
    while todo:
        now_ms, _, item = heapq.heappop(todo)
        if isinstance(item, _Request):
            engine = _send(item, views[item.entry], farm, policy, rng)
            total[item.kind.name] += 1
        else:
            engine = item
            stepping.discard(engine.name)
            for req in engine.step(now_ms):
                good[req.kind.name] += req.on_time
                req.target.outstanding -= 1
                req.target.report(engine.busy(), now_ms / 1000)
        if engine.busy() and engine.name not in stepping:
            stepping.add(engine.name)
            heapq.heappush(todo,
                           (now_ms + engine.step_ms(), next(count), engine))
    return {name: good[name] / total[name] for name in total}


def _send(req, view, farm, policy, rng):
    want = placement.Want(zone='z',
                          session=req.session,
                          shared_tokens=req.kind.shared,
                          tokens=req.own + req.kind.shared,
                          tokens_out=req.tokens_out)
    target = policy(view, want, req.at_ms / 1000, rng)
    target.outstanding += 1
    target.pending_tokens += want.tokens
    req.target = target
    engine = farm[target.name]
    engine.admit(req)
    return engine


def main(argv=None):
    """Prints the share on time by kind for each policy and seed."""
    parser = argparse.ArgumentParser(
        prog='gorsefall.emulator',
        description='Compare ways of placing requests under a burst.')
    parser.add_argument('--digests',
                        type=float,
                        default=2.3,
                        help='times the usual rate of long prompts')
    parser.add_argument('--chats',
                        type=float,
                        default=1.0,
                        help='times the usual rate of long answers')
    parser.add_argument('--engines', type=int, default=5)
    parser.add_argument('--seeds', type=int, default=3)
    args = parser.parse_args(argv)
    kinds = [burst(DIGEST, args.digests), ADVICE, burst(CHAT, args.chats)]
    for name, policy in POLICIES.items():
        for seed in range(args.seeds):
            shares = emulate(kinds,
                             policy=policy,
                             engines=args.engines,
                             seed=seed)
            row = '  '.join(f'{k} {v:.3f}' for k, v in sorted(shares.items()))
            print(f'{name:13} seed {seed}  {row}')


if __name__ == '__main__':
    main()
