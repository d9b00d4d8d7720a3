"""Connections on which the entry waits for the caller; who yields when short.

A caller that does not read its response, or does not finish its request, holds
memory and a descriptor for as long as it likes. It may, while there is enough
for all. When there is not, those of the account that has most of what is short
yield first: the longest without a byte, then the slowest. What counts is how
much moved lately, so that a caller with a slow link is told from one that has
stopped.
"""

import collections
import dataclasses
import enum

from gorsefall import logs
from gorsefall import metrics

SWEEP_S = 1.0
"""Period in which it is measured how fast the callers are, s. A caller yields
once it was measured over a whole period: a pause of less than that is usual."""


class Shortage(enum.Enum):
    """What others need of a caller; the values are logged."""
    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    PLACES = 'places'


@dataclasses.dataclass
class _Pace:
    """How fast a caller reads or sends.

    Attributes:
        moved_bytes: Bytes that had moved at the last measurement.
        in_period: Whether the wait had begun then.
        idle_s: Time for which none has moved since, s.
        per_s: Bytes per second before it; None if it was not measured yet.
    """
    moved_bytes: int
    in_period: bool = False
    idle_s: float = 0.0
    per_s: float | None = None


class CallerWaits:
    """Connections that wait for their callers, in the order they would yield.

    A connection provides ``owner``, a ``memoryshares.Owner``; ``held_bytes``;
    ``moved_bytes``, received and sent so far; ``idle_limit_s``, the longest
    time without a byte; ``measure()``, called before it is measured;
    ``yield_room(shortage)``, which refuses or aborts its request, and
    ``close_idle()``.
    """

    def __init__(self, loop):
        self._loop = loop
        self._paces = {}
        self._by_bytes = []
        self._by_count = collections.deque()
        self._sweeping = False
        self._log = logs.get('callers')

    def __len__(self):
        return len(self._paces)

    def add(self, conn):
        """Records that the entry waits for the caller of a connection."""
        if conn in self._paces:
            return
        self._paces[conn] = _Pace(conn.moved_bytes)
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_S, self._sweep)

    def discard(self, conn):
        """Records that the entry does not wait any more."""
        self._paces.pop(conn, None)

    def free(self, size, may_yield):
        """Has callers yield that hold ``size`` bytes; returns the number.

        Args:
            size: See there.
            may_yield: Returns whether the bytes of a ``memoryshares.Owner``
                are of use.
        """
        freed = 0
        left = []
        for conn in self._by_bytes:
            if freed < size and may_yield(conn.owner):
                freed += self._yield(conn, Shortage.MEMORY)
            else:
                left.append(conn)
        self._by_bytes = left
        return freed

    def free_connection(self):
        """Has one caller yield its connection; returns whether one did."""
        while self._by_count:
            if self._yield(self._by_count.popleft(), Shortage.CONNECTIONS):
                return True
        return False

    def _yield(self, conn, shortage):
        pace = self._paces.pop(conn, None)
        if pace is None:
            return 0
        held = conn.held_bytes
        metrics.CALLERS_YIELDED.labels(shortage.value).inc()
        self._log.info('caller_yielded',
                       reason=shortage.value,
                       service=conn.owner.service,
                       account=conn.owner.account,
                       held=held,
                       per_s=round(pace.per_s))
        conn.yield_room(shortage)
        return max(1, held)

    # -- measurement -----------------------------------------------------------

    def _sweep(self):
        self._sweeping = bool(self._paces)
        if self._sweeping:
            self._loop.call_later(SWEEP_S, self._sweep)
        for conn, pace in list(self._paces.items()):
            self._measure(conn, pace)
        held, conns = collections.Counter(), collections.Counter()
        for conn in self._paces:
            held[conn.owner.account] += conn.held_bytes
            conns[conn.owner.account] += 1
        self._by_bytes = self._order(held)
        self._by_count = collections.deque(self._order(conns))

    def _order(self, of_account):
        """Returns the connections that were measured, the first to yield first.

        Args:
            of_account: What each account has of what is short.
        """

        def key(conn):
            pace = self._paces[conn]
            return (-of_account[conn.owner.account], -pace.idle_s, pace.per_s,
                    -conn.held_bytes)

        return sorted(
            (c for c, p in self._paces.items() if p.per_s is not None), key=key)

    def _measure(self, conn, pace):
        conn.measure()
        moved = conn.moved_bytes - pace.moved_bytes
        if not pace.in_period:
            pace.in_period = True
            pace.moved_bytes += moved
            return
        pace.per_s = moved / SWEEP_S
        pace.moved_bytes += moved
        pace.idle_s = 0.0 if moved else pace.idle_s + SWEEP_S
        if pace.idle_s > conn.idle_limit_s:
            conn.close_idle()
