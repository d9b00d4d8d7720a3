"""Crashes of replicas under requests: noted, and shared with all entries."""

import collections
import functools
import time
import typing

from gorsefall import digests
from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import membership
from gorsefall.policy import suspects
from gorsefall.relay import messages
from gorsefall.relay import model
from gorsefall.relay import prober

REPORT_WINDOW_S = 6.0
"""Time for which a message tells of what was seen, s: twice and more to each of
hundreds of entries."""

MAX_REPORTS = 32
"""Sightings told of in a message, the last ones: 2 KB."""

MIN_QUERY_PAUSE_S = 1.0
"""Pause between two questions for what others know, s."""

EXPIRY_PERIOD_S = 30.0


class BrokenRun(typing.NamedTuple):
    """A run that broke.

    Attributes:
        digest: The ``ids.RequestDigest``.
        sent_at: When it was sent, s (monotonic).
        first_at: When its first event came, s; None before.
        again: Whether it followed another run that broke.
    """
    digest: bytes
    sent_at: float
    first_event_at: float | None
    after_broken_run: bool = False

    def weight(self, now):
        """Returns the ``suspects.CrashWeight`` of a crash that cut it now."""
        if (self.after_broken_run and
                now - self.sent_at < suspects.COMMON_CAUSE_S):
            # It was sent here as its last replica ended; one cause may have
            # taken both.
            return suspects.CrashWeight.OLD
        if (self.first_event_at is None or
                now - self.first_event_at < suspects.YOUNG_RUN_S):
            return suspects.CrashWeight.YOUNG
        return suspects.CrashWeight.OLD


