"""Room for what an entry holds is divided so that nobody takes another's."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from gorsefall.policy import memoryshares

ROOM = 1000

_OWNERS = st.builds(memoryshares.Owner, st.sampled_from(['s', 't', 'u']),
                    st.sampled_from([None, 'a', 'b', 'c']))
_REQUESTS = st.lists(st.tuples(_OWNERS, st.integers(1, 600), st.booleans()),
                     max_size=40)


def _totals(held):
    """Returns the bytes by service and by account, from all that is held."""
    services, accounts = collections.Counter(), collections.Counter()
    for owner, size in held:
        services[owner.service] += size
        if owner.account is not None:
            accounts[owner.account] += size
    return services, accounts


def _may_hold(held, owner, size, factor):
    """Says whether more may be held; an oracle that knows each piece."""
    free = ROOM - sum(n for _, n in held) - size
    services, accounts = _totals(held)
    own = services[owner.service] + size
    account = accounts[owner.account] + size
    first = not services[owner.service]
    first_of_account = not accounts[owner.account]
    return free >= 0 and (first or own <= free * factor) and (
        owner.account is None or first_of_account or
        account <= free * factor - own)


@given(_REQUESTS, st.randoms(use_true_random=False))
def test_shares_are_those_of_one_who_knows_every_piece(requests, rng):
    """What is released stays counted, or is counted for somebody else."""
    shares, held = memoryshares.MemoryShares(ROOM), []
    for owner, size, small in requests:
        factor = memoryshares.SMALL_FACTOR if small else 1
        fits = shares.fits(owner, size, small=small)
        assert fits == _may_hold(held, owner, size, factor)
        if fits:
            shares.add(owner, size)
            held.append((owner, size))
        if held and rng.random() < 0.4:
            gone = held.pop(rng.randrange(len(held)))
            shares.remove(*gone)
        services, accounts = _totals(held)
        assert shares.held == sum(services.values()) <= ROOM
        assert all(shares.of_service(s) == services[s] for s in 'stu')
        assert all(shares.of_account(a) == accounts[a] for a in 'abc')


def _fill(shares, owner, size):
    while shares.fits(owner, size):
        shares.add(owner, size)


@given(st.integers(1, 60), st.integers(1, 3), st.integers(1, 4))
def test_services_in_trouble_leave_room_for_another(size, troubled, accounts):
    """One service's waiting bodies have requests to another one refused."""
    shares = memoryshares.MemoryShares(ROOM)
    for i in range(troubled):
        for j in range(accounts):
            _fill(shares, memoryshares.Owner(f't{i}', f'a{j}'), size)
    # Each of them leaves free what it holds itself, one after the other.
    assert ROOM - shares.held >= ROOM / 2**troubled - size
    assert shares.fits(memoryshares.Owner('sound', 'b'), size)


@given(st.integers(1, 80))
def test_an_account_leaves_room_for_others_of_its_service(size):
    """One caller's long bodies have those of all others refused."""
    shares = memoryshares.MemoryShares(ROOM)
    _fill(shares, memoryshares.Owner('s', 'a'), size)
    assert shares.fits(memoryshares.Owner('s', 'b'), size)


@given(st.integers(1, 300))
def test_long_bodies_leave_room_for_short_ones_of_their_service(size):
    """Short requests are refused beside a few long ones that wait."""
    shares = memoryshares.MemoryShares(ROOM)
    owner = memoryshares.Owner('s')
    _fill(shares, owner, size)
    assert shares.fits(owner, size // 4, small=True)


def test_nothing_is_held_beyond_the_room():
    """A body larger than all memory is taken, and ends the process."""
    shares = memoryshares.MemoryShares(ROOM)
    assert not shares.fits(memoryshares.Owner('s'), ROOM + 1)
