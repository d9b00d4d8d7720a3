"""Crashes of replicas under requests, recorded and shared by all entries."""

import collections
import functools
import time
import typing

from gorsefall import digests
from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import entrystatus
from gorsefall.policy import suspects
from gorsefall.relay import messages
from gorsefall.relay import prober

MAX_REPORTS = 32
"""Most reports in a status message, together 2 KB; the newest are sent."""

MIN_QUERY_PAUSE_S = 1.0
"""Shortest pause between two queries for the suspects of other entries, s."""

MIN_RESPONSE_PAUSE_S = 0.1
"""Shortest pause between two responses to such queries, s. All other entries
query an entry at once after a status of it, and a response is 3 KB long."""

EXPIRY_PERIOD_S = 30.0
"""Pause between removals of expired suspects, s."""


class BrokenRun(typing.NamedTuple):
    """A run whose connection broke.

    Attributes:
        causes: The ``suspects.PossibleCauses``.
        sent_at: When it was sent, s (monotonic).
        first_event_at: When its first event arrived, s; None before.
        after_broken_run: Whether an earlier run of the same exchange broke.
    """
    causes: suspects.PossibleCauses
    sent_at: float
    first_event_at: float | None
    after_broken_run: bool = False

    def weight(self, now):
        """Returns the ``suspects.CrashWeight`` of a crash that broke it now."""
        if (self.after_broken_run and
                now - self.sent_at < suspects.COMMON_CAUSE_S):
            # It was sent just as its previous replica crashed. Both crashes
            # may have one cause.
            return suspects.CrashWeight.OLD
        if (self.first_event_at is None or
                now - self.first_event_at < suspects.YOUNG_RUN_S):
            return suspects.CrashWeight.YOUNG
        return suspects.CrashWeight.OLD

    def begun_ms(self, now):
        """Returns the time since its first event, ms; None without one."""
        if self.first_event_at is None:
            return None
        return _age_ms(self.first_event_at, now)


