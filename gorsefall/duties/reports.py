"""What each process reports to the holder of the duties."""

import msgspec

from gorsefall import ids
from gorsefall.duties import demand
from gorsefall.policy import entrystatus


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
    """
    name: str
    started_at_ms: int
    window: int
    counts: dict[int, dict[ids.AccountName, entrystatus.Count]] = {}
    totals: dict[ids.ServiceName, demand.Totals] = {}
