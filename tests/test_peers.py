"""Messages between entries: what is read, and what is not believed."""

import time
import types

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import knowledge
from gorsefall.policy import membership
from gorsefall.policy import peerview
from gorsefall.policy import prompts
from gorsefall.relay import messages
from gorsefall.relay import peers

_COUNT = st.integers(0, 1 << 40)
_ROWS = st.dictionaries(st.text(max_size=8),
                        st.builds(membership.InFlight, _COUNT, _COUNT, _COUNT),
                        max_size=5)
_PART = st.builds(prompts.Part, st.text(max_size=8), _COUNT)
_USES = st.lists(st.builds(prompts.Use, st.text(max_size=8),
                           st.lists(_PART, max_size=3).map(tuple)),
                 max_size=3).map(tuple)
_HOSTS = st.lists(st.ip_addresses(v=4).map(str), max_size=6).map(tuple)
_STATUS = st.builds(
    membership.Status, st.text(max_size=8), _COUNT, _COUNT,
    st.dictionaries(st.text(max_size=8), _COUNT, max_size=3), _ROWS, _USES,
    _HOSTS, _COUNT,
    st.lists(st.builds(membership.Response, st.text(max_size=8), st.booleans()),
             max_size=3).map(tuple))


@given(_STATUS)
def test_what_is_said_is_what_is_read(status):
    assert messages.decode(messages.encode(status)) == status


@given(st.binary(max_size=200))
def test_bytes_that_are_no_message(data):
    """Another program's datagrams, or a newer entry's, stop an entry."""
    try:
        messages.decode(data)
    except msgspec.DecodeError:
        pass


def test_negative_counts_are_not_believed():
    """A busy replica looks empty and is flooded."""
    status = membership.Status('a', 1, 1, {},
                               {'r': membership.InFlight(-5, 0, 0)})
    with pytest.raises(msgspec.DecodeError):
        messages.decode(messages.encode(status))


class _Timer:

    def __init__(self, delay_s):
        self.due = time.monotonic() + delay_s

    def cancel(self):
        pass


class _Loop:
    """Timers that never come due."""

    def call_later(self, delay_s, callback):
        return _Timer(delay_s)

    def watch(self, sock, handler, *, read, write):
        pass

    def unwatch(self, sock):
        pass


class _Node:
    """An entry with one replica, and nothing under way."""

    def __init__(self):
        self.loop = _Loop()
        self.replica = knowledge.ReplicaView('r', 'z', slots=8, engine=True)
        self.work = types.SimpleNamespace(
            peer_view=peerview.PeerView('me', {'r': self.replica}.get))

    def status(self, boot, seq, hosts):
        return self.work.peer_view.build_status(boot,
                                                seq, [self.replica],
                                                0.0,
                                                known_hosts=hosts)


@pytest.fixture
def talk():
    found = peers.Peers(_Node(), ('127.0.0.1', 0), [])
    yield found
    found._endpoint.close()


def test_a_flood_of_spoilt_messages_is_logged_once_a_host(talk, capsys):
    for i in range(1000):
        talk._received(b'\xc1', f'10.0.0.{i % 3 + 2}')
    assert capsys.readouterr().out.count('message_unreadable') == 3
    assert talk._node.work.peer_view.members.alone


def test_a_message_tells_of_entries_that_were_not_known(talk):
    hosts = ('10.0.0.9', 'no address', '127.0.0.1')
    status = membership.Status('a', 1, 1, known_hosts=hosts)
    talk._received(messages.encode(status), '10.0.0.2')
    known = talk._node.work.peer_view.members.addresses(0.0)
    assert set(known) == {'10.0.0.2', '10.0.0.9'}


def _hear(talk, count):
    """Has ``count`` other entries speak once."""
    for i in range(count):
        status = membership.Status(f'e{i}', 1, 1, {}, {})
        talk._received(messages.encode(status),
                       f'10.0.{i // 250}.{i % 250 + 2}')


