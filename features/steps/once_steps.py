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


def _outcome(reply):
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
    runs_by_key = own_steps.runs(context)
    for key in context.keys:
        total = sum(n for k, n in runs_by_key.items() if k.endswith(f'/{key}'))
        assert total == 1, (key, total)


@then('no reply says that a key was not run')
def step_none_not_run(context):
    codes = {_outcome(r) for r in context.replies}
    assert codes <= {'200', 'replayed', 'in_progress'}, codes
    assert sum(_outcome(r) == '200' for r in context.replies) == len(
        context.keys)


@given('{place} is slow by {ms:d} ms')
def step_slow_place(context, place, ms):
    names = {'the log': ('log',), 'the service': own_steps.BOOKING}[place]
    context.slowed = names
    for name in names:
        common.set_faults(context, name, delay_ms=float(ms))


def _is_claimed(context, key):
    """Returns True if the newest ledger record in the log claims ``key``."""
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


@when('a charge with key "{key}" is in flight at {name}')
def step_in_flight(context, key, name):
    context.thread = threading.Thread(target=_try_charge,
                                      args=(context, key, name))
    context.thread.start()

    def is_in_flight():
        if context.slowed == ('log',):
            # The claim is written; only its reply is pending.
            return _is_claimed(context, key)
        return _runs(context, key) == 1

    waiting.until(is_in_flight, 'the charge to be claimed or running')


@when('entry "{name}" is frozen')
def step_freeze(context, name):
    context.procs[name].send_signal(signal.SIGSTOP)


@when('entry "{name}" is killed')
def step_kill(context, name):
    context.procs[name].kill()
    context.procs[name].wait(timeout=20)


@when('the charge with key "{key}" is retried at {name}')
def step_retry(context, key, name):
    context.retry = own_steps.charge(context, CUSTOMER, key, name)


@then('the retry got one of the outcomes {codes}')
def step_codes(context, codes):
    assert _outcome(context.retry) in codes.split(', '), context.retry[:2]


@then('after entry "{name}" is back, key "{key}" ran {runs}')
def step_entry_back(context, name, key, runs):
    common.restore_site(context)
    context.thread.join(timeout=waiting.TIMEOUT_S)
    if runs == 'exactly once':
        waiting.until(lambda: _runs(context, key) >= 1, f'{key} to run')
    time.sleep(0.5)  # A second run would start within this time.
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


@then('each got status 200 and ran exactly once')
def step_no_key_ran(context):
    runs_by_key = own_steps.runs(context)
    for status, obj, _ in context.replies:
        assert status == 200, obj
        assert runs_by_key[obj['id']] == 1


@when('"{customer}" charges something else with key "{key}" at {name}')
def step_reuse_key(context, customer, key, name):
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
