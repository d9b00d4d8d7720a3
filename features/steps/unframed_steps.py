"""Steps of the feature about responses whose end is not framed."""

from behave import then
from behave import when
from steps import platform_site

import wire_faults

from gorsefall.standins import waiting

ENDS = {
    'ends unframed with a comment':
        platform_site.STREAM_BODY + wire_faults.END_COMMENT,
    'ends unframed with spaces':
        platform_site.STREAM_BODY + wire_faults.END_SPACES,
    'ends unframed without its last empty line':
        platform_site.STREAM_BODY[:-1],
}
"""``name of the end -> body of the stream``."""


@when('a caller of HTTP/1.0 meets a replica that "{fault}"')
def step_old_caller(context, fault):
    platform_site.script_fault(context, 'streaming', fault)
    platform_site.send_request(context, 'streaming', version='1.0')


@then('the caller gets the whole stream, which {end}')
def step_whole_with_end(context, end):
    reply = context.reply
    assert reply.status == 200, reply
    assert reply.complete, reply
    assert reply.body == ENDS[end], reply


@then('the log shows {count:d} attempts that "{reason}"')
def step_attempts_logged(context, count, reason):
    reasons = [
        ln['reason']
        for ln in context.platform.log()
        if ln['event'] == 'attempt_failed' and ln['rid'] == context.rid
    ]
    assert reasons == count * [reason], reasons


@then('the log shows the outcome "{outcome}"')
def step_outcome_logged(context, outcome):

    def answered():
        return [
            ln for ln in context.platform.log()
            if ln['event'] == 'answered' and ln['rid'] == context.rid
        ]

    # The caller may have read the end before it is logged.
    waiting.until(answered, 'the log line')
    assert [ln['outcome'] for ln in answered()] == [outcome], answered()
