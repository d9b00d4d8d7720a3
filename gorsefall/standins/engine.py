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

PREFIX_CHARS = 64


class _Step(core.Event):
    """Advances every running sequence by one token."""
    name = 'engine_step'


@dataclasses.dataclass
class _Seq:
    order: messages.GenerateOrder
    out: replies.Push
    length: int
    pos: int
    prefill: int
    sent: int = 0


def answer_length(prompt, seed, lo=8, hi=120):
    """Returns the stand-in's answer length in tokens for ``prompt``.

    Callers cannot know it in advance; it is fixed per prompt and seed so a
    re-run of the same request gives the same answer.
    """
    rng = random.Random(xxhash.xxh64_intdigest(prompt.encode(), seed=seed))
    return rng.randint(lo, hi)


class Engine(base.StandIn):
    """The engine's routes and its batch.

    Attributes:
        step_s: Seconds per engine step.
        max_batch: Sequences stepped together.
        cache_slots: Prefixes kept in the prefix cache.
    """

    def __init__(self,
                 name='engine',
                 step_ms=3.0,
                 max_batch=16,
                 cache_slots=64,
                 seed=1):
        super().__init__()
        self.engine_name = name
        self.step_s = step_ms / 1000.0
        self.max_batch = max_batch
        self.seed = seed
        self._waiting = []
        self._running = {}
        self._cache = collections.OrderedDict()
        self._events = []
        self._event_seq = 0
        self._loads = collections.deque(maxlen=1000)
        self._fence = 0
        self.cache_slots = cache_slots
        self.orders = []
        self.tokens_out = 0
        self._steps = 0

    @core.handler('started', channel='*')
    def _on_started(self, component):
        del component
        core.Timer(self.step_s, _Step(), self.channel,
                   persist=True).register(self)

    def generate(self, *args, **kwargs):
        """POST /generate: a ``GenerateOrder`` in, a stream of ``Token`` out."""
        if (reply := self._down()) is not None:
            return reply
        order = replies.read_json(self.request, base.MAX_BODY,
                                  messages.GenerateOrder)
        length = min(answer_length(order.prompt, self.seed), order.max_tokens)
        prefix = order.prompt[:PREFIX_CHARS]
        hit = prefix in self._cache
        self._touch(prefix)
        prefill = 0 if hit else 1 + len(order.prompt) // 2000
        out = replies.push(self, self.response, 'application/x-ndjson')
        self._waiting.append(
            _Seq(order, out, length, order.resume_from, prefill))
        return out.res

    def cancel(self, *args, **kwargs):
        """POST /cancel {"id"}: stops a sequence; its stream ends."""
        body = replies.read_json(self.request, base.MAX_BODY)
        seq = self._running.pop(body.get('id'), None)
        if seq is not None:
            seq.out.end()
        self._waiting = [
            s for s in self._waiting if s.order.id != body.get('id')
        ]
        return replies.json_body(self.response, {'cancelled': seq is not None})

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
        body = replies.read_json(self.request, base.MAX_BODY)
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

    def kv(self, action="export", *args, **kwargs):
        """POST /kv/export or /kv/import {"id", "tokens"}: KV cache transfer."""
        body = replies.read_json(self.request, base.MAX_BODY)
        seq = self._running.get(body.get('id'))
        if action == 'export':
            return replies.json_body(self.response, {
                'id': body.get('id'),
                'tokens': seq.pos if seq else 0
            })
        self._touch(str(body.get('prefix', '')))
        return replies.json_body(self.response, {'ok': True})

    def stats(self):
        """GET /stats: totals the tests read."""
        return replies.json_body(
            self.response, {
                'tokens_out': self.tokens_out,
                'orders': self.orders,
                'running': len(self._running),
                'waiting': len(self._waiting)
            })

    def _current_load(self, now):
        return messages.LoadReport(running=len(self._running),
                                   waiting=len(self._waiting),
                                   at=now)

    def _touch(self, prefix):
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            return
        self._cache[prefix] = True
        self._publish('stored', prefix)
        while len(self._cache) > self.cache_slots:
            old, _ = self._cache.popitem(last=False)
            self._publish('removed', old)

    def _publish(self, kind, prefix):
        self._event_seq += 1
        if random.random() < self.faults.drop_events:
            return
        digest = xxhash.xxh64_hexdigest(prefix.encode())
        self._events.append((time.time(),
                             messages.CacheEvent(seq=self._event_seq,
                                                 kind=kind,
                                                 prefix=digest)))
        del self._events[:-1000]

    @core.handler('engine_step')
    def _on_step(self):
        self._loads.append(self._current_load(time.time()))
        self._steps += 1
        if self.faults.stall or self._steps % max(1, self.faults.slow):
            return
        self._admit()
        for rid, seq in list(self._running.items()):
            if seq.out.closed:
                del self._running[rid]
                continue
            if seq.prefill > 0:
                seq.prefill -= 1
                continue
            self._emit(rid, seq)

    def _admit(self):
        self._waiting.sort(key=lambda s: s.order.priority)
        while self._waiting and len(self._running) < self.max_batch:
            seq = self._waiting.pop(0)
            self._running[seq.order.id] = seq
        # Honour priorities: a waiting higher tier preempts the lowest
        # running one, which goes back to waiting and resumes later.
        if self._waiting and self._running:
            low = max(self._running.values(), key=lambda s: s.order.priority)
            top = self._waiting[0]
            if top.order.priority < low.order.priority:
                del self._running[low.order.id]
                self._waiting.append(low)
                self._waiting.remove(top)
                self._running[top.order.id] = top

    def _emit(self, rid, seq):
        if 0 <= self.faults.crash_after <= seq.sent:
            # Crash mid-answer: the stream is cut without its last line.
            del self._running[rid]
            seq.out.closed = True
            self.fire(net_events.close(seq.out.res.request.sock),
                      replies.WEB_CHANNEL)
            return
        if seq.pos >= seq.length:
            del self._running[rid]
            seq.out.send(
                msgspec.json.encode(
                    messages.Token(done=True, reason='stop', n=seq.pos)) +
                b'\n')
            seq.out.end()
            return
        seq.out.send(
            msgspec.json.encode(messages.Token(i=seq.pos, t=f'w{seq.pos} ')) +
            b'\n')
        seq.pos += 1
        seq.sent += 1
        self.tokens_out += 1
