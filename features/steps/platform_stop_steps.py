"""Steps of the platform feature: how an entry ends, and how it starts."""

import concurrent.futures
import signal
import time

from behave import then
from behave import when
from steps import platform_site

import wire_callers

from gorsefall.standins import waiting


@when('the entry is told to stop while streams run')
def step_stop(context):
    site = context.platform
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futs = [
            pool.submit(wire_callers.send_request,
                        site.callers,
                        platform_site.PATH_BY_KIND['streaming'],
                        platform_site.new_rid(context),
                        body=b'x') for _ in range(8)
        ]
        site.proc.send_signal(signal.SIGTERM)
        context.replies = [f.result() for f in futs]


@then('it is not ready, ends them whole and exits by itself')
def step_stopped(context):
    site = context.platform
    assert wire_callers.status(site.readiness) == 503
    late = wire_callers.send_request(site.callers,
                                     platform_site.PATH_BY_KIND['idempotent'],
                                     platform_site.new_rid(context))
    assert late.status == 200 and late.headers['connection'] == 'close', late
    for reply in context.replies:
        assert reply.complete and reply.body == platform_site.STREAM_BODY, reply
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
                reply = wire_callers.send_request(
                    site.callers,
                    platform_site.PATH_BY_KIND['streaming'],
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
    whole = {rid for rid, reply in context.asked if reply.complete}
    assert len(whole) > 50, len(whole)
    cut = [
        rid for rid, _ in context.asked
        if rid not in whole and platform_site.runs_of(context, rid)
    ]
    assert not cut, cut


@when('the entry is told to stop while a request hangs')
def step_stop_hangs(context):
    # Symptom: a stream cut at the end of the grace time, taken 4.7 s after
    # the stop signal. Sequence: one long answer keeps the entry from ending;
    # callers whom the balancer still sends are served on. Cause: channels
    # were accepted for as long as anything ran.
    site = context.platform
    for name in platform_site.POOL_REPLICAS:
        site.replicas[name].script.append('hangs')
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(
            wire_callers.request_bytes('/l/x',
                                       platform_site.new_rid(context),
                                       deadline_ms=60000))
        waiting.until(
            lambda: any(site.replicas[n].runs
                        for n in platform_site.POOL_REPLICAS), 'the run')
        site.proc.send_signal(signal.SIGTERM)
        waiting.until(lambda: wire_callers.status(site.callers) is None,
                      'refused channels')


@then('it takes no new channel once the balancer had time to notice')
def step_refuses(context):
    events = {ln['event']: ln for ln in context.platform.log()}
    assert events['no_new_channels']['running'] == 1, events.keys()


@when('an entry starts while the store is silent')
def step_start_silent(context):
    site = platform_site.new_site(context, configured=False)
    site.store.mode = 'silent'
    site.start()


@then('it is not ready and answers {status:d}')
def step_unknowing(context, status):
    assert wire_callers.status(context.platform.readiness) == 503
    reply = platform_site.send_request(context)
    assert reply.status == status, reply
    assert 'retry-after' in reply.headers, reply
