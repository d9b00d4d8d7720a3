"""Rate and concurrency limits, split over the live entries without messages."""

import dataclasses

import xxhash

from gorsefall import errors


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

    @property
    def burst(self):
        """Most requests the bucket holds: one second's worth, at least 1."""
        return max(1.0, self.rate)

    def refill(self, now, rate):
        """Adds what has accrued since ``at``; adopts ``rate``.

        The level is kept when the rate changes. Refilling on a change would
        hand out a fresh burst each time an entry joins or leaves (noticed
        as a class over its rate while the VM list flaps).
        """
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        self.rate = rate
        self.level = min(self.level, self.burst)

    def wait_s(self):
        """Returns the seconds until one request may be taken."""
        if self.level >= 1.0:
            return 0.0
        return (1.0 - self.level) / self.rate if self.rate > 0 else 60.0


@dataclasses.dataclass
class Shares:
    """This entry's part of every limit, from membership alone.

    All entries read the same VM list, so each computes its own share and no
    two exchange a message. While the list lags behind a join, the sum of
    shares exceeds a limit by at most one share per joining entry.

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
class _Use:
    bucket: Bucket
    inflight: int = 0


class Limits:
    """Counts what each customer and class uses on this entry.

    Attributes:
        shares: The ``Shares`` in force; membership updates it in place.
    """

    def __init__(self, shares=None):
        self.shares = shares or Shares()
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
            part = self.shares.rate(rate)
            use = self._uses.get(key)
            if use is None:
                use = _Use(Bucket(part, max(1.0, part), now))
                self._uses[key] = use
            use.bucket.refill(now, part)
            most = self.shares.concurrency(key, conc)
            if use.inflight >= most:
                raise errors.RateLimitedError(f'{key}: {most} in flight here',
                                              retry_after=hint_s)
            if use.bucket.level < 1.0:
                raise errors.RateLimitedError(f'{key}: over {part:.2f}/s here',
                                              retry_after=use.bucket.wait_s())
            uses.append(use)
        for use in uses:
            use.bucket.level -= 1.0
            use.inflight += 1

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
