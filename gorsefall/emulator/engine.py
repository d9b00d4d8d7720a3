"""Simulates an engine with continuous batching and chunked prefill."""

import collections
import dataclasses

from gorsefall.emulator import site as sites
from gorsefall.policy import knowledge
from gorsefall.policy import placement

RETRANSMIT_DELAY_MS = 250.0
"""Additional delay of an event whose packet is lost, ms.

The minimum retransmission timeout of common TCP implementations is 200 ms, and
the retransmission may be lost too."""


@dataclasses.dataclass(eq=False)
class Request:
    """One request of a caller, and its progress.

    Attributes:
        kind: The ``site.RequestKind``.
        at_ms: When the caller first sent it, ms.
        entry: Number of the entry that handles it.
        session: Name of the session, whose requests share a prompt prefix.
        own_tokens: Length of the prompt after the shared prefix, tokens.
        tokens_out: Length of the response, tokens.
        prefill_left: Prompt tokens still to prefill.
        decoded: Tokens decoded so far.
        last_contact_ms: When it was sent or its caller last received an
            event, ms.
        last_event_ms: When its last event arrived, ms.
        sent_ms: When its entry sent it, ms.
        target: The entry's ``knowledge.ReplicaView`` of its engine.
        choice: The ``placement.Choice`` of its entry.
        on_time: Whether it has met its latency targets so far.
        is_retry: Whether it is the caller's retry after a refusal.
    """
    kind: sites.RequestKind
    at_ms: float
    entry: int
    session: str
    own_tokens: int
    tokens_out: int
    prefill_left: int = 0
    decoded: int = 0
    last_contact_ms: float = 0.0
    last_event_ms: float = 0.0
    sent_ms: float = 0.0
    target: knowledge.ReplicaView | None = None
    choice: placement.Choice | None = None
    on_time: bool = True
    is_retry: bool = False

    @property
    def prompt(self):
        """Length of the whole prompt, tokens."""
        return self.own_tokens + self.kind.shared

    def abandoned(self, now_ms):
        """Returns whether its caller has given up."""
        return (now_ms - self.at_ms > self.kind.patience_ms or
                now_ms - self.last_contact_ms > self.kind.silence_ms)


