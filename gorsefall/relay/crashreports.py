"""Reports of crashes and of runs that clear suspects, to and from entries."""

import collections
import random
import typing

import msgspec

from gorsefall.policy import crashrecords
from gorsefall.policy import entrystatus
from gorsefall.relay import messages

MAX_OWN_REPORTS = 256
"""Most own reports that are kept for status messages, the newest ones."""

MAX_STATUS_DIGESTS = 128
"""Most digests in a status, 2.5 KB, and 2 KB for their reports. If there are
more, others are drawn for each message, so that requests with many parts do not
keep the reports of others from being sent."""

MAX_STATUS_CLEARINGS = MAX_STATUS_DIGESTS // 2
"""Most clearings in a status that has no room for all reports."""

MAX_DIGESTS = 256
"""Most digests in a message on suspects."""

MAX_MERGED_REPORTS = 128
"""Most reports of a message that are merged."""

MIN_QUERY_PAUSE_S = 1.0
"""Shortest pause between two queries for the suspects of other entries, s."""

MIN_RESPONSE_PAUSE_S = 0.1
"""Shortest pause between two responses to such queries, s. All other entries
query an entry at once after a status of it, and a response is 3 KB long."""


class _OwnReport(typing.NamedTuple):
    """A report on a run at this entry.

    Attributes:
        at: When it was observed, s (monotonic).
        report: The ``entrystatus.RunReport`` of that time.
    """
    at: float
    report: entrystatus.RunReport

    @property
    def crash(self):
        """The ``crashrecords.Crash``; None for a run that clears a suspect."""
        if not self.report.replica:
            return None
        return crashrecords.Crash(self.report.replica,
                                  self.report.started_at_ms)

    @property
    def digests(self):
        """The digests of all that it is about, a list."""
        return [self.report.digest, *(p.digest for p in self.report.parts)]

    def aged(self, now):
        """Returns the report for a message that is sent now."""
        return _with_age(self.report, age_ms(self.at, now))


def age_ms(at, now):
    """Returns the time since ``at``, ms."""
    return max(0, int((now - at) * 1000))


def _fitting(reports, max_digests=MAX_DIGESTS):
    """Returns the first ``entrystatus.RunReport`` objects that fit, a tuple."""
    total, count = 0, 0
    for report in reports:
        total += 1 + len(report.parts)
        if total > max_digests:
            break
        count += 1
    return tuple(reports[:count])


def _with_age(report, age):
    return entrystatus.RunReport(report.digest, age, report.replica,
                                 report.started_at_ms, report.weight,
                                 report.parts, report.burst)


