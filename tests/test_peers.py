"""Messages between entries: encoding, validation and rates."""

import time
import types

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.policy import entrystatus
from gorsefall.policy import knowledge
from gorsefall.policy import peerview
from gorsefall.policy import prompts
from gorsefall.relay import messages
from gorsefall.relay import peers

_COUNT = st.integers(0, 1 << 40)
_ROWS = st.dictionaries(st.text(max_size=8),
                        st.builds(entrystatus.InFlight, _COUNT, _COUNT, _COUNT),
                        max_size=5)
_PART = st.builds(prompts.Part, st.text(max_size=8), _COUNT)
_USES = st.lists(st.builds(prompts.Use, st.text(max_size=8),
                           st.lists(_PART, max_size=3).map(tuple)),
                 max_size=3).map(tuple)
_HOSTS = st.lists(st.ip_addresses(v=4).map(str), max_size=6).map(tuple)
_STATUS = st.builds(
    entrystatus.Status, st.text(max_size=8), _COUNT, _COUNT,
    st.dictionaries(st.text(max_size=8), _COUNT, max_size=3), _ROWS, _USES,
    _HOSTS, _COUNT,
    st.lists(st.builds(entrystatus.Response, st.text(max_size=8),
                       st.booleans()),
             max_size=3).map(tuple))


@given(_STATUS)
def test_a_status_is_unchanged_by_encoding(status):
    assert messages.decode(messages.encode(status)) == status


@given(st.binary(max_size=200))
def test_bytes_that_are_no_message(data):
    """Guards against datagrams of other programs that stop an entry."""
    try:
        messages.decode(data)
    except errors.UndecodableError:
        pass


def test_negative_counts_are_rejected():
    """Guards against a busy replica that seems empty and is overloaded."""
    status = entrystatus.Status('a', 1, 1, {},
                                {'r': entrystatus.InFlight(-5, 0, 0)})
    with pytest.raises(errors.UndecodableError):
        messages.decode(messages.encode(status))


class _Timer:

    def __init__(self, delay_s):
        self.due_at = time.monotonic() + delay_s

    def cancel(self):
        pass


class _Loop:
    """Timers that never fire."""

    def call_later(self, delay_s, callback):
        return _Timer(delay_s)

    def watch(self, sock, handler, *, read, write):
        pass

    def unwatch(self, sock):
        pass


class _Node:
    """An entry with one replica and no requests in flight."""

    def __init__(self):
        self.loop = _Loop()
        self.replica = knowledge.ReplicaView('r', 'z', slots=8, engine=True)
        self.work = types.SimpleNamespace(
            peer_view=peerview.PeerView('me', {'r': self.replica}.get))

    def status(self, started_at_ms, seq, known_hosts):
        return self.work.peer_view.build_status(started_at_ms,
                                                seq, [self.replica],
                                                0.0,
                                                known_hosts=known_hosts)


@pytest.fixture
def entry():
    found = peers.Peers(_Node(), ('127.0.0.1', 0), [])
    yield found
    found._endpoint.close()


def test_a_flood_of_malformed_messages_is_logged_once_a_host(entry, capsys):
    for i in range(1000):
        entry._on_datagram(b'\xc1', f'10.0.0.{i % 3 + 2}')
    assert capsys.readouterr().out.count('message_unreadable') == 3
    assert entry._node.work.peer_view.members.alone


def test_hosts_listed_in_a_message_are_added(entry):
    hosts = ('10.0.0.9', 'no address', '127.0.0.1')
    status = entrystatus.Status('a', 1, 1, known_hosts=hosts)
    entry._on_datagram(messages.encode(status), '10.0.0.2')
    addresses = entry._node.work.peer_view.members.addresses(0.0)
    assert set(addresses) == {'10.0.0.2', '10.0.0.9'}


def _receive_statuses(entry, count):
    """Has ``count`` other entries send one status each."""
    for i in range(count):
        status = entrystatus.Status(f'e{i}', 1, 1, {}, {})
        entry._on_datagram(messages.encode(status),
                           f'10.0.{i // 250}.{i % 250 + 2}')


@pytest.mark.parametrize('others', [8, 40, 86, 300])
def test_the_message_rate_is_limited_for_any_number_of_entries(entry, others):
    """Guards against a large deployment that is busy with its messages."""
    _receive_statuses(entry, others)
    entry._send_status()
    assert others / entry.heartbeat_s() <= peers.MAX_MESSAGES_PER_S * 1.25
    assert entry.heartbeat_s() >= entry.min_pause_s()


@pytest.mark.parametrize('others', [8, 40, 86, 300])
def test_no_entry_is_left_out_between_two_heartbeats(entry, others):
    """Guards against live entries that drop out of the sums in turn."""
    _receive_statuses(entry, others)
    entry._send_status()
    assert (entry._node.work.peer_view.members.silent_after_s
            > 2 * entry.heartbeat_s())


