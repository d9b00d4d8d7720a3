"""One plain replica: slots, a short queue, and calls that it refuses."""

import collections
import dataclasses
import enum

from gorsefall.emulator import site as sites
from gorsefall.policy import knowledge


@dataclasses.dataclass(eq=False)
class PendingCall:
    """One call of a caller, and where it is.

    Attributes:
        kind: Its ``site.CallKind``.
        at_ms: When its caller first sent it.
        entry: Number of the entry that has it.
        work_ms: What its answer takes at a replica of usual speed.
        always_fails: Whether it fails at every replica.
        tried: Names of the replicas that it was sent to.
        runs: How often a replica began it.
        target: The entry's ``knowledge.ReplicaView`` of its replica.
        sent_ms: When its entry last sent it.
        is_retry: Whether it was refused once and came back.
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
        """Whether its caller has given up."""
        return now_ms - self.at_ms > self.kind.patience_ms


class Admission(enum.Enum):
    """What a replica does with a call."""
    RUNS = 'runs'
    WAITS = 'waits'
    REFUSED = 'refused'


class Replica:
    """One plain replica.

    Attributes:
        name: Its name.
        slowdown: How many times longer its work takes.
        failure_rate: Part of its calls that it fails.
        running: Calls that have a slot.
    """

    def __init__(self, name, sheet, slowdown, failure_rate):
        self.name = name
        self.slowdown = slowdown
        self.failure_rate = failure_rate
        self.running = 0
        self._sheet = sheet
        self._waiting = collections.deque()

    def admit(self, run):
        """Takes a call, lets it wait, or refuses it."""
        if self.running < self._sheet.slots:
            self.running += 1
            return Admission.RUNS
        if len(self._waiting) < self._sheet.queue:
            self._waiting.append(run)
            return Admission.WAITS
        return Admission.REFUSED

    def release_slot(self, now_ms):
        """Frees a slot.

        Returns:
            The run that gets it or None, and those that were given up.
        """
        gone = []
        while self._waiting:
            run = self._waiting.popleft()
            if not run.abandoned(now_ms):
                return run, gone
            gone.append(run)
        self.running -= 1
        return None, gone

    def report_load(self, target, now_ms):
        """Reports its load, as an answer's head may do."""
        if self._sheet.tells_load:
            target.record_load(self.running, len(self._waiting), now_ms / 1000)
