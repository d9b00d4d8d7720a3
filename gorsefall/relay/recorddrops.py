"""Decides when the records of versions and routes are dropped.

An entry drops only what it has missed for long: its view may be older than that
of others, which have just written the record. The record of a version is first
marked. Whoever is about to begin a stream at a marked version writes its record
again, which shows to the entry that marked it.
"""

from gorsefall.relay import routerecord
from gorsefall.relay import versionrecords

MARKED_S = 10.0
"""Time between the mark of a version and its drop, s: views are older than one
another by 3 s at most."""

ROUTE_AGE_S = 30.0
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

    def due_records(self, stored, origins, now):
        """Returns the ``topic.NewRecord`` objects of versions to be written.

        Args:
            stored: The ``versionrecords.StoredVersions``.
            origins: The origins that have served of late.
            now: Time, s (monotonic).
        """
        _note(self._marked_at, stored.leaving, now)
        gone = stored.origins - origins
        unmarked = gone - stored.leaving
        if unmarked:
            return [
                versionrecords.encode(o, leaving=True) for o in sorted(unmarked)
            ]
        return [
            versionrecords.encode_drop(o)
            for o in sorted(gone)
            if now - self._marked_at[o] >= MARKED_S
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
            if now - at >= ROUTE_AGE_S
        }


def _note(since, seen, now):
    """Updates since when each item of ``seen`` has been seen, s."""
    for item in since.keys() - seen:
        del since[item]
    for item in seen:
        since.setdefault(item, now)
