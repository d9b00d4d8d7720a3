"""Steps of the platform feature: requests and their answers."""

import time

from behave import given
from behave import then
from behave import when
from steps import platform_site

import wire_callers
import wire_replica

from gorsefall.standins import waiting


@given('an entry on the platform with two plain and two pool replicas')
def step_entry(context):
    platform_site.new_site(context).start()
    waiting.until(
        lambda: wire_callers.status(context.platform.readiness) == 200, 'ready')


@given('only one pool replica is left')
def step_one_left(context):
    *gone, _ = platform_site.POOL_REPLICAS
    for name in gone:
        context.platform.store.put('keyed.servers', name, None)
    waiting.until(
        lambda: sum(ln['event'] == 'replica_gone'
                    for ln in context.platform.log()) == len(gone),
        'the replicas that left')


@when('a "{kind}" request meets a replica that "{fault}"')
def step_meets(context, kind, fault):
    platform_site.script_fault(context, kind, fault)
    context.kind = kind
    platform_site.send_request(context,
                               kind,
                               body=b'' if kind == 'idempotent' else b'body')


@then('the caller gets status {status:d} and "{body}"')
def step_gets(context, status, body):
    reply = context.reply
    assert reply.status == status, reply
    ran = platform_site.runs_of(context, context.rid)
    if body == 'whole':
        name, req = ran[-1]
        want = f'{name}:{req.method}:{req.target}:'.encode() + req.body
        assert reply.complete and reply.body == want, reply
        assert reply.headers['replica-seal'] == wire_replica.SEAL
    elif body == 'events':
        assert reply.complete and reply.body == platform_site.STREAM_BODY, reply
        # The head stays that of the first replica.
        seals = {f'{wire_replica.SEAL}.{name}' for name, _ in ran}
        assert reply.headers['replica-seal'] in seals
    elif body == 'broken':
        assert not reply.complete and platform_site.STREAM_BODY.startswith(
            reply.body), reply
        assert reply.body, reply
    else:
        assert reply.complete and 'replica-seal' not in reply.headers, reply
        assert ('retry-after' in reply.headers) == (body == 'not run')


@then('the request ran {runs:d} times')
def step_ran(context, runs):
    ran = platform_site.runs_of(context, context.rid)
    assert len(ran) == runs, ran


@given('a third pool replica')
def step_third_pool(context):
    site = context.platform
    site.add('e3', 'pool')
    waiting.until(
        lambda: any(ln['event'] == 'replica_seen' and ln['replica'] == 'e3'
                    for ln in site.log()), 'the third replica')


@when('a long answer\'s replica "{fault}" while its copy\'s replica is {copy}')
def step_copied(context, fault, copy):
    # Symptom: a piece came twice, a request ran twice. Sequence: a replica
    # crashes in mid-stream, and the one with the copy with it. Cause: the
    # refused connection there was taken for a request that had not run.
    site = context.platform
    shared = platform_site.OneFault(fault)
    replicas = [site.replicas[n] for n in (*platform_site.POOL_REPLICAS, 'e3')]

    def copy_goes(req):
        # Before the first event: looked for from here, the run was at times
        # over and gone on with when its copy's replica went.
        for replica in replicas:
            if replica.addr == req.headers['kv-backup']:
                replica.close()

    for replica in replicas:
        replica.script = shared
        if copy == 'gone':
            replica.on_run = copy_goes
    context.rid = platform_site.new_rid(context)
    request = wire_callers.request_bytes(
        platform_site.PATH_BY_KIND['streaming'],
        context.rid,
        body=b'x',
        extra=('Model: m', 'Token-Count: 10,400'))
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(request)
        context.reply = wire_callers.read_response(sock)


@then('it ran once and went on {times:d} times')
def step_went_on(context, times):
    assert len(platform_site.runs_of(context, context.rid)) == 1
    continued = [
        req for replica in context.platform.replicas.values()
        for req in replica.resumed_requests
    ]
    assert len(continued) == times, continued


