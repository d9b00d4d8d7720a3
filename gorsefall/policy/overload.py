"""Load shedding: refuses requests whose responses would be late anyway.

Under overload a queue grows until every request in it is late, and callers give
up on half-finished work. Refusing the least urgent requests before they queue
keeps the others on time.
"""

import collections
import math
import random

from gorsefall.policy import retry_delay

QUEUE_SHARE_OF_TARGET = 0.7
"""Share of its latency target that a request of the least urgent rank may wait
behind others; the rest is for its own prompt."""

LIMIT_GROWTH_PER_RANK = 3.0
"""Factor of that limit for each rank above the least urgent. More urgent
requests are first in the queue of a replica, so that most of its observed
length does not delay them."""

MIN_RANK_SHARE = 0.05
"""Minimum share of the requests for a rank to count: shedding a rank with
hardly any requests would not protect the others."""

MAX_COUNTED_REQUESTS = 512
"""Number of requests after which the counts of all ranks are halved, so that
they follow the traffic. The service with the lowest rate has as many in
20 s."""


class RankStats:
    """The requests of each rank at a service, and their latency targets."""

    def __init__(self):
        self._counts = collections.Counter()
        self._targets_ms = {}

    def record_request(self, rank, target_ms):
        """Records a request of ``rank``; 0 is the most urgent one."""
        self._counts[rank] += 1
        self._targets_ms[rank] = target_ms
        if self._counts.total() > MAX_COUNTED_REQUESTS:
            self._counts = collections.Counter({
                r: n // 2 for r, n in self._counts.items()
            })

    def _below(self, rank):
        """Returns the less urgent ranks that count, the least urgent first."""
        threshold = MIN_RANK_SHARE * self._counts.total()
        return sorted(
            (r for r, n in self._counts.items() if r > rank and n >= threshold),
            reverse=True)

    def is_most_urgent(self, rank):
        """Returns whether no rank that counts is more urgent."""
        threshold = MIN_RANK_SHARE * self._counts.total()
        return not any(
            r < rank and n >= threshold for r, n in self._counts.items())

    def queue_limit_ms(self, rank, target_ms):
        """Returns the longest queue that a request may be put behind, ms.

        It is at least ``LIMIT_GROWTH_PER_RANK`` times the limit of the next
        less urgent rank. If it depended on the own target alone, urgent
        requests with a short target would be refused while a bulk load starts:
        bulk requests of several entries fill a queue to twice their limit,
        although more urgent requests overtake them.

        Args:
            rank: Its rank.
            target_ms: Latency target of its first event, ms; 0 for none.
        """
        if not target_ms:
            return math.inf
        below = self._below(rank)
        longest_ms = max([target_ms, *(self._targets_ms[r] for r in below)])
        return QUEUE_SHARE_OF_TARGET * longest_ms * LIMIT_GROWTH_PER_RANK**len(
            below)


def retry_after_s(choice, limit_ms, rng=random):
    """Returns the retry-after time of a request, s; None if it is not refused.

    Args:
        choice: The ``placement.Choice`` of the best replica for it.
        limit_ms: Longest queue that it may be put behind, ms.
        rng: Random generator that spreads the retries.
    """
    if not choice.target.engine:
        # Plain services refuse requests beyond their capacity themselves.
        return None
    if choice.queue_ms <= limit_ms:
        return None
    return retry_delay.after_queue_s(choice.queue_ms / 1000, rng)
