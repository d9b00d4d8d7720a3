"""Whether a replica whose connection broke has exited, or its path broke."""

import types

import pytest

import peers
from gorsefall.relay import prober

ALIVE, EXITED, UNKNOWN = (prober.Verdict.ALIVE, prober.Verdict.EXITED,
                          prober.Verdict.UNKNOWN)


class _Paths:
    """Paths of which the test says what they show."""

    def __init__(self, loop, *, detour, checked, elsewhere):
        self._loop = loop
        self._detour = detour
        self._checked = checked
        self._elsewhere = elsewhere
        self.connects = []

    def needs_detour(self, replica):
        return self._detour

    def connect(self, replica, done):

        def on_probed(verdict):
            self.connects.append(verdict is ALIVE)
            done(verdict)

        prober.ConnectProbe(self._loop, replica.record.addr, 0.25, on_probed)

    def check(self, replica, done):
        done(self._checked)

    def probe_elsewhere(self, replica, done):
        done(self._elsewhere)


class _Replica:
    """A replica at an address."""

    def __init__(self, addr):
        status = types.SimpleNamespace(value='ready')
        self.record = types.SimpleNamespace(id='r', addr=addr, status=status)


@pytest.mark.parametrize(('up', 'checked', 'elsewhere', 'verdict'), [
    (True, None, None, ALIVE),
    (False, True, None, EXITED),
    (False, False, ALIVE, ALIVE),
    (False, False, EXITED, EXITED),
    (False, False, None, UNKNOWN),
])
def test_an_entry_without_paths_reports_no_exits(up, checked, elsewhere,
                                                 verdict):
    """Entries whose connections were all reset report their replicas as
    exited, and every other entry avoids sound replicas."""
    peer = peers.ScriptedPeer([])
    if not up:
        peer.close()
    verdicts = []
    with peers.loop() as loop:
        probes = prober.ReplicaProber(loop)
        probes.paths = _Paths(loop,
                              detour=False,
                              checked=checked,
                              elsewhere=elsewhere)
        probes.probe(_Replica(peer.addr), verdicts.append)
        peers.run(loop, lambda: verdicts)
    assert verdicts == [verdict]
    assert probes.paths.connects == [up]
    peer.close()


@pytest.mark.parametrize(('elsewhere', 'verdict'), [(ALIVE, ALIVE),
                                                    (EXITED, EXITED),
                                                    (None, UNKNOWN)])
def test_paths_that_are_lost_are_not_used_for_probes(elsewhere, verdict):
    """A request that crashes replicas is not blamed at an entry without
    paths, or one that does not is."""
    verdicts = []
    with peers.loop() as loop:
        probes = prober.ReplicaProber(loop)
        probes.paths = _Paths(loop,
                              detour=True,
                              checked=None,
                              elsewhere=elsewhere)
        probes.probe(_Replica(('127.0.0.1', 1)), verdicts.append)
    assert verdicts == [verdict]
