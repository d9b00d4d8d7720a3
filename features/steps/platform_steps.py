"""Steps of the platform feature: requests and their responses."""

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
def step_one_replica(context):
    *removed, _ = platform_site.POOL_REPLICAS
    for name in removed:
        context.platform.store.put('keyed.servers', name, None)
    waiting.until(
        lambda: sum(ln['event'] == 'replica_gone'
                    for ln in context.platform.log()) == len(removed),
        'the entry to remove the replicas')


@when('a "{kind}" request meets a replica that "{fault}"')
def step_send_with_fault(context, kind, fault):
    platform_site.script_fault(context, kind, fault)
    context.kind = kind
    platform_site.send_request(context,
                               kind,
                               body=b'' if kind == 'idempotent' else b'body')


@then('the caller gets status {status:d} and "{body}"')
def step_response(context, status, body):
    reply = context.reply
    assert reply.status == status, reply
    runs = platform_site.runs_of(context, context.rid)
    if body in ('whole', 'whole of the first run'):
        name, req = runs[-1 if body == 'whole' else 0]
        expected = f'{name}:{req.method}:{req.target}:'.encode() + req.body
        assert reply.complete and reply.body == expected, reply
        assert reply.headers['replica-seal'] == wire_replica.SEAL
    elif body == 'events':
        assert reply.complete and reply.body == platform_site.STREAM_BODY, reply
        # The headers are those of the first replica.
        seals = {f'{wire_replica.SEAL}.{name}' for name, _ in runs}
        assert reply.headers['replica-seal'] in seals
    elif body == 'broken':
        assert not reply.complete and platform_site.STREAM_BODY.startswith(
            reply.body), reply
        assert reply.body, reply
    else:
        assert reply.complete and 'replica-seal' not in reply.headers, reply
        assert ('retry-after' in reply.headers) == (body == 'not run')


@then('the request ran {count:d} times')
def step_run_count(context, count):
    runs = platform_site.runs_of(context, context.rid)
    assert len(runs) == count, runs


@given('a third pool replica')
def step_third_pool(context):
    site = context.platform
    site.add('e3', 'pool')
    waiting.until(
        lambda: any(ln['event'] == 'replica_seen' and ln['replica'] == 'e3'
                    for ln in site.log()), 'the entry to see the third replica')


@when('the replica of a long response "{fault}" while its KV backup\'s replica '
      'is {copy}')
def step_backup(context, fault, copy):
    # Guards against a repeated event or a second run when a replica crashes in
    # the middle of a stream together with the replica that holds its KV backup:
    # the connection refused there must not count as a request that has not run.
    replicas = _pool_of_three(context)

    def close_backup(req):
        # Runs before the first event. If the step polled for the run instead,
        # the run could be over and resumed before the backup's replica closes.
        for replica in replicas:
            if replica.addr == req.headers['kv-backup']:
                replica.close()

    if copy == 'gone':
        for replica in replicas:
            replica.on_run = close_backup
    _send_long(context, fault)


@when('the replica of a long response "{first}", and the one that restores it '
      '"{second}"')
def step_restored_fault(context, first, second):
    _send_long(context, first, second)


def _pool_of_three(context):
    return [
        context.platform.replicas[n]
        for n in (*platform_site.POOL_REPLICAS, 'e3')
    ]


def _send_long(context, *faults):
    """Sends a request whose run is backed up; its replicas have the faults."""
    site = context.platform
    shared = platform_site.SharedScript(*faults)
    for replica in _pool_of_three(context):
        replica.script = shared
    context.rid = platform_site.new_rid(context)
    request = wire_callers.request_bytes(
        platform_site.PATH_BY_KIND['streaming'],
        context.rid,
        body=b'x',
        extra=('Model: m', 'Token-Count: 10,400'))
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(request)
        context.reply = wire_callers.read_response(sock)


@then('it ran once and was resumed {times:d} times')
def step_resumed(context, times):
    assert len(platform_site.runs_of(context, context.rid)) == 1
    resumed = [
        req for replica in context.platform.replicas.values()
        for req in replica.resumed_requests
    ]
    assert len(resumed) == times, resumed


