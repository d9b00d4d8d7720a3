"""Steps of the platform feature: what the store tells, or keeps to itself."""

import time

from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers

from gorsefall.standins import waiting


@when('the key of "{account}" is taken away')
def step_revoke(context, account):
    assert platform_site.send_request(context).status == 200
    keys = {k: a for k, a in standin.ACCOUNTS_BY_KEY.items() if a != account}
    context.platform.store.put('keyed.op', 'config', standin.config(2,
                                                                    keys=keys))


@then('requests with it get status {status:d} soon')
def step_soon(context, status):
    waiting.until(lambda: platform_site.send_request(context).status == status,
                  'the new version')
    assert not platform_site.runs_of(context, context.rid)


@when('requests with a key come for longer than the bound')
def step_long(context):
    # Symptom: some requests are refused while nothing is wrong. Sequence: a
    # read that waits 1 s follows another; just before its answer the proof
    # is 2 s old. Cause: a bound of 2 s, and a wait that knew nothing of it.
    context.replies = []
    end = time.monotonic() + 4
    while time.monotonic() < end:
        context.replies.append(platform_site.send_request(context))
        time.sleep(0.01)


@then('none is refused while the store answers')
def step_none_refused(context):
    refused = [r for r in context.replies if r.status != 200]
    assert not refused, refused[0]


@when('the store falls silent')
def step_silent(context):
    context.platform.store.mode = 'silent'
    context.platform.store.cut()


@then('requests with a key get status {status:d} within the bound')
def step_bound(context, status):
    waiting.until(lambda: platform_site.send_request(context).status == status,
                  'the lapsed proof')
    assert 'retry-after' in context.reply.headers
    waiting.until(
        lambda: wire_callers.status(context.platform.readiness) == 503,
        'not ready')


@then('requests on an open route are still served')
def step_open(context):
    reply = wire_callers.send_request(context.platform.callers,
                                      '/o/x',
                                      platform_site.new_rid(context),
                                      key=None)
    assert reply.status == 200, reply


@when('the store answers again')
def step_again(context):
    context.platform.store.mode = 'ok'
    context.platform.store.cut()


@then('requests with a key are served again')
def step_served_again(context):
    waiting.until(lambda: platform_site.send_request(context).status == 200,
                  'service')


@when('the store forgets its history while versions follow each other')
def step_forgets(context):
    store = context.platform.store
    for version in range(2, 12):
        routes = [
            standin.route('v', f'/v{version}/', 'idempotent', 'plain'),
            standin.route('i', '/i/', 'idempotent', 'plain')
        ]
        store.put('keyed.op', 'config', standin.config(version, routes))
        store.forget('keyed.op')
        time.sleep(0.02)


@then('the newest version is in force')
def step_newest(context):

    def served():
        reply = wire_callers.send_request(context.platform.callers, '/v11/x',
                                          platform_site.new_rid(context))
        return reply.status == 200

    waiting.until(served, 'version 11')
    reply = wire_callers.send_request(context.platform.callers, '/v10/x',
                                      platform_site.new_rid(context))
    assert reply.status == 404, reply


@when('a record that cannot be decoded is written')
def step_spoilt(context):
    store = context.platform.store
    store.put_raw('keyed.op', 'config', b'{"version": "no"')
    store.put_raw('keyed.servers', 'e9', b'{"service": 3}')


@then('it is logged, and requests are still served')
def step_logged(context):
    waiting.until(
        lambda: {
            ln['key']
            for ln in context.platform.log()
            if ln['event'] == 'record_spoilt'
        } == {'config', 'e9'}, 'the log lines')
    assert platform_site.send_request(context).status == 200


@when('a plain replica says that it is draining')
def step_draining(context):
    site = context.platform
    site.store.put('keyed.servers', 'p1',
                   site.replicas['p1'].record('draining'))


@then('it soon gets no new work')
def step_no_work(context):
    replica = context.platform.replicas['p1']

    def quiet():
        before = len(replica.received_requests)
        for _ in range(10):
            assert platform_site.send_request(context).status == 200
        return len(replica.received_requests) == before

    waiting.until(quiet, 'no new work')


@when('the store is away while the records of all plain replicas lapse')
def step_lapse(context):
    site = context.platform
    site.store.mode = 'busy'
    site.store.cut()
    waiting.until(
        lambda: sum(ln['event'] == 'store_lost' for ln in site.log()) == 2,
        'the store lost on both topics')
    for name in platform_site.PLAIN_REPLICAS:
        site.store.put('keyed.servers', name, None)
    site.store.mode = 'ok'


@then('requests are served after its return')
def step_after_return(context):
    site = context.platform
    waiting.until(
        lambda: sum(ln['event'] == 'replica_doubtful'
                    for ln in site.log()) == len(platform_site.PLAIN_REPLICAS),
        'the lapsed records')
    assert platform_site.send_request(context).status == 200, context.reply
    for name in platform_site.PLAIN_REPLICAS:
        site.store.put('keyed.servers', name, site.replicas[name].record())
    time.sleep(3)
    assert platform_site.send_request(context).status == 200, context.reply
    assert not any(ln['event'] == 'replica_gone' for ln in site.log())
