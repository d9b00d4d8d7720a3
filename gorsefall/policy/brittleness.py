"""How much an entry may send to replicas that fall over if they are overrun.

A brittle replica falls when it turns too many requests away within a second,
whoever sent them. With hundreds of entries, one request too many from each of
them is enough, and a fall brings the rush to the other replicas. So the places
of all replicas are divided among the entries: as long as each keeps to its own
places, nothing is turned away.
"""

TRUST_S = 10.0
"""Time for which a replica's last word on its brittleness counts, s."""


def own_places(entry, entries, replicas):
    """Returns the places of one entry at the replicas of a service.

    Args:
        entry: The entry's name.
        entries: The names of all entries.
        replicas: ``(id, slots)`` of all replicas.

    Returns:
        ``id -> places``; replicas without a place of the entry are left out.
    """
    names = sorted(entries)
    replicas = sorted(replicas)
    rounds = max((slots for _, slots in replicas), default=0)
    # Consecutive places are at different replicas.
    places = [
        name for i in range(rounds) for name, slots in replicas if i < slots
    ]
    index, count = names.index(entry), len(names)
    first, last = (len(places) * i // count for i in (index, index + 1))
    own = {}
    for name in places[first:last]:
        own[name] = own.get(name, 0) + 1
    return own


class ServiceRoom:
    """The places that one entry may use at the replicas of a service.

    Attributes:
        own: ``id -> places`` of this entry.
    """

    def __init__(self):
        self.own = {}
        self._announced = {}

    def record_announcement(self, replica, rejections_per_s, at):
        """Records what a response says of the replica's brittleness.

        Args:
            replica: The replica's id.
            rejections_per_s: Requests that it may turn away in a second; None
                if it is not brittle.
            at: When its request was sent, s (monotonic): a response may have
                been under way since before the replica changed.
        """
        last_at, _ = self._announced.get(replica, (float('-inf'), None))
        if at >= last_at:
            self._announced[replica] = at, rejections_per_s

    def is_brittle(self, now):
        """Returns whether any replica announced lately that it is brittle."""
        return any(bound is not None and now - at < TRUST_S
                   for at, bound in self._announced.values())

    def forget(self, replicas):
        """Forgets all replicas but those with the given ids."""
        for name in set(self._announced) - set(replicas):
            del self._announced[name]

    def allows(self, replica, outstanding, now):
        """Returns whether a request may be sent to a replica.

        Args:
            replica: The replica's id.
            outstanding: Own requests in flight there.
            now: Time, s (monotonic).
        """
        return (outstanding < self.own.get(replica, 0) or
                not self.is_brittle(now))