class CrashTracker:
    """What this entry knows of requests that crash replicas.

    Attributes:
        suspects: The ``suspects.Suspects``.
        on_blamed: Called with a digest that is blamed, also by an own sighting.
        on_cleared: Called with a blamed digest that an own run cleared.
    """

    def __init__(self, loop, replica_ends, fleet, clock=time.monotonic):
        """Creates it; nothing is known.

        Args:
            loop: The ``reactor.Reactor``.
            replica_ends: The ``prober.ReplicaProber``.
            fleet: The ``fleet.Fleet``.
            clock: Returns the time, s (monotonic).
        """
        self._loop = loop
        self._ends = replica_ends
        self._fleet = fleet
        self._clock = clock
        self._peers = None
        self._told = collections.deque(maxlen=MAX_REPORTS)
        self._asked_at = float('-inf')
        self._under_way = {}
        self._parked = collections.defaultdict(list)
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

    # -- before a send ---------------------------------------------------------

    def _check(self, digest):
        if self.suspects.is_blocked(digest, self._clock()):
            metrics.CRASHING_REQUESTS.labels('refused').inc()
            ended = self.suspects.crashes(digest)
            raise errors.PoisonRequestError(
                f'{len(ended)} replicas ended as they ran it: '
                f'{", ".join(c.replica for c in ended)}')

    def try_begin_run(self, digest, exchange):
        """Returns whether an exchange may send a request now.

        Of one that is held a run is under way at a time: several would take
        down as many replicas before the first one's end is known. The others
        are called back with ``dispatch`` when that run has ended.

        Raises:
            errors.PoisonRequestError: It is known to crash replicas.
        """
        self._check(digest)
        if not self.suspects.must_serialize(digest):
            return True
        runs = self._under_way.setdefault(digest, exchange)
        if runs is exchange:
            return True
        metrics.CRASHING_REQUESTS.labels('parked').inc()
        self._parked[digest].append(exchange)
        return False

    def end_run(self, digest, exchange):
        """Notes that an exchange is over."""
        if self._under_way.get(digest) is exchange:
            del self._under_way[digest]
            for waiting in self._parked.pop(digest, ()):
                self._loop.call_later(0, waiting.dispatch)

    # -- what is seen here -----------------------------------------------------

    def handle_broken_run(self, replica, run, go_on):
        """Finds out whether a ``fleet.Replica`` crashed under a ``Run``.

        Where a replica crashed under the request before, whether this one
        did is waited for: of a request that crashes replicas a further send
        takes down the next one.

        Args:
            replica: Where its channel broke.
            run: The ``Run``.
            go_on: Called when the request may be decided on.
        """
        waits = self.suspects.weight(run.digest) and self._expected_up(replica)
        if self._expected_up(replica):
            known = go_on if waits else lambda: None
            self._ends.probe(
                replica, functools.partial(self._looked, replica, run, known))
        if not waits:
            go_on()

    def _expected_up(self, replica):
        """Whether its end would be a crash: it was not on its way out."""
        return (replica.record.status is model.ReplicaStatus.READY and
                not replica.record_lapsed and
                self._fleet.replicas.get(replica.record.id) is replica)

    def _looked(self, replica, run, done, verdict):
        now = self._clock()
        if verdict is prober.Verdict.EXITED:
            self._fleet.record_exit(replica, now)
            # What was sent after the end reached no process.
            if run.sent_at < replica.exited_at:
                self._crashed(replica.record, run, now)
        done()

    def _crashed(self, record, run, now):
        digest, weight = run.digest, run.weight(now)
        crash = suspects.Crash(record.id, record.started_at_ms)
        before = self.suspects.is_blocked(digest, now)
        if not self.suspects.record_crash(digest, crash, weight, now):
            return
        blocked = self.suspects.is_blocked(digest, now)
        metrics.CRASHING_REQUESTS.labels('seen').inc()
        self._log.info('crash_under_request',
                       digest=digests.abbreviate(digest),
                       replica=record.id,
                       weight=int(weight),
                       total=self.suspects.weight(digest),
                       blocked=blocked)
        self._told.append((now, digest, crash))
        if self.suspects.must_serialize(digest):
            self._tell_all(digest)
        if blocked and not before:
            self._note_blamed(digest)
            self.on_poison_request(digest)

    def _note_blamed(self, digest):
        metrics.CRASHING_REQUESTS.labels('blamed').inc()
        self._log.warning(
            'request_blamed',
            digest=digests.abbreviate(digest),
            replicas=[c.replica for c in self.suspects.crashes(digest)],
            suspects=len(self.suspects))

    def record_completed_run(self, digest):
        """Notes that a run came to its end."""
        if not self.suspects.weight(digest):
            return
        now = self._clock()
        blamed = digest in self.suspects.poison_requests
        if self.suspects.record_completion(digest, now):
            metrics.CRASHING_REQUESTS.labels('cleared').inc()
            self._log.info('request_cleared', digest=digests.abbreviate(digest))
            self._told.append((now, digest, None))
            if blamed:
                self.on_cleared(digest)

    # -- what others see -------------------------------------------------------

    def recent_reports(self, now):
        """Returns the ``membership.RunReport`` objects that a status tells."""
        while self._told and self._told[0][0] < now - REPORT_WINDOW_S:
            self._told.popleft()
        return tuple(
            found for _, digest, crash in self._told
            if (found := self._sighting(digest, crash, now)) is not None)

    def _sighting(self, digest, crash, now):
        suspect = self.suspects.find(digest)
        if suspect is None:
            return None
        if crash is None:
            return membership.RunReport(digest,
                                        _age_ms(suspect.last_completed_at, now))
        seen = suspect.crashes.get(crash)
        if seen is None:
            return None
        return membership.RunReport(digest, _age_ms(seen.seen_at, now),
                                    crash.replica, crash.started_at_ms,
                                    int(seen.weight))

    def reports_of(self, digest):
        """Returns the ``membership.RunReport`` objects of a suspect, a list."""
        now = self._clock()
        crashes = self.suspects.find(digest).crashes
        return [self._sighting(digest, crash, now) for crash in crashes]

    def _tell_all(self, digest):
        if self._peers is not None:
            sightings = tuple(self.reports_of(digest))
            self._peers.send_all(messages.Suspects(sightings))

    def handle_status(self, status, host):
        """Takes in what the ``membership.Status`` of another entry tells."""
        self.merge_reports(status.run_reports)
        if status.suspects_summary != self.suspects.summary:
            self._ask(host)

    def _ask(self, host):
        # Both sides differ while news are on their way; whoever knows less
        # gains, and a question a second is no load.
        now = self._clock()
        if now - self._asked_at >= MIN_QUERY_PAUSE_S:
            self._asked_at = now
            self._peers.send(messages.AskSuspects(), host)

    def send_suspects(self, host):
        """Answers another entry that asks what is known."""
        grave = sorted(self.suspects.reportable(),
                       key=self.suspects.weight,
                       reverse=True)
        found = []
        for digest in grave:
            found += self.reports_of(digest)
        self._peers.send(messages.Suspects(tuple(found[:2 * MAX_REPORTS])),
                         host)

    def merge_reports(self, sightings):
        """Takes in ``membership.RunReport`` objects of others."""
        now = self._clock()
        before = set(self.suspects.poison_requests)
        for seen in sightings[:4 * MAX_REPORTS]:
            at = now - seen.age_ms / 1000
            if seen.replica:
                self.suspects.record_crash(
                    seen.digest, suspects.Crash(seen.replica,
                                                seen.started_at_ms),
                    suspects.CrashWeight(seen.weight), at)
            else:
                self.suspects.record_completion(seen.digest, at)
        own = {digest for _, digest, crash in self._told if crash is not None}
        for digest in set(self.suspects.poison_requests) - before:
            self._note_blamed(digest)
            if digest in own:
                self.on_poison_request(digest)


def _age_ms(at, now):
    return max(0, int((now - at) * 1000))
