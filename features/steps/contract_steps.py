"""Steps of the stand-ins' contract feature."""

import http.client
import json
import time

from behave import given
from behave import then
from behave import when
from steps import common

from gorsefall.standins import waiting

BATCH_SIZE = 16


def _append(context, stream, records):
    return common.http('POST', common.standin_addr(context, 'log'),
                       f'/streams/{stream}/append', {'records': records})


def _read(context, stream, start=0):
    return common.http('GET', common.standin_addr(context, 'log'),
                       f'/streams/{stream}/read?start={start}&limit=100')


# -- log service ---------------------------------------------------------------


@when('{n:d} records are appended to stream "{stream}" and {m:d} more after '
      'them')
def step_two_appends(context, n, stream, m):
    context.stream, context.total = stream, n + m
    context.offsets = [
        _append(context, stream, [{
            'x': i
        } for i in range(a, b)])[1]['offset'] for a, b in ((0, n), (n, n + m))
    ]


@then('the appends began at offsets {a:d} and {b:d} and all {n:d} are read '
      'back in order')
def step_offsets(context, a, b, n):
    assert context.offsets == [a, b], context.offsets
    _, obj, _ = _read(context, context.stream)
    got = [(r['offset'], r['data']['x']) for r in obj['records']]
    assert got == [(i, i) for i in range(n)], got


@when('a record is appended to stream "{stream}"')
def step_append(context, stream):
    context.stream = stream
    t0 = time.monotonic()
    try:
        context.status, context.obj, _ = _append(context, stream, [{'x': 1}])
    except OSError:
        context.status, context.obj = None, None
    context.duration_s = time.monotonic() - t0


@then('the append {got} and the stream holds {n:d} records')
def step_append_got(context, got, n):
    if got == 'is refused':
        assert context.status in (429, 503), context.status
        assert context.obj['error']['not_run'] is True, context.obj
    elif got == 'gets no reply':
        assert context.status is None, context.obj
    else:
        assert context.status == 200 and context.duration_s >= 0.7
    common.set_faults(context, 'log', **common.FAULTS_OFF, max_appends_per_s=0)
    _, obj, _ = _read(context, context.stream)
    assert len(obj['records']) == n, obj


@when('stream "{stream}" keeps only the newest {n:d} records')
def step_trim(context, stream, n):
    common.http('POST', common.standin_addr(context, 'log'), f'/trim/{stream}',
                {'keep': n})


@then('a read of "{stream}" from 0 gets status 410 with start {start:d} '
      'and end {end:d}')
def step_410(context, stream, start, end):
    status, obj, _ = _read(context, stream)
    assert (status, obj['start'], obj['end']) == (410, start, end), obj


# -- engine --------------------------------------------------------------------


def _generate(context, name, rid, prompt='p', **order):
    """Sends an order; returns the connection and its response, unread."""
    conn = http.client.HTTPConnection(common.standin_addr(context, name),
                                      timeout=waiting.TIMEOUT_S)
    conn.request('POST', '/generate',
                 json.dumps({
                     'id': rid,
                     'prompt': prompt,
                     **order
                 }), {'Content-Type': 'application/json'})
    return conn, conn.getresponse()


def _events(context, name, rid, **order):
    conn, res = _generate(context, name, rid, **order)
    events = [json.loads(line) for line in res.read().splitlines()]
    conn.close()
    return [e for e in events if e.get('n')]


def _stats(context, name):
    return common.http('GET', common.standin_addr(context, name), '/stats')[1]


@when('engine "{name}" generates a complete response and again from token '
      '{n:d}')
def step_resume(context, name, n):
    context.resume_at = n
    context.complete = _events(context, name, 'whole', prompt='the answer')
    context.rest = _events(context,
                           name,
                           'rest',
                           prompt='the answer',
                           resume_from=n)


@then('the second response is the first one\'s tokens from {n:d} on')
def step_rest(context, n):
    assert context.rest[-1]['done'] and context.complete[-1]['done']
    assert context.rest[:-1] == context.complete[n:-1], context.rest[:3]
    assert context.rest[-1] == context.complete[-1]


@given('the batch of "{name}" is full of requests of priority 4')
def step_full_batch(context, name):
    context.name = name
    common.set_faults(context, name, slow=1000)
    context.conns = [
        _generate(context, name, f'low-{i}', priority=4)[0]
        for i in range(BATCH_SIZE + 2)
    ]
    waiting.until(lambda: _stats(context, name)['running'] == BATCH_SIZE,
                  'a full batch')


@when('a request of priority 1 and one of priority 1 that must not preempt '
      'arrive')
def step_urgent_arrive(context):
    before = _stats(context, context.name).get('preempted_4', 0)
    context.conns.append(_generate(context, context.name, 'top', priority=1)[0])
    context.conns.append(
        _generate(context, context.name, 'meek', priority=1, preempt=False)[0])
    waiting.until(
        lambda: _stats(context, context.name).get('preempted_4', 0) > before,
        'the urgent request to preempt')
    context.preempted = _stats(context, context.name)['preempted_4'] - before


@then('the first runs at once and the second waits')
def step_first_runs(context):
    stats = _stats(context, context.name)
    assert context.preempted == 1, context.preempted
    assert stats['running'] == BATCH_SIZE and stats['waiting'] == 4, stats


