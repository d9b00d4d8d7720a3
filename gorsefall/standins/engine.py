"""Model engine stand-in: continuous batching in fixed steps, streamed output.

The protocol, NDJSON over chunked HTTP, is described in docs/PROTOCOLS.md.
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
"""Words per block of the prefix cache; a word counts as a token."""

HEARTBEAT_INTERVAL_S = 0.5
MAX_STEPS_PER_TICK = 50


class _Step(core.Event):
    """Timer event: advances the batch by the steps that are due."""
    name = 'engine_step'


@dataclasses.dataclass
class _Sequence:
    """A request in the batch or waiting for a place in it.

    Attributes:
        order: The request.
        reply: The stream to the caller.
        length: Length of the whole completion, tokens.
        pos: Tokens generated, counted from the start of the completion.
        prefill: Prompt tokens still to be prefilled.
        sent: Tokens generated for this request, without those resumed from.
        first_pending: Position of the first token in ``pending``.
        pending: Tokens generated and not yet written to the stream.
        last_write_at: Time of the last line or heartbeat, monotonic s.
    """
    order: messages.GenerateOrder
    reply: replies.ChunkedReply
    length: int
    pos: int
    prefill: int
    sent: int = 0
    first_pending: int = 0
    pending: list = dataclasses.field(default_factory=list)
    last_write_at: float = 0.0


def completion_length(prompt, seed, lo=8, hi=120):
    """Returns the length in tokens of the completion of ``prompt``.

    The length depends only on the prompt and the seed, so a second run of the
    same request gives the same completion. The distribution is skewed: most
    completions are short, a few are near ``hi``.
    """
    rng = random.Random(xxhash.xxh64_intdigest(prompt.encode(), seed=seed))
    return lo + int((hi - lo) * rng.random()**2)


def block_digests(prompt):
    """Returns a digest per full block, each chained to the one before it."""
    words = prompt.split()
    digests = []
    chain = xxhash.xxh64()
    for i in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        chain.update(' '.join(words[i:i + BLOCK_WORDS]).encode())
        digests.append(chain.hexdigest())
    return digests


class Engine(base.StandIn):
    """Serves the engine's routes and steps its batch.

    Attributes:
        step_s: Length of an engine step, s.
        max_batch: Maximum number of running sequences.
        event_tokens: Tokens per line of a stream.
        prefill_per_step: Prompt tokens prefilled in a step, over all sequences.
        cache_blocks: Maximum number of blocks in the prefix cache.
        lo, hi: Bounds of the completion length, tokens.
        seed: Seed for the completion lengths.
        orders: Bodies of the accepted ``/order`` requests.
        totals: Counters shown by ``/stats``.
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
        self._cache_events = []
        self._last_event_seq = 0
        self._load_history = collections.deque(maxlen=1000)
        self._max_fence = 0
        self._step_count = 0
        self._stepped_until = None
        self.orders = []
        self.totals = collections.Counter(tokens_out=0, answers=0)

    @core.handler('started', channel='*')
    def _on_started(self, component):
        del component
        self._stepped_until = time.monotonic()
        core.Timer(self.step_s, _Step(), self.channel,
                   persist=True).register(self)

    # -- routes ------------------------------------------------------------

    def generate(self, *args, **kwargs):
        """POST /generate: streams ``Event`` lines for a ``GenerateOrder``."""
        if (outage := self._outage_response()) is not None:
            return outage
        order = replies.read_json(self.request, base.MAX_BODY_BYTES,
                                  messages.GenerateOrder)
        length = min(
            completion_length(order.prompt, self.seed, self.lo, self.hi),
            order.max_tokens)
        reply = replies.start_chunked(self, self.response,
                                      'application/x-ndjson')
        self._waiting.append(
            _Sequence(order,
                      reply,
                      length,
                      order.resume_from,
                      self._cache_prompt(order),
                      last_write_at=time.monotonic()))
        return reply.res

    def cancel(self, *args, **kwargs):
        """POST /cancel {"id"}: stops a sequence and ends its stream."""
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        seq = self._find(body.get('id'))
        if seq is not None:
            self._drop(seq)
            seq.reply.end()
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
        if (outage := self._outage_response()) is not None:
            return outage
        now = time.time()
        report = self._current_load(now)
        for old in self._load_history:
            if old.at <= now - self.faults.lag_s:
                report = old
        return replies.json_body(self.response, report)

    def events(self, since='0'):
        """GET /events?since=N: cache events after N, late and with gaps."""
        cutoff = time.time() - self.faults.lag_s
        events = [
            e for t, e in self._cache_events
            if e.seq > int(since) and t <= cutoff
        ]
        return replies.json_body(self.response, events)

    def order(self, *args, **kwargs):
        """POST /order {"kind", "value", "fence"}: loads a model, changes role.

        With ``check_fence`` on, an order with a fencing token below the highest
        one received is refused with 409. With it off, it is accepted.
        """
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        fence = int(body.get('fence', 0))
        if self.faults.check_fence and fence < self._max_fence:
            return replies.json_body(
                self.response, {
                    'error': {
                        'code': 'stale_fence',
                        'message': f'{fence} < {self._max_fence}'
                    }
                }, 409)
        self._max_fence = max(self._max_fence, fence)
        self.orders.append(body)
        return replies.json_body(self.response, {'ok': True, 'fence': fence})

    def kv(self, action='export', *args, **kwargs):
        """POST /kv/export {"id"}, /kv/import {"blocks"}: KV cache transfer."""
        body = replies.read_json(self.request, base.MAX_BODY_BYTES)
        if action == 'export':
            seq = self._find(body.get('id'))
            digests = block_digests(seq.order.prompt) if seq else []
            return replies.json_body(
                self.response, {
                    'id': body.get('id'),
                    'tokens': seq.pos if seq else 0,
                    'blocks': digests
                })
        for block in body.get('blocks', []):
            self._cache_block(block)
        return replies.json_body(self.response, {'ok': True})

    def stats(self):
        """GET /stats: orders, sequences and totals, for tests and bench."""
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

    def _cache_prompt(self, order):
        """Caches the prompt's blocks; returns the tokens left to prefill."""
        digests = block_digests(order.prompt)
        cached = 0
        for block in digests:
            if block not in self._cache:
                break
            cached += 1
        for block in digests:
            self._cache_block(block)
        total = len(order.prompt.split()) + len(order.prior.split())
        uncached = total - cached * BLOCK_WORDS
        self.totals['prompt_tokens'] += total
        self.totals['prefill_tokens'] += uncached
        return uncached

    def _cache_block(self, block):
        if block in self._cache:
            self._cache.move_to_end(block)
            return
        self._cache[block] = True
        self._publish('stored', block)
        while len(self._cache) > self.cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._publish('removed', evicted)

    def _publish(self, kind, block):
        self._last_event_seq += 1
        if random.random() < self.faults.drop_events:
            return
        self._cache_events.append((time.time(),
                                   messages.CacheEvent(seq=self._last_event_seq,
                                                       kind=kind,
                                                       block=block)))
        del self._cache_events[:-1000]

    @core.handler('engine_step')
    def _on_step(self):
        # A late timer runs the steps that are due, so that the stand-in's
        # speed does not depend on the load of the VM.
        now = time.monotonic()
        due = int((now - self._stepped_until) / self.step_s)
        self._stepped_until += due * self.step_s
        for _ in range(min(due, MAX_STEPS_PER_TICK)):
            self._step()
        if not self.faults.stall:
            self._send_heartbeats(now)
        wall = time.time()
        if not self._load_history or wall - self._load_history[-1].at >= 0.02:
            self._load_history.append(self._current_load(wall))

    def _step(self):
        self._step_count += 1
        if self.faults.stall or self._step_count % max(1, self.faults.slow):
            return
        self._admit()
        budget = self.prefill_per_step
        for seq in list(self._running.values()):
            if seq.reply.closed:
                self._drop(seq)
            elif seq.prefill > 0:
                # Sequences share the step's prefill budget in order.
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
        # A waiting request may preempt the least urgent running one, which
        # goes back to waiting and resumes later.
        for urgent in [s for s in self._waiting if s.order.preempt]:
            victim = max(self._running.values(), key=lambda s: s.order.priority)
            if urgent.order.priority >= victim.order.priority:
                break
            self.totals[f'preempted_{victim.order.priority}'] += 1
            self._drop(victim)
            self._drop(urgent)
            self._waiting.append(victim)
            self._running[urgent.order.id] = urgent

    def _send_heartbeats(self, now):
        # A waiting or preempted request produces no tokens for a long time;
        # without heartbeats the entry could not tell its stream from a dead
        # connection.
        for seq in (*self._running.values(), *self._waiting):
            if now - seq.last_write_at >= HEARTBEAT_INTERVAL_S:
                seq.last_write_at = now
                self._write_event(seq, messages.Event())

    def _write_event(self, seq, event):
        seq.reply.send(msgspec.json.encode(event) + b'\n')

    def _advance(self, seq):
        if 0 <= self.faults.crash_after <= seq.sent:
            # Simulates a crash: the stream ends without its last line.
            self._drop(seq)
            seq.reply.closed = True
            self.fire(net_events.close(seq.reply.res.request.sock),
                      replies.WEB_CHANNEL)
            return
        if self.faults.cut_line and seq.sent:
            self._drop(seq)
            line = msgspec.json.encode(messages.Event(i=seq.pos, t='w', n=1))
            seq.reply.send(line[:len(line) // 2])
            seq.reply.end()
            return
        if seq.pos < seq.length:
            if not seq.pending:
                seq.first_pending = seq.pos
            seq.pending.append(f'w{seq.pos} ')
            seq.pos += 1
            seq.sent += 1
            self.totals['tokens_out'] += 1
        done = seq.pos >= seq.length
        if seq.pending and (done or len(seq.pending) >= self.event_tokens):
            self._flush(seq)
        if done:
            self.totals['answers'] += 1
            self._drop(seq)
            self._write_event(
                seq, messages.Event(done=True, reason='stop', n=seq.pos))
            seq.reply.end()

    def _flush(self, seq):
        if self.faults.mute:
            # Simulates a connection that sends no more data and stays open;
            # new connections work.
            self.faults.mute -= 1
            self._drop(seq)
            return
        seq.last_write_at = time.monotonic()
        self._write_event(
            seq,
            messages.Event(i=seq.first_pending,
                           t=''.join(seq.pending),
                           n=len(seq.pending)))
        seq.pending = []
