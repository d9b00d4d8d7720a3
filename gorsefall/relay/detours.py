"""Decides which attempts of a request go through another entry."""

import time

from gorsefall.net import outbound

MAX_UNREACHED_S = 0.2
"""Time that a request spends on replicas that are not reached, s, before it is
refused if all others have failed of late too: most of one connect timeout."""

MAX_FORWARDING_S = 0.4
"""Time spent on entries that do not forward a request, s, after which no
further one is asked."""

MAX_FORWARDING_FAILURES = 6
"""Entries that are asked in vain to forward a request, after which it is
refused."""


class Detours:
    """The failed attempts of one request to reach a replica.

    Attributes:
        unreached: Attempts of which no replica has any part.
    """

    def __init__(self, paths):
        """Creates the state of a request without attempts.

        Args:
            paths: The ``paths.Paths``.
        """
        self._paths = paths
        self.unreached = 0
        self._unreached_s = 0.0
        self._forwarding_failures = 0
        self._forwarding_s = 0.0
        self._detoured = False
        self._next = None

    def plan(self, attempt, failure):
        """Decides whether to send to the same replica through another entry.

        Args:
            attempt: The ``sending.Attempt`` that failed.
            failure: The ``outbound.Failure``.

        Returns:
            Whether ``take`` returns its replica next.
        """
        if failure.sent:
            return False
        after_s = time.monotonic() - attempt.sent_at
        self.unreached += 1
        self._unreached_s += after_s
        if failure.fault is outbound.Fault.FORWARDER:
            planned = self._plan_other_forwarder(attempt, after_s)
        else:
            planned = self._plan_first(attempt, failure)
        self._next = attempt.choice if planned else None
        return planned

    def _plan_other_forwarder(self, attempt, after_s):
        self._forwarding_failures += 1
        self._forwarding_s += after_s
        if (self._forwarding_failures < MAX_FORWARDING_FAILURES and
                self._forwarding_s < MAX_FORWARDING_S):
            return True
        self._paths.record_elsewhere(attempt.replica, False, attempt.conn.via)
        return False

    def _plan_first(self, attempt, failure):
        # Only once: if no entry can be asked, or none reaches it, the request
        # is sent directly again, and its caller would only wait.
        if (failure.fault is not outbound.Fault.UNREACHED or self._detoured or
                not self._paths.needs_detour(attempt.replica)):
            return False
        self._detoured = True
        return True

    def take(self, replicas):
        """Returns the ``placement.Choice`` to send to next, or None.

        Args:
            replicas: The ``id -> replicas.Replica`` of the fleet.
        """
        choice, self._next = self._next, None
        if choice is None:
            return None
        replica = replicas.get(choice.target.name)
        if (replica is None or replica.view is not choice.target or
                replica.refusal(time.monotonic())):
            return None
        return choice

    def is_in_vain(self, choice):
        """Returns whether another attempt would only make its caller wait.

        Replicas could not be reached for a while, and all that are left have
        failed of late.
        """
        return (self._unreached_s >= MAX_UNREACHED_S and
                choice.target.eject_until > time.monotonic())
