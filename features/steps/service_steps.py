"""Steps of the at-most-once feature."""

from behave import given
from behave import then
from behave import when
from steps import common

BOOKING = ('booking-1', 'booking-2', 'booking-3')


@given('the fault {switch} on "{name}"')
def step_fault(context, switch, name):
    context.faulty = None
    if switch == 'none':
        return
    key, _, val = switch.partition('=')
    value = True if val == 'true' else int(val)
    if name.startswith('booking'):
        # The entry routes by load, so each replica gets the fault to be sure
        # that the call meets it.
        for replica in BOOKING:
            common.set_faults(context, replica, **{key: value})
        context.faulty = (BOOKING, key)
    else:
        common.set_faults(context, name, **{key: value})
        context.faulty = ((name,), key)


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
    if context.faulty:
        names, key_ = context.faulty
        for n in names:
            common.set_faults(context, n,
                              **{key_: False if key_ == 'outage' else 0})


@then('the booking services ran key "{key}" exactly {runs:d} time')
def step_runs(context, key, runs):
    total = 0
    for replica in BOOKING:
        _, obj, _ = common.http('GET', common.standin_addr(context, replica),
                                '/stats')
        total += obj['runs'].get(f'traveller-app/{key}', 0)
    assert total == runs, (total, context.replies)


def _outcome(reply):
    status, obj, headers = reply
    if status == 200:
        # A repeated call gets the recorded reply of the first, marked so.
        return 'replayed' if headers.get('X-Replayed') else '200'
    return obj['error']['code']


@then('the replies were {first} then {second}')
def step_replies(context, first, second):
    outcomes = [_outcome(r) for r in context.replies]
    assert outcomes == [first, second], (outcomes, context.replies)
