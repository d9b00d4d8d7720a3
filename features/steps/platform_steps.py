"""Steps of the platform feature; the wire itself is in the stand-in."""

import concurrent.futures
import contextlib
import pathlib
import signal
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when

sys.path.append(
    str(pathlib.Path(__file__).resolve().parents[2] / 'platform' / 'tests'))

import standin  # noqa: E402
import wire_callers  # noqa: E402
import wire_replica  # noqa: E402

from gorsefall.standins import ports  # noqa: E402

PATHS = {
    'idempotent': '/i/x?q=1',
    'non_idempotent': '/n/x',
    'streaming': '/s/x',
    'resumable': '/r/x',
}
EVENTS = b''.join(b'id: %d\ndata: piece %d\n\n' % (i, i) for i in range(1, 5))
PLAIN, POOL = ('p1', 'p2'), ('e1', 'e2')


def _rid(context):
    context.count = getattr(context, 'count', 0) + 1
    return f'{context.count:016x}'


def _site(context, configured=True):
    held = context.ports_held = contextlib.ExitStack()
    take = held.enter_context(ports.free())
    site = standin.Site(tempfile.mkdtemp(dir=context.tmp), take)
    held.callback(site.close)
    context.add_cleanup(held.close)
    context.platform = site
    for name in PLAIN:
        site.add(name, 'plain')
    for name in POOL:
        site.add(name, 'pool')
    if configured:
        site.store.put('keyed.op', 'config', standin.config(1))
    return site


def _ask(context, kind='idempotent', **kw):
    site = context.platform
    context.rid = _rid(context)
    context.reply = wire_callers.ask(site.callers, PATHS[kind], context.rid,
                                     **kw)
    return context.reply


def _runs(context, rid):
    found = [(name, req)
             for name, replica in context.platform.replicas.items()
             for req in replica.runs
             if req.headers['attempt-id'] == rid]
    return sorted(found, key=lambda run: run[1].at)


def _script(context, kind, fault):
    # The first replica that gets the request has the fault, the second not:
    # the fault goes to both and is taken back from the other by a marker.
    names = POOL if kind in ('streaming', 'resumable') else PLAIN
    replicas = [context.platform.replicas[n] for n in names]
    shared = _OneFault(fault)
    for replica in replicas:
        replica.script = shared


class _OneFault:
    """A script that several replicas share: one fault, then none."""

    def __init__(self, fault):
        self._left = [fault]

    def __bool__(self):
        return bool(self._left)

    def popleft(self):
        return self._left.pop()


@given('an entry on the platform with two plain and two pool replicas')
def step_entry(context):
    _site(context).start()
    wire_callers.until(
        lambda: wire_callers.status(context.platform.readiness) == 200, 'ready')


@when('a "{kind}" request meets a replica that "{fault}"')
def step_meets(context, kind, fault):
    _script(context, kind, fault)
    context.kind = kind
    _ask(context, kind, body=b'' if kind == 'idempotent' else b'body')


@then('the caller gets status {status:d} and "{body}"')
def step_gets(context, status, body):
    reply = context.reply
    assert reply.status == status, reply
    ran = _runs(context, context.rid)
    if body == 'whole':
        name, req = ran[-1]
        want = f'{name}:{req.method}:{req.target}:'.encode() + req.body
        assert reply.whole and reply.body == want, reply
        assert reply.headers['replica-seal'] == wire_replica.SEAL
    elif body == 'events':
        assert reply.whole and reply.body == EVENTS, reply
        # The head stays that of the first replica.
        seals = {f'{wire_replica.SEAL}.{name}' for name, _ in ran}
        assert reply.headers['replica-seal'] in seals
    elif body == 'broken':
        assert not reply.whole and EVENTS.startswith(reply.body), reply
        assert reply.body, reply
    else:
        assert reply.whole and 'replica-seal' not in reply.headers, reply
        assert ('retry-after' in reply.headers) == (body == 'not run')


