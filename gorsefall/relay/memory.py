"""Memory of an entry: what it may hold for requests, and who waits for room.

Resident memory alone does not tell who may have more, and falls late, as what
is freed stays with the process; the account alone does not know what else the
process needs. So the account divides the room, and resident memory says how
much that is.
"""

import collections
import functools
import os

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import memoryshares
from gorsefall.policy import retry_delay
from gorsefall.relay import callerwaits

LARGE_BODY_BYTES = 65536
"""Size from which the body of a request is read only once there is room. What
is smaller arrives as fast as it could be refused."""

REQUEST_BYTES = 32768
"""Memory that a running request takes beside its body and its response, with
its connection to a replica, bytes."""

STREAM_BYTES = 49152
"""Memory that a stream takes besides while its caller is behind: what was
received before its replica was made to wait, bytes."""

GROWTH_BYTES = 1 << 18
"""Room that is asked for at a time for a body of unknown length."""

ROOM_WAIT_S = 0.5
"""Longest time for which a caller's body is left unread for want of room, s.
Callers give up a request that is not read within one second."""

RELIEF_PAUSE_S = 0.1
"""Pause between two looks whether more is held than there is room for, s."""

ROOM_FRACTION = 2 / 3
"""Fraction of the memory beside that of the process itself that bodies and
answers may take. The rest is for what the kernel has received, for pieces on
their way through the process and for memory that is free but not returned."""

RESIDENT_FRACTION = 0.85
"""Fraction of the limit at which nothing large is taken any more, whatever the
account says."""

BASE_WINDOW_S = 30.0
"""Time over which the lowest memory beside what is held counts as that of the
process itself, s."""

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MIB = 1 << 20


def resident_bytes():
    """Returns the resident memory of the process, bytes; 0 if unknown."""
    try:
        with open('/proc/self/statm', 'rb') as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except OSError:
        return 0


class Hold:
    """Bytes held for one request; ended by ``release``.

    Attributes:
        owner: The ``memoryshares.Owner``.
        size: Number of bytes.
        terms: The ``grant.Terms`` by which the owner was found; None if it is
            not known.
        time_left_s: How long its caller waits for a response; None if not
            known, s.
    """

    def __init__(self, memory, owner, request_id, terms, time_left_s):
        self._memory = memory
        self._request_id = request_id
        self._wait = None
        self._released = False
        self.owner = owner
        self.size = 0
        self.terms = terms
        self.time_left_s = time_left_s

    def grow(self, size, *, small=False):
        """Holds ``size`` more bytes if there is room; returns whether.

        Callers that the entry waits for yield if there is none.

        Args:
            size: Number of bytes.
            small: Whether they are few for a request.
        """
        if not self._memory.make_room(self.owner, size, small=small):
            return False
        self.add(size)
        # Its own connection may have been the one that yielded.
        return not self._released

    def grow_by_piece(self, size):
        """Holds a piece of what arrives if there is room; returns whether."""
        return self.grow(size, small=size < LARGE_BODY_BYTES)

    def add(self, size):
        """Holds ``size`` more bytes that are there already."""
        if self._released:
            return
        self.size += size
        self._memory.shares.add(self.owner, size)
        self._memory.relieve_later()

    def grow_later(self, size, done):
        """Calls ``done`` with whether there is room, at once or later.

        It is not called once the hold is released.
        """
        if self.grow(size):
            done(True)
            return
        if self._released:
            return
        self._wait = self._memory.wait(lambda: self.grow(size), done)

    def resize(self, size):
        """Holds ``size`` bytes from now on, whether they fit or not."""
        if size > self.size:
            self.add(size - self.size)
        elif size < self.size:
            self._memory.shares.remove(self.owner, self.size - size)
            self.size = size
            self._memory.on_room()

    def move_to(self, owner):
        """Has another ``memoryshares.Owner`` hold the bytes."""
        if owner != self.owner:
            size = self.size
            self.resize(0)
            self.owner = owner
            self.resize(size)

    def refuse(self):
        """Logs and counts that there was no room; returns the error."""
        self._memory.record_refusal(self._request_id, self.owner)
        return errors.MemoryShortError('no memory is free for it',
                                       retry_after=retry_delay.short_delay_s())

    def release(self):
        """Ends it; what waits for room may go on."""
        if self._wait is not None:
            self._wait.cancel()
            self._wait = None
        self.resize(0)
        self._released = True


class _Wait:
    """One wait for room, with an end."""

    def __init__(self, loop, attempt, done):
        self._attempt = attempt
        self._done = done
        self._timer = loop.call_later(ROOM_WAIT_S, lambda: self._end(False))

    @property
    def is_over(self):
        """Whether it has ended."""
        return self._done is None

    def retry(self):
        """Ends the wait if there is room."""
        if not self.is_over and self._attempt():
            self._end(True)

    def cancel(self):
        """Ends the wait without a call."""
        self._timer.cancel()
        self._done = None

    def _end(self, granted):
        done = self._done
        self.cancel()
        done(granted)


