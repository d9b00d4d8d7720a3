"""Own reads of the store before what other entries told is too old to use.

Entries that read for others may all have lost the store while this one reaches
it. How old their responses become depends on them; a promise on how soon a
change is in force depends only on the age of what is used.
"""

import functools

from gorsefall import metrics

READ_S = 0.2
"""Time left for an own read before its topic is too old, s: the store responds
in 4 ms."""

SPREAD_SHARE = 0.5
"""Part of the time from a sound reader's greatest age to the last moment over
which entries spread these reads: all of them notice at once that readers
fail."""

RESPONSE_S = 0.1
"""Time left for another entry's response before these reads, s."""

READER_MARGIN_S = 0.05
"""Time by which the confirmation of a sound reader may be late, s."""

MIN_WAIT_S = 0.01
"""Shortest time between two looks at an age, s."""


class OwnReads:
    """Watches the age of the topics that other entries tell.

    At first the other entries are queried once more, as a sound reader has a
    newer confirmation by then.
    """

    def __init__(self, loop, rng, *, query, query_overdue, retry_pause_s,
                 on_read):
        """Creates the watch without topics.

        Args:
            loop: The ``reactor.Reactor``.
            rng: A ``random.Random``.
            query: Queries other entries.
            query_overdue: The same while this entry reads by itself, and its
                reads are not answered.
            retry_pause_s: Returns the pause after an own read that brought no
                confirmation, s.
            on_read: Called before each own read.
        """
        self._loop = loop
        self._rng = rng
        self._query = query
        self._query_overdue = query_overdue
        self._retry_pause_s = retry_pause_s
        self._on_read = on_read
        self._topics = ()

    def watch(self, topics):
        """Watches these ``sharing.FollowedTopic`` objects and no others."""
        self._topics = tuple(topics)
        for followed in self._topics:
            self._await_age(followed, self._query_age_s(followed),
                            self._query_once)

    @staticmethod
    def _sound_age_s(followed):
        """Returns the age up to which sound readers tell a topic, s."""
        return followed.shared.max_confirmation_age_s + READER_MARGIN_S

    def _spread_s(self, followed):
        """Returns the time over which entries spread their own reads, s."""
        left_s = (followed.bound_s - READ_S - RESPONSE_S -
                  self._sound_age_s(followed))
        return max(0.0, left_s * SPREAD_SHARE)

    def _query_age_s(self, followed):
        """Returns the age at which other entries are queried again, s."""
        return max(
            followed.bound_s - READ_S - RESPONSE_S - self._spread_s(followed),
            self._sound_age_s(followed))

    def _await_age(self, followed, age_s, then):
        wait_s = max(MIN_WAIT_S, age_s - followed.follower.age_s())
        self._loop.call_later(
            wait_s, functools.partial(self._check, followed, age_s, then))

    def _check(self, followed, age_s, then):
        if followed not in self._topics:
            return
        if followed.follower.age_s() < age_s - MIN_WAIT_S:
            self._await_age(followed, self._query_age_s(followed),
                            self._query_once)
        elif followed.follower.continuous or not followed.follower.has_snapshot:
            # It reads by itself for now.
            if self._is_overdue(followed):
                self._query_overdue()
            self._loop.call_later(
                RESPONSE_S, functools.partial(self._check, followed, age_s,
                                              then))
        else:
            then(followed)

    @staticmethod
    def _is_overdue(followed):
        """Returns whether own reads should have confirmed a topic since."""
        follower = followed.follower
        return (follower.has_snapshot and follower.age_s()
                > follower.pace.max_confirmation_age_s + READER_MARGIN_S)

    def _query_once(self, followed):
        self._query()
        self._await_age(
            followed,
            self._query_age_s(followed) + RESPONSE_S +
            self._rng.uniform(0.0, self._spread_s(followed)), self._read)

    def _read(self, followed):
        metrics.PEER_READS.labels('read').inc()
        self._on_read()
        followed.follower.read_once()
        self._loop.call_later(
            self._retry_pause_s(),
            functools.partial(self._check, followed,
                              self._query_age_s(followed), self._read))
