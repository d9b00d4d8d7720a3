"""Steps of the feature on connections that go to one entry."""

import itertools
import time
import typing

from behave import given
from behave import then
from behave import when
from steps import paced
from steps import platform_site

import standin
import wire_callers

ENTRY_COUNT = 5
CALLER_THREADS = 64
WARM_UP_S, BEFORE_S, FLOOD_S = 5.0, 3.0, 8.0
"""Time until the entries know what replicas announce; then for which requests
come at all entries, and then most at one, s."""

ADAPTED_S = 3.0
"""Time in which the entries adapt to the flood, s: the platform's bound."""

FLOOD_SHARE = 0.9
"""Share of the requests that come at one entry."""

MIN_SERVED_RATIO = 0.75
"""Least share of requests served at the first attempt in the flood, relative to
the share before."""

BRITTLE_BOUND = 3
"""Requests that a brittle replica may turn away in a second."""

DEADLINE_MS = 1500


class Sent(typing.NamedTuple):
    """A request and the status that its caller got.

    Attributes:
        at: When it was sent, s (monotonic).
        status: The status; None without a connection.
    """
    at: float
    status: int | None


@given('five entries on the platform before {count:d} replicas')
def step_site(context, count):
    context.sites = platform_site.new_sites(context, ENTRY_COUNT, revoke_s=4.0)
    context.platform = context.sites[0]
    for i in range(count):
        context.platform.add(f'p{i}', 'plain')
    context.platform.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)


@given('the replicas announce nothing')
def step_nothing(context):
    del context


@given('the replicas announce {limit:d} requests a second each')
def step_limits(context, limit):
    for replica in context.platform.replicas.values():
        replica.announced_limit = limit


@given('the replicas announce that they are brittle')
def step_brittle(context):
    for replica in context.platform.replicas.values():
        replica.bears_rejections = BRITTLE_BOUND


def _send(site, rid):
    at = time.monotonic()
    try:
        response = wire_callers.send_request(
            site.callers,
            platform_site.PATH_BY_KIND['idempotent'],
            rid,
            body=b'good %s' % rid.encode(),
            deadline_ms=DEADLINE_MS)
    except OSError:
        return Sent(at, None)
    return Sent(at, response.status if response.complete else 0)


@when('{per_s:d} requests per second come at all entries, and then most of '
      'them at one')
def step_flood(context, per_s):
    calls = paced.PacedCalls(CALLER_THREADS)
    entries = itertools.cycle(context.sites)
    numbers = itertools.count()

    def send():
        calls.submit(_send, next(entries), platform_site.new_rid(context))

    def send_in_flood():
        site = (context.sites[0] if next(numbers) % 10 < 10 *
                FLOOD_SHARE else context.sites[1 + next(numbers) %
                                               (ENTRY_COUNT - 1)])
        calls.submit(_send, site, platform_site.new_rid(context))

    calm_s = WARM_UP_S + BEFORE_S
    calls.run([(i / per_s, send) for i in range(round(calm_s * per_s))])
    context.flood_at = time.monotonic()
    calls.run([(i / per_s, send_in_flood) for i in range(round(FLOOD_S * per_s))
              ])
    context.sent = calls.results()


def _served_share(sent):
    assert sent
    return sum(s.status == 200 for s in sent) / len(sent)


@then('requests are served at the first attempt at least three quarters as '
      'often as before')
def step_served(context):
    before = [
        s for s in context.sent
        if context.flood_at - BEFORE_S < s.at < context.flood_at
    ]
    flooded = [s for s in context.sent if s.at > context.flood_at + ADAPTED_S]
    shares = _served_share(before), _served_share(flooded)
    assert shares[1] >= MIN_SERVED_RATIO * shares[0], shares
