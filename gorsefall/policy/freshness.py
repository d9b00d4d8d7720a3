"""Proof that what an entry believes is current, on a clock that never stops.

A key that was taken away must stop working within a bound at every entry,
also at one that is cut off, frozen or just woken. An entry cannot know what
it has not been told, so it acts on a configuration only while a read of it
is recent enough.
"""

import math
import time


def weight(age_s, fade_s):
    """Returns how far to trust a report of that age, 0.0 to 1.0.

    A report describes the past. Its weight falls evenly to nothing at
    ``fade_s``, so that a stale one cannot steer traffic.
    """
    return min(1.0, max(0.0, 1.0 - age_s / fade_s))


def clock():
    """Returns the time, s, on a clock that also counts suspended time.

    The monotonic clock stands still while a VM is suspended: a woken entry
    would take its old proof for fresh and let revoked keys in.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Confirmation:
    """When the configuration was last confirmed.

    Attributes:
        bound_s: Oldest proof on which requests may be handed on, s.
        sent_at: When the last confirming read was sent, s (``clock``).
    """

    def __init__(self, bound_s):
        self.bound_s = bound_s
        self.sent_at = float('-inf')

    def record_read(self, sent_at):
        """Notes an answered read.

        It is dated from when it was sent: the answer holds what was true at
        some moment since then, and may have been long on its way.
        """
        self.sent_at = max(self.sent_at, sent_at)

    def age_s(self):
        """Returns the age of the proof, s."""
        return clock() - self.sent_at

    def logged_age_s(self):
        """Returns the age for a log line, s, or None before any proof.

        JSON knows no infinity: a line that holds one cannot be decoded,
        just when an entry that knows nothing yet has to be explained.
        """
        age_s = self.age_s()
        return None if math.isinf(age_s) else round(age_s, 3)

    def is_current(self):
        """Returns whether requests that need a key may be handed on now."""
        return self.age_s() <= self.bound_s
