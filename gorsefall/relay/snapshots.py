"""Reads the newest record of every key of a topic, for all that ask at once."""

import functools
import typing

from gorsefall import ids
from gorsefall.relay import topic

PAUSE_S = 0.02
"""Shortest time between two reads of one entry, s: many streams may be taken up
at once."""


class Snapshot(typing.NamedTuple):
    """All pages of a topic.

    Attributes:
        records: ``changes.Record`` objects, a list.
        end: Offset after the topic's last record.
        era: The ``ids.Era`` of the store.
    """
    records: list
    end: int
    era: ids.Era


class SnapshotReader:
    """Reads a topic; whoever asks during a read shares the next one.

    The one under way may have been sent before what they have to see.
    """

    def __init__(self, loop, source):
        """Creates a reader.

        Args:
            loop: The ``reactor.Reactor``.
            source: The ``topic.Source``.
        """
        self._loop = loop
        self._source = source
        self._began_at = float('-inf')
        self._reading = False
        self._waiting = []

    def read(self, done):
        """Calls ``done(snapshot, exc)``; one of them is None."""
        self._waiting.append(done)
        if not self._reading:
            self._begin_soon()

    def _begin_soon(self):
        self._reading = True
        wait_s = self._began_at + PAUSE_S - self._loop.now
        if wait_s > 0:
            self._loop.call_later(wait_s, self._begin)
        else:
            self._begin()

    def _begin(self):
        self._began_at = self._loop.now
        asked, self._waiting = self._waiting, []
        self._read_page('', [], asked)

    def _read_page(self, after, records, asked):
        self._source.read_snapshot(
            after, topic.SILENCE_TIMEOUT_S,
            lambda page, exc: self._on_page(page, exc, after, records, asked))

    def _on_page(self, page, exc, after, records, asked):
        if exc is None:
            records.extend(page.records)
            following = page.next_after(after)
            if following is not None:
                self._read_page(following, records, asked)
                return
        snapshot = None if exc else Snapshot(records, page.end, page.era)
        self._reading = False
        for done in asked:
            # Each by itself: one that fails keeps no other from its result.
            self._loop.call_later(0, functools.partial(done, snapshot, exc))
        if self._waiting and not self._reading:
            self._begin_soon()
