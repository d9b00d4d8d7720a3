"""Decides when the records of versions and routes are dropped.

An entry drops only what it has missed for long: its view may be older than that
of others, which have just written the record. The record of a version is marked
before. Whoever is about to begin a stream at a version that has come back reads
the mark and writes the record again, so that it is not dropped.
"""

from gorsefall.policy import softwareversions
from gorsefall.relay import routerecord
from gorsefall.relay import versionrecords

MAX_VIEW_AGE_S = softwareversions.MAX_GAP_S
"""Longest time by which one entry sees later than others, s."""

MARK_AFTER_S = 8.0
"""Time without replicas after which a version is marked, s."""

MARKED_S = 8.0
"""Time between the mark of a version and its drop, s."""

LEFT_S = softwareversions.SERVED_WINDOW_S + 2 * MAX_VIEW_AGE_S
"""Time without replicas after which a version is dropped, s: no entry still
counts it as serving, so that it is read again if it comes back."""

ROUTE_MISSED_S = 8.0
"""Time for which a stored route is missed before it is dropped, s."""


class RecordDrops:
    """What one entry has missed among the records, and since when."""

    def __init__(self):
        """Creates the state of an entry that has missed nothing."""
        self._marked_at = {}
        self._missed_at = {}

    def reset(self):
        """Forgets everything, as another entry drops records."""
        self._marked_at.clear()
        self._missed_at.clear()

    def due_records(self, stored, versions, now):
        """Returns the ``topic.NewRecord`` objects of versions to be written.

        Args:
            stored: The ``versionrecords.StoredVersions``.
            versions: The ``softwareversions.VersionHistory``.
            now: Time, s (monotonic).
        """
        _note(self._marked_at, stored.leaving, now)
        unmarked = [
            o for o in sorted(stored.origins - stored.leaving)
            if versions.left_for_s(o, now) >= MARK_AFTER_S
        ]
        if unmarked:
            return [versionrecords.encode(o, leaving=True) for o in unmarked]
        return [
            versionrecords.encode_drop(o)
            for o in sorted(stored.leaving)
            if now - self._marked_at[o] >= MARKED_S and
            versions.left_for_s(o, now) >= LEFT_S
        ]

    def due_routes(self, stored, routes, now):
        """Returns the routes that are to be dropped from their record.

        Args:
            stored: The ``versionrecords.StoredVersions``.
            routes: The mapping of this entry, see ``routerecord``.
            now: Time, s (monotonic).

        Returns:
            A set, see ``routerecord.pairs``.
        """
        missed = routerecord.pairs(stored.routes) - routerecord.pairs(routes)
        _note(self._missed_at, missed, now)
        return {
            pair for pair, at in self._missed_at.items()
            if now - at >= ROUTE_MISSED_S
        }


def _note(since, seen, now):
    """Updates since when each item of ``seen`` has been seen, s."""
    for item in since.keys() - seen:
        del since[item]
    for item in seen:
        since.setdefault(item, now)
