"""Steps of the feature about replicas that say nothing for a while."""

import concurrent.futures
import re
import time

from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers
import wire_faults

from gorsefall.standins import waiting

ROUTE_PREFIXES = {'resumable': '/r/', 'idempotent': '/i/'}
LONG_STREAM_PATH = '/os/x'
"""A path whose route has a time limit of 4 s."""

LARGE_STREAM_PATHS = {'long': '/l/x', 'resumable': '/r/x'}
OTHER_SERVICES = {'resumable': 'plain', 'idempotent': 'pool'}


@when('the replica of a "{kind}" request "{first}", and the next one '
      '"{second}"')
def step_two_faults(context, kind, first, second):
    platform_site.script_fault(context, kind, first, second)
    platform_site.send_request(context,
                               kind,
                               body=b'' if kind == 'idempotent' else b'body')


def _changed(change, kind):
    """Returns the second configuration, with the route of a kind changed."""
    if change == 'takes the key away':
        return standin.config(2, keys={'k-desk': 'desk'})
    prefix = ROUTE_PREFIXES[kind]
    routes = standin.config(1)['routes']
    if change.startswith('drops the route'):
        routes = [r for r in routes if r['path-prefix'] != prefix]
    else:
        for route in routes:
            if route['path-prefix'] == prefix:
                route['service'] = OTHER_SERVICES[kind]
    return standin.config(2, routes)


def _configure(site, config):
    """Writes a configuration and waits until the entry has it."""
    site.store.put('keyed.op', 'config', config)
    waiting.until(
        lambda: any(ln['event'] == 'configuration' and ln['version'] == config[
            'version'] for ln in site.log()), 'the configuration')


def _double_time_limits(site):
    """Leaves a busy machine time to transfer a large stream after a pause."""
    routes = [
        r | {
            'timeout-ms': 2 * r['timeout-ms']
        } for r in standin.config(1)['routes']
    ]
    _configure(site, standin.config(2, routes))


@when('a configuration "{change}" while the replica of a "{kind}" request '
      '"{silence}"')
def step_configuration(context, change, kind, silence):
    platform_site.script_fault(context, kind, silence)
    site = context.platform
    with concurrent.futures.ThreadPoolExecutor() as pool:
        reply = pool.submit(platform_site.send_request, context, kind)
        waiting.until(
            lambda: any(r.runs for r in context.platform.replicas.values()),
            'the run')
        _configure(site, _changed(change, kind))
        if change.endswith('returns it'):
            _configure(site, standin.config(3))
        context.reply = reply.result()


@then('only replicas of the service that it began at ran it')
def step_one_service(context):
    services = {
        context.platform.replicas[name].service
        for name, _ in platform_site.runs_of(context, context.rid)
    }
    assert len(services) == 1, services


@when('a caller of a large "{kind}" stream reads nothing for {pause_s:d} s, '
      'then all of it')
def step_slow_caller(context, kind, pause_s):
    _double_time_limits(context.platform)
    for name in platform_site.POOL_REPLICAS:
        context.platform.replicas[name].script = platform_site.SharedScript(
            'sends a large stream')
    context.rid = platform_site.new_rid(context)
    request = wire_callers.request_bytes(LARGE_STREAM_PATHS[kind],
                                         context.rid,
                                         deadline_ms=60000)
    with wire_callers.connect(context.platform.callers) as sock:
        sock.sendall(request)
        time.sleep(pause_s)
        context.reply = wire_callers.read_response(sock)


@then('it gets the whole stream')
def step_whole_stream(context):
    reply = context.reply
    assert reply.complete, (reply.status, len(reply.body))
    numbers = [int(n) for n in re.findall(rb'^id: (\d+)$', reply.body, re.M)]
    assert numbers == list(range(wire_faults.LARGE_EVENT_COUNT)), numbers
    assert len(reply.body) == sum(
        len(wire_faults.large_event(n)) for n in numbers)


@when('the replica of a long response "{fault}", and the replica of its KV '
      'backup {copy}')
def step_backup_refused(context, fault, copy):
    site = context.platform
    shared = platform_site.SharedScript(fault, 'refuses')

    def close_backup(req):
        for replica in site.replicas.values():
            if copy == 'is gone' and replica.addr == req.headers['kv-backup']:
                replica.close()

    for replica in site.replicas.values():
        replica.script = shared
        replica.on_run = close_backup
    context.rid = platform_site.new_rid(context)
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(
            wire_callers.request_bytes(LONG_STREAM_PATH,
                                       context.rid,
                                       body=b'x',
                                       deadline_ms=5000,
                                       extra=('Model: m',
                                              'Token-Count: 10,400')))
        context.reply = wire_callers.read_response(sock)