@then('the request ran {runs:d} times')
def step_ran(context, runs):
    ran = _runs(context, context.rid)
    assert len(ran) == runs, ran


@given('a third pool replica')
def step_third_pool(context):
    site = context.platform
    site.add('e3', 'pool')
    wire_callers.until(
        lambda: any(ln['event'] == 'replica_seen' and ln['replica'] == 'e3'
                    for ln in site.log()), 'the third replica')


@when('a long answer\'s replica "{fault}" while its copy\'s replica is {copy}')
def step_copied(context, fault, copy):
    # Symptom: a piece came twice, a request ran twice. Sequence: a replica
    # crashes in mid-stream, and the one with the copy with it. Cause: the
    # refused connection there was taken for a request that had not run.
    site = context.platform
    shared = _OneFault(fault)
    replicas = [site.replicas[n] for n in (*POOL, 'e3')]
    for replica in replicas:
        replica.script = shared
    context.rid = _rid(context)
    request = wire_callers.request_bytes(PATHS['streaming'],
                                         context.rid,
                                         body=b'x',
                                         extra=('Model: m',
                                                'Token-Count: 10,400'))
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(request)
        if copy == 'gone':
            wire_callers.until(lambda: _runs(context, context.rid), 'the run')
            (_, req), = _runs(context, context.rid)
            for replica in replicas:
                if replica.addr == req.headers['kv-backup']:
                    replica.close()
        context.reply = wire_callers.read_answer(sock)


@then('it ran once and went on {times:d} times')
def step_went_on(context, times):
    assert len(_runs(context, context.rid)) == 1
    continued = [
        req for replica in context.platform.replicas.values()
        for req in replica.continued
    ]
    assert len(continued) == times, continued


@when('requests follow each other past replicas that answer twice')
def step_twice(context):
    context.replies = []
    for name in PLAIN:
        context.platform.replicas[name].script.extend(
            ['answers twice', 'answers twice later', 'ok'] * 5)
    for _ in range(30):
        context.replies.append(_ask(context) and (context.rid, context.reply))
        time.sleep(0.01)


@then('each caller got its own answer')
def step_own(context):
    for rid, reply in context.replies:
        assert reply.status == 200 and reply.whole, reply
        assert reply.headers['attempt-id'] == rid, reply
        assert len(_runs(context, rid)) == 1


@when('a caller leaves while its "{kind}" request runs')
def step_leaves(context, kind):
    _script(context, kind, 'hangs')
    site = context.platform
    context.rid = _rid(context)
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(wire_callers.request_bytes(PATHS[kind], context.rid))
        wire_callers.until(lambda: _runs(context, context.rid), 'the run')


@then('the replica sees the request\'s channel close')
def step_close_seen(context):
    wire_callers.until(
        lambda: any(context.rid in r.left
                    for r in context.platform.replicas.values()),
        'the closed channel')


@when('a caller sends headers that only the system may set')
def step_forged(context):
    _ask(context,
         'non_idempotent',
         body=b'\x00\xffbody',
         method='PUT',
         extra=('Tenant: desk', 'Expect-Replica: e9', 'Urgency-Class: 0',
                'X-Own: kept', 'Connection: X-Hop', 'X-Hop: dropped'))


@then('the replica got the request\'s own bytes and the system\'s orders')
def step_told(context):
    (name, req), = _runs(context, context.rid)
    assert (req.method, req.target) == ('PUT', PATHS['non_idempotent'])
    assert req.body == b'\x00\xffbody'
    fields = req.headers
    assert fields['tenant'] == 'gate' and fields['expect-replica'] == name
    assert fields['x-own'] == 'kept' and fields['host'] == 'h.example'
    assert 'x-hop' not in fields and 'urgency-class' not in fields
    assert 0 < int(fields['deadline-ms']) <= 1500


@then('the replica did not get the caller\'s key')
def step_no_key(context):
    (_, req), = _runs(context, context.rid)
    assert not any('k-gate' in v for v in req.headers.values()), req.headers


