"""Ejects failing replicas for a while, and tries them again."""

EJECT_BASE_S = 0.5
"""Ejection time after a first failure, s. A crashed process restarts in about a
second, so this covers most of its absence and little of its uptime."""

EJECT_MAX_S = 10.0
"""Maximum ejection time, s: a recovered replica is used again within it."""

COMMON_CAUSE_S = 0.1
"""Time within which failures of several replicas have one cause, s: a pause of
this process, or of its paths."""


def select_healthy(replicas, now):
    """Returns those of ``replicas`` that get requests.

    If all are ejected, the result is the one whose ejection ends first, with
    those that failed at the same moment: they may work, which is better than
    refusing all requests, and one alone would get them all.

    Args:
        replicas: List of ``Health`` objects.
        now: Time, s (monotonic).
    """
    healthy = [r for r in replicas if r.eject_until <= now]
    if healthy or not replicas:
        return healthy
    first = min(r.eject_until for r in replicas)
    return [r for r in replicas if r.eject_until <= first + COMMON_CAUSE_S]


class Health:
    """Consecutive failures of one replica, and the end of its ejection.

    Attributes:
        failures: Consecutive failed calls.
        eject_until: No new requests before this time, s (monotonic).
        missed_report_only: Whether a missed load report is the only reason for
            the ejection.
    """
    failures = 0
    eject_until = 0.0
    missed_report_only = False
    _failed_at = float('-inf')

    def record_failure(self, now, sent_at=float('inf')):
        """Records a failed call and ejects the replica for a while.

        Without ejection a crashing replica looks idle and attracts every next
        request (symptom: most failed attempts are at one replica). The time
        doubles with each consecutive failure; after it, the next request probes
        the replica. Calls that were under way when it began count once: they
        have one cause, and eight of them would eject the replica for the
        longest time.

        Args:
            now: Time, s (monotonic).
            sent_at: When the call was sent, s.
        """
        counted = ((now < self.eject_until and not self.missed_report_only) or
                   sent_at <= self._failed_at)
        self.missed_report_only = False
        if counted:
            return
        self._failed_at = now
        self.failures += 1
        eject_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**(self.failures - 1))
        self.eject_until = now + eject_s

    def record_success(self):
        """Records a complete response: the replica is healthy again."""
        self.forget_failures()

    def forget_failures(self):
        """Ends an ejection whose reason turned out not to be the replica."""
        self.missed_report_only = False
        self.failures = 0
        self.eject_until = 0.0

    def record_missed_report(self, now):
        """Records that a load report could not be read.

        It counts for a healthy replica only: for a failing one the results of
        requests are more reliable.
        """
        if not self.failures:
            self.record_failure(now)
            self.missed_report_only = True

    def record_report(self):
        """Records a load report: an ejection for a missed one ends.

        Otherwise a replica that is polled before it listens would stay ejected
        for half a second after its start (symptom: a 502 just after a start
        although a healthy replica was never tried).
        """
        if self.missed_report_only:
            self.record_success()
