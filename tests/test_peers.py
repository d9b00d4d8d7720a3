"""Messages between entries: what is read, and what is not believed."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import membership
from gorsefall.policy import prompts
from gorsefall.relay import peers

_COUNT = st.integers(0, 1 << 40)
_ROWS = st.dictionaries(st.text(max_size=8),
                        st.builds(membership.Row, _COUNT, _COUNT, _COUNT,
                                  _COUNT),
                        max_size=5)
_PART = st.builds(prompts.Part, st.text(max_size=8), _COUNT)
_USES = st.lists(st.builds(prompts.Use, st.text(max_size=8),
                           st.lists(_PART, max_size=3).map(tuple)),
                 max_size=3).map(tuple)
_STATUS = st.builds(membership.Status, st.text(max_size=8), _COUNT, _COUNT,
                    st.dictionaries(st.text(max_size=8), _COUNT, max_size=3),
                    _ROWS, _USES)


@given(_STATUS, st.lists(st.ip_addresses(v=4).map(str), max_size=6))
def test_what_is_said_is_what_is_read(status, hosts):
    assert peers.decode(peers.encode(status, hosts)) == (status, hosts)


@given(st.binary(max_size=200))
def test_bytes_that_are_no_message(data):
    """Another program's datagrams, or a newer entry's, end as one error."""
    try:
        peers.decode(data)
    except msgspec.DecodeError:
        pass


def test_negative_counts_are_not_believed():
    """Symptom: a busy replica looks empty and is flooded. Sequence: an entry
    at fault tells less than nothing. Cause: any number was believed."""
    status = membership.Status('a', 1, 1, {},
                               {'r': membership.Row(-5, 0, 0, 0)})
    with pytest.raises(msgspec.DecodeError):
        peers.decode(peers.encode(status, []))


class _Loop:
    """Timers that never come due."""

    def later(self, delay_s, callback):
        return None

    def watch(self, sock, handler, *, read, write):
        pass

    def forget(self, sock):
        pass


class _Node:

    class cfg:  # noqa: N801
        name = 'me'

    def __init__(self):
        self.loop = _Loop()
        self.uses = []
        self.work = self
        self.members = membership.Members('me')

    def status(self, boot, seq):
        return membership.Status('me', boot, seq, {}, {})

    def told_uses(self, uses):
        self.uses += uses


@pytest.fixture
def talk():
    found = peers.Peers(_Node(), ('127.0.0.1', 0), [])
    yield found
    found._endpoint.close()


def test_a_flood_of_spoilt_messages_is_logged_once_a_host(talk, capsys):
    for i in range(1000):
        talk._received(b'\xc1', f'10.0.0.{i % 3 + 2}')
    assert capsys.readouterr().out.count('message_unreadable') == 3
    assert talk.members.alone


def test_a_message_tells_of_entries_that_were_not_known(talk):
    status = membership.Status('a', 1, 1, {}, {})
    data = peers.encode(status, ['10.0.0.9', 'no address', '127.0.0.1'])
    talk._received(data, '10.0.0.2')
    assert set(talk.members.addresses(0.0)) >= {'10.0.0.2', '10.0.0.9'}
    assert 'no address' not in talk.members.addresses(0.0)


def test_a_replayed_message_tells_no_uses(talk):
    use = prompts.Use('r', (prompts.Part('p', 900),))
    status = membership.Status('a', 1, 1, {}, {}, (use,))
    for _ in range(3):
        talk._received(peers.encode(status, []), '10.0.0.2')
    assert talk._node.uses == [use]
