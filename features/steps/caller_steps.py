"""Steps of the caller API feature."""

import openai
from behave import then
from behave import when
from steps import common

CASES = {
    'malformed JSON': ('/v1/chat/completions', b'{"messages": [', {}),
    'no messages': ('/v1/chat/completions', b'{"model": "x"}', {}),
    'no customer': ('/v1/chat/completions',
                    b'{"messages": [{"role": "user", "content": "hi"}]}', {
                        'X-Customer': ''
                    }),
    'unknown customer': ('/v1/chat/completions',
                         b'{"messages": [{"role": "user", "content": "hi"}]}', {
                             'X-Customer': 'nobody',
                             'X-Class': 'seat'
                         }),
    'unknown class': ('/v1/chat/completions',
                      b'{"messages": [{"role": "user", "content": "hi"}]}', {
                          'X-Customer': 'traveller-app',
                          'X-Class': 'nope'
                      }),
    'oversized body':
        ('/v1/chat/completions', b'{"x": "' + b'a' * (2 << 20) + b'"}', {
            'X-Customer': 'traveller-app',
            'X-Class': 'seat'
        }),
    'unknown route': ('/v1/nothing/here', b'{}', {}),
}


@when('an OpenAI client asks entry "{name}" as "{customer}" class "{klass}"')
def step_openai(context, name, customer, klass):
    client = openai.OpenAI(
        base_url=f'http://{common.entry_addr(context, name)}/v1',
        api_key='unused',
        max_retries=0,
        default_headers={
            'X-Customer': customer,
            'X-Class': klass
        })
    msgs = [{'role': 'user', 'content': 'seats from terminal 2 to city?'}]
    completion = client.chat.completions.create(model='default', messages=msgs)
    context.plain_text = completion.choices[0].message.content
    context.finish_reason = completion.choices[0].finish_reason
    context.stream_parts = [
        c.choices[0].delta.content or ''
        for c in client.chat.completions.create(
            model='default', messages=msgs, stream=True)
    ]


@then('the plain and the streamed response contain the same complete text')
def step_same_text(context):
    streamed = ''.join(context.stream_parts)
    assert context.finish_reason == 'stop', context.finish_reason
    assert streamed == context.plain_text, (streamed, context.plain_text)
    words = context.plain_text.split()
    assert words == [f'w{i}' for i in range(len(words))], words


@when('"{customer}" calls "{pool}" op "{op}" in class "{klass}"')
def step_service(context, customer, pool, op, klass):
    context.reply = common.http('POST',
                                common.entry_addr(context),
                                f'/v1/services/{pool}/{op}', {'seat': '12A'},
                                headers={
                                    'X-Customer': customer,
                                    'X-Class': klass
                                })


@then('the reply has status {status:d} and came from a booking replica')
def step_service_ok(context, status):
    got, obj, _ = context.reply
    assert got == status, (got, obj)
    assert obj['by'].startswith('booking-'), obj


@when('a caller sends {case} to the chat route')
def step_bad_input(context, case):
    path, raw, headers = CASES[case]
    hdrs = {'X-Customer': 'traveller-app', 'X-Class': 'seat'} | headers
    context.reply = common.http('POST',
                                common.entry_addr(context),
                                path,
                                raw=raw,
                                headers=hdrs)


@then('the reply has status {status:d} and error code "{code}"')
def step_error_code(context, status, code):
    got, obj, _ = context.reply
    assert got == status, (got, obj)
    assert obj['error']['code'] == code, obj


@when('a caller sends a chat request as a form with "&" and "=" in its text')
def step_form(context):
    context.reply = common.chat(
        context,
        'kiosk',
        'seat',
        prompt='from=T2&to=city, "a":{"b":""}',
        headers={'Content-Type': 'application/x-www-form-urlencoded'})
