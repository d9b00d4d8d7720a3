"""What each process reports to the holder of the duties."""

import msgspec

from gorsefall import ids
from gorsefall.duties import claims
from gorsefall.duties import demand
from gorsefall.policy import entrystatus


class PastCalls(msgspec.Struct, frozen=True, array_like=True):
    """What a process that is no holder has reported to the platform.

    Attributes:
        token: Token of the holder that asks.
        uptime_s: Time since the process started, s.
        names: Names of the entries that it remembers.
        windows: The ``claims.WindowCounts`` of its calls, also of those whose
            answer is not known.
    """
    token: int
    uptime_s: float
    names: tuple[str, ...] = ()
    windows: tuple[claims.WindowCounts, ...] = ()


class EntryReport(msgspec.Struct, frozen=True, array_like=True, tag='duties'):
    """The counts of one process, complete up to when they were sent.

    Attributes:
        name: Name of its entry.
        started_at_ms: When the process started, ms since 1970; tells the
            processes of an entry apart.
        window: Number of the window of true time in which it was sent.
        counts: ``window -> account -> requests`` that replicas began to run;
            windows and accounts without requests are left out.
        totals: ``service -> demand.Totals`` since the start.
        past_calls: The ``PastCalls`` if the holder asks for them, else None.
    """
    name: str
    started_at_ms: int
    window: int
    counts: dict[int, dict[ids.AccountName, entrystatus.Count]] = {}
    totals: dict[ids.ServiceName, demand.Totals] = {}
    past_calls: PastCalls | None = None
