"""Whether an entry reaches the replicas itself, compared to a simple model."""

import random

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import reachability

NAMES = 'abc'

_STEPS = st.lists(st.tuples(
    st.sampled_from(['failed', 'established', 'reached', 'not reached']),
    st.sampled_from(NAMES), st.floats(0.0, 2.0)),
                  max_size=30)


def _paths(count=3):
    return reachability.ServicePaths(lambda: count)


class _Model:
    """The same conclusions from the whole history of events."""

    def __init__(self):
        self.events = []
        self.lost_at = None

    def _since(self, kind, name=None):
        times = [
            t for t, k, n in self.events if k == kind and name in (None, n)
        ]
        return times[-1] if times else float('-inf')

    def failed(self, now):
        names = set()
        for name in NAMES:
            at = self._since('failed', name)
            cleared = (self._since('established', name) if self.lost_at
                       is not None else self._since('established'))
            if at > max(cleared, now - reachability.EVIDENCE_S):
                names.add(name)
        return names if len(names) >= reachability.SUSPECT_REPLICAS else set()

    def suspects(self, now):
        refuted = now - reachability.REFUTED_S
        return {
            n for n in self.failed(now) if max(refuted, self._since(
                'reached', n)) >= self._since('not reached', n)
        }

    def regained(self):
        return {
            n for n in NAMES if self._since('established', n) > max(
                self.lost_at, self._since('failed', n))
        }

    def record(self, now, kind, name):
        if kind == 'reached' and self.lost_at is None:
            self.events.append((now, kind, name))
            failed_for_s = now - self._since('failed', name)
            if (name in self.suspects(now) and
                    failed_for_s <= reachability.SAME_TIME_S):
                self.lost_at = now
            return
        self.events.append((now, kind, name))
        if (kind == 'established' and self.lost_at is not None and
                len(self.regained()) >= reachability.SUSPECT_REPLICAS):
            self.lost_at = None

    def needs_detour(self, name, now):
        if self.lost_at is not None:
            return name not in self.regained()
        return name in self.suspects(now)


@given(_STEPS)
def test_conclusions_equal_those_from_the_whole_history(steps):
    """An entry goes round by others while it reaches its replicas, or fails
    its callers though others would forward."""
    paths, model, now = _paths(), _Model(), 100.0
    for kind, name, pause_s in steps:
        now += 0.01 + pause_s
        if kind in ('failed', 'established'):
            paths.record_connect(name, kind == 'established', now)
        else:
            paths.record_elsewhere(name, kind == 'reached', now)
        model.record(now, kind, name)
        assert (paths.lost_since is None) == (model.lost_at is None)
        for other in NAMES:
            assert (paths.needs_detour(other,
                                       now) == model.needs_detour(other,
                                                                  now)), (steps,
                                                                          other)


def test_a_replica_that_crashed_costs_no_detour():
    """Crashes of one replica send requests through other entries."""
    paths = _paths()
    paths.record_connect('a', False, 1.0)
    paths.record_connect('a', False, 1.2)
    assert not paths.needs_detour('a', 1.2)
    assert not paths.is_in_doubt(1.2)


def test_replicas_that_nobody_reaches_do_not_make_paths_lost():
    """An entry takes itself for cut off as replicas fail, and stays so."""
    paths = _paths()
    for name in 'ab':
        paths.record_connect(name, False, 1.0)
        paths.record_elsewhere(name, False, 1.1)
    assert paths.lost_since is None
    assert not paths.needs_detour('a', 1.2)
    # Those that were asked may have lost their paths too.
    assert paths.is_in_doubt(1.2)
    assert paths.needs_detour('a', 1.2 + reachability.REFUTED_S)


def test_a_connection_to_another_replica_ends_a_doubt():
    """Two replicas that crash at once make an entry go round by others."""
    paths = _paths()
    paths.record_connect('a', False, 1.0)
    paths.record_connect('b', False, 1.0)
    assert paths.next_to_probe(list(NAMES), 1.0, random) == 'c'
    paths.record_connect('c', True, 1.01)
    assert not paths.is_in_doubt(1.01)


def test_one_failure_is_enough_once_another_service_is_not_reached():
    """Each service loses its callers' time anew, though all paths are gone."""
    paths = reachability.ServicePaths(lambda: 50, lambda: True)
    paths.record_connect('a', False, 1.0)
    assert paths.needs_detour('a', 1.0)


def test_the_only_replica_of_a_service_is_enough():
    """A service with one replica is refused although others reach it."""
    paths = _paths(count=1)
    paths.record_connect('a', False, 1.0)
    assert paths.record_elsewhere('a', True, 1.1)
    assert paths.needs_detour('a', 50.0)
    assert paths.record_connect('a', True, 51.0)
    assert not paths.needs_detour('a', 51.0)
