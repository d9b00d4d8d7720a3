"""Which replicas lie behind a link that loses packets, from their streams.

What a link loses is sent again a fifth of a second later, and all that was
written meanwhile waits behind it: silence, then several events at once. A
replica that is busy reading a prompt is silent too, but goes on event by event.
"""

import math

MIN_LOSS_SILENCE_S = 0.18
"""Silence within a stream that may be a loss, s: usual implementations of TCP
send again after 0.2 s at the earliest; an event takes 0.02 to 0.06."""

MAX_BURST_GAP_S = 0.01
"""Events that come closer to each other than this were held up together, s: no
replica writes one in less than 0.018."""

DECAY_S = 4.0
"""Time over which what was seen is forgotten, s: a replica that is avoided for
its link shows no more of it, so it has to be tried again."""

PRIOR_EVENTS = 25.0
"""Events without a loss that are counted beside those seen: half of an answer,
so that one loss is no sign yet, and a replica nobody was sent to is sound."""


class LinkQuality:
    """What the streams of one replica tell of the way to it."""

    def __init__(self):
        self._events = 0.0
        self._held_up = 0.0
        self._at = 0.0

    def _kept(self, now):
        return math.exp((self._at - now) / DECAY_S)

    def record_events(self, events, now, *, held_up=False):
        """Notes events of a stream, s (monotonic), and whether a loss shows."""
        kept = self._kept(now)
        self._events = self._events * kept + events
        self._held_up = self._held_up * kept + held_up
        self._at = now

    def stall_probability(self, events, now):
        """Returns how likely an answer of that many events is held up."""
        kept = self._kept(now)
        share = self._held_up * kept / (self._events * kept + PRIOR_EVENTS)
        return 1.0 - (1.0 - min(1.0, share))**events


class StreamMonitor:
    """The rhythm of one stream; tells its replica's ``Target`` what it shows.

    Attributes:
        longest_s: Longest pause between its events, s.
    """

    def __init__(self, target):
        self.longest_pause_s = 0.0
        self._link = target.link
        self._pause = target.pause
        self._last = None
        self._after_silence = False

    def record_events(self, events, now):
        """Notes that ``events`` came together at ``now``, s (monotonic)."""
        if self._last is None:
            # The first follows the reading of the prompt.
            self._last = now
            return
        gap = now - self._last
        self.longest_pause_s = max(self.longest_pause_s, gap)
        silent = gap > MIN_LOSS_SILENCE_S
        together = events > 1 if silent else (self._after_silence and
                                              gap < MAX_BURST_GAP_S)
        self._link.record_events(events, now, held_up=together)
        self._pause.record(gap * 1000 / events)
        self._after_silence = silent and not together
        self._last = now

    def record_pause(self):
        """Notes that reading stops: the silence to come is the caller's."""
        self._last = None
        self._after_silence = False
