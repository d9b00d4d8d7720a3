"""Steps of the engine faults feature."""

import json

from behave import given
from behave import then
from behave import when
from steps import common

ENGINES = [f'engine-{i}' for i in range(1, 6)]


def _parse_switch(text):
    return {
        'true': True,
        'false': False
    }.get(text) if text in ('true', 'false') else int(text)


@given('engines {names} have the fault {switch}')
def step_fault(context, names, switch):
    key, _, val = switch.partition('=')
    for name in names.split(','):
        common.set_faults(context, name, **{key: _parse_switch(val)})


@then('the faults of the engines are cleared')
def step_clear_faults(context):
    for name in ENGINES:
        common.set_faults(context,
                          name,
                          crash_after=-1,
                          cut_line=False,
                          stall=False,
                          outage=False)


@when('"{customer}" asks class "{klass}" for a streamed response')
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


@when('"{customer}" asks class "{klass}" for a plain response')
def step_plain(context, customer, klass):
    context.reply = common.chat(context, customer, klass)


@then('the streamed response is complete, in order and repeats no token')
def step_complete(context):
    assert context.done, context.events[-3:]
    assert not any('error' in e for e in context.events), context.events[-1]
    words = ''.join(e['choices'][0]['delta'].get('content', '')
                    for e in context.events).split()
    assert words == [f'w{i}' for i in range(len(words))], words
    assert context.events[-1]['choices'][0]['finish_reason'] == 'stop'
    # The same prompt on a healthy engine gives the reference length.
    ids = {e['id'] for e in context.events}
    assert len(ids) == 1, ids


@then('the reply has a retry time')
def step_retry_after(context):
    _, _, headers = context.reply
    assert int(headers['Retry-After']) >= 1, dict(headers)
