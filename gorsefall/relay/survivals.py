"""Runs that go on after their first event, which clears parts of prompts."""

import collections
import typing

from gorsefall.policy import crashrecords
from gorsefall.relay import sending

MAX_PARTS = 4096
"""Parts kept: twice the parts in use at the two-year size."""

CHECK_PERIOD_S = 0.1
"""Shortest pause between two checks of runs, s, so that they need few
wake-ups."""

MEMORY_S = 60.0
"""Time for which a run that went on speaks for its parts in later crashes,
s."""


class _BegunRun(typing.NamedTuple):
    """A run that has sent its first event.

    Attributes:
        due_at: When it will have gone on for long enough, s (monotonic).
        attempt: Its ``sending.Attempt``.
        causes: Its ``crashrecords.PossibleCauses``.
        exchange: The ``exchange.Exchange``.
    """
    due_at: float
    attempt: sending.Attempt
    causes: crashrecords.PossibleCauses
    exchange: object


class Survivals:
    """When a run with each part of prompts last went on at this entry.

    A run went on if its replica lives ``crashrecords.YOUNG_RUN_S`` after the
    first event, and nobody cancelled the run before.
    """

    def __init__(self, loop, fleet, clock, on_survived):
        """Creates a memory without runs.

        Args:
            loop: The ``reactor.Reactor``.
            fleet: The ``fleet.Fleet``.
            clock: Returns the time, s (monotonic).
            on_survived: Called with the ``crashrecords.PossibleCauses`` and the
                ``exchange.Exchange`` of a run that went on.
        """
        self._loop = loop
        self._fleet = fleet
        self._clock = clock
        self._on_survived = on_survived
        self._begun = collections.deque()
        self._last = collections.OrderedDict()
        self._scheduled = False

    def watch(self, attempt, causes, exchange):
        """Watches a run from its first event on.

        Args:
            attempt: The ``sending.Attempt``.
            causes: Its ``crashrecords.PossibleCauses``.
            exchange: Its ``exchange.Exchange``.
        """
        self._begun.append(
            _BegunRun(self._clock() + crashrecords.YOUNG_RUN_S, attempt, causes,
                      exchange))
        self._schedule()

    def last(self, part):
        """Returns when a run with a part last went on, s; -inf for never."""
        return self._last.get(part, float('-inf'))

    def is_recent(self, part, at):
        """Returns whether a run with a part went on shortly before ``at``."""
        return 0 <= at - self.last(part) < MEMORY_S

    def _schedule(self):
        if self._begun and not self._scheduled:
            self._scheduled = True
            wait_s = max(CHECK_PERIOD_S, self._begun[0].due_at - self._clock())
            # After the due time another pass reads all sockets first: a process
            # that was paused finds its timers due and the ends of runs unread.
            self._loop.call_later(wait_s,
                                  lambda: self._loop.call_later(0, self._check))

    def _check(self):
        self._scheduled = False
        now = self._clock()
        while self._begun and self._begun[0].due_at <= now:
            run = self._begun.popleft()
            if run.attempt.went_on and self._lives(run.attempt.replica):
                self._record(run, now)
        self._schedule()

    def _lives(self, replica):
        return (replica.exited_at is None and
                self._fleet.replicas.get(replica.record.id) is replica)

    def _record(self, run, now):
        for part in run.causes.parts:
            self._last[part] = now
            self._last.move_to_end(part)
        while len(self._last) > MAX_PARTS:
            self._last.popitem(last=False)
        self._on_survived(run.causes, run.exchange)
