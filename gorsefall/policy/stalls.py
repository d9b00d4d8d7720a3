"""Detects links that lose packets, by the timing of events in streams.

TCP retransmits a lost packet about 0.2 s later, and everything sent meanwhile
waits behind it: the stream is silent, and then several events arrive at once. A
replica that is busy with a prefill is silent as well, but continues event by
event.
"""

import math

MIN_LOSS_SILENCE_S = 0.18
"""Minimum silence within a stream that may be a packet loss, s. Usual TCP
implementations retransmit after 0.2 s at the earliest; an event takes 0.02 to
0.06 s."""

MAX_BURST_GAP_S = 0.01
"""Maximum time between events that were stalled together, s: no replica takes
less than 0.018 s for an event."""

COMMON_CAUSE_S = 0.02
"""Time within which several streams of a link stall for one cause, s: a pause
of this process ends for all of them in one pass of its loop."""

DECAY_S = 4.0
"""Time constant of the decay of samples, s. A replica that is avoided because
of its link yields no new samples, so it has to be tried again."""

PRIOR_EVENTS = 25.0
"""Events without a loss that are added to the samples, half of a response: a
single loss has little effect, and a link without samples counts as good."""


class LinkQuality:
    """Loss statistics of the link to one replica, from its streams."""

    def __init__(self):
        self._events = 0.0
        self._stalled = 0.0
        self._at = 0.0
        self._stalled_at = float('-inf')

    def _decay(self, now):
        return math.exp((self._at - now) / DECAY_S)

    def record_events(self, events, now, *, stalled=False):
        """Records events of a stream.

        Args:
            events: Number of events that arrived together.
            now: Time, s (monotonic).
            stalled: Whether a packet loss stalled them.
        """
        if stalled:
            stalled = now - self._stalled_at > COMMON_CAUSE_S
        if stalled:
            self._stalled_at = now
        decay = self._decay(now)
        self._events = self._events * decay + events
        self._stalled = self._stalled * decay + stalled
        self._at = now

    def stall_probability(self, events, now):
        """Returns the probability that a response of so many events stalls."""
        decay = self._decay(now)
        share = self._stalled * decay / (self._events * decay + PRIOR_EVENTS)
        return 1.0 - (1.0 - min(1.0, share))**events


class StreamMonitor:
    """Measures the pauses of one stream for the view of its replica.

    Attributes:
        longest_pause_s: Longest pause between its events, s.
    """

    def __init__(self, view):
        self.longest_pause_s = 0.0
        self._link = view.link
        self._pause = view.pause
        self._last = None
        self._after_silence = False

    def record_events(self, events, now):
        """Records that ``events`` arrived at once at ``now``, s (monotonic)."""
        if self._last is None:
            # The time until the first event is that of the prefill.
            self._last = now
            return
        gap = now - self._last
        self.longest_pause_s = max(self.longest_pause_s, gap)
        silent = gap > MIN_LOSS_SILENCE_S
        together = events > 1 if silent else (self._after_silence and
                                              gap < MAX_BURST_GAP_S)
        self._link.record_events(events, now, stalled=together)
        self._pause.record(gap * 1000 / events)
        self._after_silence = silent and not together
        self._last = now

    def record_pause(self):
        """Records that reading is paused; the next silence is not measured."""
        self._last = None
        self._after_silence = False
