"""Rate and concurrency limits, shared by the live entries.

Each entry owns an equal part of every limit and may use more of it as far
as its peers, by their own lagging word, leave it unused.
"""

import dataclasses
import math

import xxhash

from gorsefall import errors

RATE_WINDOW_S = 1.0
"""Time over which an entry's own rate is smoothed, s."""


@dataclasses.dataclass
class Bucket:
    """A token bucket.

    Attributes:
        rate: Requests per second.
        level: Requests that may be taken now.
        at: Time of the last refill, s (monotonic).
    """
    rate: float
    level: float
    at: float

    def refill(self, now, rate):
        """Adds what has accrued since ``at``; adopts ``rate``.

        The level is kept when the rate changes. Refilling on a change would
        hand out a fresh burst each time an entry joins or leaves (noticed
        as a class over its rate while the VM list flaps).
        """
        self.level += (now - self.at) * self.rate
        self.at = now
        self.rate = rate
        # At most one second's worth, at least one request.
        self.level = min(self.level, max(1.0, rate))

    def wait_s(self):
        """Returns the seconds until one request may be taken."""
        if self.level >= 1.0:
            return 0.0
        return (1.0 - self.level) / self.rate if self.rate > 0 else 60.0


@dataclasses.dataclass
class Shares:
    """This entry's own part of every limit, from membership alone.

    All entries read the same VM list, so each computes its part without a
    message. While the list lags behind a join, the sum of the parts exceeds
    a limit by at most one part per joining entry.

    Attributes:
        entries: Live entries, at least 1.
        rank: This entry's index among them, from 0.
    """
    entries: int = 1
    rank: int = 0

    def rate(self, limit):
        """Returns this entry's part of ``limit`` requests per second."""
        return limit / self.entries

    def concurrency(self, key, limit):
        """Returns this entry's part of ``limit`` requests in flight.

        The remainder of the division goes to entries picked by a hash of
        ``key``, so that the parts add up to the limit and no entry gets the
        remainder of every class. A limit below the number of entries gives
        each entry 1: else some entries would refuse the class for ever.
        """
        base, rest = divmod(limit, self.entries)
        turn = xxhash.xxh32_intdigest(repr(key).encode()) + self.rank
        return max(1, base + (1 if turn % self.entries < rest else 0))


@dataclasses.dataclass
class Usage:
    """What one entry uses of one limit.

    Attributes:
        inflight: Requests admitted and not finished.
        rate: Requests admitted per second, smoothed.
    """
    inflight: float = 0
    rate: float = 0.0


class _Own(Usage):
    """This entry's use of one limit, with its token bucket."""

    def __init__(self, part, now):
        super().__init__()
        self.bucket = Bucket(part, max(1.0, part), now)
        self._at = now

    def decay(self, now):
        """Lets the smoothed rate fall off with time."""
        self.rate *= math.exp((self._at - now) / RATE_WINDOW_S)
        self._at = now

    def take(self):
        """Counts one admitted request."""
        self.bucket.level -= 1.0
        self.inflight += 1
        self.rate += 1.0 / RATE_WINDOW_S


class Limits:
    """Counts what each customer and class uses on this entry.

    Attributes:
        shares: The ``Shares`` in force; membership updates it in place.
        peers: ``key -> Use`` summed over peers with fresh word.
        silent: Peers without fresh word; each counts as using its whole
            part, so that what is not known is not borrowed.
    """

    def __init__(self, shares=None):
        self.shares = shares or Shares()
        self.peer_usage = {}
        self.silent_peers = None
        self._uses = {}

    def admit(self, scopes, now, hint_s):
        """Takes one request from every scope, or from none.

        Args:
            scopes: List of ``(key, rate_per_s, concurrency)``.
            now: Time, s (monotonic).
            hint_s: Retry-after for a concurrency refusal, s.

        Raises:
            errors.RateLimitedError: Some scope is at its limit.
        """
        uses = []
        for key, rate, conc in scopes:
            use = self._uses.get(key)
            if use is None:
                use = _Own(self.shares.rate(rate), now)
                self._uses[key] = use
            use.decay(now)
            use.bucket.refill(now, self._rate(key, use, rate))
            most = self._concurrency(key, use, conc)
            if use.inflight >= most:
                raise errors.RateLimitedError(f'{key}: {most} in flight here',
                                              retry_after=hint_s)
            if use.bucket.level < 1.0:
                raise errors.RateLimitedError(
                    f'{key}: over {use.bucket.rate:.2f}/s here',
                    retry_after=use.bucket.wait_s())
            uses.append(use)
        for use in uses:
            use.take()

    def _silent(self):
        known = self.shares.entries - 1
        return known if self.silent_peers is None else min(
            self.silent_peers, known)

    # Of what all entries together leave unused, each may take its part.
    # When all take theirs at once, the limit is reached and not passed; what
    # peers took since their last word is the only way over it, and the
    # borrower gives way as soon as it is told.

    def _concurrency(self, key, use, limit):
        part = self.shares.concurrency(key, limit)
        others = self.peer_usage.get(key,
                                     Usage()).inflight + self._silent() * part
        spare = max(0, limit - use.inflight - others)
        return max(part, use.inflight + spare // self.shares.entries)

    def _rate(self, key, use, limit):
        part = self.shares.rate(limit)
        others = self.peer_usage.get(key, Usage()).rate + self._silent() * part
        spare = max(0.0, limit - use.rate - others)
        return max(part, use.rate + spare / self.shares.entries)

    def release(self, scopes):
        """Gives back the places in flight taken by ``admit``."""
        for key, _, _ in scopes:
            self._uses[key].inflight -= 1

    def forget(self, live_keys):
        """Drops idle counts of keys the catalogue no longer holds."""
        for key in [k for k in self._uses if k not in live_keys]:
            if self._uses[key].inflight == 0:
                del self._uses[key]

    def inflight(self, key):
        """Returns the requests in flight of ``key`` on this entry."""
        use = self._uses.get(key)
        return use.inflight if use else 0

    def report(self, now):
        """Returns ``[[key, inflight, rate]]`` of limits in use, for peers."""
        out = []
        for key, use in self._uses.items():
            use.decay(now)
            if use.inflight or use.rate > 0.05:
                out.append([list(key), use.inflight, round(use.rate, 2)])
        return out
