"""Whether an entry can say that all versions are stored in the store's era.

A store that came back from an older copy lacks what was written since. Its new
era is proven once nothing that it lacks can still have streams.
"""

from gorsefall.relay import versionwitnesses

MAX_ASKS = 3
"""How often all entries are asked after an older copy; messages may be lost."""


class EraProof:
    """What one entry knows of the eras of the store.

    Attributes:
        era: The ``ids.Era`` of the last read; None before.
        witnessed: The origins that other entries knew, a frozenset.
    """

    def __init__(self, loop):
        """Creates the state of an entry that has read nothing.

        Args:
            loop: The ``reactor.Reactor``.
        """
        self._loop = loop
        self.era = None
        self.witnessed = frozenset()
        self._era_since = float('-inf')
        self._proven_era = None
        self._was_written = False
        self._asks_left = 0

    def check_first(self, stored):
        """Returns what was read; an empty topic proves nothing once it was not.

        The store may have come back from a copy older than the first record.

        Args:
            stored: The ``versionrecords.StoredVersions``.
        """
        self._was_written |= stored.end > 0
        if stored.end:
            return stored
        if self._was_written:
            return stored._replace(proven=False, in_era=False)
        # No stream has begun yet.
        self._proven_era = stored.era
        return stored

    def record_era(self, era):
        """Records the era of a read; returns whether it is another one."""
        if era == self.era:
            return False
        self.era, self._era_since = era, self._loop.now
        return True

    def on_store_restored(self):
        """Called when the store came back from an older copy."""
        self._was_written = True
        self._asks_left = MAX_ASKS

    def ask_again(self):
        """Has all entries asked once more: one may have been frozen before."""
        self._asks_left = max(1, self._asks_left)

    def may_ask(self):
        """Returns whether all entries are to be asked."""
        return self._asks_left > 0

    def on_witnessed(self, era, origins):
        """Called with the result of asking all entries.

        Args:
            era: The era of the read before.
            origins: The origins that they know, a set; None if one has ended.
        """
        if origins is None:
            self._asks_left -= 1
            return
        self.witnessed = frozenset(origins)
        self._proven_era = era
        self._asks_left = 0

    def holds(self, era, *, observes):
        """Returns whether this entry knows all that the era may lack.

        A version that others alone have seen, for a moment, may have streams
        for as long as they can be taken up.

        Args:
            era: The era.
            observes: Whether it has seen all versions of that time.
        """
        outlasted_s = self._loop.now - self._era_since
        return self._proven_era == era or (observes and outlasted_s
                                           > versionwitnesses.WINDOW_S)
