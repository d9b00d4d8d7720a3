"""What entries believe of each other, against the last true words of each."""

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import membership

REPLICAS = ('r1', 'r2', 'r3')


def _status(name, boot=1, seq=1, rows=None, **fields):
    rows = {
        r: membership.InFlight(n, 10 * n, 0) for r, n in (rows or {}).items()
    }
    return membership.Status(name, boot, seq, fields.get('first_attempts', {}),
                             rows)


_WORDS = st.lists(st.tuples(
    st.sampled_from('abc'), st.integers(1, 3), st.integers(1, 9),
    st.dictionaries(st.sampled_from(REPLICAS), st.integers(1, 9)),
    st.floats(0, 0.9)),
                  max_size=60)


@given(_WORDS)
def test_sums_are_those_of_the_last_words(words):
    """Work counted twice, or work of a process that is gone.

    Symptom: a replica looks busy for ever, or is flooded. Sequence: messages
    overtake each other, are repeated, an entry starts again, one falls silent.
    Cause: a sum that was not made of each entry's last words. The oracle keeps
    the newest status of each and adds up those heard within the bound.
    """
    members = membership.Members('me')
    last = {}
    now = 0.0
    for host, boot, seq, rows, wait in words:
        now += wait
        status = _status(host, boot, seq, rows)
        before = last.get(host)
        if before is None:
            new = True
        elif before[0].started_at_ms == boot:
            new = seq > before[0].seq
        else:
            silent = now - before[1] > membership.SILENCE_TIMEOUT_S
            new = silent or boot > before[0].started_at_ms
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
                s.in_flight.get(replica, membership.NO_REQUESTS).requests
                for s in live)
            assert members.in_flight(replica).requests == total


def test_an_entry_does_not_count_itself():
    """Own work counted twice: a seed that names this VM, or an echo."""
    members = membership.Members('me')
    assert not members.record_status('h', _status('me', rows={'r1': 5}), 0.0)
    assert members.alone and members.in_flight('r1') == membership.NO_REQUESTS


def test_a_frozen_entry_is_left_out_and_comes_back():
    """Symptom: room that nobody uses. Sequence: a VM is suspended for seconds
    with requests under way; its replicas end them. Cause: its last words were
    believed for as long."""
    members = membership.Members('me')
    members.record_status('h', _status('a', seq=1, rows={'r1': 5}), 0.0)
    members.expire(5.0)
    assert members.in_flight('r1') == membership.NO_REQUESTS
    assert not members.record_status('h', _status('a', seq=1, rows={'r1': 5}),
                                     5.0)
    assert members.record_status('h', _status('a', seq=2, rows={'r1': 1}), 5.1)
    assert members.in_flight('r1').requests == 1


def test_words_of_the_process_before_are_passed_over():
    """A message of the old process that was long on its way after a restart
    would bring back requests that are gone."""
    members = membership.Members('me')
    members.record_status('h', _status('a', boot=2, seq=1, rows={'r1': 1}), 0.0)
    assert not members.record_status(
        'h', _status('a', boot=1, seq=99, rows={'r1': 9}), 0.1)
    assert members.in_flight('r1').requests == 1


def test_addresses_are_bounded_and_forgotten():
    """A flood of addresses told of, none of which answers."""
    members = membership.Members('me')
    for i in range(5 * membership.MAX_MEMBERS):
        members.add_address(f'10.0.{i // 256}.{i % 256}', 0.0)
    assert len(members.addresses(1.0)) == membership.MAX_MEMBERS
    assert not members.addresses(membership.UNCONFIRMED_ADDRESS_TTL_S + 1.0)


def test_requests_of_the_silent_still_count_for_the_retries():
    """Symptom: more retries than all may send. Sequence: a cut leaves two
    halves of the entries that do not hear each other but reach the replicas;
    each half takes itself for all. Cause: who is silent was left out of the
    sum that an entry's part is worked out from."""
    members = membership.Members('me')
    members.record_status('h', _status('a', first_attempts={'s': 40}), 0.0)
    members.expire(10.0)
    assert members.alone and members.first_attempts('s') == 40
    members.addresses(membership.ADDRESS_TTL_S + 1.0)
    assert members.first_attempts('s') == 0


@given(
    st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 50)),
             max_size=30))
def test_requests_add_up(words):
    members = membership.Members('me')
    last = {}
    for seq, (host, firsts) in enumerate(words, 1):
        members.record_status(
            host, _status(host, seq=seq, first_attempts={'s': firsts}), 0.0)
        last[host] = firsts
    assert members.first_attempts('s') == sum(last.values())
