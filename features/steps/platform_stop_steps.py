"""Steps of the platform feature: shutdown and start of an entry."""

import concurrent.futures
import signal
import time

from behave import then
from behave import when
from steps import platform_site

import wire_callers

from gorsefall.standins import waiting


@when('the entry gets a stop signal while streams run')
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


@then('it is not ready, completes the streams and exits by itself')
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


@when('the entry gets a stop signal while requests keep arriving')
def step_stop_busy(context):
    # Guards against a stream that is truncated because the entry reads its
    # request between deciding to exit and exiting: with nothing in flight the
    # entry decides to exit, then a caller without another entry connects. The
    # stream was truncated 80 ms after it began, 3 s after the stop signal.
    site = context.platform
    context.outcomes = []

    def send_until_exit(n):
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
            context.outcomes.append((rid, reply))

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        futs = [pool.submit(send_until_exit, n) for n in range(4)]
        time.sleep(0.1)
        site.proc.send_signal(signal.SIGTERM)
        for fut in futs:
            fut.result()


@then('every request that reached a replica got a complete response')
def step_all_complete(context):
    complete = {rid for rid, reply in context.outcomes if reply.complete}
    assert len(complete) > 50, len(complete)
    truncated = [
        rid for rid, _ in context.outcomes
        if rid not in complete and platform_site.runs_of(context, rid)
    ]
    assert not truncated, truncated


@when('the entry gets a stop signal while a request hangs')
def step_stop_long_request(context):
    # Guards against an entry that accepts connections for as long as a request
    # runs. One long response delays the exit, the load balancer keeps sending
    # callers, and the grace period truncates their streams: one that was
    # accepted 4.7 s after the stop signal was truncated.
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
                        for n in platform_site.POOL_REPLICAS),
            'the request to run')
        site.proc.send_signal(signal.SIGTERM)
        waiting.until(lambda: wire_callers.status(site.callers) is None,
                      'the entry to refuse connections')


@then('it accepts no new connection once the load balancer had time to notice')
def step_refuses(context):
    events = {ln['event']: ln for ln in context.platform.log()}
    assert events['no_new_channels']['running'] == 1, events.keys()


@when('an entry starts while the store does not respond')
def step_start_without_store(context):
    site = platform_site.new_site(context, configured=False)
    site.store.mode = 'silent'
    site.start()


@then('it is not ready and responds with status {status:d}')
def step_unconfigured(context, status):
    assert wire_callers.status(context.platform.readiness) == 503
    reply = platform_site.send_request(context)
    assert reply.status == status, reply
    assert 'retry-after' in reply.headers, reply
