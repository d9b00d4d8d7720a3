"""Steps of the platform feature: changes and faults of the store."""

import time

from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers

from gorsefall.standins import waiting

LAPSE_S = 2.4
"""Shortest outage in which records lapse, s: two of the platform's heartbeats,
the third was due as it began."""


@when('the key of "{account}" is revoked')
def step_revoke(context, account):
    assert platform_site.send_request(context).status == 200
    keys = {k: a for k, a in standin.ACCOUNTS_BY_KEY.items() if a != account}
    context.platform.store.put('keyed.op', 'config', standin.config(2,
                                                                    keys=keys))


@then('requests with that key soon get status {status:d}')
def step_refused_soon(context, status):
    waiting.until(lambda: platform_site.send_request(context).status == status,
                  'the key to be refused')
    assert not platform_site.runs_of(context, context.rid)


@when('requests with a key arrive for longer than the revocation bound')
def step_long_load(context):
    # Guards against requests that are refused without any fault. Two reads that
    # wait 1 s each follow one another; just before the second response the
    # confirmation is 2 s old. With a bound of 2 s, reads must wait for less.
    context.replies = []
    end = time.monotonic() + 4
    while time.monotonic() < end:
        context.replies.append(platform_site.send_request(context))
        time.sleep(0.01)


@then('no request is refused while the store responds')
def step_none_refused(context):
    refused = [r for r in context.replies if r.status != 200]
    assert not refused, refused[0]


@when('the store stops responding')
def step_store_silent(context):
    context.platform.store.switch('silent')


@then('requests with a key get status {status:d} within the revocation bound')
def step_refused_in_bound(context, status):
    waiting.until(lambda: platform_site.send_request(context).status == status,
                  'the confirmation to lapse')
    assert 'retry-after' in context.reply.headers
    waiting.until(
        lambda: wire_callers.status(context.platform.readiness) == 503,
        'the entry to become not ready')


@then('requests on an open route are still served')
def step_open_route(context):
    reply = wire_callers.send_request(context.platform.callers,
                                      '/o/x',
                                      platform_site.new_rid(context),
                                      key=None)
    assert reply.status == 200, reply


@when('the store responds again')
def step_store_returns(context):
    context.platform.store.switch('ok')


@then('requests with a key are served again')
def step_served_again(context):
    waiting.until(lambda: platform_site.send_request(context).status == 200,
                  'the entry to serve requests')


@when('the store drops its history while new versions are written')
def step_drop_history(context):
    store = context.platform.store
    for version in range(2, 12):
        routes = [
            standin.route('v', f'/v{version}/', 'idempotent', 'plain'),
            standin.route('i', '/i/', 'idempotent', 'plain')
        ]
        store.put('keyed.op', 'config', standin.config(version, routes))
        store.forget('keyed.op')
        time.sleep(0.02)


@then('the newest version is active')
def step_newest_active(context):

    def is_served():
        reply = wire_callers.send_request(context.platform.callers, '/v11/x',
                                          platform_site.new_rid(context))
        return reply.status == 200

    waiting.until(is_served, 'version 11')
    reply = wire_callers.send_request(context.platform.callers, '/v10/x',
                                      platform_site.new_rid(context))
    assert reply.status == 404, reply


@when('records that cannot be decoded are written')
def step_malformed(context):
    store = context.platform.store
    store.put_raw('keyed.op', 'config', b'{"version": "no"')
    store.put_raw('keyed.servers', 'e9', b'{"service": 3}')


@then('they are logged, and requests are still served')
def step_malformed_logged(context):
    waiting.until(
        lambda: {
            ln['key']
            for ln in context.platform.log()
            if ln['event'] == 'record_spoilt'
        } == {'config', 'e9'}, 'both records to be logged')
    assert platform_site.send_request(context).status == 200


@when('a plain replica reports that it is draining')
def step_draining(context):
    site = context.platform
    site.store.put('keyed.servers', 'p1',
                   site.replicas['p1'].record('draining'))


@then('it soon receives no new requests')
def step_unused(context):
    replica = context.platform.replicas['p1']

    def is_unused():
        before = len(replica.received_requests)
        for _ in range(10):
            assert platform_site.send_request(context).status == 200
        return len(replica.received_requests) == before

    waiting.until(is_unused, 'no new requests')


@when('the store is unavailable while all plain replicas\' records lapse')
def step_records_lapse(context):
    site = context.platform
    site.store.switch('busy')
    waiting.until(
        lambda: sum(ln['event'] == 'store_lost' for ln in site.log()) == 2,
        'the entry to lose the store on both topics')
    time.sleep(LAPSE_S)
    for name in platform_site.PLAIN_REPLICAS:
        site.store.put('keyed.servers', name, None)
    site.store.mode = 'ok'


@then('requests are served when the store is available again')
def step_served_after_lapse(context):
    site = context.platform
    waiting.until(
        lambda: sum(ln['event'] == 'replica_doubtful'
                    for ln in site.log()) == len(platform_site.PLAIN_REPLICAS),
        'the records to lapse')
    platform_site.wait_until_ready([site])
    assert platform_site.send_request(context).status == 200, context.reply
    for name in platform_site.PLAIN_REPLICAS:
        site.store.put('keyed.servers', name, site.replicas[name].record())
    time.sleep(3)
    assert platform_site.send_request(context).status == 200, context.reply
    assert not any(ln['event'] == 'replica_gone' for ln in site.log())
