"""One entry's part in the duties: candidate, reporter or holder."""

import collections

import msgspec

from gorsefall import logs
from gorsefall import metrics
from gorsefall.duties import claims
from gorsefall.duties import demand
from gorsefall.duties import kinds
from gorsefall.duties import pastcalls
from gorsefall.duties import reports
from gorsefall.duties import usage
from gorsefall.policy import entrystatus
from gorsefall.policy import rendezvous

TICK_S = 0.25
"""Period of the checks whether something is due, s."""

START_DELAY_S = 3.0
"""Time after the start before which no entry becomes a candidate, s: by then
entries that started together know each other, so that few ask the store."""

VACANCY_S = 1.0
"""Time for which no holder is heard of before the first candidate acts, s: a
few messages of the holder may be lost."""

TURN_S = 2.0
"""Time by which each candidate waits longer than the one before it, s."""

REPORT_PERIOD_S = 1.0
"""Period of the reports to the holder, s; longer with many entries."""

MAX_REPORTS_PER_S = 80.0
"""Most reports that the holder receives a second, as with status messages."""

WINDOW_WAIT_SHARE = 0.35
"""Longest time after the end of a usage window, and after it took over, for
which the holder waits for reports of it, as a part of the time until its own
report is due: several datagrams may be lost."""

MAX_SETTLED = 64
"""Settled windows that are remembered: more than a claim retains."""

CALL_PAUSE_S = 0.6
"""Pause after a failed call to the platform, s."""

MAX_PLATFORM_SILENCE_S = 2.5
"""Time for which all calls to the platform may fail before the holder hands the
duties over, s: another entry may reach it."""


class NoDuties:
    """The part of an entry whose deployment has no duties: it does nothing."""

    def start(self, peers):
        """Begins to take part.

        Args:
            peers: The ``peers.Peers``; None if this entry runs alone.
        """

    def record_run(self, account):
        """Counts a request of an account that a replica has begun to run."""

    def record_demand(self, service, prefill_tokens):
        """Records a request of a caller and the prefill that it needs."""

    def status_fields(self):
        """Returns the fields of this entry's status that concern duties."""
        return {}

    def handle_status(self, status, host):
        """Handles the ``entrystatus.Status`` of another entry."""

    def update_gauges(self):
        """Sets the gauges to the current state."""

    def hand_over(self):
        """Called when the process begins to stop."""

    def stop(self):
        """Called when the process ends."""


