"""Crashes of replicas under requests, recorded by all entries."""

import functools
import time
import typing

from gorsefall import digests
from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import crashrecords
from gorsefall.policy import recentparts
from gorsefall.policy import rendezvous
from gorsefall.policy import replicaexits
from gorsefall.policy import suspects
from gorsefall.relay import confirmation
from gorsefall.relay import crashreports
from gorsefall.relay import prober
from gorsefall.relay import serializedruns
from gorsefall.relay import survivals
from gorsefall.relay import undecidedexits

EXPIRY_PERIOD_S = 30.0
"""Pause between removals of expired suspects, s."""

SEND_DELAY_S = 0.02
"""Time for which suspects are collected before they are sent to all, s: the
runs at replicas that exit together break one after the other."""

EXIT_DURATION_S = 0.05
"""Time in which a process that exits closes all its sockets, s."""


class BrokenRun(typing.NamedTuple):
    """A run whose connection broke.

    Attributes:
        causes: The ``crashrecords.PossibleCauses``.
        sent_at: When it was sent, s (monotonic).
        first_event_at: When its first event arrived, s; None before.
        after_broken_run: Whether an earlier run of the same exchange broke.
    """
    causes: crashrecords.PossibleCauses
    sent_at: float
    first_event_at: float | None
    after_broken_run: bool = False

    def weight(self, now):
        """Returns the ``crashrecords.CrashWeight`` of a crash now."""
        if (self.after_broken_run and
                now - self.sent_at < replicaexits.COMMON_CAUSE_S):
            # It was sent just as its previous replica crashed. Both crashes
            # may have one cause.
            return crashrecords.CrashWeight.OLD
        if self.is_young(now):
            return crashrecords.CrashWeight.YOUNG
        return crashrecords.CrashWeight.OLD

    def begun_ms(self, now):
        """Returns the time since its first event, ms; None without one."""
        if self.first_event_at is None:
            return None
        return crashreports.age_ms(self.first_event_at, now)

    def is_young(self, now):
        """Returns whether it has not begun, or only just."""
        return (self.first_event_at is None or
                now - self.first_event_at < crashrecords.YOUNG_RUN_S)