class Engine:
    """One engine.

    Attributes:
        name: Name of the engine.
        up: Whether it is running.
        slowdown: Factor of the step time while a fault lasts.
    """

    def __init__(self, name, spec, speed, rng, loss=0.0):
        """Creates an engine that is up and idle, with an empty cache.

        Args:
            name: Name of the engine.
            spec: The ``site.EngineSpec``.
            speed: Factor of the step time.
            rng: Random generator for lost events.
            loss: Share of its events that are lost on the way, 0 to 1.
        """
        self.name = name
        self._spec = spec
        self._speed = speed
        self._rng = rng
        self._loss = loss
        self.up = True
        self.slowdown = 1.0
        self._waiting = []
        self._prefilling = collections.deque()
        self._decoding = []
        self._cached = collections.OrderedDict()
        self._started = []

    # -- queue -----------------------------------------------------------------

    def admit(self, req):
        """Queues a request, in order of priority and arrival."""
        at = len(self._waiting)
        while at and (self._waiting[at - 1].kind.priority > req.kind.priority):
            at -= 1
        self._waiting.insert(at, req)

    def crash(self):
        """Stops the engine; returns the requests that it has lost."""
        lost = [*self._waiting, *self._prefilling, *self._decoding]
        self.up = False
        self._waiting.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._cached.clear()
        return lost

    @property
    def running(self):
        """Number of requests that have a slot."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def busy(self):
        """Whether any request is queued or running."""
        return bool(self._waiting or self._prefilling or self._decoding)

    def report_load(self, target, now_ms):
        """Reports its load, as response headers may do."""
        if self._spec.tells_load:
            unprefilled = len(self._waiting) + max(0, len(self._prefilling) - 1)
            target.record_load(self.running, unprefilled, now_ms / 1000)

    # -- prefill and cache -----------------------------------------------------

    def _start_queued(self):
        """Starts queued requests while the next step can prefill more tokens.

        Prompts whose prefill has started go first; the others follow in the
        order of the queue.
        """
        left = self._spec.chunk - sum(r.prefill_left for r in self._prefilling)
        while left > 0 and self._waiting and self.running < self._spec.slots:
            req = self._waiting.pop(0)
            req.prefill_left = req.own_tokens + self._uncached_tokens(req)
            left -= req.prefill_left
            self._prefilling.append(req)

    def _uncached_tokens(self, req):
        """Returns the tokens of the shared prefix to prefill, and caches it."""
        cached = req.session in self._cached
        self._cached[req.session] = req.kind.shared
        self._cached.move_to_end(req.session)
        if not cached and req.choice.fetch_source is not None:
            # Modelled as prefill that takes as long as the transfer.
            return int(req.kind.shared * self._spec.fetch_ms *
                       self._spec.tokens_per_ms)
        decoding_tokens = sum(r.own_tokens + r.decoded for r in self._decoding)
        while (len(self._cached) > 1 and
               decoding_tokens + sum(self._cached.values())
               > self._spec.kv_tokens):
            self._cached.popitem(last=False)
        return 0 if cached else req.kind.shared

    # -- steps -----------------------------------------------------------------

    def step_ms(self):
        """Starts queued requests; returns the time of the next step, ms."""
        self._start_queued()
        spec = self._spec
        step = spec.step_ms + spec.step_ms_per_request * self.running
        for req, chunk in self._chunks():
            before = req.prompt - req.prefill_left
            step += (chunk / spec.tokens_per_ms + spec.pairs_ms_per_m * chunk *
                     (before + chunk / 2) / 1e6)
        return step * self._speed * self.slowdown

    def _chunks(self):
        """Yields ``(request, tokens)`` for the prefill of the next step."""
        left = self._spec.chunk
        for req in self._prefilling:
            if not left:
                return
            chunk = min(left, req.prefill_left)
            left -= chunk
            yield req, chunk

    def step(self, now_ms):
        """Completes a step; returns the requests that are done or abandoned."""
        abandoned = self._remove_abandoned(now_ms)
        for req in self._decoding:
            self._decode(req, now_ms)
        for req, chunk in list(self._chunks()):
            req.prefill_left -= chunk
        while self._prefilling and self._prefilling[0].prefill_left <= 0:
            req = self._prefilling.popleft()
            self._decoding.append(req)
            self._record_first_event(req, now_ms)
        done = [r for r in self._decoding if r.decoded >= r.tokens_out]
        self._decoding = [r for r in self._decoding if r.decoded < r.tokens_out]
        return done + abandoned

    def _remove_abandoned(self, now_ms):
        abandoned = [
            r for r in (*self._waiting, *self._prefilling, *self._decoding)
            if r.abandoned(now_ms)
        ]
        for req in abandoned:
            req.on_time = False
            for where in (self._waiting, self._prefilling, self._decoding):
                if req in where:
                    where.remove(req)
        return abandoned

    def _record_first_event(self, req, now_ms):
        req.decoded = 1
        req.last_contact_ms = req.last_event_ms = now_ms
        req.on_time = now_ms - req.at_ms <= req.kind.aim_ms
        self.report_load(req.target, now_ms)
        self._started.append(req)

    def take_started(self):
        """Returns the requests with a first event since the last call."""
        started, self._started = self._started, []
        return started

    def _decode(self, req, now_ms):
        req.decoded += 1
        if req.decoded % self._spec.stride:
            return
        lost = self._loss > 0 and self._rng.random() < self._loss
        gap_ms = now_ms - req.last_event_ms + RETRANSMIT_DELAY_MS * lost
        if gap_ms > req.kind.gap_ms:
            req.on_time = False
        req.target.link.record_events(1, now_ms / 1000, stalled=lost)
        req.target.pause.record(gap_ms)
        req.last_event_ms = req.last_contact_ms = now_ms
