"""Broken runs of which it is not known yet whether their replica exited."""

import types

from gorsefall.emulator import clock
from gorsefall.relay import undecidedexits


class _Replica:
    """A replica that should run."""

    def __init__(self, name):
        self.record = types.SimpleNamespace(id=name)
        self.exited_at = None
        self.is_leaving = False

    def is_reported_leaving(self, now):
        """See ``replicas.Replica``."""
        del now
        return False


def test_runs_of_one_exit_leave_room_for_those_of_another():
    """A crash under a bad request is never recorded, as hundreds of runs broke
    at a replica that cannot be probed, and each is kept."""
    loop = clock.Loop()
    first, second = _Replica('r0'), _Replica('r1')
    fleet = types.SimpleNamespace(replicas={'r0': first, 'r1': second})
    prober = types.SimpleNamespace(probe=lambda replica, done: None)
    undecided = undecidedexits.UndecidedExits(loop, fleet, prober,
                                              lambda: loop.now)
    found = []
    for _ in range(undecidedexits.MAX_RUNS):
        undecided.add(first, lambda: found.append('r0'))
    undecided.add(second, lambda: found.append('r1'))
    first.exited_at = second.exited_at = 0.1
    loop.run(2.0)
    assert 'r1' in found
    assert len(found) == undecidedexits.MAX_RUNS