class Coordinator(NoDuties):
    """Takes part in the duties of one entry's deployment.

    Attributes:
        lease: The ``lease.Lease``.
        true_time: The ``truetime.TrueTime``.
    """

    def __init__(self,
                 node,
                 cfg,
                 *,
                 lease,
                 client,
                 true_time,
                 tracker,
                 reports_usage,
                 scaler=None):
        """Creates a coordinator; ``start`` begins.

        Args:
            node: The ``node.Node``.
            cfg: The ``settings.Duties``.
            lease: The ``lease.Lease``.
            client: The ``kinds.Client``.
            true_time: The ``truetime.TrueTime``.
            tracker: The ``demand.DemandTracker``.
            reports_usage: Whether usage is reported.
            scaler: The ``orders.Scaler``; None without that duty.
        """
        self._node = node
        self._loop = node.loop
        self._cfg = cfg
        self._client = client
        self._scaler = scaler
        self._members = node.work.peer_view.members
        self._log = logs.get('duties')
        self._send = None
        self._started_at_ms = true_time.own_clock_ms()
        self._max_windows = usage.windows_kept(cfg.report_window_s,
                                               cfg.report_due_s)
        self._counter = usage.UsageCounter(self._max_windows)
        self._collector = usage.UsageCollector(self._max_windows)
        self._own_calls = pastcalls.OwnCalls(2 * self._max_windows)
        self._recall = None
        self._names = pastcalls.Names()
        self._began_at = node.loop.now
        self._taken_in = 0
        self._demand = demand.DemandCounter()
        self._vacant_since = None
        self._last_holder = None
        self._report_at = 0.0
        self._held_since = 0.0
        self._settled = collections.deque(maxlen=MAX_SETTLED)
        self._open_calls = 0
        self._call_at = float('-inf')
        self._failing_since = None
        self._reports_usage = reports_usage
        self._tracker = tracker
        self.lease = lease
        self.true_time = true_time
        lease.on_confirmed = self._send_calls
        lease.on_taken = self._on_taken

    def start(self, peers):
        """See ``NoDuties``."""
        if peers is not None:
            self._send = peers.send
            peers.register_handler(reports.EntryReport,
                                   lambda report, host: self._record(report))
        self._vacant_since = self._loop.now + START_DELAY_S
        self._loop.call_every(TICK_S, self._tick)

    # -- what this entry observes ----------------------------------------------

    def record_run(self, account):
        """See ``NoDuties``."""
        if self._reports_usage:
            self._counter.record(self._window_at(self.true_time.now()), account)

    def record_demand(self, service, prefill_tokens):
        """See ``NoDuties``."""
        self._demand.record(service, prefill_tokens)

    def _window_at(self, true_s):
        return int(true_s // self._cfg.report_window_s)

    def _since_end_s(self, window):
        """Returns the time since the end of a window, s; negative before."""
        end_s = (window + 1) * self._cfg.report_window_s
        return self.true_time.now() - end_s

    def status_fields(self):
        """See ``NoDuties``."""
        held = None
        if self.lease.held:
            held = entrystatus.DutiesHeld(
                self.lease.token, max(0, int(self.lease.claim_age_s() * 1000)),
                self.lease.claim.decided_through, self._recall is not None)
        return {
            'clock_ms': self.true_time.own_clock_ms(),
            'duties': held,
            'newest_claim': self.lease.newest_token + 1,
        }

    def handle_status(self, status, host):
        """See ``NoDuties``."""
        self._names.record(status.name, self._loop.now)
        if status.clock_ms:
            self.true_time.record_clock(host, status.clock_ms / 1000)
        if status.duties is not None:
            self.lease.record_claim(status.duties.token,
                                    status.duties.age_ms / 1000)
        elif status.newest_claim:
            self.lease.hear_of_claim(status.newest_claim - 1)

    # -- following -------------------------------------------------------------

    def _tick(self):
        now = self._loop.now
        if self.lease.held:
            self._record(self._build_report(0))
            self._perform()
            return
        holder = self._find_holder(now)
        if holder is not None:
            self._vacant_since = None
            self._last_holder = holder[1].name
            self.lease.abandon_takeover()
            self._report_to(holder, now)
            return
        if self._vacant_since is None:
            self._vacant_since = now
        if (self.lease.fit and self._node.can_read_store and
                self._members.hears_most(now) and now - self._vacant_since
                >= VACANCY_S + self._turn(now) * TURN_S):
            self.lease.take_over()

    def _find_holder(self, now):
        """Returns ``(host, status)`` of the holder, None if none is known."""
        found = [(host, status)
                 for host, status in self._members.live_statuses(now)
                 if status.duties is not None]
        return max(found, key=lambda f: f[1].duties.token, default=None)

    def _turn(self, now):
        """Returns how many candidates come before this entry.

        The last holder is not among them: it gave the duties up.
        """
        own = rendezvous.rank('duties', self._node.cfg)
        return sum(
            rendezvous.rank('duties', status) > own
            for _, status in self._members.live_statuses(now)
            if status.can_read_store and status.name != self._last_holder)

    def _report_to(self, holder, now):
        if now < self._report_at:
            return
        host, status = holder
        self._report_at = now + max(
            REPORT_PERIOD_S,
            len(self._members.live_hosts(now)) / MAX_REPORTS_PER_S)
        report = self._build_report(status.duties.decided_through + 1)
        if status.duties.asks_calls:
            # Not by the holder of an earlier claim: it may still act.
            report = msgspec.structs.replace(
                report,
                past_calls=self._own_calls.answer(
                    status.duties.token, now - self._began_at,
                    sorted(self._names.remembered(now))))
        self._send(report, host)

    def update_gauges(self):
        """See ``NoDuties``."""
        if self.lease.held:
            metrics.DUTIES_CLAIM_AGE.set(self.lease.claim_age_s())

    def hand_over(self):
        """See ``NoDuties``."""
        self.lease.release(for_good=True)

    def stop(self):
        """Reports for the last time; see ``NoDuties``."""
        holder = self._find_holder(self._loop.now)
        if holder is not None:
            self._report_at = 0.0
            self._report_to(holder, self._loop.now)

    def _build_report(self, first_window):
        return reports.EntryReport(self._node.cfg.name, self._started_at_ms,
                                   self._window_at(self.true_time.now()),
                                   self._counter.since(first_window),
                                   self._demand.totals())

    def _record(self, report):
        self._collector.record(report)
        self._tracker.record((report.name, report.started_at_ms), report.totals,
                             self._loop.now)
        if self._recall is not None and report.past_calls is not None:
            self._recall.record(report.name, report.past_calls,
                                self.true_time.now())

    # -- holding ---------------------------------------------------------------

    def _perform(self):
        now = self._loop.now
        if (self._open_calls or not self.lease.idle or now < self._call_at or
                not self._members.hears_most(now)):
            # An entry that is cut off from most others knows their counts and
            # their load no more; one of them takes over.
            return
        if self._platform_is_silent():
            self._log.warning('platform_silent')
            self._failing_since = None
            self.lease.release()
            return
        self._count_missed(self.lease.claim)
        claim = self._decide_windows(self.lease.claim)
        if self._scaler is not None:
            changes = self._scaler.plan(claim)
            if changes:
                claim = claim.with_orders(changes)
        if self._unsettled(claim) or self._undelivered(claim):
            self.lease.renew(
                msgspec.structs.replace(
                    claim, settled_through=self._settled_through(claim)))
            if not self.lease.claim.follows_loss:
                self._recall = None

    def _settled_through(self, claim):
        """Returns the last window up to which no report is to be made."""
        unsettled = [w.window for w in self._unsettled(claim)]
        return min(unsettled) - 1 if unsettled else claim.decided_through

    def _on_taken(self):
        self._held_since = self._loop.now
        self._taken_in = self._window_at(self.true_time.now())
        if self.lease.claim.holder:
            self._names.record(self.lease.claim.holder, self._loop.now)
        self.lease.claim = self._normalized(self.lease.claim)
        self._recall = None
        if self.lease.claim.follows_loss:
            started_s = (self.true_time.now() -
                         (self._loop.now - self._began_at))
            self._recall = pastcalls.Recall(self.lease.token, self._own_calls,
                                            started_s)
        if self._scaler is not None:
            self._scaler.reset()

    def _platform_is_silent(self):
        return (self._failing_since is not None and
                self._loop.now - self._failing_since > MAX_PLATFORM_SILENCE_S)

    def _normalized(self, claim):
        """Returns a claim of another holder without windows to come.

        Those were decided by a wrong clock, or by a claim that is unreadable,
        and would not be reported for as long.
        """
        if not self._reports_usage:
            return msgspec.structs.replace(claim, follows_loss=False)
        current = self._window_at(self.true_time.now())
        if claim.decided_through < current:
            return claim
        return msgspec.structs.replace(claim, decided_through=current - 1)

    def _recover_windows(self, claim, current):
        """Returns a claim that agrees with all calls on claims that were lost.

        Args:
            claim: A claim that follows a loss.
            current: Number of the present window.

        Returns:
            The claim as it is while it waits for answers, else one that does
            not follow a loss: it repeats what is known to have been reported
            and leaves out what an entry that can't be asked may have reported.
        """
        lacking = self._recall.lacking(self._node.cfg.name,
                                       self._names.remembered(self._loop.now))
        wait_s = WINDOW_WAIT_SHARE * self._cfg.report_due_s
        if lacking and self._loop.now - self._held_since < wait_s:
            return claim
        # Windows that ended later than this takeover are in no lost claim.
        left_out = min(self._taken_in, current) - 1
        if not lacking:
            left_out = min(left_out,
                           self._window_at(self._recall.complete_since))
        calls = self._recall.windows
        last = max((w for w in calls if w < current), default=0)
        first = max(claim.decided_through + 1, current - self._max_windows + 1)
        missed = []
        for window in range(first, max(left_out, last) + 1):
            if claim.counts_of(window) is not None:
                continue
            if window in calls:
                claim = self._with_window(claim, window, calls[window])
            elif window <= left_out:
                claim = msgspec.structs.replace(claim, decided_through=window)
                missed.append(window)
            else:
                claim = self._fix(claim, window, self._since_end_s(window))
        # A holder with a wrong clock may have reported windows to come.
        early = tuple(
            claims.WindowCounts(w, calls[w])
            for w in sorted(calls)
            if w >= current and claim.counts_of(w) is None)
        self._log.warning('windows_recovered',
                          repeated=sorted(calls),
                          left_out=missed,
                          lacking=len(lacking))
        return msgspec.structs.replace(claim,
                                       windows=claim.windows + early,
                                       follows_loss=False)

    def _decide_windows(self, claim):
        """Returns ``claim`` with the counts of windows that have ended."""
        if not self._reports_usage:
            return claim
        current = self._window_at(self.true_time.now())
        if claim.follows_loss:
            claim = self._recover_windows(claim, current)
            if claim.follows_loss:
                return claim
        # Entries that are silent for a moment report later.
        names = self._members.known_names()
        held_s = self._loop.now - self._held_since
        wait_s = WINDOW_WAIT_SHARE * self._cfg.report_due_s
        first = max(claim.decided_through + 1, current - self._max_windows + 1)
        for window in range(first, current):
            ended_s = self._since_end_s(window)
            if (min(ended_s, held_s) < wait_s and
                    not self._collector.is_complete(window, names)):
                break
            if claim.counts_of(window) is None:
                claim = self._fix(claim, window, ended_s)
        return claim

    def _fix(self, claim, window, ended_s):
        counts = self._collector.total(window)
        if not counts:
            return msgspec.structs.replace(claim, decided_through=window)
        self._log.info('usage_counted',
                       window=window,
                       requests=sum(counts.values()),
                       accounts=len(counts),
                       after_s=round(ended_s, 2))
        return self._with_window(claim, window, counts)

    def _with_window(self, claim, window, counts):
        return claim.with_window(
            window, counts, max(claims.RETAINED_WINDOWS, self._max_windows + 2))

    def _open_windows(self, claim):
        """Returns the ``claims.WindowCounts`` that are not accepted yet."""
        return [
            w for w in claim.windows if w.window > claim.settled_through and
            w.window not in self._settled
        ]

    def _unsettled(self, claim):
        """Returns the windows whose reports are still to be made."""
        return [
            w for w in self._open_windows(claim)
            if self._since_end_s(w.window) < self._cfg.report_due_s
        ]

    def _count_missed(self, claim):
        """Counts and logs the windows whose reports are overdue, once each."""
        for counts in self._open_windows(claim):
            overdue_s = (self._since_end_s(counts.window) -
                         self._cfg.report_due_s)
            if overdue_s >= 0:
                self._settled.append(counts.window)
                metrics.USAGE_MISSED.inc()
                self._log.error('usage_missed',
                                window=counts.window,
                                overdue_s=round(overdue_s, 2))

    def _undelivered(self, claim):
        """Returns the orders that the platform has not accepted yet."""
        if self._scaler is None:
            return []
        return self._scaler.undelivered(claim)

    def _send_calls(self):
        """Makes the calls of a claim that was just confirmed."""
        claim, token = self.lease.claim, self.lease.token
        for counts in self._unsettled(claim):
            if not self.lease.may_act():
                return
            self._open_calls += 1
            self._own_calls.record(counts.window, counts.counts)
            self._client.report_usage(
                token,
                counts.window,
                counts.counts,
                lambda answer, w=counts.window: self._on_reported(w, answer))
        for order in self._undelivered(claim):
            if not self.lease.may_act():
                return
            self._open_calls += 1
            self._client.order(
                token,
                order.pool,
                order.count,
                lambda answer, o=order: self._on_ordered(o, answer))

    def _on_reported(self, window, answer):
        self._log.info('usage_reported', window=window, answer=answer.value)
        self._on_answer(answer)
        if answer is kinds.Answer.ACCEPTED:
            self._settled.append(window)
            metrics.USAGE_WINDOW.set(window)
        elif answer is kinds.Answer.REJECTED:
            # It would be rejected again.
            self._settled.append(window)
            metrics.USAGE_MISSED.inc()
        elif answer is kinds.Answer.CONFLICT:
            self.lease.lose('the platform saw a later token')

    def _on_ordered(self, order, answer):
        self._log.info('replicas_ordered',
                       service=order.service,
                       zone=order.zone,
                       spot=order.spot,
                       count=order.count,
                       answer=answer.value)
        self._on_answer(answer)
        self._scaler.record_answer(order, answer)

    def _on_answer(self, answer):
        self._open_calls -= 1
        if answer is kinds.Answer.UNKNOWN:
            self._call_at = self._loop.now + CALL_PAUSE_S
            if self._failing_since is None:
                self._failing_since = self._loop.now
        else:
            self._failing_since = None
