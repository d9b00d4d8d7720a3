"""Rate and concurrency limits, shared by the live entries.

Each entry owns an equal share of every limit and may borrow what its peers do
not use, according to their delayed reports.
"""

import dataclasses
import math

import xxhash

from gorsefall import errors

RATE_WINDOW_S = 1.0
"""Time constant of the smoothing of an entry's own rate, s."""


@dataclasses.dataclass
class Bucket:
    """A token bucket.

    Attributes:
        rate: Requests per second.
        level: Requests that may be taken now.
        refilled_at: Time of the last refill, s (monotonic).
    """
    rate: float
    level: float
    refilled_at: float

    def refill(self, now, rate):
        """Adds the tokens since the last refill and sets a new ``rate``.

        A change of the rate keeps the level. Refilling would allow a new burst
        each time an entry joins or leaves (symptom: a class exceeds its rate
        while the VM list changes back and forth).
        """
        self.level += (now - self.refilled_at) * self.rate
        self.refilled_at = now
        self.rate = rate
        # The tokens of one second at most, but of one request at least.
        self.level = min(self.level, max(1.0, rate))

    def wait_s(self):
        """Returns the seconds until one request may be taken."""
        if self.level >= 1.0:
            return 0.0
        return (1.0 - self.level) / self.rate if self.rate > 0 else 60.0


@dataclasses.dataclass
class Shares:
    """This entry's own share of every limit, from membership alone.

    All entries read the same VM list, so each computes its share without a
    message. While the list lags behind a join, the sum of the shares exceeds a
    limit by at most one share per joining entry.

    Attributes:
        entries: Number of live entries, at least 1.
        rank: This entry's index among them, from 0.
    """
    entries: int = 1
    rank: int = 0

    def rate(self, limit):
        """Returns this entry's share of ``limit`` requests per second."""
        return limit / self.entries

    def concurrency(self, key, limit):
        """Returns this entry's share of ``limit`` requests in flight.

        The remainder of the division goes to entries selected by a hash of
        ``key``, so that the shares add up to the limit and no entry gets the
        remainder of every class. If the limit is below the number of entries,
        each entry gets 1: otherwise some would refuse the class for ever.
        """
        base, rest = divmod(limit, self.entries)
        turn = xxhash.xxh32_intdigest(repr(key).encode()) + self.rank
        return max(1, base + (1 if turn % self.entries < rest else 0))


@dataclasses.dataclass
class Usage:
    """The usage of one limit by one entry.

    Attributes:
        inflight: Admitted requests that are not finished.
        rate: Smoothed number of admitted requests per second.
    """
    inflight: float = 0
    rate: float = 0.0


class _OwnUsage(Usage):
    """The usage of one limit by this entry, with its token bucket."""

    def __init__(self, share, now):
        super().__init__()
        self.bucket = Bucket(share, max(1.0, share), now)
        self._at = now

    def decay(self, now):
        """Decays the smoothed rate to the time ``now``, s (monotonic)."""
        self.rate *= math.exp((self._at - now) / RATE_WINDOW_S)
        self._at = now

    def acquire(self):
        """Counts one admitted request."""
        self.bucket.level -= 1.0
        self.inflight += 1
        self.rate += 1.0 / RATE_WINDOW_S


class Limits:
    """Counts the usage of each customer and class at this entry.

    Attributes:
        shares: The ``Shares`` in force; membership updates it in place.
        peer_usage: ``key -> Usage``, the sum over peers with a recent report.
        silent_peers: Number of peers without a recent report; each counts as
            using its whole share, so that unknown capacity is not borrowed.
    """

    def __init__(self, shares=None):
        self.shares = shares or Shares()
        self.peer_usage = {}
        self.silent_peers = None
        self._usages = {}

    def admit(self, scopes, now, retry_after_s):
        """Admits one request under every scope, or under none.

        Args:
            scopes: List of ``(key, rate_per_s, concurrency)``.
            now: Time, s (monotonic).
            retry_after_s: Retry-after time of a refusal by concurrency, s.

        Raises:
            errors.RateLimitedError: Some scope is at its limit.
        """
        usages = []
        for key, rate, conc in scopes:
            usage = self._usages.get(key)
            if usage is None:
                usage = _OwnUsage(self.shares.rate(rate), now)
                self._usages[key] = usage
            usage.decay(now)
            usage.bucket.refill(now, self._rate(key, usage, rate))
            limit = self._concurrency(key, usage, conc)
            if usage.inflight >= limit:
                raise errors.RateLimitedError(f'{key}: {limit} in flight here',
                                              retry_after=retry_after_s)
            if usage.bucket.level < 1.0:
                raise errors.RateLimitedError(
                    f'{key}: over {usage.bucket.rate:.2f}/s here',
                    retry_after=usage.bucket.wait_s())
            usages.append(usage)
        for usage in usages:
            usage.acquire()

    def _silent_count(self):
        peers = self.shares.entries - 1
        return peers if self.silent_peers is None else min(
            self.silent_peers, peers)

    # Each entry may borrow its share of what all entries leave unused. If all
    # of them do, the limit is reached but not exceeded. Only requests that
    # peers admitted after their last report can exceed it, and the borrower
    # yields as soon as it receives the next report.

    def _concurrency(self, key, usage, limit):
        share = self.shares.concurrency(key, limit)
        others = (self.peer_usage.get(key, Usage()).inflight +
                  self._silent_count() * share)
        spare = max(0, limit - usage.inflight - others)
        return max(share, usage.inflight + spare // self.shares.entries)

    def _rate(self, key, usage, limit):
        share = self.shares.rate(limit)
        others = (self.peer_usage.get(key, Usage()).rate +
                  self._silent_count() * share)
        spare = max(0.0, limit - usage.rate - others)
        return max(share, usage.rate + spare / self.shares.entries)

    def release(self, scopes):
        """Releases the concurrency that ``admit`` acquired."""
        for key, _, _ in scopes:
            self._usages[key].inflight -= 1

    def forget(self, live_keys):
        """Drops idle counts of keys that the catalogue no longer contains."""
        for key in [k for k in self._usages if k not in live_keys]:
            if self._usages[key].inflight == 0:
                del self._usages[key]

    def inflight(self, key):
        """Returns the requests of ``key`` in flight at this entry."""
        usage = self._usages.get(key)
        return usage.inflight if usage else 0

    def report(self, now):
        """Returns ``[[key, inflight, rate]]`` of the used limits, for peers."""
        out = []
        for key, usage in self._usages.items():
            usage.decay(now)
            if usage.inflight or usage.rate > 0.05:
                out.append([list(key), usage.inflight, round(usage.rate, 2)])
        return out
