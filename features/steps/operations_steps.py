"""Steps of the feature about operating an entry on the platform."""

import concurrent.futures
import pathlib
import re
import signal
import socket
import tempfile
import urllib.request

from behave import given
from behave import then
from behave import when
from gorsefall.policy import budget
from gorsefall.standins import ports
from steps import platform_site

import standin
import wire_callers
import wire_store

from gorsefall.standins import waiting

MAX_STARTUP_STORE_CALLS = 12
"""Most calls of one entry to the store until it is ready: two snapshots, the
first waiting read and the next reads of the replicas."""

MAX_MEMORY_MB = 64
"""Bound on the entry's memory, MB; an idle entry uses 36 MB here, and the
replicas send 400 MB."""

FLOODED_CALLER_COUNT = 8


def _send_request(context, path='/i/x', **kw):
    return wire_callers.send_request(context.platform.callers, path,
                                     platform_site.new_rid(context), **kw)


def _events(site, name):
    return [line for line in site.log() if line['event'] == name]


def _reload(site, name, **changed):
    """Changes settings, signals the entry and waits for the event ``name``."""
    path = site.settings()
    text = path.read_text()
    for key, value in changed.items():
        text = re.sub(rf'(?m)^{key} = .*$', value, text)
    path.write_text(text)
    before = len(_events(site, name))
    site.proc.send_signal(signal.SIGHUP)
    waiting.until(lambda: len(_events(site, name)) > before, name)


@when('the settings are changed and reloaded by a signal while streams run')
def step_reload(context):
    site = context.platform
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futs = [
            pool.submit(_send_request, context, '/s/x', body=b'x')
            for _ in range(8)
        ]
        _reload(site, 'reloaded', revoke_s='revoke_s = 0.9')
        context.replies = [fut.result() for fut in futs]


@then('the streams complete and the new settings are active')
def step_reloaded(context):
    for reply in context.replies:
        assert reply.complete and reply.body == platform_site.STREAM_BODY, reply
    context.platform.store.mode = 'silent'
    waiting.until(lambda: _send_request(context).status == 503,
                  'the shorter bound to apply')


@when('a settings file without a store is installed and reloaded by a signal')
def step_bad_settings(context):
    _reload(context.platform, 'reload_failed', store='')


@then('the error is logged with the field\'s name and requests are served')
def step_error_logged(context):
    assert 'store' in _events(context.platform, 'reload_failed')[-1]['error']
    assert _send_request(context).status == 200


def _count_retries(context, request_count):
    """Sends requests whose first attempt fails and counts their retries."""
    site = context.platform
    before = len(_events(site, 'retry'))
    for _ in range(request_count):
        for name in platform_site.PLAIN_REPLICAS:
            site.replicas[name].script.clear()
            site.replicas[name].script.append('resets')
        _send_request(context)
    return len(_events(site, 'retry')) - before


@when('the settings are changed and reloaded after the retry budget is used up')
def step_budget_used(context):
    context.first_retries = _count_retries(context, 12)
    assert 0 < context.first_retries < 12, context.first_retries
    _reload(context.platform, 'reloaded', revoke_s='revoke_s = 4.0')


@then('the reload does not refill the retry budget')
def step_budget_kept(context):
    retries = _count_retries(context, 4)
    # Each further request adds its share to the retry budget.
    assert retries <= 4 * budget.USED_RATIO_SHARE, retries


@when('the settings name another store, whose configuration is newer')
def step_store_moves(context):
    site = context.platform
    new_store = context.new_store = wire_store.Store()
    context.add_cleanup(new_store.close)
    new_store.put('keyed.op', 'config', standin.config(7))
    for replica in site.replicas.values():
        new_store.put('keyed.servers', replica.id, replica.record())
    _reload(site, 'reloaded', store=f'store = "{new_store.addr}"')


@then('the configuration of that store is active')
def step_new_store_active(context):
    site = context.platform
    waiting.until(
        lambda: any(ln['version'] == 7
                    for ln in _events(site, 'configuration')),
        'the new store\'s configuration to be read')
    site.store.mode = 'silent'
    assert _send_request(context).status == 200
    context.new_store.put('keyed.op', 'config', standin.config(8, routes=[]))
    waiting.until(lambda: _send_request(context).status == 404,
                  'the next version to be active')


@given('two more entries on the same store')
def step_more_entries(context):
    context.sites = [context.platform]
    for _ in range(2):
        next_port = context.site_resources.enter_context(ports.allocator())
        site = standin.Site(tempfile.mkdtemp(dir=context.tmp),
                            next_port,
                            store=context.platform.store)
        context.add_cleanup(site.close)
        site.start()
        context.sites.append(site)


@when('all entries are killed and started at once')
def step_kill_all(context):
    for site in context.sites:
        site.proc.kill()
        site.proc.wait()
    context.platform.store.calls.clear()
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        list(pool.map(lambda s: s.start(), context.sites))


@then('each is soon ready and serves, with few calls to the store')
def step_recovered(context):
    for site in context.sites:
        waiting.until(lambda s=site: wire_callers.status(s.readiness) == 200,
                      'the entry to be ready')
    calls = context.platform.store.calls.total()
    assert calls <= MAX_STARTUP_STORE_CALLS * len(context.sites), calls
    for i, site in enumerate(context.sites):
        reply = wire_callers.send_request(site.callers, '/i/x', f'after{i}')
        assert reply.status == 200, reply


def _memory_mb(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / 1024


@when('callers do not read while replicas send without end')
def step_flood(context):
    site = context.platform
    for name in platform_site.POOL_REPLICAS:
        site.replicas[name].script.extend(['floods'] * FLOODED_CALLER_COUNT)
    for i in range(FLOODED_CALLER_COUNT):
        sock = wire_callers.connect(site.callers)
        context.add_cleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(wire_callers.request_bytes('/s/x', f'flood{i}'))
    waiting.until(
        lambda: sum(r.flooded_bytes for r in site.replicas.values()) > 1 << 20,
        'the replicas to flood the entry')


@then('the entry\'s memory stays small and other callers are served')
def step_memory_bounded(context):
    site = context.platform
    for _ in range(20):
        assert _send_request(context).status == 200
    assert _memory_mb(site.proc.pid) < MAX_MEMORY_MB, _memory_mb(site.proc.pid)


@when('requests were served and one was denied')
def step_requests(context):
    for _ in range(3):
        assert _send_request(context).status == 200
    assert _send_request(context, key='k-none').status == 401


@then('the metrics page counts them and reports the state of the entry')
def step_page(context):
    _, port = context.platform.metrics.split(':')
    with urllib.request.urlopen(f'http://127.0.0.1:{port}/metrics') as res:
        page = res.read().decode()
    for line in (
            'gorsefall_relayed_total{account="gate",outcome="served",'
            'route="idempotent"} 3.0',
            'gorsefall_relayed_total{account="",outcome="denied",'
            'route="idempotent"} 1.0',
            'gorsefall_relay_whole_seconds_count{route="idempotent"} 3.0',
            'gorsefall_relay_replicas{service="plain"} 2.0',
            'gorsefall_relay_running 0.0',
    ):
        assert line in page, page
