"""Steps of the at-most-once feature."""

from behave import given
from behave import then
from behave import when
from steps import common

BOOKING = ('booking-1', 'booking-2', 'booking-3')


@given('the fault {switch} on "{name}"')
def step_fault(context, switch, name):
    context.faulted = None
    if switch == 'none':
        return
    key, _, val = switch.partition('=')
    value = True if val == 'true' else int(val)
    if name.startswith('booking'):
        # The entry routes by load; put the fault on every replica so the
        # call surely meets it.
        for rep in BOOKING:
            common.set_faults(context, rep, **{key: value})
        context.faulted = (BOOKING, key)
    else:
        common.set_faults(context, name, **{key: value})
        context.faulted = ((name,), key)


@when('"{customer}" charges with key "{key}" through entry-a then entry-b')
def step_charge(context, customer, key):
    hdrs = {
        'X-Customer': customer,
        'X-Class': 'booking-charge',
        'Idempotency-Key': key
    }
    context.replies = []
    for name in ('entry-a', 'entry-b'):
        context.replies.append(
            common.http('POST',
                        common.entry_addr(context, name),
                        '/v1/services/booking/charge', {'seat': '12A'},
                        headers=hdrs))
    if context.faulted:
        names, key_ = context.faulted
        for n in names:
            common.set_faults(context, n,
                              **{key_: False if key_ == 'outage' else 0})


@then('the booking services ran key "{key}" exactly {runs:d} time')
def step_runs(context, key, runs):
    total = 0
    for rep in BOOKING:
        _, obj, _ = common.http('GET', common.standin_addr(context, rep),
                                '/stats')
        total += obj['runs'].get(f'traveller-app/{key}', 0)
    assert total == runs, (total, context.replies)


def _outcome(reply):
    status, obj, headers = reply
    if status == 200:
        # A repeated call gets the recorded answer of the first, marked so.
        return 'replayed' if headers.get('X-Replayed') else '200'
    return obj['error']['code']


@then('the replies were {first} then {second}')
def step_replies(context, first, second):
    got = [_outcome(r) for r in context.replies]
    assert got == [first, second], (got, context.replies)