@when('requests are sent one after another to replicas that answer twice')
def step_double_responses(context):
    context.replies = []
    for name in platform_site.PLAIN_REPLICAS:
        context.platform.replicas[name].script.extend(
            ['answers twice', 'answers twice later', 'ok'] * 5)
    for _ in range(30):
        context.replies.append(
            platform_site.send_request(context) and
            (context.rid, context.reply))
        time.sleep(0.01)


@then('each caller got its own response')
def step_own_response(context):
    for rid, reply in context.replies:
        assert reply.status == 200 and reply.complete, reply
        assert reply.headers['attempt-id'] == rid, reply
        assert len(platform_site.runs_of(context, rid)) == 1


@when('a caller disconnects while its "{kind}" request runs')
def step_disconnect(context, kind):
    platform_site.script_fault(context, kind, 'hangs')
    site = context.platform
    context.rid = platform_site.new_rid(context)
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(
            wire_callers.request_bytes(platform_site.PATH_BY_KIND[kind],
                                       context.rid))
        waiting.until(lambda: platform_site.runs_of(context, context.rid),
                      'the request to run')


@then('the replica sees the request\'s connection close')
def step_close_seen(context):
    waiting.until(
        lambda: any(context.rid in r.abandoned_at
                    for r in context.platform.replicas.values()),
        'the replica to see the closed connection')


@when('a caller sends headers that only the entry may set')
def step_reserved_headers(context):
    platform_site.send_request(context,
                               'non_idempotent',
                               body=b'\x00\xffbody',
                               method='PUT',
                               extra=('Tenant: desk', 'Expect-Replica: e9',
                                      'Urgency-Class: 0', 'X-Own: kept',
                                      'Connection: X-Hop', 'X-Hop: dropped'))


@then('the replica got the request unchanged and the entry\'s own headers')
def step_received_headers(context):
    (name, req), = platform_site.runs_of(context, context.rid)
    assert (req.method,
            req.target) == ('PUT', platform_site.PATH_BY_KIND['non_idempotent'])
    assert req.body == b'\x00\xffbody'
    headers = req.headers
    assert headers['tenant'] == 'gate' and headers['expect-replica'] == name
    assert headers['x-own'] == 'kept' and headers['host'] == 'h.example'
    assert 'x-hop' not in headers and 'urgency-class' not in headers
    assert 0 < int(headers['deadline-ms']) <= 1500


@then('the replica did not get the caller\'s key')
def step_no_key(context):
    (_, req), = platform_site.runs_of(context, context.rid)
    assert not any('k-gate' in v for v in req.headers.values()), req.headers


def _bad_request(context, case):
    rid, path = context.rid, platform_site.PATH_BY_KIND['idempotent']
    encode = wire_callers.request_bytes
    return {
        'an unknown path': lambda: encode('/none/x', rid),
        'an unknown host': lambda: encode(path, rid, host='other.example'),
        'an unknown key': lambda: encode(path, rid, key='k-none'),
        'no key': lambda: encode(path, rid, key=None),
        'no request id': lambda: encode(path, rid).replace(b'Attempt-Id', b'X'),
        'a large head': lambda: encode(path, rid, extra=('X: ' + 'a' * 9000,)),
        'a large body': lambda: encode(path, rid, body=b'a' * 30000),
        'no request': lambda: b'\x16\x03\x01 hello\r\n\r\n',
    }[case]()


@when('a caller sends "{case}"')
def step_bad_request(context, case):
    context.rid = platform_site.new_rid(context)
    with wire_callers.connect(context.platform.callers) as sock:
        sock.sendall(_bad_request(context, case))
        context.reply = wire_callers.read_response(sock)


@then('the caller gets status {status:d} and no replica received it')
def step_denied(context, status):
    assert context.reply.status == status, context.reply
    for replica in context.platform.replicas.values():
        assert not replica.received_requests, replica.received_requests
