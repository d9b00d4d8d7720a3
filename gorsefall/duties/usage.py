"""Counts the requests of each client account by window of true time."""

import collections
import math

import msgspec

from gorsefall.policy import membership

MIN_WINDOWS = 4
"""Windows that are kept at least: the present one, and some that ended."""


def windows_kept(window_s, due_s):
    """Returns how many windows are kept, so that none is lost before it is due.

    Args:
        window_s: Length of a window, s.
        due_s: Time after its end until its report is due, s.
    """
    return max(MIN_WINDOWS, math.ceil(due_s / window_s) + 2)


class UsageCounter:
    """Counts the requests that replicas began to run for this entry."""

    def __init__(self, max_windows=MIN_WINDOWS):
        self._max_windows = max_windows
        self._counts = {}

    def record(self, window, account):
        """Counts one request of an account in a window."""
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = collections.Counter()
            for old in sorted(self._counts)[:-self._max_windows]:
                del self._counts[old]
        counts[account] += 1

    def since(self, window):
        """Returns the counts since a window; see ``reports.EntryReport``."""
        return {
            w: dict(counts) for w, counts in self._counts.items() if w >= window
        }


class UsageCollector:
    """Adds up the counts of all processes."""

    def __init__(self, max_windows=MIN_WINDOWS):
        self._max_windows = max_windows
        self._reports = {}

    def record(self, report):
        """Records a ``reports.EntryReport``; a later one replaces it.

        Windows that a later report leaves out keep their counts: the process
        no longer sends those that are settled, or that it no longer keeps.
        """
        key = report.name, report.started_at_ms
        last = self._reports.pop(key, None)
        if last is not None and last.window > report.window:
            report, last = last, report
        if last is not None:
            merged = {
                w: c
                for w, c in last.counts.items()
                if w > report.window - self._max_windows
            }
            report = msgspec.structs.replace(report,
                                             counts=merged | report.counts)
        self._reports[key] = report
        while len(self._reports) > membership.MAX_PROCESSES:
            del self._reports[next(iter(self._reports))]

    def is_complete(self, window, names):
        """Returns whether the counts of a window are final.

        Args:
            window: Its number.
            names: Names of the entries that are live.
        """
        done = {n for (n, _), r in self._reports.items() if r.window > window}
        return done.issuperset(names)

    def total(self, window):
        """Returns the sum for a window, ``account -> requests``."""
        total = collections.Counter()
        for report in self._reports.values():
            total.update(report.counts.get(window, {}))
        return dict(sorted(total.items()))
