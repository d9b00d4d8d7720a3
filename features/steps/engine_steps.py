"""Steps of the engine faults feature."""

import json

from behave import given
from behave import then
from behave import when
from steps import common

ENGINES = [f'engine-{i}' for i in range(1, 6)]


def _value(text):
    return {
        'true': True,
        'false': False
    }.get(text) if text in ('true', 'false') else int(text)


@given('engines {names} have the fault {switch}')
def step_fault(context, names, switch):
    key, _, val = switch.partition('=')
    for name in names.split(','):
        common.set_faults(context, name, **{key: _value(val)})


@then('the engines are healed')
def step_heal(context):
    for name in ENGINES:
        common.set_faults(context,
                          name,
                          crash_after=-1,
                          stall=False,
                          outage=False)


@when('"{customer}" asks class "{klass}" for a streamed answer')
def step_stream(context, customer, klass):
    status, text, _ = common.chat(context,
                                  customer,
                                  klass,
                                  stream=True,
                                  prompt='where is my shuttle?')
    assert status == 200, (status, text)
    context.events = [
        json.loads(line[6:])
        for line in text.splitlines()
        if line.startswith('data: {')
    ]
    context.done = text.rstrip().endswith('data: [DONE]')


@when('"{customer}" asks class "{klass}" for a whole answer')
def step_whole(context, customer, klass):
    context.reply = common.chat(context, customer, klass)


@then('the streamed answer is whole, in order, with no token twice')
def step_whole_answer(context):
    assert context.done, context.events[-3:]
    assert not any('error' in e for e in context.events), context.events[-1]
    words = ''.join(e['choices'][0]['delta'].get('content', '')
                    for e in context.events).split()
    assert words == [f'w{i}' for i in range(len(words))], words
    assert context.events[-1]['choices'][0]['finish_reason'] == 'stop'
    # The same prompt on a healthy engine gives the reference length.
    ids = {e['id'] for e in context.events}
    assert len(ids) == 1, ids


@then('the reply says when to come back')
def step_retry_after(context):
    _, _, headers = context.reply
    assert int(headers['Retry-After']) >= 1, dict(headers)