def _bad_request(context, case):
    rid, path = context.rid, PATHS['idempotent']
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
    context.rid = _rid(context)
    with wire_callers.connect(context.platform.callers) as sock:
        sock.sendall(_bad_request(context, case))
        context.reply = wire_callers.read_answer(sock)


@then('the caller gets status {status:d} and no replica saw it')
def step_denied(context, status):
    assert context.reply.status == status, context.reply
    for replica in context.platform.replicas.values():
        assert not replica.seen, replica.seen


@when('the key of "{account}" is taken away')
def step_revoke(context, account):
    assert _ask(context).status == 200
    keys = {k: a for k, a in standin.KEYS.items() if a != account}
    context.platform.store.put('keyed.op', 'config', standin.config(2,
                                                                    keys=keys))


@then('requests with it get status {status:d} soon')
def step_soon(context, status):
    wire_callers.until(lambda: _ask(context).status == status,
                       'the new version')
    assert not _runs(context, context.rid)


@when('requests with a key come for longer than the bound')
def step_long(context):
    # Symptom: some requests are refused while nothing is wrong. Sequence: a
    # read that waits 1 s follows another; just before its answer the proof
    # is 2 s old. Cause: a bound of 2 s, and a wait that knew nothing of it.
    context.replies = []
    end = time.monotonic() + 4
    while time.monotonic() < end:
        context.replies.append(_ask(context))
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
    wire_callers.until(lambda: _ask(context).status == status,
                       'the lapsed proof')
    assert 'retry-after' in context.reply.headers
    wire_callers.until(
        lambda: wire_callers.status(context.platform.readiness) == 503,
        'not ready')


@then('requests on an open route are still served')
def step_open(context):
    reply = wire_callers.ask(context.platform.callers,
                             '/o/x',
                             _rid(context),
                             key=None)
    assert reply.status == 200, reply


@when('the store answers again')
def step_again(context):
    context.platform.store.mode = 'ok'
    context.platform.store.cut()


@then('requests with a key are served again')
def step_served_again(context):
    wire_callers.until(lambda: _ask(context).status == 200, 'service')


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
        reply = wire_callers.ask(context.platform.callers, '/v11/x',
                                 _rid(context))
        return reply.status == 200

    wire_callers.until(served, 'version 11')
    reply = wire_callers.ask(context.platform.callers, '/v10/x', _rid(context))
    assert reply.status == 404, reply


@when('a record that cannot be decoded is written')
def step_spoilt(context):
    store = context.platform.store
    store.put_raw('keyed.op', 'config', b'{"version": "no"')
    store.put_raw('keyed.servers', 'e9', b'{"service": 3}')


@then('it is logged, and requests are still served')
def step_logged(context):
    wire_callers.until(
        lambda: {
            ln['key']
            for ln in context.platform.log()
            if ln['event'] == 'record_spoilt'
        } == {'config', 'e9'}, 'the log lines')
    assert _ask(context).status == 200


@when('a plain replica says that it is draining')
def step_draining(context):
    site = context.platform
    site.store.put('keyed.servers', 'p1',
                   site.replicas['p1'].record('draining'))


@then('it soon gets no new work')
def step_no_work(context):
    replica = context.platform.replicas['p1']

    def quiet():
        before = len(replica.seen)
        for _ in range(10):
            assert _ask(context).status == 200
        return len(replica.seen) == before

    wire_callers.until(quiet, 'no new work')


@when('the store is away while the records of all plain replicas lapse')
def step_lapse(context):
    site = context.platform
    site.store.mode = 'busy'
    site.store.cut()
    wire_callers.until(
        lambda: sum(ln['event'] == 'store_lost' for ln in site.log()) == 2,
        'the store lost on both topics')
    for name in PLAIN:
        site.store.put('keyed.servers', name, None)
    site.store.mode = 'ok'


