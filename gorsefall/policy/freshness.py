"""Confirmation that a configuration is current, on a clock that never stops.

A revoked key must stop working within a bound at every entry, even at one that
is cut off, suspended or just resumed. Such an entry has not received the
change, so an entry uses a configuration only while its last read is recent
enough.
"""

import math
import time


def weight(age_s, fade_s):
    """Returns the weight of a report of that age, 0.0 to 1.0.

    It decreases linearly to 0 at ``fade_s``, so that a stale report has no
    effect on placement.
    """
    return min(1.0, max(0.0, 1.0 - age_s / fade_s))


def clock():
    """Returns the time, s, on a clock that also counts suspended time.

    The monotonic clock stops while a VM is suspended: a resumed entry would
    take an old confirmation as recent and accept revoked keys.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Confirmation:
    """The last confirmation of the configuration by a read.

    Attributes:
        bound_s: Maximum age at which requests may be forwarded, s.
        sent_at: When the last confirming read was sent, s (``clock``).
    """

    def __init__(self, bound_s):
        self.bound_s = bound_s
        self.sent_at = float('-inf')

    def record_read(self, sent_at):
        """Records a successful read.

        Its age counts from when it was sent: the response reflects some moment
        after that, and may have been delayed.
        """
        self.sent_at = max(self.sent_at, sent_at)

    def age_s(self):
        """Returns the age of the confirmation, s."""
        return clock() - self.sent_at

    def logged_age_s(self):
        """Returns the age for a log line, s, or None before the first read.

        JSON has no infinity: a line with one could not be decoded, which would
        affect the log of an entry that has not read anything yet.
        """
        age_s = self.age_s()
        return None if math.isinf(age_s) else round(age_s, 3)

    def is_current(self):
        """Returns whether requests with a key may be forwarded now."""
        return self.age_s() <= self.bound_s
