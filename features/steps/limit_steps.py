"""Steps of the feature on replicas that name a limit."""

import time

from behave import then
from behave import when
from steps import platform_site

import wire_callers

CONTACT_S = 3.0
"""Time from the first naming until the limit binds, s."""

WINDOW_S = 4.0
FACTOR, SPARE = 1.5, 5
"""What the replica's operators allow beside the limit, in a window."""

LOAD_S = 11.0
PAUSE_S = 0.02
"""Pause between two requests, s: some forty a second."""


def _load(context, for_s):
    """Sends requests to the entries in turn; returns their statuses."""
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


@when('a replica names a limit of {limit:d} a second while requests come to '
      'all entries')
def step_limit(context, limit):
    _load(context, 1.0)
    context.replica = next(iter(context.platform.replicas.values()))
    context.limit = context.replica.announced_limit = limit
    context.named_at = time.monotonic()
    context.statuses = _load(context, LOAD_S)


@then('it gets no more than one and a half times that, and five, in any 4 s')
def step_kept(context):
    at = [
        req.at
        for req in context.replica.received_requests
        if req.at > context.named_at + CONTACT_S
    ]
    most = max((
        sum(since <= other < since + WINDOW_S for other in at) for since in at),
               default=0)
    assert most <= FACTOR * WINDOW_S * context.limit + SPARE, most


@then('all requests are served')
def step_served(context):
    assert set(context.statuses) == {200}, context.statuses


@when('it names no limit any more while requests come to all entries')
def step_over(context):
    context.replica.announced_limit = None
    _load(context, CONTACT_S)
    context.before = len(context.replica.received_requests)
    context.statuses = _load(context, CONTACT_S)


@then('it gets its part of the requests again')
def step_part(context):
    part = len(context.statuses) / len(context.platform.replicas)
    got = len(context.replica.received_requests) - context.before
    assert got > part / 2, (got, part)