def test_a_status_that_is_too_long_leaves_out_reports(entry):
    """Entries take one for gone that has too much to report."""
    view = entry._node.work.peer_view
    status = entry._node.status(1, 1, ())
    long_status = msgspec.structs.replace(
        status,
        first_attempts={'s': 7},
        responses=(entrystatus.Response('r', False),) * 3000,
        replica_exits=(entrystatus.ReplicaExit('r', 1, 1),) * 3000)
    entry._node.status = lambda started_at_ms, seq, hosts: long_status
    sent = []
    entry._endpoint.send = lambda data, addr: sent.append(data)
    _receive_statuses(entry, 2)
    entry._send_status()
    assert len(sent) == 2 and len(sent[0]) <= peers.MAX_MESSAGE_BYTES
    received = messages.decode(sent[0])
    assert received.first_attempts == {'s': 7}
    assert received.responses_before == 3000
    assert view.members.name == received.name


def test_a_replayed_message_reports_no_prompt_uses(entry):
    """Guards against counting prompts as cached that were evicted since."""
    parts = (prompts.Part('p', 900),)
    status = entrystatus.Status('a',
                                1,
                                1,
                                prompt_uses=(prompts.Use('r', parts),))
    cache = entry._node.replica.prompt_cache
    entry._on_datagram(messages.encode(status), '10.0.0.2')
    assert cache.cached_tokens(parts) == 900
    cache.record_use(tuple(prompts.Part(f'q{i}', 20000) for i in range(20)))
    entry._on_datagram(messages.encode(status), '10.0.0.2')
    assert cache.cached_tokens(parts) == 0


def test_a_change_is_sent_soon_and_by_one_timer(entry):
    """A change is sent after the shortest pause, not at the heartbeat.

    Later changes go out with the same message.
    """
    _receive_statuses(entry, 3)
    entry._send_status()
    heartbeat = entry._timer
    entry.schedule_status()
    earliest = entry._timer
    assert earliest.due_at < heartbeat.due_at
    entry.schedule_status()
    assert entry._timer is earliest


class _RecordingView(knowledge.ReplicaView):
    """Records the responses that were reported for it."""

    def record_response(self, ok):
        self.seen.append(ok)


def _recording_view():
    target = _RecordingView(name='r', zone='z', slots=1, engine=False)
    target.error_share = 1.0
    target.seen = []
    return target


@given(
    st.lists(st.tuples(st.booleans(),
                       st.sampled_from(['ok', 'twice', 'lost', 'late'])),
             min_size=1,
             max_size=peerview.MAX_RESPONSES))
def test_each_response_is_recorded_once(steps):
    """Guards against avoiding a healthy replica after one failed call.

    That happens if the call is counted each time that it is reported.
    """
    own, theirs = _recording_view(), _recording_view()
    sender = peerview.PeerView('sender', {'r': own}.get)
    receiver = peerview.PeerView('receiver', {'r': theirs}.get)
    sent = []

    def deliver(status):
        receiver.record_status('10.0.0.1', status, 0.0)

    for seq, (ok, outcome) in enumerate([*steps, (True, 'ok')], 1):
        sender.record_response(own, ok, 0.0)
        status = sender.build_status(1, seq, [own], 0.0)
        if outcome != 'lost':
            deliver(status)
        if outcome == 'twice':
            deliver(status)
        if outcome == 'late' and sent:
            deliver(sent[0])
        sent.append(status)
    assert theirs.seen == own.seen[-len(theirs.seen):]
    assert len(theirs.seen) >= len(steps)
    again = peerview.PeerView('sender', {'r': own}.get)
    again.record_response(own, False, 0.0)
    deliver(again.build_status(2, 1, [own], 0.0))
    assert theirs.seen[-1] is False


@pytest.mark.parametrize('others', [20, 300])
def test_many_entries_list_the_hosts_of_new_ones(entry, others):
    """Guards against slow discovery when an entry joins many others."""
    members = entry._node.work.peer_view.members
    now = time.monotonic()
    for i in range(others):
        host = f'10.0.{i // 250}.{i % 250 + 2}'
        members.record_status(host, entrystatus.Status(f'e{i}', 1, 1),
                              now - 20.0)
        members.record_status(host, entrystatus.Status(f'e{i}', 1, 2), now)
    assert len(entry._choose_hosts(members.live_hosts(now), now)) == 1
    members.record_status('10.9.9.9', entrystatus.Status('new', 1, 1), now)
    assert entry._choose_hosts(members.live_hosts(now), now) == ['10.9.9.9']
