"""Steps of the feature on each caller's own response."""

import concurrent.futures
import http.client
import json
import socket
import threading

from behave import given
from behave import then
from behave import when
from steps import caller_steps
from steps import common

from gorsefall.standins import waiting

BOOKING = ('booking-1', 'booking-2', 'booking-3')
CUSTOMERS = ('traveller-app', 'hotel-desk', 'kiosk', 'staff', 'concierge',
             'dispatcher', 'airline-ops', 'city-transit')
ENGINES = tuple(f'engine-{i}' for i in range(1, 6))


def charge(context, customer, key, name):
    return common.http('POST',
                       common.entry_addr(context, name),
                       '/v1/services/booking/charge', {'who': customer},
                       headers={
                           'X-Customer': customer,
                           'X-Class': 'booking-charge',
                           'Idempotency-Key': key
                       })


def runs(context):
    counts = {}
    for rep in BOOKING:
        _, obj, _ = common.http('GET', common.standin_addr(context, rep),
                                '/stats')
        for key, n in obj['runs'].items():
            counts[key] = counts.get(key, 0) + n
    return counts


@given('the booking replica "{name}" truncates its next {n:d} replies')
def step_truncate_one(context, name, n):
    common.set_faults(context, name, cut_reply=n)


@given('every booking replica truncates its next {n:d} replies')
def step_truncate_all(context, n):
    for name in BOOKING:
        common.set_faults(context, name, cut_reply=n)


@then('the booking replicas send complete replies again')
def step_send_complete(context):
    for name in BOOKING:
        common.set_faults(context, name, cut_reply=0)


@when('"{customer}" makes {n:d} seat queries')
def step_queries(context, customer, n):
    context.replies = [
        common.http('POST',
                    common.entry_addr(context),
                    '/v1/services/booking/seat_query', {'n': i},
                    headers={
                        'X-Customer': customer,
                        'X-Class': 'seat-query'
                    }) for i in range(n)
    ]


@then('every seat query got its own complete response')
def step_complete(context):
    for i, (status, obj, _) in enumerate(context.replies):
        assert status == 200 and obj['args'] == {'n': i}, (status, obj)


@when('"{customer}" charges with key "{key}" at {name}')
def step_charge_one(context, customer, key, name):
    context.reply = charge(context, customer, key, name)
    context.charges = getattr(context, 'charges',
                              []) + [(customer, context.reply)]


@then('both charges ran, each for its own customer')
def step_both(context):
    for customer, (status, obj, _) in context.charges:
        assert status == 200, (status, obj)
        assert obj['args'] == {'who': customer}, (customer, obj)


@when('{n:d} charges with different keys are sent at once through both entries')
def step_many(context, n):
    with concurrent.futures.ThreadPoolExecutor(n) as pool:
        futs = [
            pool.submit(charge, context, CUSTOMERS[i % len(CUSTOMERS)],
                        f'many-{i}', ('entry-a', 'entry-b')[i % 2])
            for i in range(n)
        ]
        context.replies = [f.result() for f in futs]


@then('each of the {n:d} keys ran exactly once and got status 200')
def step_each_once(context, n):
    failed = [r[:2] for r in context.replies if r[0] != 200]
    assert not failed, failed
    run_counts = runs(context)
    keys = {k: v for k, v in run_counts.items() if 'many-' in k}
    assert len(keys) == n and set(keys.values()) == {1}, keys


@given('engines step slowly')
def step_slow(context):
    for name in ENGINES:
        common.set_faults(context, name, slow=100)


@then('engines step normally')
def step_normal(context):
    for conn in getattr(context, 'open_conns', []):
        conn.close()
    for name in ENGINES:
        common.set_faults(context, name, slow=1)


def _open_stream(context, i):
    conn = http.client.HTTPConnection(common.entry_addr(context, 'entry-a'),
                                      timeout=waiting.TIMEOUT_S)
    body = json.dumps({
        'model': 'default',
        'stream': True,
        'messages': [{
            'role': 'user',
            'content': f'leaver {i} ' * 9
        }]
    })
    conn.request(
        'POST', '/v1/chat/completions', body, {
            'X-Customer': CUSTOMERS[i % len(CUSTOMERS)],
            'X-Class': 'seat',
            'Content-Type': 'application/json'
        })
    return conn


