"""Baseline policies for comparison in the benchmark; not for production."""

from gorsefall import errors
from gorsefall.policy import admission

FLAT_PRIORITY = 3
"""The priority of every request in policies that ignore tiers."""


class FifoAdmission(admission.Admission):
    """One first-in first-out queue, no tiers."""

    def arrive(self, ticket, now):
        """See ``admission.Admission.arrive``; sheds only the new request."""
        ticket.priority = FLAT_PRIORITY
        if len(self._waiting) >= self.queue_limit:
            raise errors.ShedError('queue full', retry_after=1.0)
        self.limiter.admit(ticket.scopes, now, self.served_time_s)
        self._waiting[ticket.rid] = ticket
        if any(t.rid == ticket.rid for t in self.drain(now)):
            return admission.Verdict.RUN, []
        return admission.Verdict.QUEUED, []

    def drain(self, now):
        """Starts the oldest waiting tickets within the fair share."""
        del now
        started = []
        while self._waiting and len(self.running) < self.fair_share():
            rid = next(iter(self._waiting))
            ticket = self._waiting.pop(rid)
            self._run(ticket)
            started.append(ticket)
        return started


class OpenAdmission(admission.Admission):
    """Runs every request at once, as with a plain round-robin router."""

    def arrive(self, ticket, now):
        """See ``admission.Admission.arrive``; never queues."""
        ticket.priority = FLAT_PRIORITY
        self.limiter.admit(ticket.scopes, now, self.served_time_s)
        self._run(ticket)
        return admission.Verdict.RUN, []

    def drain(self, now):
        """Returns an empty list: no request ever waits."""
        del now
        return []
