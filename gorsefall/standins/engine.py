"""Model engine stand-in: continuous batching over a fixed step, streamed.

Protocol (NDJSON over chunked HTTP) is in docs/PROTOCOLS.md.
"""

import collections
import dataclasses
import random
import time

import msgspec
import xxhash
from circuits import core
from circuits.net import events as net_events

from gorsefall import messages
from gorsefall import replies
from gorsefall.standins import base

BLOCK_WORDS = 32
"""Words (here: tokens) of a prompt that are cached together."""

HEARTBEAT_INTERVAL_S = 0.5
MAX_STEPS_PER_TICK = 50


class _Step(core.Event):
    """Advances the batch by the steps that are due."""
    name = 'engine_step'


@dataclasses.dataclass
class _Seq:
    order: messages.GenerateOrder
    out: replies.ChunkedReply
    length: int
    pos: int
    prefill: int
    sent: int = 0
    first: int = 0
    held: list = dataclasses.field(default_factory=list)
    beat_at: float = 0.0


def completion_length(prompt, seed, lo=8, hi=120):
    """Returns the stand-in's answer length in tokens for ``prompt``.

    Callers cannot know it in advance; it is fixed per prompt and seed so a
    re-run of the same request gives the same answer. Lengths are skewed:
    most answers are short, a few are near ``hi``.
    """
    rng = random.Random(xxhash.xxh64_intdigest(prompt.encode(), seed=seed))
    return lo + int((hi - lo) * rng.random()**2)


def block_digests(prompt):
    """Returns the chained digests of the prompt's full blocks of words."""
    words = prompt.split()
    out = []
    chain = xxhash.xxh64()
    for i in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        chain.update(' '.join(words[i:i + BLOCK_WORDS]).encode())
        out.append(chain.hexdigest())
    return out