class Memory:
    """What an entry holds, within the limit of its process.

    Attributes:
        shares: The ``memoryshares.MemoryShares``.
        callers: The ``callerwaits.CallerWaits``.
    """

    def __init__(self, loop, limit_mb, resident=resident_bytes):
        """Creates an account that holds nothing.

        Args:
            loop: The ``reactor.Reactor``.
            limit_mb: Returns the limit of the memory of the process, MB.
            resident: Returns the resident memory, bytes.
        """
        self._loop = loop
        self._limit_mb = limit_mb
        self._resident = resident
        self._waits = collections.deque()
        self._retrying = self._relieving = False
        self._base = self._last_base = resident()
        self._base_since = loop.now
        self.shares = memoryshares.MemoryShares(0)
        self.callers = callerwaits.CallerWaits(loop)
        self._log = logs.get('memory')
        self._measure()

    def _measure(self):
        """Updates the room; returns the resident memory, bytes."""
        resident = self._resident()
        base = max(0, resident - self.shares.held)
        if self._loop.now - self._base_since > BASE_WINDOW_S:
            self._last_base, self._base = self._base, base
            self._base_since = self._loop.now
        self._base = min(self._base, base)
        own = min(self._base, self._last_base)
        self.shares.room = max(
            0, int((self._limit_mb() * _MIB - own) * ROOM_FRACTION))
        return resident

    def _find_limit(self, owner, size, small):
        """Returns what keeps bytes from fitting; see ``MemoryShares``."""
        if not small:
            limit = self._limit_mb() * _MIB * RESIDENT_FRACTION
            resident = self._measure()
            # With nothing held, the rest is free memory that was not returned.
            if self.shares.held and resident + size > limit:
                return memoryshares.Limit.ROOM
        return self.shares.find_limit(owner, size, small=small)

    def fits(self, owner, size, *, small=False):
        """Returns whether ``size`` more bytes may be held for an owner."""
        return self._find_limit(owner, size, small) is None

    def make_room(self, owner, size, *, small=False):
        """Returns whether ``size`` more bytes fit, if need be as others yield.

        Args:
            owner: The ``memoryshares.Owner``.
            size: Number of bytes.
            small: Whether they are few for a request.
        """
        while (limit := self._find_limit(owner, size, small)) is not None:
            may_yield = functools.partial(memoryshares.counts_against, limit,
                                          owner)
            if not self.callers.free(size, may_yield):
                return False
        return True

    def hold(self, owner, *, request_id=None, terms=None, time_left_s=None):
        """Returns a ``Hold`` of nothing yet.

        Args:
            owner: The ``memoryshares.Owner``.
            request_id: The caller's id of the request; None if not known.
            terms: See ``Hold``.
            time_left_s: See there.
        """
        return Hold(self, owner, request_id, terms, time_left_s)

    def wait(self, attempt, done):
        """Waits for room; returns an object with ``cancel``.

        Args:
            attempt: Takes the room if it is there; returns whether it was.
            done: Called with whether it was in time.
        """
        wait = _Wait(self._loop, attempt, done)
        self._waits.append(wait)
        return wait

    def on_room(self):
        """Lets those go on that now find room, the oldest first."""
        if self._waits and not self._retrying:
            # Not within the call that made room: it may come from any place.
            self._retrying = True
            self._loop.call_later(0, self._retry)

    def _retry(self):
        self._retrying = False
        for wait in list(self._waits):
            wait.retry()
        self._waits = collections.deque(w for w in self._waits if not w.is_over)

    def relieve_later(self):
        """Has callers yield if more is held than there is room for."""
        if self.shares.held > self.shares.room and not self._relieving:
            # Not within the call that holds more: its connection may yield.
            self._relieving = True
            self._loop.call_later(RELIEF_PAUSE_S, self._relieve)

    def _relieve(self):
        self._relieving = False
        self._measure()
        over = self.shares.held - self.shares.room
        if over > 0:
            self.callers.free(over, lambda owner: True)
            self.relieve_later()

    def record_refusal(self, request_id, owner):
        """Logs and counts a request that was refused for want of room."""
        metrics.MEMORY_REFUSALS.labels(owner.service or '').inc()
        self._log.info('memory_short',
                       rid=request_id,
                       service=owner.service,
                       account=owner.account,
                       held=self.shares.held,
                       held_for_service=self.shares.of_service(owner.service),
                       room=self.shares.room)

    def update_gauges(self):
        """Sets the gauges to the current state."""
        metrics.RESIDENT_MEMORY.set(self._measure())
        metrics.MEMORY_HELD.set(self.shares.held)
        metrics.MEMORY_ROOM.set(self.shares.room)
