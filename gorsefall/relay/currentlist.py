"""Has requests wait until the list of replicas is recent enough to send by."""

import math

from gorsefall import logs
from gorsefall import metrics

MAX_WAIT_S = 0.3
"""Longest time for which a request waits for a read of the store, s. A request
is sent by the old list then: the store does not respond, and callers have to be
served without it."""


class CurrentList:
    """The list of replicas, whose age is checked at each send.

    An entry that was held up (its VM was suspended, its loop busy) resumes with
    a list of before. Replicas that have left since would get its requests. The
    age is checked when a replica is chosen, and again as the bytes leave.

    Attributes:
        read_now: Called to have the list read.
    """

    def __init__(self, loop, confirmation):
        """Creates the check.

        Args:
            loop: The ``reactor.Reactor``.
            confirmation: The ``freshness.Confirmation`` of the list.
        """
        self._loop = loop
        self._confirmation = confirmation
        self._waiting = []
        self._unresponsive = False
        self._log = logs.get('currentlist')
        self.read_now = lambda: None

    def admit(self, retry, log):
        """Returns whether a request may be sent now.

        Args:
            retry: Called later if not.
            log: Logger of the request.
        """
        if self.is_usable():
            return True
        if not self._waiting:
            self._begin_wait()
        self._waiting.append(retry)
        log.info('awaits_replicas')
        metrics.LIST_WAITS.inc()
        return False

    def is_usable(self):
        """Returns whether to send by the list as it is."""
        # Without a list there is no replica to send to.
        return (self._unresponsive or self._confirmation.is_current() or
                math.isinf(self._confirmation.age_s()))

    def _begin_wait(self):
        age_s = self._confirmation.logged_age_s()
        self._log.info('replicas_outdated', age_s=age_s)
        self.read_now()
        self._loop.call_later(MAX_WAIT_S, self._on_timeout)

    def _on_timeout(self):
        if not self._waiting:
            return
        self._unresponsive = True
        self._log.warning('sent_by_outdated_list',
                          age_s=self._confirmation.logged_age_s(),
                          waiting=len(self._waiting))
        self._release()

    def on_confirmed(self):
        """Called when the list was confirmed."""
        if self._confirmation.is_current():
            self._unresponsive = False
            self._release()
        elif self._waiting:
            # The read was sent before the entry was held up.
            self._loop.call_later(0, self.read_now)

    def _release(self):
        waiting, self._waiting = self._waiting, []
        for retry in waiting:
            self._loop.call_later(0, retry)