@pytest.mark.parametrize('others', [8, 40, 86, 300])
def test_messages_are_held_to_their_rate_by_any_number_of_entries(talk, others):
    """Entries of a large deployment that spend their time on each other."""
    _hear(talk, others)
    talk._speak()
    assert others / talk.heartbeat_s() <= peers.MAX_MESSAGES_PER_S * 1.25
    assert talk.heartbeat_s() >= talk.min_pause_s()


@pytest.mark.parametrize('others', [8, 40, 86, 300])
def test_nobody_is_taken_for_silent_between_two_heartbeats(talk, others):
    """Entries that fall out of the sums by turns though all speak."""
    _hear(talk, others)
    talk._speak()
    assert (talk._node.work.peer_view.members.silent_after_s
            > 2 * talk.heartbeat_s())


def test_a_replayed_message_tells_no_uses(talk):
    """Prompts believed kept that were pushed out long ago."""
    parts = (prompts.Part('p', 900),)
    status = membership.Status('a',
                               1,
                               1,
                               prompt_uses=(prompts.Use('r', parts),))
    kept = talk._node.replica.prompt_cache
    talk._received(messages.encode(status), '10.0.0.2')
    assert kept.cached_tokens(parts) == 900
    kept.record_use(tuple(prompts.Part(f'q{i}', 20000) for i in range(20)))
    talk._received(messages.encode(status), '10.0.0.2')
    assert kept.cached_tokens(parts) == 0


def test_work_is_told_soon_and_by_one_timer(talk):
    """A change is told when the shortest pause is over, not at the heartbeat,
    and each further change waits for the same message."""
    _hear(talk, 3)
    talk._speak()
    beat = talk._due
    talk.schedule_status()
    soon = talk._due
    assert soon.due < beat.due
    talk.schedule_status()
    assert talk._due is soon


class _Seen(knowledge.ReplicaView):
    """Remembers the answers that were noted of it."""

    def record_response(self, ok):
        self.seen.append(ok)


def _seen():
    target = _Seen(name='r', zone='z', slots=1, engine=False)
    target.error_share = 1.0
    target.seen = []
    return target


@given(
    st.lists(st.tuples(st.booleans(),
                       st.sampled_from(['told', 'twice', 'lost', 'late'])),
             min_size=1,
             max_size=peerview.MAX_RESPONSES))
def test_each_answer_is_noted_once(steps):
    """A sound replica avoided: one failed call told several times."""
    own, theirs = _seen(), _seen()
    teller = peerview.PeerView('teller', {'r': own}.get)
    hearer = peerview.PeerView('hearer', {'r': theirs}.get)
    told = []

    def tell(status):
        hearer.record_status('10.0.0.1', status, 0.0)

    for seq, (ok, fate) in enumerate([*steps, (True, 'told')], 1):
        teller.record_response(own, ok, 0.0)
        status = teller.build_status(1, seq, [own], 0.0)
        if fate != 'lost':
            tell(status)
        if fate == 'twice':
            tell(status)
        if fate == 'late' and told:
            tell(told[0])
        told.append(status)
    assert theirs.seen == own.seen[-len(theirs.seen):]
    assert len(theirs.seen) >= len(steps)
    again = peerview.PeerView('teller', {'r': own}.get)
    again.record_response(own, False, 0.0)
    tell(again.build_status(2, 1, [own], 0.0))
    assert theirs.seen[-1] is False


@pytest.mark.parametrize('others', [20, 300])
def test_many_entries_tell_of_those_that_are_new(talk, others):
    """An entry that starts in a large deployment and hears few for long."""
    members = talk._node.work.peer_view.members
    now = time.monotonic()
    for i in range(others):
        host = f'10.0.{i // 250}.{i % 250 + 2}'
        members.record_status(host, membership.Status(f'e{i}', 1, 1),
                              now - 20.0)
        members.record_status(host, membership.Status(f'e{i}', 1, 2), now)
    assert len(talk._told(members.live_hosts(now), now)) == 1
    members.record_status('10.9.9.9', membership.Status('new', 1, 1), now)
    assert talk._told(members.live_hosts(now), now) == ['10.9.9.9']
