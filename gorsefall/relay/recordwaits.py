"""Streams that wait until the store has what they are about to begin at."""

from gorsefall import logs
from gorsefall import metrics

MAX_WAIT_S = 1.0
"""Longest wait of a stream, s: a store that takes sixty times as long as usual
for a call is read and written in less."""


class RecordWaits:
    """The streams that wait, and for how long they may."""

    def __init__(self, loop, on_given_up):
        """Creates the state in which none waits.

        Args:
            loop: The ``reactor.Reactor``.
            on_given_up: Called when streams have waited for too long.
        """
        self._loop = loop
        self._on_given_up = on_given_up
        self._waiting = []
        self._timer = None
        self._log = logs.get('versions')

    def __len__(self):
        return len(self._waiting)

    def add(self, beginning, retry):
        """Has a stream wait.

        Args:
            beginning: The ``missingrecords.Beginning``.
            retry: Called when it need not wait any more.
        """
        self._waiting.append((beginning, retry))
        if self._timer is None:
            self._timer = self._loop.call_later(MAX_WAIT_S, self._give_up)

    def release(self, bars):
        """Ends the waits for what is stored now.

        Args:
            bars: Returns whether a ``missingrecords.Beginning`` has to wait.
        """
        ready = [w for w in self._waiting if not bars(w[0])]
        self._waiting = [w for w in self._waiting if bars(w[0])]
        self._end(ready, 'stored')

    def give_up(self):
        """Ends all waits, as the store does not answer."""
        if self._waiting:
            self._log.warning('begun_unrecorded', waiting=len(self._waiting))
        waiting, self._waiting = self._waiting, []
        self._end(waiting, 'given_up')

    def _give_up(self):
        self._timer = None
        self._on_given_up()

    def _end(self, waits, result):
        if not self._waiting and self._timer is not None:
            self._timer.cancel()
            self._timer = None
        metrics.RECORD_WAITS.labels(result).inc(len(waits))
        for _, retry in waits:
            self._loop.call_later(0, retry)
