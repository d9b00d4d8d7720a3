"""Which requests are refused at once, because they would only come late.

Under more demand than the replicas can bear a queue grows until everybody
in it is late, and callers give up on work that is half done. What can still
come on time is kept by refusing the least urgent before they queue.
"""

import collections
import math
import random

from gorsefall.policy import retry_delay

QUEUE_SHARE_OF_TARGET = 0.7
"""Part of its target that a request of the least urgent rank may spend behind
others; the rest is for its own prompt."""

LIMIT_GROWTH_PER_RANK = 3.0
"""How many times longer that may be for each rank above the least urgent: who
is more urgent goes first in a replica's queue, so what is known of its length
is hardly theirs."""

MIN_RANK_SHARE = 0.05
"""Part of the requests that a rank must have to count as one: a rank that
nobody asks for leaves nothing to be refused before the others."""

MAX_COUNTED_REQUESTS = 512
"""Requests after which the counts of ranks are halved, so that they follow
the traffic; the least of our load sheets' rates brings as many in 20 s."""


class RankStats:
    """How often each rank is asked for at a service, and for which target."""

    def __init__(self):
        self._counts = collections.Counter()
        self._targets_ms = {}

    def record_request(self, rank, target_ms):
        """Notes a request of ``rank``, 0 the most urgent."""
        self._counts[rank] += 1
        self._targets_ms[rank] = target_ms
        if self._counts.total() > MAX_COUNTED_REQUESTS:
            self._counts = collections.Counter({
                r: n // 2 for r, n in self._counts.items()
            })

    def _below(self, rank):
        """Returns the less urgent ranks in use, the least urgent first."""
        least = MIN_RANK_SHARE * self._counts.total()
        return sorted(
            (r for r, n in self._counts.items() if r > rank and n >= least),
            reverse=True)

    def is_most_urgent(self, rank):
        """Returns whether no rank in use is more urgent."""
        least = MIN_RANK_SHARE * self._counts.total()
        return not any(r < rank and n >= least for r, n in self._counts.items())

    def queue_limit_ms(self, rank, target_ms):
        """Returns the longest queue a request may be put behind, ms.

        ``GROWTH`` times what the next less urgent rank bears, at least. With
        limits from their own targets alone, those with a short one were
        refused while bulk began: bulk of several entries at once fills a
        queue to twice its own limit, and the more urgent overtake it anyway.

        Args:
            rank: Its rank.
            target_ms: Target for its first event, ms; 0 for none.
        """
        if not target_ms:
            return math.inf
        below = self._below(rank)
        longest_ms = max([target_ms, *(self._targets_ms[r] for r in below)])
        return QUEUE_SHARE_OF_TARGET * longest_ms * LIMIT_GROWTH_PER_RANK**len(
            below)


def retry_after_s(choice, limit_ms, rng=random):
    """Returns after how long a request had better return, s, or None.

    Args:
        choice: The ``placement.Choice`` for it: the best there is.
        limit_ms: Longest queue it may be put behind, ms.
        rng: Source of the spread.
    """
    if not choice.target.engine:
        # Plain services turn away what they have no room for themselves.
        return None
    if choice.queue_ms <= limit_ms:
        return None
    return retry_delay.after_queue_s(choice.queue_ms / 1000, rng)
