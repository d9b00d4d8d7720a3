"""What is stored of the services that routes have led to."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefall import errors
from gorsefall.relay import routerecord

_NAMES = st.text(max_size=8)
_HISTORIES = st.dictionaries(_NAMES, st.frozensets(_NAMES, min_size=1))


@given(_HISTORIES, _HISTORIES)
def test_no_service_of_a_route_is_lost(first, second):
    """A stream goes on at a service that its route has led to only since."""
    routes = routerecord.join(routerecord.from_history(first),
                              routerecord.from_history(second))
    routes = routerecord.decode(routerecord.encode(routes))
    for route in {*first, *second}:
        assert routerecord.services_of(
            route, routes) >= {*first.get(route, ()), *second.get(route, ())}


def test_thousands_of_routes_take_a_few_bytes_each():
    """A record of all routes is read with each stream that nobody knows."""
    services = {f'/path/{i}': frozenset({f's{i % 7}'}) for i in range(5000)}
    value = routerecord.encode(routerecord.from_history(services))
    assert len(value) < 5000 * 5


@pytest.mark.parametrize('value', [b'', b'\xff', b'[]', b'\x81\xa1a\x01'])
def test_a_spoilt_record_is_an_error(value):
    """A record that cannot be decoded counts as one without routes."""
    with pytest.raises(errors.UndecodableError):
        routerecord.decode(value)