@when('requests follow each other past replicas that answer twice')
def step_twice(context):
    context.replies = []
    for name in platform_site.PLAIN_REPLICAS:
        context.platform.replicas[name].script.extend(
            ['answers twice', 'answers twice later', 'ok'] * 5)
    for _ in range(30):
        context.replies.append(
            platform_site.send_request(context) and
            (context.rid, context.reply))
        time.sleep(0.01)


@then('each caller got its own answer')
def step_own(context):
    for rid, reply in context.replies:
        assert reply.status == 200 and reply.complete, reply
        assert reply.headers['attempt-id'] == rid, reply
        assert len(platform_site.runs_of(context, rid)) == 1


@when('a caller leaves while its "{kind}" request runs')
def step_leaves(context, kind):
    platform_site.script_fault(context, kind, 'hangs')
    site = context.platform
    context.rid = platform_site.new_rid(context)
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(
            wire_callers.request_bytes(platform_site.PATH_BY_KIND[kind],
                                       context.rid))
        waiting.until(lambda: platform_site.runs_of(context, context.rid),
                      'the run')


@then('the replica sees the request\'s channel close')
def step_close_seen(context):
    waiting.until(
        lambda: any(context.rid in r.abandoned_ids
                    for r in context.platform.replicas.values()),
        'the closed channel')


@when('a caller sends headers that only the system may set')
def step_forged(context):
    platform_site.send_request(context,
                               'non_idempotent',
                               body=b'\x00\xffbody',
                               method='PUT',
                               extra=('Tenant: desk', 'Expect-Replica: e9',
                                      'Urgency-Class: 0', 'X-Own: kept',
                                      'Connection: X-Hop', 'X-Hop: dropped'))


@then('the replica got the request\'s own bytes and the system\'s orders')
def step_told(context):
    (name, req), = platform_site.runs_of(context, context.rid)
    assert (req.method,
            req.target) == ('PUT', platform_site.PATH_BY_KIND['non_idempotent'])
    assert req.body == b'\x00\xffbody'
    fields = req.headers
    assert fields['tenant'] == 'gate' and fields['expect-replica'] == name
    assert fields['x-own'] == 'kept' and fields['host'] == 'h.example'
    assert 'x-hop' not in fields and 'urgency-class' not in fields
    assert 0 < int(fields['deadline-ms']) <= 1500


@then('the replica did not get the caller\'s key')
def step_no_key(context):
    (_, req), = platform_site.runs_of(context, context.rid)
    assert not any('k-gate' in v for v in req.headers.values()), req.headers


def _bad_request(context, case):
    rid, path = context.rid, platform_site.PATH_BY_KIND['idempotent']
    make = wire_callers.request_bytes
    return {
        'an unknown path': lambda: make('/none/x', rid),
        'an unknown host': lambda: make(path, rid, host='other.example'),
        'an unknown key': lambda: make(path, rid, key='k-none'),
        'no key': lambda: make(path, rid, key=None),
        'no request id': lambda: make(path, rid).replace(b'Attempt-Id', b'X'),
        'a large head': lambda: make(path, rid, extra=('X: ' + 'a' * 9000,)),
        'a large body': lambda: make(path, rid, body=b'a' * 30000),
        'no request': lambda: b'\x16\x03\x01 hello\r\n\r\n',
    }[case]()


@when('a caller sends "{case}"')
def step_bad(context, case):
    context.rid = platform_site.new_rid(context)
    with wire_callers.connect(context.platform.callers) as sock:
        sock.sendall(_bad_request(context, case))
        context.reply = wire_callers.read_response(sock)


@then('the caller gets status {status:d} and no replica saw it')
def step_denied(context, status):
    assert context.reply.status == status, context.reply
    for replica in context.platform.replicas.values():
        assert not replica.received_requests, replica.received_requests