@then('requests are served after its return')
def step_after_return(context):
    site = context.platform
    wire_callers.until(
        lambda: sum(ln['event'] == 'replica_doubtful'
                    for ln in site.log()) == len(PLAIN), 'the lapsed records')
    assert _ask(context).status == 200, context.reply
    for name in PLAIN:
        site.store.put('keyed.servers', name, site.replicas[name].record())
    time.sleep(3)
    assert _ask(context).status == 200, context.reply
    assert not any(ln['event'] == 'replica_gone' for ln in site.log())


@when('the entry is told to stop while streams run')
def step_stop(context):
    site = context.platform
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futs = [
            pool.submit(wire_callers.ask,
                        site.callers,
                        PATHS['streaming'],
                        _rid(context),
                        body=b'x') for _ in range(8)
        ]
        site.proc.send_signal(signal.SIGTERM)
        context.replies = [f.result() for f in futs]


@then('it is not ready, ends them whole and exits by itself')
def step_stopped(context):
    site = context.platform
    assert wire_callers.status(site.readiness) == 503
    late = wire_callers.ask(site.callers, PATHS['idempotent'], _rid(context))
    assert late.status == 200 and late.headers['connection'] == 'close', late
    for reply in context.replies:
        assert reply.whole and reply.body == EVENTS, reply
    assert site.proc.wait(timeout=20) == 0


@when('the entry is told to stop while callers keep coming')
def step_stop_busy(context):
    # Symptom: a stream cut 80 ms after it began, 3 s after the stop signal.
    # Sequence: the entry has nothing in flight and decides to end; a caller
    # that no other entry could take connects before it does.
    # Cause: requests were read between the decision and the exit.
    site = context.platform
    context.asked = []

    def keep_asking(n):
        while site.proc.poll() is None:
            rid = f'{n:08x}{time.monotonic_ns() & 0xffffffff:08x}'
            try:
                reply = wire_callers.ask(site.callers,
                                         PATHS['streaming'],
                                         rid,
                                         body=b'x')
            except OSError:
                continue
            context.asked.append((rid, reply))

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        futs = [pool.submit(keep_asking, n) for n in range(4)]
        time.sleep(0.1)
        site.proc.send_signal(signal.SIGTERM)
        for fut in futs:
            fut.result()


@then('every request that was handed on was answered whole')
def step_answered_whole(context):
    whole = {rid for rid, reply in context.asked if reply.whole}
    assert len(whole) > 50, len(whole)
    cut = [
        rid for rid, _ in context.asked
        if rid not in whole and _runs(context, rid)
    ]
    assert not cut, cut


@when('the entry is told to stop while a request hangs')
def step_stop_hangs(context):
    # Symptom: a stream cut at the end of the grace time, taken 4.7 s after
    # the stop signal. Sequence: one long answer keeps the entry from ending;
    # callers whom the balancer still sends are served on. Cause: channels
    # were accepted for as long as anything ran.
    site = context.platform
    for name in POOL:
        site.replicas[name].script.append('hangs')
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(
            wire_callers.request_bytes('/l/x', _rid(context),
                                       deadline_ms=60000))
        wire_callers.until(lambda: any(site.replicas[n].runs for n in POOL),
                           'the run')
        site.proc.send_signal(signal.SIGTERM)
        wire_callers.until(lambda: wire_callers.status(site.callers) is None,
                           'refused channels')


@then('it takes no new channel once the balancer had time to notice')
def step_refuses(context):
    events = {ln['event']: ln for ln in context.platform.log()}
    assert events['no_new_channels']['running'] == 1, events.keys()


@when('an entry starts while the store is silent')
def step_start_silent(context):
    site = _site(context, configured=False)
    site.store.mode = 'silent'
    site.start()


@then('it is not ready and answers {status:d}')
def step_unknowing(context, status):
    assert wire_callers.status(context.platform.readiness) == 503
    reply = _ask(context)
    assert reply.status == status, reply
    assert 'retry-after' in reply.headers, reply