class CrashTracker:
    """Tracks requests under which replicas crashed.

    Attributes:
        suspects: The ``suspects.Suspects``.
        on_poison_request: Called with the digest of a request that became a
            poison request, if this entry observed one of its crashes.
        on_cleared: Called with the digest of a poison request that a completed
            run at this entry cleared.
    """

    def __init__(self, loop, replica_prober, fleet, clock=time.monotonic):
        """Creates a tracker without suspects.

        Args:
            loop: The ``reactor.Reactor``.
            replica_prober: The ``prober.ReplicaProber``.
            fleet: The ``fleet.Fleet``.
            clock: Returns the time, s (monotonic).
        """
        self._loop = loop
        self._prober = replica_prober
        self._fleet = fleet
        self._clock = clock
        self._peers = None
        self._events = collections.deque(maxlen=MAX_REPORTS)
        self._queried_at = self._responded_at = float('-inf')
        self._running_exchanges = {}
        self._parked_exchanges = collections.defaultdict(list)
        self._log = logs.get('crashes')
        self.suspects = suspects.Suspects()
        self.on_poison_request = self.on_cleared = lambda digest: None

    def start(self, peers):
        """Begins to share with other entries, if there are ``peers``."""
        self._peers = peers
        self._loop.call_later(EXPIRY_PERIOD_S, self._expire)

    def _expire(self):
        self._loop.call_later(EXPIRY_PERIOD_S, self._expire)
        self.suspects.expire(self._clock())

    # -- before an attempt -----------------------------------------------------

    def _check(self, digest):
        if self.suspects.is_blocked(digest, self._clock()):
            metrics.CRASHING_REQUESTS.labels('refused').inc()
            crashes = self.suspects.crashes(digest)
            raise errors.PoisonRequestError(
                f'{len(crashes)} replicas ended as they ran it: '
                f'{", ".join(c.replica for c in crashes)}')

    def try_begin_run(self, digest, exchange):
        """Returns whether an exchange may send a request now.

        A request that must be serialized runs at one replica at a time, as
        concurrent runs could crash several replicas before the first crash is
        detected. The other exchanges are parked; their ``dispatch`` is called
        when that run is over.

        Raises:
            errors.PoisonRequestError: It is a poison request.
        """
        self._check(digest)
        if not self.suspects.must_serialize(digest):
            return True
        owner = self._running_exchanges.setdefault(digest, exchange)
        if owner is exchange:
            return True
        metrics.CRASHING_REQUESTS.labels('parked').inc()
        self._parked_exchanges[digest].append(exchange)
        return False

    def end_run(self, digest, exchange):
        """Records that an exchange is over; dispatches those that it parked."""
        if self._running_exchanges.get(digest) is exchange:
            del self._running_exchanges[digest]
            for waiting in self._parked_exchanges.pop(digest, ()):
                self._loop.call_later(0, waiting.dispatch)

    # -- crashes observed here -------------------------------------------------

    def handle_broken_run(self, replica, run, on_result):
        """Determines whether a ``replicas.Replica`` crashed under a run.

        If the request is already a suspect, ``on_result`` is called only after
        the probe: another attempt of a request that crashes replicas would
        crash the next one.

        Args:
            replica: The replica whose connection broke.
            run: The ``BrokenRun``.
            on_result: Called when the exchange may decide about the request.
        """
        must_wait = self.suspects.weight(
            run.causes.request) and self._expected_up(replica)
        if self._expected_up(replica):
            done = on_result if must_wait else lambda: None
            self._prober.probe(
                replica,
                functools.partial(self._on_probed, replica, run, self._clock(),
                                  done))
        if not must_wait:
            on_result()

    def check_exit(self, replica, done):
        """Determines whether a replica has exited that should run.

        Args:
            replica: The ``replicas.Replica``.
            done: Called with whether it has; at once if it may exit.
        """
        if not self._expected_up(replica):
            done(False)
            return
        self._prober.probe(
            replica, lambda verdict: done(verdict is prober.Verdict.EXITED))

    def _expected_up(self, replica):
        """Returns whether the replica should run: its exit is then a crash."""
        return (not replica.is_leaving and
                not replica.is_reported_leaving(self._clock()) and
                not replica.record_lapsed and
                self._fleet.replicas.get(replica.record.id) is replica)

    def _on_probed(self, replica, run, broken_at, done, verdict):
        if verdict is prober.Verdict.EXITED:
            self._fleet.record_exit(replica, self._clock())
            # A run that was sent after the exit reached no process.
            exited_at = replica.exited_at
            if exited_at is not None and run.sent_at < exited_at:
                # Replicas that exit together are probed one after the other,
                # and a busy entry gets the verdicts far apart.
                self._record_crash(replica.record, run, broken_at)
        done()

    def _record_crash(self, record, run, now):
        digest, weight = run.causes.request, run.weight(now)
        crash = suspects.Crash(record.id, record.started_at_ms)
        before = self.suspects.is_blocked(digest, now)
        if not self.suspects.record_crash(digest, crash, weight, now):
            return
        blocked = self.suspects.is_blocked(digest, now)
        metrics.CRASHING_REQUESTS.labels('seen').inc()
        self._log.info('crash_under_request',
                       digest=digests.abbreviate(digest),
                       parts=digests.abbreviate_all(run.causes.parts),
                       sent_ms=_age_ms(run.sent_at, now),
                       begun_ms=run.begun_ms(now),
                       replica=record.id,
                       weight=int(weight),
                       total=self.suspects.weight(digest),
                       blocked=blocked)
        self._events.append((now, digest, crash))
        if self.suspects.must_serialize(digest):
            self._send_to_all(digest)
        if blocked and not before:
            self._log_poison_request(digest)
            self.on_poison_request(digest)

    def _log_poison_request(self, digest):
        metrics.CRASHING_REQUESTS.labels('blamed').inc()
        self._log.warning(
            'request_blamed',
            digest=digests.abbreviate(digest),
            replicas=[c.replica for c in self.suspects.crashes(digest)],
            suspects=len(self.suspects))

    def record_completed_run(self, digest):
        """Records that a run completed."""
        if not self.suspects.weight(digest):
            return
        now = self._clock()
        was_poison = digest in self.suspects.poison_requests
        if self.suspects.record_completion(digest, now):
            metrics.CRASHING_REQUESTS.labels('cleared').inc()
            self._log.info('request_cleared', digest=digests.abbreviate(digest))
            self._events.append((now, digest, None))
            if was_poison:
                self.on_cleared(digest)

    # -- reports to and from other entries -------------------------------------

    def recent_reports(self, now):
        """Returns the ``entrystatus.RunReport`` objects for a message."""
        while self._events and self._events[0][
                0] < now - entrystatus.REPORT_WINDOW_S:
            self._events.popleft()
        return tuple(
            report for _, digest, crash in self._events
            if (report := self._report(digest, crash, now)) is not None)

    def _report(self, digest, crash, now):
        suspect = self.suspects.find(digest)
        if suspect is None:
            return None
        if crash is None:
            return entrystatus.RunReport(
                digest, _age_ms(suspect.last_completed_at, now))
        record = suspect.crashes.get(crash)
        if record is None:
            return None
        return entrystatus.RunReport(digest, _age_ms(record.seen_at, now),
                                     crash.replica, crash.started_at_ms,
                                     int(record.weight))

    def reports_of(self, digest):
        """Returns the ``entrystatus.RunReport`` objects of a suspect."""
        now = self._clock()
        crashes = self.suspects.find(digest).crashes
        return [self._report(digest, crash, now) for crash in crashes]

    def _send_to_all(self, digest):
        if self._peers is not None:
            reports = tuple(self.reports_of(digest))
            self._peers.send_all(messages.Suspects(reports))

    def handle_status(self, status, host):
        """Handles the ``entrystatus.Status`` of another entry."""
        self.merge_reports(status.run_reports)
        if status.suspects_summary != self.suspects.summary:
            self._query_suspects(host)

    def _query_suspects(self, host):
        # The summaries also differ while reports are on their way. A query
        # brings missing reports to this entry, and one a second is cheap.
        now = self._clock()
        if now - self._queried_at >= MIN_QUERY_PAUSE_S:
            self._queried_at = now
            self._peers.send(messages.AskSuspects(), host)

    def send_suspects(self, host):
        """Sends an entry the reports of the suspects with the most weight.

        An entry that gets no response queries another one a second later.
        """
        now = self._clock()
        if now - self._responded_at < MIN_RESPONSE_PAUSE_S:
            return
        self._responded_at = now
        digests_by_weight = sorted(self.suspects.reportable(),
                                   key=self.suspects.weight,
                                   reverse=True)
        reports = []
        for digest in digests_by_weight:
            reports += self.reports_of(digest)
        self._peers.send(messages.Suspects(tuple(reports[:2 * MAX_REPORTS])),
                         host)

    def merge_reports(self, reports):
        """Merges the ``entrystatus.RunReport`` objects of another entry."""
        now = self._clock()
        before = set(self.suspects.poison_requests)
        for report in reports[:4 * MAX_REPORTS]:
            at = now - report.age_ms / 1000
            if report.replica:
                self.suspects.record_crash(
                    report.digest,
                    suspects.Crash(report.replica, report.started_at_ms),
                    suspects.CrashWeight(report.weight), at)
            else:
                self.suspects.record_completion(report.digest, at)
        own = {digest for _, digest, crash in self._events if crash is not None}
        for digest in set(self.suspects.poison_requests) - before:
            self._log_poison_request(digest)
            if digest in own:
                self.on_poison_request(digest)


def _age_ms(at, now):
    return max(0, int((now - at) * 1000))
