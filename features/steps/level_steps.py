"""Steps of the service levels feature."""

import concurrent.futures
import itertools
import threading
import time

from behave import given
from behave import then
from behave import when
from steps import common
from steps import own_steps

from gorsefall.standins import waiting

CUSTOMERS = (*own_steps.CUSTOMERS, 'partner-api', 'tour-desk')
SLOW_FACTORS = {'twentieth': 20}
FAULTS = {
    'is slow': {
        'slow': 20
    },
    'crashes': {
        'crash_after': 0
    },
    'is down': {
        'outage': True
    },
}

QUOTA_REFILL_S = 0.3
"""Time in which an account may send three more notices to one entry, s."""


def _send_chat(context, klass, i, customer=None):
    return common.chat(context,
                       customer or CUSTOMERS[i % len(CUSTOMERS)],
                       klass,
                       prompt=f'{klass} {i}')


def _start_requests(context, klass, n):
    pool = concurrent.futures.ThreadPoolExecutor(n)
    futs = [pool.submit(_send_chat, context, klass, i) for i in range(n)]
    pool.shutdown(wait=False)
    return futs


def _admitted(context):
    return own_steps.status(context)['running'] + sum(_queue(context).values())


def _queue(context):
    return own_steps.status(context)['queues'].get('llm', {})


def _assert_complete(reply):
    status, obj, _ = reply
    assert status == 200, obj
    words = obj['choices'][0]['message']['content'].split()
    assert words == [f'w{i}' for i in range(len(words))] and words, words


def _stats(context, key):
    return {
        n:
            common.http('GET', common.standin_addr(context, n), '/stats')
            [1].get(key, 0) for n in own_steps.ENGINES
    }


@given('engines step at a {part} of their speed')
def step_slow_engines(context, part):
    # At a tenth of their speed, ten or more notices wait for only 0.3 s. On a
    # loaded machine the step that polls for them can be delayed for as long and
    # then times out waiting for notices to wait. "it was promoted" could fail
    # likewise: callers in one busy process left free slots in the pool, and the
    # notice was served before it counted as starved.
    for name in own_steps.ENGINES:
        common.set_faults(context, name, slow=SLOW_FACTORS[part])


@given('the pool is full of driver notices and more wait')
def step_full_pool(context):
    waiting.until(lambda: own_steps.status(context)['silent_peers'] == 0,
                  'the entries to exchange messages')
    context.preempted = {p: _stats(context, f'preempted_{p}') for p in '1234'}
    # Each of ten accounts may send 20 notices per second at two entries: 10 at
    # this one, and more only after a recent message of the other entry, which
    # is late on a loaded machine.
    context.notices = _start_requests(context, 'driver-notice', 100)
    waiting.until(lambda: _admitted(context) >= 100, 'notices to be admitted')
    time.sleep(QUOTA_REFILL_S)
    context.notices += _start_requests(context, 'driver-notice', 10)
    waiting.until(lambda: _queue(context).get('tier 4', 0) >= 10,
                  'notices to wait')


@when('{n:d} seat requests arrive at entry-a')
def step_seats(context, n):
    context.seats = _start_requests(context, 'seat', n)


@then('no seat request waits while notices do')
def step_none_waits(context):

    def is_urgent_first():
        queue = _queue(context)
        return own_steps.status(context)['running'] > 0 and \
            'tier 1' not in queue and queue.get('tier 4', 0) > 0

    waiting.until(is_urgent_first, 'seat requests to go first')


@then('every seat request gets a complete response')
def step_seats_complete(context):
    for fut in context.seats:
        _assert_complete(fut.result(timeout=waiting.TIMEOUT_S))


@then('only requests of priority 4 were preempted')
def step_only_4(context):
    now = {p: _stats(context, f'preempted_{p}') for p in '1234'}
    for prio in '123':
        assert now[prio] == context.preempted[prio], now
    assert sum(now['4'].values()) > sum(context.preempted['4'].values())


@then('every notice eventually gets a complete response')
def step_notices_complete(context):
    for fut in context.notices:
        _assert_complete(fut.result(timeout=60))


@given('seat requests keep the pool full')
def step_keep_full(context):
    context.stop = threading.Event()
    counter = itertools.count()

    def keep_sending():
        while not context.stop.is_set():
            if _send_chat(context, 'seat', next(counter))[0] != 200:
                context.stop.wait(0.05)

    context.senders = [
        threading.Thread(target=keep_sending) for _ in range(110)
    ]
    for t in context.senders:
        t.start()
    waiting.until(lambda: _queue(context).get('tier 1', 0) > 0, 'a full pool')


def _promoted(context):
    text = common.http('GET', common.entry_addr(context), '/metrics')[1]
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in text.splitlines()
        if line.startswith('gorsefall_promoted_total'))


@when('a driver notice arrives at entry-a')
def step_notice(context):
    context.before = _promoted(context)
    context.reply = _send_chat(context, 'driver-notice', 0, 'dispatcher')


@then('the notice gets a complete response while seat requests continue')
def step_notice_complete(context):
    alive = all(t.is_alive() for t in context.senders)
    context.stop.set()
    for t in context.senders:
        t.join(timeout=waiting.TIMEOUT_S)
    assert alive
    _assert_complete(context.reply)


@then('it was promoted')
def step_promoted(context):
    assert _promoted(context) > context.before


@when('"{many}" sends {n:d} seat requests at once and "{few}" sends {m:d}')
def step_burst(context, many, n, few, m):
    with concurrent.futures.ThreadPoolExecutor(n + m) as pool:
        first = [
            pool.submit(_send_chat, context, 'seat', i, many) for i in range(n)
        ]
        second = [
            pool.submit(_send_chat, context, 'seat', i, few) for i in range(m)
        ]
        context.many_replies = [f.result() for f in first]
        context.few_replies = [f.result() for f in second]


@then('some of "{who}" are refused as "{code}" with a retry time')
def step_refused(context, who, code):
    del who
    refused = [r for r in context.many_replies if r[0] == 429]
    assert refused and len(refused) < len(context.many_replies)
    for _, obj, headers in refused:
        assert obj['error']['code'] == code, obj
        assert int(headers['Retry-After']) >= 1


@then('all of "{who}" are answered')
def step_all_served(context, who):
    del who
    for reply in context.few_replies:
        _assert_complete(reply)


@given('the replica {name} {what}')
def step_engine_fault(context, name, what):
    common.set_faults(context, name, **FAULTS[what])


@when('{n:d} seat requests are answered one after the other')
def step_in_turn(context, n):
    context.answers = _stats(context, 'answers')
    for i in range(n):
        _assert_complete(_send_chat(context, 'seat', i))


@then('{name} answered at most {most:d} of them')
def step_at_most(context, name, most):
    now = _stats(context, 'answers')
    got = {n: now[n] - context.answers[n] for n in now}
    assert got[name] <= most and sum(got.values()) == 60, got
