"""Checks of an entry's own paths, and questions to other entries."""

import time
import types

import pytest

import peers
from gorsefall.policy import entrystatus
from gorsefall.relay import paths
from gorsefall.relay import prober


class _Replica:
    """A replica at an address."""

    def __init__(self, name, addr):
        self.record = types.SimpleNamespace(id=name, addr=addr, service='s')
        self.exited_at = None


class _Node:
    """An entry with replicas and other entries."""

    def __init__(self, loop, replicas, hosts=()):
        self.loop = loop
        self.cfg = types.SimpleNamespace(peers='', zone='z')
        self.fleet = types.SimpleNamespace(
            replicas={r.record.id: r for r in replicas},
            of_service=lambda service: replicas)
        statuses = [(h, entrystatus.Status(h, 1, 1, zone='z')) for h in hosts]
        members = types.SimpleNamespace(live_statuses=lambda now: statuses)
        self.work = types.SimpleNamespace(peer_view=types.SimpleNamespace(
            members=members))

    def on_paths_changed(self):
        pass


class _Client:
    """Other entries, of which all but one have no verdict."""

    def __init__(self, knowing, observer):
        self._knowing = knowing
        self._observer = observer
        self.asked = []

    def probe(self, host, replica, done):
        self.asked.append(host)
        if host == self._knowing:
            done(prober.Verdict.EXITED.value)
            return
        self._observer.record_no_forwarding(replica, host, 'no path')
        done(None)


@pytest.mark.parametrize(('up', 'reached'), [(1, True), (0, False)])
def test_replicas_that_failed_together_do_not_look_like_a_lost_path(
        up, reached):
    """A request that crashes replicas runs on, as the one replica that an
    entry checks its paths with has crashed too."""
    servers = [peers.ScriptedPeer([]) for _ in range(3)]
    for server in servers[up:]:
        server.close()
    replicas = [_Replica(f'r{i}', s.addr) for i, s in enumerate(servers)]
    exited = _Replica('x', ('127.0.0.1', 1))
    results = []
    with peers.loop() as loop:
        own = paths.Paths(_Node(loop, [*replicas, exited]))
        own.check(exited, results.append)
        peers.run(loop, lambda: results)
    assert results == [reached]
    for server in servers:
        server.close()


def test_another_entry_is_asked_if_the_first_ones_cannot_tell():
    """The exit of a replica stays unknown as entries without paths of their
    own are asked about it."""
    with peers.loop() as loop:
        node = _Node(loop, [], ('a', 'b', 'c'))
        own = paths.Paths(node)
        own._client = client = _Client('c', own)
        verdicts = []
        own.probe_elsewhere(_Replica('x', ('127.0.0.1', 1)), verdicts.append)
    assert verdicts == [prober.Verdict.EXITED]
    assert client.asked[-1] == 'c'


def test_replicas_that_refuse_connections_are_probed_with_pauses():
    """An entry spends its processor on connecting, as each failed probe has the
    next one follow at once."""
    servers = [peers.ScriptedPeer([]) for _ in range(2)]
    for server in servers:
        server.close()
    replicas = [_Replica(f'r{i}', s.addr) for i, s in enumerate(servers)]
    with peers.loop() as loop:
        own = paths.Paths(_Node(loop, replicas))
        probed = []
        connect = own.connect
        own.connect = lambda replica, done: (probed.append(replica),
                                             connect(replica, done))
        for replica in replicas:
            own.record_connect(replica, False)
        end = time.monotonic() + 4 * paths.PROBE_PAUSE_S
        peers.run(loop, lambda: time.monotonic() > end)
    assert 2 <= len(probed) <= 1 + 4 / paths.PAUSE_JITTER[0]
