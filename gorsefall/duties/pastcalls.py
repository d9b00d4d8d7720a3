"""What all entries have reported to the platform, after the store lost claims.

A claim that the store has lost may have fixed the counts of windows. They
matter only if a call has told them, and each process knows its own calls. So a
holder whose store has lost claims asks all entries. The answers are given when
it has waited for a whole lease since it knew of the loss: no process acts on a
lost claim any more.
"""

from gorsefall.duties import claims
from gorsefall.duties import reports
from gorsefall.policy import membership

REMEMBERED_S = 3600.0
"""Time for which a name is remembered that is not heard of, s: an entry that is
cut off may have acted and still not be known to those that are live."""

START_MARGIN_S = 5.0
"""Time after its start in which a process may not have heard of all others, s.
An earlier process of its entry may have acted until then."""


class OwnCalls:
    """The calls of this process.

    Attributes:
        windows: ``window -> counts`` of the last windows, in order of the
            calls.
    """

    def __init__(self, max_windows):
        self._max_windows = max_windows
        self.windows = {}

    def record(self, window, counts):
        """Records a call that is about to be sent."""
        self.windows.pop(window, None)
        self.windows[window] = counts
        while len(self.windows) > self._max_windows:
            del self.windows[next(iter(self.windows))]

    def answer(self, token, uptime_s, names):
        """Returns the ``reports.PastCalls`` for a holder; see there."""
        return reports.PastCalls(
            token, uptime_s, tuple(names),
            tuple(claims.WindowCounts(*w) for w in self.windows.items()))


class Names:
    """The names of all entries that were heard of for long."""

    def __init__(self):
        self._heard_at = {}

    def record(self, name, now):
        """Records that an entry was heard of."""
        self._heard_at.pop(name, None)
        self._heard_at[name] = now
        while len(self._heard_at) > membership.MAX_PROCESSES:
            del self._heard_at[next(iter(self._heard_at))]

    def remembered(self, now):
        """Returns the names, a set."""
        return {
            n for n, at in self._heard_at.items() if now - at <= REMEMBERED_S
        }


class Recall:
    """The answers to one holder.

    Attributes:
        windows: ``window -> counts`` of all calls that are known.
        complete_since: Time from which on all calls of those that answered are
            known, s of true time: the last of them started before.
    """

    def __init__(self, token, own, started_s):
        """Creates the answers with that of the holder itself.

        Args:
            token: Its first token.
            own: Its ``OwnCalls``.
            started_s: When it started, s of true time.
        """
        self._token = token
        self._answered = set()
        self._mentioned = set()
        self.windows = dict(own.windows)
        self.complete_since = started_s + START_MARGIN_S

    def record(self, name, answer, true_s):
        """Records the ``reports.PastCalls`` of an entry, received at true_s."""
        if answer.token < self._token:
            return
        self._answered.add(name)
        self._mentioned.update(answer.names)
        for counts in answer.windows:
            self.windows.setdefault(counts.window, counts.counts)
        started_s = true_s - answer.uptime_s
        self.complete_since = max(self.complete_since,
                                  started_s + START_MARGIN_S)

    def lacking(self, own_name, names):
        """Returns the names of entries whose answers are not there, a set."""
        return (self._mentioned | names) - self._answered - {own_name}