class Engine(base.StandIn):
    """The engine's routes and its batch.

    Attributes:
        step_s: Seconds per engine step.
        max_batch: Sequences stepped together.
        event_tokens: Tokens gathered into one line of a stream.
        prefill_per_ms: Prompt tokens read in a millisecond.
        cache_blocks: Prompt blocks kept in the prefix cache.
        lo, hi: Bounds of answer lengths, tokens.
    """

    def __init__(self,
                 *,
                 name='engine',
                 step_ms=3.0,
                 max_batch=16,
                 event_tokens=1,
                 prefill_per_ms=57.0,
                 cache_blocks=2000,
                 lo=8,
                 hi=120,
                 seed=1):
        super().__init__()
        self.engine_name = name
        self.step_s = step_ms / 1000.0
        self.max_batch = max_batch
        self.event_tokens = event_tokens
        self.prefill_per_step = prefill_per_ms * step_ms
        self.cache_blocks = cache_blocks
        self.lo, self.hi, self.seed = lo, hi, seed
        self._waiting = []
        self._running = {}
        self._cache = collections.OrderedDict()
        self._events = []
        self._event_seq = 0
        self._loads = collections.deque(maxlen=1000)
        self._fence = 0
        self._steps = 0
        self._last = None
        self.orders = []
        self.totals = collections.Counter(tokens_out=0, answers=0)

    @core.handler('started', channel='*')
    def _on_started(self, component):
        del component
        self._last = time.monotonic()
        core.Timer(self.step_s, _Step(), self.channel,
                   persist=True).register(self)

    # -- routes ------------------------------------------------------------

    def generate(self, *args, **kwargs):
        """POST /generate: a ``GenerateOrder`` in, a stream of ``Event`` out."""
        if (reply := self._down()) is not None:
            return reply
        order = replies.read_json(self.request, base.MAX_BODY_BYTES,
                                  messages.GenerateOrder)
        length = min(
            completion_length(order.prompt, self.seed, self.lo, self.hi),
            order.max_tokens)
        out = replies.start_chunked(self, self.response, 'application/x-ndjson')
        self._waiting.append(
            _Seq(order,
                 out,
                 length,
                 order.resume_from,
                 self._to_prefill(order),
                 beat_at=time.monotonic()))
        return out.res

    def cancel(self, *args, **kwargs):
        """POST /cancel {"id"}: stops a sequence; its stream ends."""
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        seq = self._find(body.get('id'))
        if seq is not None:
            self._drop(seq)
            seq.out.end()
        return replies.json_body(self.response, {'cancelled': seq is not None})

    def priority(self, *args, **kwargs):
        """POST /priority {"id", "priority"}: changes a sequence's priority."""
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        seq = self._find(body.get('id'))
        if seq is not None:
            seq.order.priority = int(body['priority'])
            seq.order.preempt = False
        return replies.json_body(self.response, {'found': seq is not None})

    def load(self):
        """GET /load: a ``LoadReport`` as of ``lag_s`` ago."""
        if (reply := self._down()) is not None:
            return reply
        now = time.time()
        report = self._current_load(now)
        for old in self._loads:
            if old.at <= now - self.faults.lag_s:
                report = old
        return replies.json_body(self.response, report)

    def events(self, since='0'):
        """GET /events?since=N: cache events published late and with gaps."""
        cutoff = time.time() - self.faults.lag_s
        out = [e for t, e in self._events if e.seq > int(since) and t <= cutoff]
        return replies.json_body(self.response, out)

    def order(self, *args, **kwargs):
        """POST /order {"kind", "value", "fence"}: load a model, change role.

        With ``check_fence`` on, an order whose fence is older than one
        already seen is refused with 409; with it off, it is obeyed.
        """
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        fence = int(body.get('fence', 0))
        if self.faults.check_fence and fence < self._fence:
            return replies.json_body(
                self.response, {
                    'error': {
                        'code': 'stale_fence',
                        'message': f'{fence} < {self._fence}'
                    }
                }, 409)
        self._fence = max(self._fence, fence)
        self.orders.append(body)
        return replies.json_body(self.response, {'ok': True, 'fence': fence})

    def kv(self, action='export', *args, **kwargs):
        """POST /kv/export {"id"} or /kv/import {"blocks"}: KV transfer."""
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        if action == 'export':
            seq = self._find(body.get('id'))
            known = block_digests(seq.order.prompt) if seq else []
            return replies.json_body(
                self.response, {
                    'id': body.get('id'),
                    'tokens': seq.pos if seq else 0,
                    'blocks': known
                })
        for block in body.get('blocks', []):
            self._touch(block)
        return replies.json_body(self.response, {'ok': True})

    def stats(self):
        """GET /stats: totals the tests and the bench read."""
        return replies.json_body(
            self.response, {
                'orders': self.orders,
                'running': len(self._running),
                'running_ids': list(self._running),
                'waiting': len(self._waiting),
                **self.totals
            })

    # -- batch ---------------------------------------------------------------

    def _find(self, rid):
        if rid in self._running:
            return self._running[rid]
        return next((s for s in self._waiting if s.order.id == rid), None)

    def _drop(self, seq):
        self._running.pop(seq.order.id, None)
        self._waiting = [s for s in self._waiting if s is not seq]

    def _current_load(self, now):
        by_entry = {}
        for seq in (*self._running.values(), *self._waiting):
            counts = by_entry.setdefault(seq.order.entry, [0] * 5)
            counts[seq.order.priority - 1] += 1
        return messages.LoadReport(running=len(self._running),
                                   waiting=len(self._waiting),
                                   at=now,
                                   by_entry=by_entry)

    def _to_prefill(self, order):
        known = block_digests(order.prompt)
        hit = 0
        for block in known:
            if block not in self._cache:
                break
            hit += 1
        for block in known:
            self._touch(block)
        total = len(order.prompt.split()) + len(order.prior.split())
        cold = total - hit * BLOCK_WORDS
        self.totals['prompt_tokens'] += total
        self.totals['prefill_tokens'] += cold
        return cold

    def _touch(self, block):
        if block in self._cache:
            self._cache.move_to_end(block)
            return
        self._cache[block] = True
        self._publish('stored', block)
        while len(self._cache) > self.cache_blocks:
            old, _ = self._cache.popitem(last=False)
            self._publish('removed', old)

    def _publish(self, kind, block):
        self._event_seq += 1
        if random.random() < self.faults.drop_events:
            return
        self._events.append((time.time(),
                             messages.CacheEvent(seq=self._event_seq,
                                                 kind=kind,
                                                 block=block)))
        del self._events[:-1000]

    @core.handler('engine_step')
    def _on_step(self):
        # Steps that are due are made up, so that the stand-in's speed does
        # not depend on how busy the machine is.
        now = time.monotonic()
        due = int((now - self._last) / self.step_s)
        self._last += due * self.step_s
        for _ in range(min(due, MAX_STEPS_PER_TICK)):
            self._step()
        if not self.faults.stall:
            self._beat(now)
        wall = time.time()
        if not self._loads or wall - self._loads[-1].at >= 0.02:
            self._loads.append(self._current_load(wall))

    def _step(self):
        self._steps += 1
        if self.faults.stall or self._steps % max(1, self.faults.slow):
            return
        self._admit()
        budget = self.prefill_per_step
        for seq in list(self._running.values()):
            if seq.out.closed:
                self._drop(seq)
            elif seq.prefill > 0:
                # Prompts are read one after the other, within the step.
                used = min(budget, seq.prefill)
                seq.prefill -= used
                budget -= used
            else:
                self._advance(seq)

    def _admit(self):
        self._waiting.sort(key=lambda s: s.order.priority)
        while self._waiting and len(self._running) < self.max_batch:
            seq = self._waiting.pop(0)
            self._running[seq.order.id] = seq
        # Honour priorities: a waiting request may preempt the least urgent
        # running one, which goes back to waiting and resumes later.
        for top in [s for s in self._waiting if s.order.preempt]:
            low = max(self._running.values(), key=lambda s: s.order.priority)
            if top.order.priority >= low.order.priority:
                break
            self.totals[f'preempted_{low.order.priority}'] += 1
            self._drop(low)
            self._drop(top)
            self._waiting.append(low)
            self._running[top.order.id] = top

    def _beat(self, now):
        # A waiting or preempted request is silent for long; without a sign
        # of life the entry could not tell that from a dead connection.
        for seq in (*self._running.values(), *self._waiting):
            if now - seq.beat_at >= HEARTBEAT_INTERVAL_S:
                seq.beat_at = now
                self._line(seq, messages.Event())

    def _line(self, seq, event):
        seq.out.send(msgspec.json.encode(event) + b'\n')

    def _advance(self, seq):
        if 0 <= self.faults.crash_after <= seq.sent:
            # Crash mid-answer: the stream is cut without its last line.
            self._drop(seq)
            seq.out.closed = True
            self.fire(net_events.close(seq.out.res.request.sock),
                      replies.WEB_CHANNEL)
            return
        if seq.pos < seq.length:
            if not seq.held:
                seq.first = seq.pos
            seq.held.append(f'w{seq.pos} ')
            seq.pos += 1
            seq.sent += 1
            self.totals['tokens_out'] += 1
        ended = seq.pos >= seq.length
        if seq.held and (ended or len(seq.held) >= self.event_tokens):
            self._flush(seq)
        if ended:
            self.totals['answers'] += 1
            self._drop(seq)
            self._line(seq, messages.Event(done=True, reason='stop', n=seq.pos))
            seq.out.end()

    def _flush(self, seq):
        if self.faults.mute:
            # The connection has gone silent for good; new ones work.
            self.faults.mute -= 1
            self._drop(seq)
            return
        seq.beat_at = time.monotonic()
        self._line(
            seq,
            messages.Event(i=seq.first, t=''.join(seq.held), n=len(seq.held)))
        seq.held = []