@then('a waiting request raised to priority 1 goes before the others')
def step_raise_priority(context):
    addr = common.standin_addr(context, context.name)
    _, obj, _ = common.http('POST', addr, '/priority', {
        'id': f'low-{BATCH_SIZE + 1}',
        'priority': 1
    })
    assert obj == {'found': True}, obj
    for rid in ('low-1', 'low-2'):
        common.http('POST', addr, '/cancel', {'id': rid})
    for expected in ('meek', f'low-{BATCH_SIZE + 1}'):
        waiting.until(lambda r=expected: r in _running(context),
                      f'{expected} to run')
    for conn in context.conns:
        conn.close()
    common.set_faults(context, context.name, slow=1)


def _running(context):
    return _stats(context, context.name)['running_ids']


def _prefilled_tokens(context, name, words, rid):
    before = _stats(context, name).get('prefill_tokens', 0)
    _events(context, name, rid, prompt=words, max_tokens=1)
    return _stats(context, name)['prefill_tokens'] - before


def _prompt(tag, n):
    return ' '.join(f'{tag}{i}' for i in range(n))


@when('"{name}" prefills a prompt of {n:d} words twice')
def step_prefill_twice(context, name, n):
    context.words = _prompt('b', n)
    context.prefilled = [
        _prefilled_tokens(context, name, context.words, f'cold-{i}')
        for i in (0, 1)
    ]
    assert context.prefilled[0] == n, context.prefilled


@then('the second time it prefilled fewer than {n:d} of them')
def step_cached(context, n):
    assert context.prefilled[1] < n, context.prefilled


@when('its KV blocks are exported to "{other}"')
def step_export(context, other):
    conn, _ = _generate(context,
                        'engine-3',
                        'kv',
                        prompt=context.words,
                        max_tokens=100)
    _, obj, _ = common.http('POST', common.standin_addr(context, 'engine-3'),
                            '/kv/export', {'id': 'kv'})
    conn.close()
    assert len(obj['blocks']) == 10, obj
    common.http('POST', common.standin_addr(context, other), '/kv/import', obj)


@then('"{name}" prefills fewer than {n:d} of them')
def step_imported(context, name, n):
    assert _prefilled_tokens(context, name, context.words, 'imported') < n


@given('"{name}" drops half of its cache events and lags by 1 s')
def step_lossy_events(context, name):
    common.set_faults(context, name, drop_events=0.5, lag_s=1.0)


@when('"{name}" prefills a prompt of {n:d} words')
def step_prefill(context, name, n):
    context.name = name
    addr = common.standin_addr(context, name)
    context.since = max(
        (e['seq'] for e in common.http('GET', addr, '/events')[1]), default=0)
    context.t0 = time.monotonic()
    _events(context, name, 'events', prompt=_prompt('g', n), max_tokens=1)


def _new_events(context):
    addr = common.standin_addr(context, context.name)
    return common.http('GET', addr, f'/events?since={context.since}')[1]


@then('its events arrive no sooner than the lag, with gaps in their numbers')
def step_events(context):
    waiting.until(lambda: _new_events(context), 'cache events')
    assert time.monotonic() - context.t0 >= 1.0
    time.sleep(0.2)
    seqs = [e['seq'] for e in _new_events(context)]
    assert len(seqs) < seqs[-1] - seqs[0] + 1 or len(seqs) < 50, seqs
    common.set_faults(context, context.name, drop_events=0.0, lag_s=0.0)


@given('"{name}" {does} old fencing tokens')
def step_check_fences(context, name, does):
    context.name = name
    common.set_faults(context, name, check_fence=does == 'refuses')


@when('it gets orders with fencing tokens 5, 7 and 6')
def step_orders(context):
    addr = common.standin_addr(context, context.name)
    context.replies = [
        common.http('POST', addr, '/order', {
            'kind': 'load_model',
            'value': 'm',
            'fence': f
        }) for f in (5, 7, 6)
    ]


@then('the last order gets status {status:d}')
def step_last_order(context, status):
    assert context.replies[-1][0] == status, context.replies[-1]


@given('"{name}" lags by {lag:g} s')
def step_lag(context, name, lag):
    context.name, context.lag = name, lag
    common.set_faults(context, name, lag_s=lag)
    # Runs of earlier scenarios must be out of the report's window, or they can
    # show the expected number too early.
    time.sleep(lag + 0.2)
    _, report, _ = common.http('GET', common.standin_addr(context, name),
                               '/load')
    assert report['running'] == 0, report


@when('{n:d} requests start at "{name}"')
def step_start(context, n, name):
    common.set_faults(context, name, slow=1000)
    context.n, context.t0 = n, time.monotonic()
    context.conns = [_generate(context, name, f'load-{i}')[0] for i in range(n)]


@then('its load report shows them only after the lag')
def step_load(context):
    addr = common.standin_addr(context, context.name)

    def is_shown():
        return common.http('GET', addr, '/load')[1]['running'] == context.n

    waiting.until(is_shown, 'the load report')
    assert time.monotonic() - context.t0 >= context.lag
    for conn in context.conns:
        conn.close()
    common.set_faults(context, context.name, slow=1, lag_s=0.0)


@when('the weights of a model are read {n:d} times at once')
def step_weights(context, n):
    addr = common.standin_addr(context, 'weights')
    context.replies = [
        common.http('GET', addr, '/weights/big') for _ in range(n)
    ]


@then('{n:d} reads succeed and the others get a retry time')
def step_limited(context, n):
    codes = [r[0] for r in context.replies]
    assert codes.count(200) == n and set(codes) == {200, 429}, codes
    assert all(r[2]['Retry-After'] for r in context.replies if r[0] == 429)
