"""Steps of the platform feature about refusals under overload."""

import contextlib

from behave import given
from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers

from gorsefall.standins import waiting

QUEUED_TOKENS = 14000
"""Prompt tokens that wait at each replica: 280 ms of prefill. With the latency
target of 200 ms, the least urgent rank is queued behind at most 140 ms of
prefill and the next rank behind at most 420 ms."""


@given('long prompts wait at every pool replica')
def step_queue_prompts(context):
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
    waiting.until(lambda: _is_active(site, 2), 'the configuration to be active')
    conns = context.queued_conns = contextlib.ExitStack()
    context.add_cleanup(conns.close)
    for name in platform_site.POOL_REPLICAS:
        site.replicas[name].script.append('hangs')
    for i in range(len(platform_site.POOL_REPLICAS)):
        sock = conns.enter_context(wire_callers.connect(site.callers))
        sock.sendall(
            wire_callers.request_bytes(
                '/s/x', f'wait{i}',
                extra=(f'Token-Count: {QUEUED_TOKENS},10',)))
        waiting.until(lambda i=i: _was_received(site, f'wait{i}'),
                      'the prompt to reach a replica')


def _was_received(site, rid):
    requests = [
        req for replica in site.replicas.values()
        for req in replica.received_requests
    ]
    return any(req.headers.get('attempt-id') == rid for req in requests)


def _is_active(site, version):
    return any(
        line.get('event') == 'configuration' and line['version'] == version
        for line in site.log())


@when('a less urgent and a more urgent request arrive')
def step_send_both(context):
    site = context.platform
    context.less = wire_callers.send_request(site.callers,
                                             '/s/x',
                                             'less',
                                             extra=('Token-Count: 100,10',))
    context.more = wire_callers.send_request(site.callers,
                                             '/r/x',
                                             'more',
                                             extra=('Token-Count: 100,10',))


@then('the less urgent one is refused at once, gets a retry time and never '
      'runs')
def step_refused(context):
    assert context.less.status == 429, context.less
    assert 0.2 < float(context.less.headers['retry-after']) < 1.0
    assert not _was_received(context.platform, 'less')


@then('the more urgent one is served')
def step_served(context):
    assert context.more.status == 200 and context.more.complete, context.more
