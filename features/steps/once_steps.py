"""Steps of the at-most-once-under-failure feature."""

import concurrent.futures
import signal
import threading
import time

from behave import given
from behave import then
from behave import when
from steps import common
from steps import own_steps

from gorsefall.standins import waiting

CUSTOMER = 'kiosk'


def _code(reply):
    status, obj, headers = reply
    if status == 200:
        return 'replayed' if headers.get('X-Replayed') else '200'
    return obj['error']['code']


def _runs(context, key):
    return own_steps.runs(context).get(f'{CUSTOMER}/{key}', 0)


@when('{n:d} keys are each sent to both entries at the same moment')
def step_both(context, n):
    context.keys = [f'race-{i}' for i in range(n)]
    customers = own_steps.CUSTOMERS
    with concurrent.futures.ThreadPoolExecutor(2 * n) as pool:
        futs = [
            pool.submit(own_steps.charge, context,
                        customers[i % len(customers)], key, name)
            for i, key in enumerate(context.keys)
            for name in ('entry-a', 'entry-b')
        ]
        context.replies = [f.result() for f in futs]


@then('each of those keys ran exactly once')
def step_once_each(context):
    ran = own_steps.runs(context)
    for key in context.keys:
        total = sum(n for k, n in ran.items() if k.endswith(f'/{key}'))
        assert total == 1, (key, total)


@then('no reply says that a key was not run')
def step_none_not_run(context):
    codes = {_code(r) for r in context.replies}
    assert codes <= {'200', 'replayed', 'in_progress'}, codes
    assert sum(_code(r) == '200' for r in context.replies) == len(context.keys)


@given('{place} is slow by {ms:d} ms')
def step_slow_place(context, place, ms):
    names = {'the log': ('log',), 'the service': own_steps.BOOKING}[place]
    context.slowed = names
    for name in names:
        common.set_faults(context, name, delay_ms=float(ms))


def _claimed(context, key):
    """Whether the log service's newest ledger record claims ``key``."""
    _, obj, _ = common.http('GET', common.standin_addr(context, 'log'),
                            '/stats')
    newest = obj['newest'].get('ledger', {})
    return (newest.get('kind'), newest.get('key')) == ('claim',
                                                       f'{CUSTOMER}/{key}')


def _try_charge(context, key, name):
    try:
        return own_steps.charge(context, CUSTOMER, key, name)
    except OSError as exc:
        return exc


@when('a charge with key "{key}" is under way at {name}')
def step_under_way(context, key, name):
    context.thread = threading.Thread(target=_try_charge,
                                      args=(context, key, name))
    context.thread.start()

    def under_way():
        if context.slowed == ('log',):
            # The claim has taken effect; only its reply is still to come.
            return _claimed(context, key)
        return _runs(context, key) == 1

    waiting.until(under_way, 'the charge to be claimed or running')


@when('entry "{name}" is frozen')
def step_freeze(context, name):
    context.procs[name].send_signal(signal.SIGSTOP)


@when('entry "{name}" is killed')
def step_kill(context, name):
    context.procs[name].kill()
    context.procs[name].wait(timeout=20)


@when('the charge with key "{key}" is tried again at {name}')
def step_again(context, key, name):
    context.retry = own_steps.charge(context, CUSTOMER, key, name)


@then('the retry was answered one of {codes}')
def step_codes(context, codes):
    assert _code(context.retry) in codes.split(', '), context.retry[:2]


@then('after entry "{name}" is back, key "{key}" ran {runs}')
def step_back(context, name, key, runs):
    common.restore_site(context)
    context.thread.join(timeout=waiting.TIMEOUT_S)
    if runs == 'exactly once':
        waiting.until(lambda: _runs(context, key) >= 1, f'{key} to run')
    time.sleep(0.5)  # Time in which a second run would show.
    assert _runs(context, key) <= 1, own_steps.runs(context)
    common.wait_version(context, 1)


@when('{n:d} charges without a key are sent to {name}')
def step_no_key(context, n, name):
    context.replies = [
        common.http('POST',
                    common.entry_addr(context, name),
                    '/v1/services/booking/charge', {'n': i},
                    headers={
                        'X-Customer': CUSTOMER,
                        'X-Class': 'booking-charge'
                    }) for i in range(n)
    ]


@then('each was answered 200 and ran exactly once')
def step_no_key_ran(context):
    ran = own_steps.runs(context)
    for status, obj, _ in context.replies:
        assert status == 200, obj
        assert ran[obj['id']] == 1


@when('"{customer}" charges something else with key "{key}" at {name}')
def step_other(context, customer, key, name):
    context.reply = common.http('POST',
                                common.entry_addr(context, name),
                                '/v1/services/booking/charge',
                                {'who': 'somebody else'},
                                headers={
                                    'X-Customer': customer,
                                    'X-Class': 'booking-charge',
                                    'Idempotency-Key': key
                                })


@given('the log service takes only {n:d} appends a second')
def step_limit(context, n):
    common.set_faults(context, 'log', max_appends_per_s=n)
