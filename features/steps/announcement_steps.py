"""Steps of the feature on what replicas announce in their responses."""

import collections
import threading
import time

from behave import then
from behave import when
from steps import platform_site

import wire_callers
import wire_replica

from gorsefall.standins import waiting

OBSERVED_S = 2.5
"""Time for which requests are sent to see where they go, s."""

PAUSE_S = 0.02
"""Pause between two requests, s."""

MAX_TRIGGERS = 40
"""Requests of which at least one reaches a certain one of two replicas."""

QUICK_S = 1.0
"""Time within which a request that no replica accepts is refused, s."""

PLAIN_PATH, STREAM_PATH = '/o/x', '/os/x'


def _send(context, **kw):
    return wire_callers.send_request(context.platform.callers,
                                     context.path,
                                     platform_site.new_rid(context),
                                     key=None,
                                     **kw)


def _send_until_received(context, replica):
    for _ in range(MAX_TRIGGERS):
        _send(context)
        if len(replica.received_requests) > context.received_before:
            return
    raise AssertionError(f'{replica.id} received no request')


def _observe(context, replica, path):
    """Chooses the replica that announces, and the path of the requests."""
    context.replica = replica
    context.path = path
    context.received_before = len(replica.received_requests)


@when('a replica announces its exit in a response')
def step_response(context):
    _observe(context, context.platform.replicas['p1'], PLAIN_PATH)
    context.replica.leaving = True
    _send_until_received(context, context.replica)


@when('a replica announces its exit in a refusal')
def step_refusal(context):
    _observe(context, context.platform.replicas['p1'], PLAIN_PATH)
    context.replica.leaving = True
    context.replica.script.append('refuses')
    _send_until_received(context, context.replica)


@when('a replica announces its exit in an interim response')
def step_interim(context):
    _observe(context, context.platform.replicas['p1'], PLAIN_PATH)
    context.replica.script.append('announces its exit first')
    _send_until_received(context, context.replica)


@when('a replica announces its exit in the head of a long stream')
def step_stream(context):
    _observe(context, context.platform.replicas['e1'], STREAM_PATH)
    context.replica.script.append('announces its exit and streams')
    context.replies = []

    def send():
        context.replies.append(_send(context))

    def send_all():
        for _ in range(MAX_TRIGGERS):
            if len(context.replica.received_requests) > context.received_before:
                return
            context.callers.append(threading.Thread(target=send))
            context.callers[-1].start()
            time.sleep(PAUSE_S)

    context.callers = []
    send_all()
    context.add_cleanup(lambda: [caller.join() for caller in context.callers])
    # The head of the stream arrives while its events are still to come.
    time.sleep(5 * PAUSE_S)


@when('all replicas announce their exits in a response')
def step_all(context):
    for name in platform_site.PLAIN_REPLICAS:
        _observe(context, context.platform.replicas[name], PLAIN_PATH)
        context.replica.leaving = True
        _send_until_received(context, context.replica)


@when('its record is dropped and written again')
def step_rewritten(context):
    store, replica = context.platform.store, context.replica
    store.put('keyed.servers', replica.id, None)
    _wait_for(context, 'replica_gone')
    store.put('keyed.servers', replica.id, replica.record())
    _wait_for(context, 'replica_seen')


def _wait_for(context, event):
    waiting.until(
        lambda: [
            ln['event']
            for ln in context.platform.log()
            if ln.get('replica') == context.replica.id and ln['event'] in
            ('replica_gone', 'replica_seen')
        ][-1] == event, f'{event} of {context.replica.id}')


@when('it restarts under the same id')
def step_restart(context):
    replica = context.replica
    replica.leaving = False
    replica.pause_s = None
    context.received_before = len(replica.received_requests)
    context.platform.store.put('keyed.servers', replica.id,
                               replica.record() | {'born': 7})


@then('it receives no further request and all requests are served')
def step_unused(context):
    received = len(context.replica.received_requests)
    end = time.monotonic() + OBSERVED_S
    statuses = []
    while time.monotonic() < end:
        statuses.append(_send(context).status)
        time.sleep(PAUSE_S)
    assert len(context.replica.received_requests) == received
    assert set(statuses) == {200}, statuses


@then('it receives requests again')
def step_used(context):
    waiting.until(
        lambda: (_send(context).status == 200 and len(
            context.replica.received_requests) > context.received_before),
        'a request at the new incarnation')


@then('requests are refused at once as not run')
def step_refused(context):
    started_at = time.monotonic()
    reply = _send(context)
    assert reply.status == 503 and 'retry-after' in reply.headers, reply
    assert time.monotonic() - started_at < QUICK_S


