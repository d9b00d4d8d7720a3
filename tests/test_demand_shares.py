"""Limits that are divided among entries by their demand."""

import types

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.emulator import clock
from gorsefall.policy import announced_limits
from gorsefall.policy import demandshares
from gorsefall.policy import entrystatus
from gorsefall.relay import demands

SERVICE = 's'
HEARTBEAT_S = 0.5
STEP_S = 0.1

_DEMANDS = st.lists(st.one_of(st.none(), st.floats(0, 1000)),
                    min_size=1,
                    max_size=8)


@example([5e-324])
@given(_DEMANDS)
def test_shares_add_up_to_one_and_leave_nobody_out(values):
    """Entries together exceed a limit, or one cannot begin to send."""
    demand = {f'e{i}': value for i, value in enumerate(values)}
    shares = demandshares.shares(demand)
    assert sum(shares.values()) == pytest.approx(1.0)
    assert min(shares.values()) >= demandshares.EQUAL_SHARE / len(values) - 1e-9


class _Entries:
    """Entries that report their demand to each other, late or not at all.

    Attributes:
        trackers: The ``demands.DemandTracker`` of each entry.
    """

    def __init__(self, count):
        self.loop = clock.Loop()
        self._names = [f'e{i}' for i in range(count)]
        self.trackers = [self._tracker(name) for name in self._names]

    def _tracker(self, name):
        others = [n for n in self._names if n != name]
        members = types.SimpleNamespace(name=name,
                                        probable_names=lambda now: others)
        return demands.DemandTracker(members, lambda: self.loop.now)

    def report(self, index, delays):
        """Has an entry report; ``delays`` in s for each, None for lost."""
        status = entrystatus.Status(self._names[index],
                                    1,
                                    1,
                                    demand_per_s=self.trackers[index].report(
                                        [SERVICE]))
        for other, delay in enumerate(delays):
            if other != index and delay is not None:
                self.loop.call_later(
                    delay,
                    lambda o=other: self.trackers[o].handle_status(status))

    def own_shares(self):
        """Returns the share that each entry takes for its own."""
        return [
            t.shares(SERVICE)[name]
            for name, t in zip(self._names, self.trackers, strict=True)
        ]


@given(
    st.lists(st.lists(st.integers(0, 30), min_size=4, max_size=4),
             min_size=1,
             max_size=12), st.randoms(use_true_random=False))
def test_entries_that_hear_of_each_other_in_time_keep_to_the_whole(phases, rng):
    """A limit is exceeded while the demand moves from one entry to another."""
    entries = _Entries(4)
    step = 0
    for arrivals in phases:
        for _ in range(8):
            for tracker, count in zip(entries.trackers, arrivals, strict=True):
                for _ in range(count):
                    tracker.record_arrival(SERVICE)
            if step % 4 == 0:
                for i in range(4):
                    # Each message, or the next one half a second later, arrives
                    # before a rise counts.
                    entries.report(i, [rng.uniform(0, 0.4) for _ in range(4)])
            step += 1
            entries.loop.run(step * STEP_S)
            if step > 12:
                assert sum(entries.own_shares()) <= 1.0 + 1e-9


def test_a_share_follows_the_demand_in_time():
    """An entry that gets most connections refuses requests while what others
    may send stands idle."""
    entries = _Entries(5)
    for step in range(60):
        flooded = step * STEP_S >= 3.0
        for i, tracker in enumerate(entries.trackers):
            for _ in range((11 if i == 0 else 0) if flooded else 2):
                tracker.record_arrival(SERVICE)
            if step % 5 == 0:
                entries.report(i, [0.01] * 5)
        entries.loop.run(step * STEP_S)
    # Nine tenths of the demand, and a fifth of what is divided equally.
    assert entries.own_shares()[0] > 0.7


def test_a_busy_entry_sends_to_all_replicas_of_a_large_deployment():
    """The entry with most requests may not send to most replicas, as few
    entries send to each."""
    shares = {f'e{i}': 0.2 / 194 for i in range(194)} | {'busy': 0.8}
    for replica in ('r1', 'r2', 'r3'):
        own = {
            name: announced_limits.own_share(replica, name, shares, 32.0)
            for name in shares
        }
        assert own['busy'] > 0.7
        assert sum(own.values()) == pytest.approx(1.0)
