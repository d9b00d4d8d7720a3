"""Leaving replicas that fail alone for a while, and trying them again."""

EJECT_BASE_S = 0.5
"""Pause after a first failure, s: a process that crashed is started again in
about a second, so most of its absence is covered and little of its presence."""

EJECT_MAX_S = 10.0
"""Longest pause, s, so that one that is back is found again within it."""


def select_healthy(targets, now):
    """Returns those of ``targets`` that get work, at least one if any is there.

    While all are paused, the one whose pause ends first is asked: a guess is
    better than refusing everything.

    Args:
        targets: List of ``Health`` objects.
        now: Time, s (monotonic).
    """
    fit = [t for t in targets if t.eject_until <= now]
    if fit or not targets:
        return fit
    return [min(targets, key=lambda t: t.eject_until)]


class Health:
    """Failures in a row of one replica, and until when it gets no work.

    Attributes:
        failures: Consecutive failed calls.
        eject_until: No new work before this time, s (monotonic).
        unheard: The pause is for a missed load report alone.
    """
    failures = 0
    eject_until = 0.0
    missed_report_only = False

    def record_failure(self, now):
        """Notes a failed call and ejects the replica for a while.

        Without it a crashing replica, being idle, looks least busy and
        draws every next request (noticed as one replica with most of the
        failed attempts). The time doubles with each failure in a row; after
        it, the next request probes the replica.
        """
        self.missed_report_only = False
        self.failures += 1
        pause = min(EJECT_MAX_S, EJECT_BASE_S * 2**(self.failures - 1))
        self.eject_until = now + pause

    def record_success(self):
        """Notes a whole answer: the replica is healthy again."""
        self.missed_report_only = False
        self.failures = 0
        self.eject_until = 0.0

    def record_missed_report(self, now):
        """Notes that a load report could not be read.

        Only the first one counts: requests tell more of a replica that is
        known to be in trouble.
        """
        if not self.failures:
            self.record_failure(now)
            self.missed_report_only = True

    def record_report(self):
        """Notes a load report: a pause for a missed one is over.

        A replica that is asked before it listens would else stay out for
        half a second after it is up (noticed as a 502 just after a start,
        with a sound replica that was never asked).
        """
        if self.missed_report_only:
            self.record_success()
