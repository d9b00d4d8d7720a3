"""Steps of the platform feature about refusals under overload."""

import contextlib

from behave import given
from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers

from gorsefall.standins import waiting

WAITING_TOKENS = 14000
"""Prompt tokens that wait at each replica: 280 ms of reading. The target of
200 ms bears 140 ms of it for the least urgent and 420 ms for the next rank."""


@given('long prompts wait at every pool replica')
def step_waiting(context):
    site = context.platform
    routes = [
        standin.route('digest', '/s/', 'streaming', 'pool', sticky=True),
        standin.route('chat',
                      '/r/',
                      'streaming',
                      'pool',
                      sticky=True,
                      priority=0),
    ]
    site.store.put('keyed.op', 'config', standin.config(2, routes=routes))
    waiting.until(lambda: _in_force(site, 2), 'the configuration')
    held = context.platform_held = contextlib.ExitStack()
    context.add_cleanup(held.close)
    for name in platform_site.POOL_REPLICAS:
        site.replicas[name].script.append('hangs')
    for i in range(len(platform_site.POOL_REPLICAS)):
        sock = held.enter_context(wire_callers.connect(site.callers))
        sock.sendall(
            wire_callers.request_bytes(
                '/s/x',
                f'wait{i}',
                extra=(f'Token-Count: {WAITING_TOKENS},10',)))
        waiting.until(lambda i=i: _seen(site, f'wait{i}'),
                      'the prompt at a replica')


def _seen(site, rid):
    requests = [
        r for rep in site.replicas.values() for r in rep.received_requests
    ]
    return any(r.headers.get('attempt-id') == rid for r in requests)


def _in_force(site, version):
    return any(
        line.get('event') == 'configuration' and line['version'] == version
        for line in site.log())


@when('a less urgent and a more urgent request come')
def step_come(context):
    site = context.platform
    context.less = wire_callers.send_request(site.callers,
                                             '/s/x',
                                             'less',
                                             extra=('Token-Count: 100,10',))
    context.more = wire_callers.send_request(site.callers,
                                             '/r/x',
                                             'more',
                                             extra=('Token-Count: 100,10',))


@then('the less urgent one is told at once when to return and never runs')
def step_refused(context):
    assert context.less.status == 429, context.less
    assert 0.2 < float(context.less.headers['retry-after']) < 1.0
    assert not _seen(context.platform, 'less')


@then('the more urgent one is served')
def step_served(context):
    assert context.more.status == 200 and context.more.complete, context.more
