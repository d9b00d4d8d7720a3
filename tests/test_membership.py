"""Membership: what entries have observed of each other, against an oracle."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import entrystatus
from gorsefall.policy import membership

REPLICAS = ('r1', 'r2', 'r3')


def _status(name, started_at_ms=1, seq=1, in_flight=None, **fields):
    in_flight = {
        r: entrystatus.InFlight(n, 10 * n, 0)
        for r, n in (in_flight or {}).items()
    }
    return entrystatus.Status(name, started_at_ms, seq,
                              fields.get('first_attempts', {}), in_flight)


_MESSAGES = st.lists(st.tuples(
    st.sampled_from('abc'), st.integers(1, 3), st.integers(1, 9),
    st.dictionaries(st.sampled_from(REPLICAS), st.integers(1, 9)),
    st.floats(0, 0.9)),
                     max_size=60)


@given(_MESSAGES)
def test_sums_are_those_of_the_last_statuses(messages):
    """Work is counted twice, or work of an earlier process is counted.

    A replica then looks busy for ever, or is flooded. It happens if messages
    arrive out of order or repeatedly, if an entry restarts or goes silent, and
    the sum is not made of each entry's last status. The oracle keeps the newest
    status of each entry and adds up the recent ones.
    """
    members = membership.Members('me')
    last = {}
    now = 0.0
    for host, started_at_ms, seq, in_flight, wait in messages:
        now += wait
        status = _status(host, started_at_ms, seq, in_flight)
        before = last.get(host)
        if before is None:
            new = True
        elif before[0].started_at_ms == started_at_ms:
            new = seq > before[0].seq
        else:
            silent = now - before[1] > membership.SILENCE_TIMEOUT_S
            new = silent or started_at_ms > before[0].started_at_ms
        assert members.record_status(host, status, now) == new
        if new:
            last[host] = (status, now)
        members.expire(now)
        live = [
            s for s, at in last.values()
            if now - at <= membership.SILENCE_TIMEOUT_S
        ]
        assert members.alone == (not live)
        for replica in REPLICAS:
            total = sum(
                s.in_flight.get(replica, entrystatus.NO_REQUESTS).requests
                for s in live)
            assert members.in_flight(replica).requests == total


def test_an_entry_does_not_count_itself():
    """Own work is counted twice: a seed names this VM, or a message returns."""
    members = membership.Members('me')
    assert not members.record_status('h', _status('me', in_flight={'r1': 5}),
                                     0.0)
    assert members.alone and members.in_flight('r1') == entrystatus.NO_REQUESTS


def test_a_suspended_entry_is_left_out_and_returns():
    """Capacity stays unused: a VM is suspended for seconds while its requests
    end at the replicas, and its last status is still counted."""
    members = membership.Members('me')
    members.record_status('h', _status('a', seq=1, in_flight={'r1': 5}), 0.0)
    members.expire(5.0)
    assert members.in_flight('r1') == entrystatus.NO_REQUESTS
    assert not members.record_status(
        'h', _status('a', seq=1, in_flight={'r1': 5}), 5.0)
    assert members.record_status('h', _status('a', seq=2, in_flight={'r1': 1}),
                                 5.1)
    assert members.in_flight('r1').requests == 1


def test_messages_of_an_earlier_process_are_ignored():
    """A delayed message of the process before a restart counts requests that
    no longer exist."""
    members = membership.Members('me')
    members.record_status(
        'h', _status('a', started_at_ms=2, seq=1, in_flight={'r1': 1}), 0.0)
    assert not members.record_status(
        'h', _status('a', started_at_ms=1, seq=99, in_flight={'r1': 9}), 0.1)
    assert members.in_flight('r1').requests == 1


def test_addresses_are_bounded_and_expire():
    """Other entries name many addresses, none of which sends a status."""
    members = membership.Members('me')
    for i in range(5 * membership.MAX_MEMBERS):
        members.add_address(f'10.0.{i // 256}.{i % 256}', 0.0)
    assert len(members.addresses(1.0)) == membership.MAX_MEMBERS
    assert not members.addresses(membership.UNCONFIRMED_ADDRESS_TTL_S + 1.0)


def test_first_attempts_of_silent_entries_count_for_retries():
    """All entries together send too many retries: a network partition separates
    two halves of the entries that both reach the replicas, and each half takes
    itself for all because silent entries are left out of the sum."""
    members = membership.Members('me')
    members.record_status('h', _status('a', first_attempts={'s': 40}), 0.0)
    members.expire(10.0)
    assert members.alone and members.first_attempts('s') == 40
    members.addresses(membership.ADDRESS_TTL_S + 1.0)
    assert members.first_attempts('s') == 0


@given(
    st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 50)),
             max_size=30))
def test_first_attempts_add_up(messages):
    members = membership.Members('me')
    last = {}
    for seq, (host, firsts) in enumerate(messages, 1):
        members.record_status(
            host, _status(host, seq=seq, first_attempts={'s': firsts}), 0.0)
        last[host] = firsts
    assert members.first_attempts('s') == sum(last.values())
