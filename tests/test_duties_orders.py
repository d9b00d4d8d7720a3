"""Which orders are sent, and which wait."""

import types

from gorsefall.duties import claims
from gorsefall.duties import demand
from gorsefall.duties import kinds
from gorsefall.duties import orders
from gorsefall.duties import scaling
from gorsefall.relay import model

TERMS = model.Scaling(min=1,
                      max=20,
                      boot_s=4.0,
                      spot_price=0.15,
                      zone_prices={'z1': 1.0})
SPOT = kinds.Pool('s', 'z1', True)
REGULAR = kinds.Pool('s', 'z1', False)


class _Holder:
    """A scaler, and the orders that it sends with each claim."""

    def __init__(self):
        service = model.Service(name='s', max_connections=60, scaling=TERMS)
        self.loop = types.SimpleNamespace(now=0.0)
        node = types.SimpleNamespace(
            loop=self.loop,
            table=types.SimpleNamespace(services={'s': service}),
            fleet=types.SimpleNamespace(of_service=lambda name: []))
        self.scaler = orders.Scaler(node, scaling.Tuning(),
                                    demand.DemandTracker())
        self.claim = claims.Claim()

    def due(self, changes=None):
        """Returns ``pool -> count`` of what is sent after some changes."""
        self.claim = self.claim.with_orders(changes or {})
        return {o.pool: o.count for o in self.scaler.undelivered(self.claim)}

    def answer(self, answer):
        for order in self.scaler.undelivered(self.claim):
            self.scaler.record_answer(order, answer)


def test_an_order_is_sent_until_it_is_accepted():
    """An order whose answer was lost is never carried out."""
    holder = _Holder()
    assert holder.due({SPOT: 5}) == {SPOT: 5}
    holder.answer(kinds.Answer.UNKNOWN)
    assert holder.due() == {SPOT: 5}
    holder.answer(kinds.Answer.ACCEPTED)
    assert holder.due() == {}


def test_a_higher_order_waits_for_the_lower_one_of_the_zone():
    """Both together exceed the maximum for a moment, and one is rejected."""
    holder = _Holder()
    holder.due({SPOT: 20, REGULAR: 0})
    holder.answer(kinds.Answer.ACCEPTED)
    assert holder.due({SPOT: 15, REGULAR: 5}) == {SPOT: 15}
    holder.answer(kinds.Answer.ACCEPTED)
    assert holder.due() == {REGULAR: 5}


def test_orders_of_a_service_that_is_gone_are_not_sent():
    """The platform rejects them for ever, and the duties pass round."""
    holder = _Holder()
    assert holder.due({kinds.Pool('gone', 'z1', True): 5}) == {}
    assert holder.due({kinds.Pool('s', 'gone', True): 5}) == {}


def test_a_rejected_order_is_not_repeated_at_once():
    """An order that the platform does not understand is sent without end."""
    holder = _Holder()
    holder.due({SPOT: 5})
    holder.answer(kinds.Answer.REJECTED)
    assert holder.due() == {}
    holder.loop.now += scaling.UNAVAILABLE_S + 0.1
    assert holder.due() == {SPOT: 5}


def test_a_new_holder_repeats_all_orders():
    """An order of the last holder was not carried out when it ended."""
    holder = _Holder()
    holder.due({SPOT: 5})
    holder.answer(kinds.Answer.ACCEPTED)
    holder.scaler.reset()
    assert holder.due() == {SPOT: 5}