def _disconnect_after_first(context, i):
    conn = _open_stream(context, i)
    res = conn.getresponse()
    assert res.status == 200, res.read()
    assert res.readline().startswith(b'data: ')
    conn.sock.close() if conn.sock else None
    res.close()
    conn.close()


@when('{n:d} callers disconnect from entry-a after their first token')
def step_disconnect(context, n):
    threads = [
        threading.Thread(target=_disconnect_after_first, args=(context, i))
        for i in range(n)
    ]
    for t in threads:
        t.start()
    for t in threads:
        t.join()


def status(context):
    return common.http('GET', common.entry_addr(context, 'entry-a'),
                       '/status')[1]


@then('no replica has requests in flight from entry-a')
def step_no_inflight(context):
    waiting.until(lambda: status(context)['running'] == 0, 'requests to end')
    in_flight = {
        r['name']: r['inflight']
        for r in status(context)['replicas']
        if r['inflight']
    }
    assert not in_flight, in_flight


@then('the tokens of the abandoned responses count as wasted')
def step_wasted(context):
    text = common.http('GET', common.entry_addr(context), '/metrics')[1]
    wasted = sum(
        float(line.rsplit(' ', 1)[1])
        for line in text.splitlines()
        if line.startswith('gorsefall_wasted_tokens_total'))
    assert wasted >= 8, wasted


@given('every slot of the pool is taken')
def step_fill(context):
    slots = context.cfg['entry-a'].entry.slots_per_replica * len(ENGINES)
    context.open_conns = []

    def fill():
        st = status(context)
        if sum(st['queues'].get('llm', {}).values()) >= 20:
            return True
        n = len(context.open_conns)
        context.open_conns += [_open_stream(context, n + i) for i in range(4)]
        return False

    waiting.until(fill, f'{slots} slots to be taken')


@when('a request with a deadline of {ms:d} ms arrives at entry-a')
def step_deadline(context, ms):
    context.reply = common.chat(context,
                                'staff',
                                'driver-notice',
                                headers={'X-Deadline-Ms': str(ms)})


def _raw_request(method, path, body, headers):
    lines = [f'{method} {path} HTTP/1.1', 'Host: test']
    lines += [f'{k}: {v}' for k, v in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def _read_until_idle(sock, idle_s=0.4):
    sock.settimeout(idle_s)
    data = b''
    try:
        while chunk := sock.recv(65536):
            data += chunk
    except TimeoutError:
        pass
    return data


@when('a caller sends {case} and then a health check on one connection')
def step_two_on_one(context, case):
    path, raw, headers = caller_steps.CASES[case]
    hdrs = {'X-Customer': 'traveller-app', 'X-Class': 'seat'} | headers
    host, _, port = common.entry_addr(context).partition(':')
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(_raw_request('POST', path, raw, hdrs))
        context.first = _read_until_idle(sock)
        sock.sendall(_raw_request('GET', '/healthz', b'', {}))
        context.second = _read_until_idle(sock)


@then('the connection carried exactly the refusal {code:d} and the health '
      'reply')
def step_one_reply_each(context, code):
    assert context.first.count(b'HTTP/1.1 ') == 1, context.first
    assert context.first.startswith(f'HTTP/1.1 {code}'.encode())
    assert context.second.count(b'HTTP/1.1 ') == 1, context.second
    assert context.second.endswith(b'{"ok":true}'), context.second


@when('"{customer}" asks class "{klass}" with a prompt of {n:d} words')
def step_long_prompt(context, customer, klass, n):
    context.reply = common.chat(context,
                                customer,
                                klass,
                                prompt=' '.join(f'p{i}' for i in range(n)))


@then('the reply has status {code:d} and a complete text')
def step_complete_text(context, code):
    got, obj, _ = context.reply
    assert got == code, (got, obj)
    words = obj['choices'][0]['message']['content'].split()
    assert words == [f'w{i}' for i in range(len(words))] and words, words