class CrashReports:
    """What this entry reports, and what it merges of others.

    Attributes:
        on_merged: Called after reports of another entry were merged.
    """

    def __init__(self, book, survived, clock):
        """Creates the state without reports.

        Args:
            book: The ``suspects.Suspects`` to record in.
            survived: The ``survivals.Survivals``.
            clock: Returns the time, s (monotonic).
        """
        self._book = book
        self._survived = survived
        self._clock = clock
        self._peers = None
        self._own = collections.deque(maxlen=MAX_OWN_REPORTS)
        self._queried_at = self._responded_at = float('-inf')
        self.on_merged = lambda: None

    def start(self, peers):
        """Begins to send to other entries, if there are ``peers``."""
        self._peers = peers

    # -- observed here ---------------------------------------------------------

    def describe_parts(self, parts, at):
        """Returns the ``entrystatus.PartReport`` objects of a crash, a tuple.

        Args:
            parts: The digests of parts of the prompt that ran.
            at: When the replica crashed, s (monotonic).
        """
        return tuple(
            entrystatus.PartReport(part, self._survived.is_recent(part, at))
            for part in parts
            if self._survived.last(part) <= at)

    def record_crash(self, digest, parts, crash, weight, at):
        """Records a crash under a run at this entry.

        Args:
            digest: The digest of the request.
            parts: ``entrystatus.PartReport`` objects of its prompt.
            crash: The ``crashrecords.Crash``.
            weight: The ``crashrecords.CrashWeight``.
            at: When it was observed, s (monotonic).

        Returns:
            Whether it was not known before.
        """
        report = entrystatus.RunReport(digest, 0, crash.replica,
                                       crash.started_at_ms, int(weight), parts)
        if not self._merge_crash(report, at):
            return False
        self._own.append(_OwnReport(at, report))
        return True

    def record_clearings(self, cleared):
        """Records that a run at this entry cleared suspects.

        Args:
            cleared: Their digests. Those for which requests wait are told to
                all other entries at once, as their crashes were.
        """
        now = self._clock()
        grave = [digest for digest in cleared if self._book.is_grave(digest)]
        for digest in cleared:
            known_to_all = digest in self._book.reportable()
            if self._book.record_clearing(digest,
                                          now) and (known_to_all or
                                                    self.has_reported(digest)):
                self._own.append(
                    _OwnReport(now, entrystatus.RunReport(digest, 0)))
        if grave and self._peers is not None:
            self._peers.send_all(messages.Suspects(self._clearings(grave)))

    def _clearings(self, cleared):
        """Returns the ``entrystatus.RunReport`` objects of clearings."""
        now = self._clock()
        return _fitting([
            entrystatus.RunReport(
                digest, age_ms(self._book.find(digest).cleared_at, now))
            for digest in cleared
        ])

    def has_reported(self, digest):
        """Returns whether this entry observed a crash under a suspect."""
        return any(own.crash is not None and digest in own.digests
                   for own in self._own)

    def recent(self, now):
        """Returns the ``entrystatus.RunReport`` objects for a status."""
        while (self._own and
               self._own[0].at < now - entrystatus.REPORT_WINDOW_S):
            self._own.popleft()
        crashes = [
            self._with_burst(own.aged(now), own.crash)
            for own in self._own
            if own.crash is not None and self._holds(own)
        ]
        clearings = [own.aged(now) for own in self._own if own.crash is None]
        reports = crashes + clearings
        if len(_fitting(reports, MAX_STATUS_DIGESTS)) < len(reports):
            random.shuffle(crashes)
            crashes.sort(key=self._gravity, reverse=True)
            random.shuffle(clearings)
            # What is cleared weighs nothing, and would never be told.
            clearings = _fitting(clearings, MAX_STATUS_CLEARINGS)
        return (*clearings,
                *_fitting(crashes, MAX_STATUS_DIGESTS - len(clearings)))

    def _with_burst(self, report, crash):
        """Adds how many replicas are known by now to have exited then."""
        return msgspec.structs.replace(report,
                                       burst=self._book.burst_size(crash))

    def _gravity(self, report):
        """Returns the most weight of anything in a report that did not run."""
        digests = [report.digest]
        digests += [p.digest for p in report.parts if not p.survived_before]
        return max(self._book.weight(digest) for digest in digests)

    def _holds(self, own):
        """Returns whether a crash still counts against anything."""
        found = (self._book.find(d) for d in own.digests)
        return any(s is not None and own.crash in s.crashes for s in found)

    # -- to other entries ------------------------------------------------------

    def of(self, digest):
        """Returns the ``entrystatus.RunReport`` objects of a suspect, a list.

        What was always there with it is reported as the parts of a prompt, and
        itself, as only parts say whether runs with them went on before.
        """
        now = self._clock()
        return [
            entrystatus.RunReport(digest, age_ms(record.seen_at, now),
                                  crash.replica, crash.started_at_ms,
                                  int(record.weight),
                                  self._companions(digest, crash, record),
                                  self._burst_size(crash, record))
            for crash, record in self._book.find(digest).crashes.items()
        ]

    def _burst_size(self, crash, record):
        return max(record.burst, self._book.burst_size(crash))

    def _companions(self, digest, crash, record):
        found = []
        for other in sorted(record.companions):
            suspect = self._book.find(other)
            known = suspect.crashes.get(crash) if suspect else None
            if known is not None or other == digest:
                found.append(
                    entrystatus.PartReport(other, (known or
                                                   record).survived_before))
        return tuple(found)

    def send_suspects_to_all(self, digests):
        """Sends the reports of suspects to all other entries at once.

        Args:
            digests: Their digests, in order; those that do not fit are left
                out.
        """
        reports = [report for digest in digests for report in self.of(digest)]
        if reports and self._peers is not None:
            self._peers.send_all(messages.Suspects(_fitting(reports)))

    def send_gravest_to_all(self):
        """Sends all entries the reports of the heaviest suspects."""
        self.send_suspects_to_all(self._gravest())

    def _gravest(self):
        """Returns the reportable digests, those with the most weight first."""
        return sorted(self._book.reportable(),
                      key=lambda d: (self._book.weight(d), d),
                      reverse=True)

    def send_suspects(self, host):
        """Sends an entry the reports of the suspects with the most weight.

        An entry that gets no response queries another one a second later.
        """
        now = self._clock()
        if now - self._responded_at < MIN_RESPONSE_PAUSE_S:
            return
        self._responded_at = now
        reports = [report for d in self._gravest() for report in self.of(d)]
        self._peers.send(messages.Suspects(_fitting(reports)), host)

    # -- from other entries ----------------------------------------------------

    def handle_status(self, status, host):
        """Handles the ``entrystatus.Status`` of another entry."""
        self.merge(status.run_reports)
        if status.suspects_summary != self._book.summary:
            self._query_suspects(host)

    def _query_suspects(self, host):
        # The summaries also differ while reports are on their way. A query
        # brings missing reports to this entry, and one a second is cheap.
        now = self._clock()
        if now - self._queried_at >= MIN_QUERY_PAUSE_S:
            self._queried_at = now
            self._peers.send(messages.AskSuspects(), host)

    def handle_suspects(self, reports, host):
        """Handles the suspects of another entry.

        What runs at this entry have cleared since is sent back: the other entry
        would blame it without any run of its own.

        Args:
            reports: The ``entrystatus.RunReport`` objects.
            host: The other entry.
        """
        self.merge(reports)
        now = self._clock()
        refuted = {
            digest for report in reports if report.replica
            for digest in (report.digest, *(p.digest for p in report.parts))
            if self._book.is_refuted(digest, now - report.age_ms / 1000)
        }
        if refuted:
            self._peers.send(
                messages.Suspects(self._clearings(sorted(refuted))), host)

    def merge(self, reports):
        """Merges the ``entrystatus.RunReport`` objects of another entry."""
        now = self._clock()
        for report in reports[:MAX_MERGED_REPORTS]:
            at = now - report.age_ms / 1000
            if report.replica:
                self._merge_crash(report, at)
            else:
                self._merge_clearing(report.digest, at)
        self.on_merged()

    def _merge_clearing(self, digest, at):
        """Records a clearing, and tells it where it drops a crash.

        Each hop makes it later by the time that its message takes. If it were
        told again though it drops nothing here, it would go round among the
        entries until it refutes crashes that came after the run.
        """
        crashes = self._book.crashes(digest)
        self._book.record_clearing(digest, at)
        dropped = self._book.crashes(digest) != crashes
        if dropped and self.has_reported(digest):
            # Whoever has received the crash from this entry learns of it too.
            self._own.append(_OwnReport(at, entrystatus.RunReport(digest, 0)))

    def _merge_crash(self, report, at):
        """Records a crash; returns whether any of it was not known before."""
        seen = {report.digest: False}
        seen |= {p.digest: p.survived_before for p in report.parts}
        for digest in list(seen):
            survived_at = self._survived.last(digest)
            if survived_at > at and self._book.record_clearing(
                    digest, survived_at):
                # Others that were told of the crash have not seen that run.
                self._own.append(
                    _OwnReport(survived_at, entrystatus.RunReport(digest, 0)))
        return self._book.record_broken_run(
            seen, crashrecords.Crash(report.replica, report.started_at_ms),
            crashrecords.CrashWeight(report.weight), at, report.burst)
