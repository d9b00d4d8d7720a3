"""Steps of the feature on replicas that announce a limit."""

import time

from behave import then
from behave import when
from steps import platform_site

import wire_callers

PROPAGATION_S = 3.0
"""Time from the first announcement until the limit is binding, s."""

WINDOW_S = 4.0
LIMIT_FACTOR, EXTRA_REQUESTS = 1.5, 5
"""Excess over the limit that the replica's operators allow in a window."""

LOAD_S = 11.0
PAUSE_S = 0.02
"""Pause between two requests, s: about 40 requests per second."""


def _send_requests(context, for_s):
    """Sends requests to the entries in turn and returns their statuses."""
    end = time.monotonic() + for_s
    statuses = []
    while time.monotonic() < end:
        site = context.sites[len(statuses) % len(context.sites)]
        reply = wire_callers.send_request(
            site.callers,
            platform_site.PATH_BY_KIND['idempotent'],
            platform_site.new_rid(context),
            body=b'good %d' % len(statuses))
        statuses.append(reply.status)
        time.sleep(PAUSE_S)
    return statuses


@when('a replica announces a limit of {limit:d} request per second while '
      'requests arrive at all entries')
def step_limit(context, limit):
    _send_requests(context, 1.0)
    context.replica = next(iter(context.platform.replicas.values()))
    context.limit = context.replica.announced_limit = limit
    context.announced_at = time.monotonic()
    context.statuses = _send_requests(context, LOAD_S)


@then('it receives at most 1.5 times the limit plus five requests in any 4 s')
def step_within_limit(context):
    times = [
        req.at
        for req in context.replica.received_requests
        if req.at > context.announced_at + PROPAGATION_S
    ]
    max_count = max((sum(start <= time_s < start + WINDOW_S
                         for time_s in times)
                     for start in times),
                    default=0)
    assert max_count <= (LIMIT_FACTOR * WINDOW_S * context.limit +
                         EXTRA_REQUESTS), max_count


@then('all requests are served')
def step_served(context):
    assert set(context.statuses) == {200}, context.statuses


@when('it withdraws the limit while requests arrive at all entries')
def step_withdraw(context):
    context.replica.announced_limit = None
    _send_requests(context, PROPAGATION_S)
    context.received_before = len(context.replica.received_requests)
    context.statuses = _send_requests(context, PROPAGATION_S)


@then('it receives its share of the requests again')
def step_share(context):
    share = len(context.statuses) / len(context.platform.replicas)
    received = len(context.replica.received_requests) - context.received_before
    assert received > share / 2, (received, share)
