"""Places at brittle replicas that entries lend to each other."""

import types

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.emulator import clock
from gorsefall.policy import entrystatus
from gorsefall.policy import placeloans
from gorsefall.relay import brittlereplicas

SERVICE = 's'
SLOTS, REPLICAS = 8, 3
STEP_S = 0.25


class _Entries:
    """Entries that tell each other what they want and lend.

    Attributes:
        trackers: The ``brittlereplicas.BrittleTracker`` of each entry.
    """

    def __init__(self, count):
        self.loop = clock.Loop()
        self.names = [f'e{i}' for i in range(count)]
        self.outstanding = [[0] * REPLICAS for _ in self.names]
        self.trackers = []
        for i, name in enumerate(self.names):
            replicas = {
                f'r{k}': _replica(f'r{k}', self.outstanding[i], k)
                for k in range(REPLICAS)
            }
            fleet = types.SimpleNamespace(
                replicas=replicas,
                of_service=lambda service, r=replicas: list(r.values()))
            others = [n for n in self.names if n != name]
            members = types.SimpleNamespace(
                name=name, probable_names=lambda now, o=others: o)
            tracker = brittlereplicas.BrittleTracker(self.loop, fleet, members)
            for replica in replicas.values():
                tracker.record_response(replica, 3, 0.0)
            self.trackers.append(tracker)

    def tell(self, index, delays):
        """Has an entry send its status; a delay is in s, None for lost."""
        tracker = self.trackers[index]
        status = entrystatus.Status(self.names[index],
                                    1,
                                    1,
                                    wanted_places=tracker.wanted_places(),
                                    place_loans=tracker.grant_loans())
        for other, delay in enumerate(delays):
            if other != index and delay is not None:
                self.loop.call_later(
                    delay,
                    lambda o=other: self.trackers[o].handle_status(status))

    def places(self, index, number):
        """Returns how many requests an entry may have at a replica."""
        tracker = self.trackers[index]
        replica = tracker._fleet.replicas[f'r{number}']
        before = self.outstanding[index][number]
        found = 0
        for found in range(SLOTS + 1):
            self.outstanding[index][number] = found
            if not tracker.allows(replica):
                break
        self.outstanding[index][number] = before
        return found


def _replica(name, outstanding, number):

    class View:
        """The requests in flight of one entry at the replica."""

        @property
        def outstanding(self):
            """See ``knowledge.ReplicaView``."""
            return outstanding[number]

    return types.SimpleNamespace(record=types.SimpleNamespace(id=name,
                                                              service=SERVICE,
                                                              slots=SLOTS),
                                 view=View(),
                                 is_leaving=False,
                                 exited_at=None)


_DELAYS = st.one_of(st.none(), st.floats(0, placeloans.RETURN_MARGIN_S - 0.01))


@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 12),
                       st.lists(_DELAYS, min_size=3, max_size=3)),
             max_size=25))
def test_loans_use_no_place_twice(steps):
    """A brittle replica falls, as an entry uses a place that another one has
    lent it and taken back."""
    entries = _Entries(3)
    arrived = [[0.0] * 3 for _ in range(3)]
    for index, unserved, delays in steps:
        for _ in range(unserved):
            entries.trackers[index].record_unserved(SERVICE)
        now = entries.loop.now
        for other, delay in enumerate(delays):
            if delay is not None:
                # Later messages of an entry do not overtake earlier ones.
                at = max(now + delay, arrived[index][other])
                arrived[index][other] = at
                delays[other] = at - now
        entries.tell(index, delays)
        entries.loop.run(now + STEP_S)
        for tracker in entries.trackers:
            for loans in tracker._services.values():
                loans.room.record_announcement('r0', 3, entries.loop.now)
        for number in range(REPLICAS):
            used = sum(
                _allowance(t, f'r{number}', entries.loop.now)
                for t in entries.trackers)
            assert used <= SLOTS


def _allowance(tracker, replica, now):
    places = tracker._services[SERVICE]
    return (places.room.own.get(replica, 0) +
            places.loans.borrowed(replica, now) -
            places.loans.lent(replica, now))


def test_an_entry_that_gets_most_requests_uses_idle_places():
    """An entry refuses requests while places of others are free."""
    entries = _Entries(4)
    own = sum(entries.places(0, k) for k in range(REPLICAS))
    for _ in range(12):
        for _ in range(6):
            entries.trackers[0].record_unserved(SERVICE)
        for k in range(REPLICAS):
            entries.outstanding[0][k] = entries.places(0, k)
        for i in range(4):
            entries.tell(i, [0.01] * 4)
        entries.loop.run(entries.loop.now + STEP_S)
    found = sum(entries.places(0, k) for k in range(REPLICAS))
    assert found >= 3 * own
    left = [
        sum(entries.places(i, k) for k in range(REPLICAS)) for i in range(1, 4)
    ]
    assert min(left) >= placeloans.RESERVED_PLACES


def test_places_that_are_needed_again_come_back():
    """An entry that has lent its places refuses its own requests for good."""
    loans = placeloans.Loans()
    assert loans.grant({'r0': 3}, {'x': 3},
                       0.0) == (placeloans.Loan('x', 'r0', 3),)
    assert loans.lent('r0', 1.0) == 3
    assert loans.grant({'r0': -2}, {'x': 3},
                       1.0) == (placeloans.Loan('x', 'r0', 1),)
    end = placeloans.LOAN_S + placeloans.RETURN_MARGIN_S
    assert loans.lent('r0', end - 0.1) == 3
    assert loans.lent('r0', end + 0.1) == 1
