"""Steps of the membership and shutdown feature."""

import json
import signal
import threading
import time

from behave import given
from behave import step
from behave import then
from behave import when
from steps import common

from gorsefall.standins import waiting


def _engine_tokens(context, name):
    addr = context.extra_addr if name == 'engine-6' else common.standin_addr(
        context, name)
    return common.http('GET', addr, '/stats')[1]['tokens_out']


@given('the VM list lags by {lag:g} s')
def step_lag(context, lag):
    common.set_faults(context, 'vmlist', lag_s=lag)
    context.lag = lag


@step('the VM list shows "{name}" leaving and the entries have polled it')
def step_leaving(context, name):
    status, obj, _ = common.http('POST', common.standin_addr(context, 'vmlist'),
                                 '/vms', {
                                     'name': name,
                                     'addr': '',
                                     'zone': 'az1',
                                     'state': 'leaving'
                                 })
    assert status == 200, obj

    def is_leaving():
        for e in ('entry-a', 'entry-b'):
            st = common.http('GET', common.entry_addr(context, e), '/status')[1]
            states = {r['name']: r['state'] for r in st['replicas']}
            if states[name] != 'leaving':
                return False
        return True

    t0 = time.monotonic()
    waiting.until(is_leaving, f'{name} to be leaving on every entry')
    context.drain_s = time.monotonic() - t0
    context.before = _engine_tokens(context, name)


@step('{n:d} seat requests are answered')
def step_requests(context, n):
    for i in range(n):
        status, obj, _ = common.chat(context,
                                     'traveller-app',
                                     'seat',
                                     name=('entry-a', 'entry-b')[i % 2],
                                     prompt=f'seat {i}')
        assert status == 200, obj


@then('"{name}" received none of them')
def step_none_received(context, name):
    assert _engine_tokens(context, name) == context.before


@given('{n:d} long streamed responses are in flight on entry "{name}"')
def step_inflight(context, n, name):
    # Engines emit a token every 20 steps (60 ms): the shortest response (8
    # tokens) lasts longer than the signal takes, the longest (120) ends within
    # drain_s.
    for i in range(1, 6):
        common.set_faults(context, f'engine-{i}', slow=20)
    context.results = [None] * n
    started = threading.Barrier(n + 1)

    def run(i):
        started.wait()
        context.results[i] = common.chat(context,
                                         'dispatcher',
                                         'driver-notice',
                                         stream=True,
                                         name=name,
                                         prompt=f'long {i} ' * 9)

    context.threads = [
        threading.Thread(target=run, args=(i,)) for i in range(n)
    ]
    for t in context.threads:
        t.start()
    started.wait()
    waiting.until(
        lambda: common.http('GET', common.entry_addr(context, name), '/status')[
            1]['running'] >= n, 'responses to be in flight')


@when('entry "{name}" gets SIGTERM')
def step_sigterm(context, name):
    context.procs[name].send_signal(signal.SIGTERM)


@then('entry "{name}" reports not ready at once')
def step_not_ready(context, name):
    status, obj, _ = common.http('GET', common.entry_addr(context, name),
                                 '/readyz')
    assert status == 503 and obj['ready'] is False, (status, obj)


@then('every response in flight completes')
def step_all_complete(context):
    for t in context.threads:
        t.join(timeout=waiting.TIMEOUT_S)
    for status, text, _ in context.results:
        assert status == 200, (status, text)
        assert text.rstrip().endswith('data: [DONE]'), text[-200:]
        words = ''.join(
            json.loads(line[6:])['choices'][0]['delta'].get('content', '')
            for line in text.splitlines()
            if line.startswith('data: {')).split()
        assert words == [f'w{i}' for i in range(len(words))], words


@then('entry "{name}" exits by itself')
def step_exits(context, name):
    assert context.procs[name].wait(timeout=waiting.TIMEOUT_S) == 0
    for i in range(1, 6):
        common.set_faults(context, f'engine-{i}', slow=1)
