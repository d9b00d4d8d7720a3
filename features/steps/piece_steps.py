"""Steps of the feature on pieces of streams that are missing or come twice."""

import concurrent.futures
import time

from behave import then
from behave import when
from steps import platform_site

import wire_callers

from gorsefall.standins import waiting

STREAM_COUNT = 4

EVENT_PAUSE_S = 0.2
"""Pause between two events, s. The answers run while others take them up."""

TAKEN_UP_AFTER = 2
"""Id of the event after which callers take their streams up."""

TAKEN_UP_AT = {
    'the same entry': [0],
    'another entry': [1],
    'the same entry twice': [0, 0],
    'two entries at once': [1, 2],
    'all entries at once': [0, 1, 2],
}
"""Numbers of the entries at which each stream is taken up."""


def _send_stream(site, rid, extra=()):
    return wire_callers.send_request(site.callers,
                                     platform_site.PATH_BY_KIND['resumable'],
                                     rid,
                                     body=b'body',
                                     extra=extra)


def _take_up(context, executor, rid, where):
    fields = (f'Resumes: {rid}', f'Last-Event-Id: {TAKEN_UP_AFTER}')
    return [
        executor.submit(_send_stream, context.sites[i],
                        platform_site.new_rid(context), fields)
        for i in TAKEN_UP_AT[where]
    ]


@when('callers take their streams up at {where} while the first answers run')
def step_take_up(context, where):
    _take_up_streams(context, where, [])


@when('callers take their streams up at {where} while the first answers run, '
      'and {count:d} runs break')
def step_take_up_broken(context, where, count):
    _take_up_streams(context, where, count * ['breaks inside an event'])


def _take_up_streams(context, where, faults):
    pool = [context.platform.replicas[n] for n in platform_site.POOL_REPLICAS]
    shared = platform_site.SharedScript(*faults)
    for replica in pool:
        replica.event_pause_s = EVENT_PAUSE_S
        replica.script = shared
    rids = [platform_site.new_rid(context) for _ in range(STREAM_COUNT)]
    with concurrent.futures.ThreadPoolExecutor(max_workers=32) as executor:
        first = [
            executor.submit(_send_stream, context.platform, rid) for rid in rids
        ]
        waiting.until(
            lambda: all(platform_site.runs_of(context, rid) for rid in rids),
            'the runs')
        time.sleep(EVENT_PAUSE_S * (TAKEN_UP_AFTER - 0.5))
        assert not any(f.done() for f in first)
        later = [
            f for rid in rids for f in _take_up(context, executor, rid, where)
        ]
        context.first_replies = [f.result() for f in first]
        context.later_replies = [f.result() for f in later]


@then('each answer has all its pieces once, and ends as whole')
def step_pieces(context):
    rest = platform_site.STREAM_BODY.partition(b'id: %d' % (TAKEN_UP_AFTER + 1))
    for replies, body in ((context.first_replies, platform_site.STREAM_BODY),
                          (context.later_replies, b''.join(rest[1:]))):
        for reply in replies:
            assert reply.status == 200, reply
            assert reply.complete, reply
            assert reply.body == body, reply