class CrashTracker:
    """Tracks what replicas crash under: requests, and parts of prompts.

    Attributes:
        suspects: The ``suspects.Suspects``.
        survivals: The ``survivals.Survivals`` of its runs.
        reports: The ``crashreports.CrashReports`` to and from other entries.
        on_blamed: Called with the digest of a new cause, and whether this entry
            observed one of its crashes.
        on_grave: Called with the digest of what may soon be a cause, and
            whether this entry observed one of its crashes.
        on_cleared: Called with the digest of either that a run at this entry
            cleared.
        on_forgotten: Called with the digest of either that nobody has reported
            for long.
        on_blocked: Called when requests that are under way may be blocked.
        entry_names: Returns the names of this entry and of all other live ones,
            this one first.
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
        self._log = logs.get('crashes')
        self._recent = recentparts.RecentParts()
        self.suspects = suspects.Suspects(self._recent.is_popular)
        self.survivals = survivals.Survivals(loop, fleet, clock,
                                             self._on_survived)
        self.reports = crashreports.CrashReports(self.suspects, self.survivals,
                                                 clock)
        self.reports.on_merged = self._find_new_causes
        self._undecided = undecidedexits.UndecidedExits(loop, fleet,
                                                        replica_prober, clock)
        self._serialized = serializedruns.SerializedRuns(loop)
        self._unconfirmed = confirmation.UnconfirmedCauses(
            loop, clock, self._on_confirmed)
        self._known_causes = self._known_grave = frozenset()
        self._to_send = set()
        self.on_blamed = self.on_grave = lambda digest, own: None
        self.on_cleared = self.on_forgotten = lambda digest: None
        self.on_blocked = lambda: None
        self.entry_names = lambda: ['']

    def start(self, peers):
        """Begins to share with other entries, if there are ``peers``."""
        self.reports.start(peers)
        self._loop.call_later(EXPIRY_PERIOD_S, self._expire)

    def _expire(self):
        self._loop.call_later(EXPIRY_PERIOD_S, self._expire)
        expired = self.suspects.expire(self._clock())
        forgotten = self._known_grave.intersection(expired)
        self._known_causes &= frozenset(self.suspects.blamed)
        self._known_grave -= forgotten
        for digest in forgotten:
            self.on_forgotten(digest)

    # -- before an attempt -----------------------------------------------------

    def record_arrival(self, causes):
        """Records that a caller has sent a request.

        Args:
            causes: Its ``crashrecords.PossibleCauses``.
        """
        self._recent.record(causes)

    def check(self, causes):
        """Checks whether a request may be sent.

        Args:
            causes: Its ``crashrecords.PossibleCauses``.

        Raises:
            errors.PoisonRequestError: Replicas crash as they run it.
            errors.SuspectedPartError: The same, but it shares the part with
                many requests, or replicas crash as often without it, so that
                the cause may be another one.
        """
        cause = next((cause for cause in self._blocking_causes(causes)
                      if cause.digest not in self._unconfirmed), None)
        if cause is None:
            return
        metrics.CRASHING_REQUESTS.labels('refused').inc()
        crashes = self.suspects.crashes(cause.digest)
        what = ('it' if cause.digest == causes.request else
                'requests with a part of its prompt')
        reason = (f'{len(crashes)} replicas ended as they ran {what} '
                  f'({digests.abbreviate(cause.digest)}): '
                  f'{", ".join(c.replica for c in crashes)}')
        if (self._recent.is_popular(cause.digest) or
                self.suspects.is_doubtful(cause.digest)):
            raise errors.SuspectedPartError(
                reason,
                retry_after=self.suspects.blocked_for_s(cause.digest,
                                                        self._clock()))
        raise errors.PoisonRequestError(reason)

    def _blocking_causes(self, causes):
        found = list(
            self.suspects.blocking_causes(causes.digests, self._clock(),
                                          self._may_try))
        if any(self._is_unnoticed(cause.digest) for cause in found):
            # What is left of other suspects may show a cause without a report.
            self._find_new_causes()
        return found

    def _is_unnoticed(self, digest):
        return (digest not in self._known_causes and
                digest not in self._unconfirmed)

    def _may_try(self, digest, turn):
        """Returns whether it is this entry that runs a cause once more."""
        names = self.entry_names()
        return names[0] in rendezvous.top(b'%s %d' % (digest, turn), names, 1)

    def try_begin_run(self, causes, exchange):
        """Returns whether an exchange may send a request now.

        A request that must be serialized runs at one replica at a time, as
        concurrent runs could crash several replicas before the first crash is
        detected. The other exchanges are parked; their ``dispatch`` is called
        when that run is over, or has gone on for some time. So are those that
        a cause blocks which was found just now, until it is decided.

        Args:
            causes: The ``crashrecords.PossibleCauses`` of the request.
            exchange: The ``exchange.Exchange``.

        Raises:
            errors.PoisonRequestError: Replicas crash as they run it.
        """
        self.check(causes)
        if any(self._blocking_causes(causes)):
            self._unconfirmed.park(exchange)
            metrics.CRASHING_REQUESTS.labels('held').inc()
            return False
        serialized = self.suspects.serialized(causes.digests)
        if not serialized or self._serialized.try_begin(serialized, exchange):
            return True
        metrics.CRASHING_REQUESTS.labels('parked').inc()
        return False

    def must_serialize(self, causes):
        """Returns whether a request runs at one replica at a time."""
        return bool(self.suspects.serialized(causes.digests))

    def end_run(self, exchange):
        """Records that an exchange is over; dispatches those that it parked."""
        self._serialized.end(exchange)

    # -- runs that go on -------------------------------------------------------

    def record_begun_run(self, attempt, causes, exchange):
        """Records that a run has sent its first event.

        Args:
            attempt: The ``sending.Attempt``.
            causes: The ``crashrecords.PossibleCauses`` of the request.
            exchange: The ``exchange.Exchange``.
        """
        if causes.parts:
            self.survivals.watch(attempt, causes, exchange)

    def _on_survived(self, causes, exchange):
        self._clear(causes.parts, 'part_cleared')
        # A whole request that crashed replicas is cleared by its end only.
        if not self.must_serialize(causes):
            self._serialized.end(exchange)

    def record_completed_run(self, digest):
        """Records that a run completed."""
        self._clear((digest,), 'request_cleared')

    def _clear(self, cleared, event):
        found = [d for d in cleared if self.suspects.weight(d)]
        known = (self._known_causes | self._known_grave).intersection(found)
        self.reports.record_clearings(found)
        for digest in found:
            metrics.CRASHING_REQUESTS.labels('cleared').inc()
            self._log.info(event, digest=digests.abbreviate(digest))
        if found:
            self._find_new_causes()
        for digest in known:
            self.on_cleared(digest)

    # -- crashes observed here -------------------------------------------------

    def handle_broken_run(self, replica, run, on_result):
        """Determines whether a ``replicas.Replica`` crashed under a run.

        If the request may have crashed others, ``on_result`` is called only
        after the probe: another attempt of a request that crashes replicas
        would crash the next one.

        Args:
            replica: The replica whose connection broke.
            run: The ``BrokenRun``.
            on_result: Called when the exchange may decide about the request.
        """
        must_wait = False
        if self._expected_up(replica):
            must_wait = any(self.suspects.weight(d) for d in run.causes.digests)
            done = on_result if must_wait else lambda: None
            self._prober.probe(
                replica,
                functools.partial(self._on_probed, replica, run, self._clock(),
                                  done))
        if not must_wait:
            on_result()

    def check_exit(self, replica, done):
        """Determines whether a replica has exited, announced or not.

        Args:
            replica: The ``replicas.Replica``.
            done: Called with whether it has, or may have: nothing shows that it
                runs.
        """
        if self._fleet.is_replaced(replica):
            done(True)
            return
        self._prober.probe_anew(
            replica,
            lambda verdict: self._check_exit_again(replica, done, verdict))

    def _check_exit_again(self, replica, done, verdict):
        """Looks a second time at a replica that runs.

        A process that exits may accept a connection after it has closed those
        of its streams.
        """
        if verdict is not prober.Verdict.ALIVE:
            done(True)
            return

        def on_probed(verdict):
            # A successor may have accepted the probe.
            done(verdict is not prober.Verdict.ALIVE or
                 self._fleet.is_replaced(replica))

        self._loop.call_later(
            EXIT_DURATION_S,
            lambda: self._prober.probe_anew(replica, on_probed))

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
        else:
            self._look_again(replica, run, broken_at, verdict)
        done()

    def _look_again(self, replica, run, broken_at, verdict):
        """Records the crash if the replica turns out to have exited."""

        def record():
            self._record_crash(replica.record, run, broken_at)

        if verdict is prober.Verdict.UNKNOWN:
            self._undecided.add(replica, record)
        elif run.is_young(broken_at):
            self._undecided.add(replica, record, undecidedexits.RECHECK_S)

    def _record_crash(self, record, run, broken_at):
        crash = crashrecords.Crash(record.id, record.started_at_ms)
        weight = run.weight(broken_at)
        parts = self._suspected_parts(run, broken_at)
        if not self.reports.record_crash(run.causes.request, parts, crash,
                                         weight, broken_at):
            self._find_new_causes()
            return
        counted = run.causes._replace(parts=tuple(p.digest for p in parts))
        metrics.CRASHING_REQUESTS.labels('seen').inc()
        self._log.info(
            'crash_under_request',
            digest=digests.abbreviate(run.causes.request),
            parts=digests.abbreviate_all(run.causes.parts),
            counted=digests.abbreviate_all(counted.parts),
            sent_ms=crashreports.age_ms(run.sent_at, broken_at),
            begun_ms=run.begun_ms(broken_at),
            replica=record.id,
            weight=int(weight),
            total=max(self.suspects.weight(d) for d in counted.digests),
            blocked=self.suspects.blocking_cause(counted.digests,
                                                 self._clock()) is not None)
        self._send_soon(self.suspects.serialized(counted.digests))
        self._find_new_causes()

    def _send_soon(self, suspected):
        """Has the reports of suspects sent to all other entries."""
        if suspected and not self._to_send:
            self._loop.call_later(SEND_DELAY_S, self._send_collected)
        self._to_send |= suspected

    def _send_collected(self):
        collected, self._to_send = self._to_send, set()
        self.reports.send_suspects_to_all(
            sorted(d for d in collected if self.suspects.is_grave(d)))

    def _suspected_parts(self, run, broken_at):
        """Returns the ``entrystatus.PartReport`` objects of a crash."""
        if not run.is_young(broken_at):
            return ()
        return self.reports.describe_parts(run.causes.parts, broken_at)

    # -- causes ----------------------------------------------------------------

    def _find_new_causes(self):
        causes = frozenset(self.suspects.blamed)
        self._known_causes &= causes
        for digest in self._unconfirmed:
            if digest not in causes:
                self._log.info('suspicion_dropped',
                               digest=digests.abbreviate(digest))
                self._unconfirmed.drop(digest)
        for cause in self.suspects.causes:
            if self._is_unnoticed(cause.digest):
                self._suspect(cause)
        known, self._known_grave = self._known_grave, frozenset(
            self.suspects.lasting)
        for digest in self._known_grave - known:
            self.on_grave(digest, self.reports.has_reported(digest))

    def _suspect(self, cause):
        metrics.CRASHING_REQUESTS.labels('suspected').inc()
        self._log_cause('request_suspected', cause)
        found = self.suspects.find(cause.digest)
        self._unconfirmed.add(cause.digest, found.last_seen_at)

    def _on_confirmed(self, digest):
        for cause in self.suspects.causes:
            if cause.digest == digest:
                self._known_causes |= {digest}
                self._announce_cause(cause)
                self._serialized.dispatch_all()
                self.on_blocked()

    def _announce_cause(self, cause):
        metrics.CRASHING_REQUESTS.labels('blamed').inc()
        self._log_cause('request_blamed', cause)
        self.on_blamed(cause.digest, self.reports.has_reported(cause.digest))

    def _log_cause(self, event, cause):
        self._log.warning(
            event,
            digest=digests.abbreviate(cause.digest),
            combination=digests.abbreviate_all(sorted(cause.combination)),
            replicas=[c.replica for c in self.suspects.crashes(cause.digest)],
            crash_ages_ms=self._crash_ages_ms(cause.digest),
            cleared_ms=self._cleared_ms(cause.digest),
            suspects=len(self.suspects))

    def _crash_ages_ms(self, digest):
        """Returns the time since each crash under a suspect, ms, a list."""
        found = self.suspects.find(digest).crashes
        now = self._clock()
        return [
            crashreports.age_ms(found[crash].seen_at, now)
            for crash in self.suspects.crashes(digest)
        ]

    def _cleared_ms(self, digest):
        """Returns the time since a run cleared a suspect, ms, or None."""
        cleared_at = self.suspects.find(digest).cleared_at
        if cleared_at == float('-inf'):
            return None
        return crashreports.age_ms(cleared_at, self._clock())
