"""One engine: reads prompts in chunks between the tokens of other requests."""

import collections
import dataclasses

from gorsefall.emulator import site as sites
from gorsefall.policy import knowledge
from gorsefall.policy import placement

RETRANSMIT_DELAY_MS = 250.0
"""How much later what a link lost arrives, ms: the shortest time-out of the
usual TCP implementations is 200, and the next try may be lost too."""


@dataclasses.dataclass(eq=False)
class Request:
    """One request of a caller, and how far it is.

    Attributes:
        kind: Its ``site.RequestKind``.
        at_ms: When its caller first sent it.
        entry: Number of the entry that has it.
        session: Shared part its prompt goes on from.
        own_tokens: Tokens of its own part.
        tokens_out: Tokens it writes.
        prefill_left: Tokens that its engine has yet to read.
        decoded: Tokens written.
        last_contact_ms: When its caller last heard of it.
        last_event_ms: When its last event came.
        sent_ms: When its entry sent it.
        target: The entry's ``knowledge.ReplicaView`` of its engine.
        choice: The ``placement.Choice`` that its entry made.
        on_time: Whether it may still be on time.
        is_retry: Whether it was refused once and came back.
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
        """Tokens of its whole prompt."""
        return self.own_tokens + self.kind.shared

    def abandoned(self, now_ms):
        """Whether its caller has given up."""
        return (now_ms - self.at_ms > self.kind.patience_ms or
                now_ms - self.last_contact_ms > self.kind.silence_ms)


class Engine:
    """One replica.

    Attributes:
        name: Its name.
        up: Whether it runs.
        slowdown: How many times slower than its data sheet it is.
    """

    def __init__(self, name, sheet, speed, rng, loss=0.0):
        """Creates an engine that is up and holds nothing.

        Args:
            name: Its name.
            sheet: The ``site.EngineSpec``.
            speed: Times that its steps take.
            rng: Source of the losses.
            loss: Part of its events that the link loses.
        """
        self.name = name
        self._sheet = sheet
        self._speed = speed
        self._rng = rng
        self._loss = loss
        self.up = True
        self.slowdown = 1.0
        self._waiting = []
        self._reading = collections.deque()
        self._writing = []
        self._cached = collections.OrderedDict()
        self._begun = []

    # -- what comes and goes ---------------------------------------------------

    def admit(self, req):
        """Takes a request; the more urgent go first among the waiting."""
        at = len(self._waiting)
        while at and (self._waiting[at - 1].kind.priority > req.kind.priority):
            at -= 1
        self._waiting.insert(at, req)

    def crash(self):
        """Loses all it holds; returns the requests that were there."""
        lost = [*self._waiting, *self._reading, *self._writing]
        self.up = False
        self._waiting.clear()
        self._reading.clear()
        self._writing.clear()
        self._cached.clear()
        return lost

    @property
    def running(self):
        """Requests that have a slot, their number."""
        return len(self._reading) + len(self._writing)

    @property
    def busy(self):
        """Whether there is work for another step."""
        return bool(self._waiting or self._reading or self._writing)

    def report_load(self, target, now_ms):
        """Reports its load, as an answer's head may do."""
        if self._sheet.tells_load:
            unread = len(self._waiting) + max(0, len(self._reading) - 1)
            target.record_load(self.running, unread, now_ms / 1000)

    # -- memory ----------------------------------------------------------------

    def _start(self):
        """Lets waiting requests begin while the step has tokens to read left.

        A prompt that is being read goes on first; behind it the more urgent
        go first, as they do while they wait.
        """
        left = self._sheet.chunk - sum(r.prefill_left for r in self._reading)
        while left > 0 and self._waiting and self.running < self._sheet.slots:
            req = self._waiting.pop(0)
            req.prefill_left = req.own_tokens + self._missing(req)
            left -= req.prefill_left
            self._reading.append(req)

    def _missing(self, req):
        """Returns the shared tokens that are not cached; they are from now."""
        known = req.session in self._cached
        self._cached[req.session] = req.kind.shared
        self._cached.move_to_end(req.session)
        if not known and req.choice.fetch_source is not None:
            # Taken as if the engine read for as long as the transfer lasts.
            return int(req.kind.shared * self._sheet.fetch_ms *
                       self._sheet.tokens_per_ms)
        held = sum(r.own_tokens + r.decoded for r in self._writing)
        while (len(self._cached) > 1 and
               held + sum(self._cached.values()) > self._sheet.kv_tokens):
            self._cached.popitem(last=False)
        return 0 if known else req.kind.shared

    # -- steps -----------------------------------------------------------------

    def step_ms(self):
        """Returns how long the next step takes, ms."""
        self._start()
        sheet = self._sheet
        step = sheet.step_ms + sheet.step_ms_per_request * self.running
        for req, chunk in self._chunks():
            before = req.prompt - req.prefill_left
            step += (chunk / sheet.tokens_per_ms +
                     sheet.pairs_ms_per_m * chunk * (before + chunk / 2) / 1e6)
        return step * self._speed * self.slowdown

    def _chunks(self):
        """Gives ``(request, tokens)`` of what the next step reads."""
        left = self._sheet.chunk
        for req in self._reading:
            if not left:
                return
            chunk = min(left, req.prefill_left)
            left -= chunk
            yield req, chunk

    def step(self, now_ms):
        """Ends one step; returns the requests that are done or given up."""
        lost = self._give_up(now_ms)
        for req in self._writing:
            self._write(req, now_ms)
        for req, chunk in list(self._chunks()):
            req.prefill_left -= chunk
        while self._reading and self._reading[0].prefill_left <= 0:
            req = self._reading.popleft()
            self._writing.append(req)
            self._first(req, now_ms)
        done = [r for r in self._writing if r.decoded >= r.tokens_out]
        self._writing = [r for r in self._writing if r.decoded < r.tokens_out]
        return done + lost

    def _give_up(self, now_ms):
        lost = [
            r for r in (*self._waiting, *self._reading, *self._writing)
            if r.abandoned(now_ms)
        ]
        for req in lost:
            req.on_time = False
            for where in (self._waiting, self._reading, self._writing):
                if req in where:
                    where.remove(req)
        return lost

    def _first(self, req, now_ms):
        req.decoded = 1
        req.last_contact_ms = req.last_event_ms = now_ms
        req.on_time = now_ms - req.at_ms <= req.kind.aim_ms
        self.report_load(req.target, now_ms)
        self._begun.append(req)

    def take_started(self):
        """Returns the requests whose first event came since the last call."""
        begun, self._begun = self._begun, []
        return begun

    def _write(self, req, now_ms):
        req.decoded += 1
        if req.decoded % self._sheet.stride:
            return
        lost = self._loss > 0 and self._rng.random() < self._loss
        gap_ms = now_ms - req.last_event_ms + RETRANSMIT_DELAY_MS * lost
        if gap_ms > req.kind.gap_ms:
            req.on_time = False
        req.target.link.record_events(1, now_ms / 1000, held_up=lost)
        req.target.pause.record(gap_ms)
        req.last_event_ms = req.last_contact_ms = now_ms
