"""Simulates a plain replica with slots and a bounded queue."""

import collections
import dataclasses
import enum

from gorsefall.emulator import site as sites
from gorsefall.policy import knowledge


@dataclasses.dataclass(eq=False)
class PendingCall:
    """One call of a caller, and its state.

    Attributes:
        kind: The ``site.CallKind``.
        at_ms: When the caller first sent it, ms.
        entry: Number of the entry that handles it.
        work_ms: Processing time at a replica of normal speed, ms.
        always_fails: Whether it fails at every replica.
        tried: Names of the replicas that it was sent to.
        runs: How many times a replica has started it.
        target: The entry's ``knowledge.ReplicaView`` of its replica.
        sent_ms: When its entry last sent it, ms.
        is_retry: Whether it is the caller's retry after a refusal.
    """
    kind: sites.CallKind
    at_ms: float
    entry: int
    work_ms: float
    always_fails: bool
    tried: set = dataclasses.field(default_factory=set)
    runs: int = 0
    target: knowledge.ReplicaView | None = None
    sent_ms: float = 0.0
    is_retry: bool = False

    def abandoned(self, now_ms):
        """Returns whether its caller has given up."""
        return now_ms - self.at_ms > self.kind.patience_ms


class Admission(enum.Enum):
    """Whether a replica runs, queues or refuses a call."""
    RUNS = 'runs'
    WAITS = 'waits'
    REFUSED = 'refused'


class Replica:
    """One plain replica.

    Attributes:
        name: Name of the replica.
        slowdown: Factor of the processing time.
        failure_rate: Share of its calls that fail, 0 to 1.
        running: Number of calls that have a slot.
    """

    def __init__(self, name, spec, slowdown, failure_rate):
        self.name = name
        self.slowdown = slowdown
        self.failure_rate = failure_rate
        self.running = 0
        self._spec = spec
        self._waiting = collections.deque()

    def admit(self, call):
        """Runs, queues or refuses a call; returns the ``Admission``."""
        if self.running < self._spec.slots:
            self.running += 1
            return Admission.RUNS
        if len(self._waiting) < self._spec.queue:
            self._waiting.append(call)
            return Admission.WAITS
        return Admission.REFUSED

    def release_slot(self, now_ms):
        """Frees a slot and gives it to a queued call.

        Returns:
            The call that gets the slot, or None, and a list of the queued
            calls whose callers have given up.
        """
        abandoned = []
        while self._waiting:
            call = self._waiting.popleft()
            if not call.abandoned(now_ms):
                return call, abandoned
            abandoned.append(call)
        self.running -= 1
        return None, abandoned

    def report_load(self, target, now_ms):
        """Reports its load, as response headers may do."""
        if self._spec.tells_load:
            target.record_load(self.running, len(self._waiting), now_ms / 1000)