@when('a replica refuses requests and asks for a pause of {pause_s:g} s')
def step_pause(context, pause_s):
    _observe(context, context.platform.replicas['p1'], PLAIN_PATH)
    context.replica.pause_s = context.pause_s = pause_s
    _send_until_received(context, context.replica)
    context.paused_at = context.replica.refusals[0][0].at


@when(
    'a replica refuses retryable requests and asks for a pause of {pause_s:g} '
    's')
def step_pause_retryable(context, pause_s):
    context.replica = context.platform.replicas['p1']
    context.replica.pause_s = context.pause_s = pause_s
    context.path = PLAIN_PATH
    context.statuses = []
    while not context.replica.refusals:
        context.statuses.append(platform_site.send_request(context).status)
    context.paused_at = context.replica.refusals[0][0].at


@then('all of them were served')
def step_all_served(context):
    assert set(context.statuses) == {200}, context.statuses


@when('all replicas refuse requests and ask for a pause of {pause_s:g} s')
def step_pause_all(context, pause_s):
    context.pause_s = pause_s
    for name in platform_site.PLAIN_REPLICAS:
        _observe(context, context.platform.replicas[name], PLAIN_PATH)
        context.replica.pause_s = pause_s
        _send_until_received(context, context.replica)
    context.paused_at = context.replica.refusals[0][0].at


def _send_for(context, until):
    """Sends requests and returns their statuses."""
    statuses = []
    while time.monotonic() < until:
        statuses.append(_send(context).status)
        time.sleep(PAUSE_S)
    return statuses


@then('it receives no request until the pause is over')
def step_paused(context):
    statuses = _send_for(context, context.paused_at + context.pause_s - 0.1)
    assert set(statuses) == {200}, statuses
    assert len(context.replica.refusals) == 1, context.replica.refusals


@then('afterwards one at a time until it accepts one')
def step_trial(context):
    _send_for(context, context.paused_at + 1.5 * context.pause_s)
    assert len(context.replica.refusals) == 2, context.replica.refusals
    context.replica.pause_s = None
    _send_for(context, context.paused_at + 2.5 * context.pause_s)
    received = len(context.replica.received_requests)
    statuses = _send_for(context, time.monotonic() + 1.0)
    share = (len(context.replica.received_requests) - received) / len(statuses)
    assert set(statuses) == {200}
    assert share > 0.25, share


@then('callers are told to return when the pause is over')
def step_retry_after(context):
    at = time.monotonic()
    retry_after_s = float(_send(context).headers['retry-after'])
    first_end = min(r.refusals[0][0].at
                    for r in context.platform.replicas.values()
                    if r.refusals) + context.pause_s
    assert 0 <= at + retry_after_s - first_end < 0.5, retry_after_s
    context.return_at = at + retry_after_s


@then('callers that return then are served')
def step_return(context):
    for replica in context.platform.replicas.values():
        replica.pause_s = None
    time.sleep(context.return_at - time.monotonic())
    assert _send(context).status == 200


RUSH_S, RUSH_CALLERS, BORNE_REJECTIONS = 2.0, 60, 3


@when('the plain replicas are brittle and many callers come at once')
def step_brittle(context):
    names = platform_site.PLAIN_REPLICAS
    context.replicas = [context.platform.replicas[n] for n in names]
    for replica in context.replicas:
        replica.bears_rejections = BORNE_REJECTIONS
    context.path = PLAIN_PATH
    assert _send(context).status == 200
    end = time.monotonic() + RUSH_S
    context.statuses = []
    context.served_s = []

    def call(number):
        while (start := time.monotonic()) < end:
            response = wire_callers.send_request(
                context.platform.callers,
                PLAIN_PATH,
                f'{number:04x}{len(context.statuses):08x}',
                key=None)
            context.statuses.append(response.status)
            if response.status == 200:
                context.served_s.append(time.monotonic() - start)
            time.sleep(PAUSE_S)

    threads = [
        threading.Thread(target=call, args=(i,)) for i in range(RUSH_CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then('no replica falls over')
def step_no_fall(context):
    assert not sum(r.falls for r in context.replicas)


@then('callers are served in the meantime')
def step_rush_served(context):
    # Half of what the places allow: a served request takes half as long again
    # as its work. On a busy machine it takes longer, and fewer are served.
    in_use = sum(context.served_s) / RUSH_S
    slots = wire_replica.SLOTS * len(context.replicas)
    counts = collections.Counter(context.statuses)
    assert in_use > slots * 0.75, (in_use, counts)
    assert set(counts) == {200, 503}, counts
