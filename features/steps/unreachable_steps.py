"""Steps of the feature on an entry that reaches no replica."""

import concurrent.futures
import signal
import time

from behave import given
from behave import then
from behave import when
from steps import platform_site

import entry_paths
import standin
import wire_callers
import wire_replica

from gorsefall.standins import waiting

NOTICE_S = 3.0
"""Time after which an entry has to serve its callers in spite of a cut, s."""

REQUESTS_OF_A_KIND = 12

EVENTS_S = 0.3
"""Time within which a stream has sent its first events, s."""

KEEP_ALIVE_S = 30
"""Time for which the replicas keep idle connections, s."""

QUICK_S = 0.8
"""Time within which a request that nobody can serve is refused, s."""


@given('three entries on the platform, the first with paths of its own')
def step_three(context):
    context.sites = platform_site.new_sites(context, 3, 4.0, routed=1)
    first = context.platform = context.sites[0]
    for names, service in ((platform_site.PLAIN_REPLICAS, 'plain'),
                           (platform_site.POOL_REPLICAS, 'pool')):
        for name in names:
            first.paths.add(first.add(name, service).addr)
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)
    for kind in platform_site.PATH_BY_KIND:
        assert platform_site.send_request(context, kind).status == 200


@when('connections of the first entry to all replicas {how}')
def step_cut(context, how):
    context.platform.paths.cut(entry_paths.Cut(how))


def _send_during_notice(context):
    """Sends requests while the entry may still have to notice the cut."""
    end = time.monotonic() + NOTICE_S
    while time.monotonic() < end:
        platform_site.send_request(context, 'idempotent', deadline_ms=1000)
        time.sleep(0.1)


@then('its callers are served once it has had time to notice')
def step_served(context):
    _send_during_notice(context)
    _check_all_served(context)


def _check_all_served(context):
    for kind in platform_site.PATH_BY_KIND:
        for _ in range(REQUESTS_OF_A_KIND):
            reply = platform_site.send_request(context, kind, deadline_ms=1000)
            assert reply.status == 200, (kind, reply)
            assert reply.complete, (kind, reply)
            assert len(platform_site.runs_of(context, context.rid)) == 1


@then('it sends to the replicas itself once its paths are back')
def step_restored(context):
    context.platform.paths.restore()

    def sends_itself():
        platform_site.send_request(context)
        return (context.reply.status == 200 and
                _sent_line(context)['via'] is None)

    waiting.until(sends_itself, 'a request without another entry')


@when('connections of the first entry to the plain replicas hang')
def step_cut_service(context):
    addrs = [
        context.platform.replicas[n].addr for n in platform_site.PLAIN_REPLICAS
    ]
    context.platform.paths.cut(entry_paths.Cut.HANGS, addrs)


@then('it sends requests to the other service itself')
def step_other_service(context):
    assert platform_site.send_request(context, 'streaming').status == 200
    assert _sent_line(context)['via'] is None


def _sent_line(context):
    """Returns the last log line on the sending of the last request."""
    return [
        ln for ln in context.platform.log()
        if ln['event'] == 'sent' and ln['rid'] == context.rid
    ][-1]


@when('its requests go through other entries')
def step_detours(context):

    def goes_through_another():
        platform_site.send_request(context, 'resumable')
        return (context.reply.status == 200 and
                _sent_line(context)['via'] is not None)

    waiting.until(goes_through_another, 'a request through another entry')


@given('connections of the first entry to both pool replicas')
def step_connections(context):
    pool = [context.platform.replicas[n] for n in platform_site.POOL_REPLICAS]
    for replica in pool:
        replica.keep_alive_s = KEEP_ALIVE_S
    counts = [len(r.runs) for r in pool]
    waiting.until(
        lambda: platform_site.send_request(context, 'resumable').status == 200
        and all(len(r.runs) > n for r, n in zip(pool, counts, strict=True)),
        'a request to each replica')


@when('all its open connections go silent while a resumable stream runs')
def step_lose_connections(context):
    platform_site.script_fault(context, 'resumable',
                               'is silent after two events')
    with concurrent.futures.ThreadPoolExecutor() as executor:
        reply = executor.submit(platform_site.send_request, context,
                                'resumable')
        waiting.until(lambda: platform_site.runs_of(context, context.rid),
                      'the run')
        time.sleep(EVENTS_S)
        context.platform.paths.lose_connections()
        context.reply = reply.result()


@when('the replicas are gone and connections of the first entry hang')
def step_cut_all(context):
    for replica in context.platform.replicas.values():
        replica.close()
    context.platform.paths.cut(entry_paths.Cut.HANGS)


@then('requests are soon refused as not run')
def step_refused(context):
    _send_during_notice(context)
    for _ in range(REQUESTS_OF_A_KIND):
        sent_at = time.monotonic()
        reply = platform_site.send_request(context, 'non_idempotent')
        assert reply.status == 503, reply
        took_s = time.monotonic() - sent_at
        assert took_s < QUICK_S, (took_s, reply)
        assert float(reply.headers['retry-after']) > 0


@then('no request ran')
def step_none_ran(context):
    assert not platform_site.runs_of(context, context.rid)


@when('the entry that forwards a request is {how}')
def step_stop_forwarder(context, how):
    _send_during_notice(context)
    replicas = context.platform.replicas.values()
    for replica in replicas:
        replica.script.append('answers slowly')
    context.rid = platform_site.new_rid(context)
    context.sock = wire_callers.connect(context.platform.callers)
    context.sock.sendall(
        wire_callers.request_bytes('/n/x', context.rid, body=b'once'))
    waiting.until(lambda: platform_site.runs_of(context, context.rid), 'a run')
    for replica in replicas:
        replica.script.clear()
    host = _sent_line(context)['via']
    forwarder = next(s for s in context.sites if s.peers_host == host)
    forwarder.proc.send_signal(signal.SIGKILL if how ==
                               'killed' else signal.SIGTERM)


@then('a request that may run once has the outcome {status:d}')
def step_outcome(context, status):
    reply = wire_callers.read_response(context.sock)
    assert reply.status == status, reply
    assert len(platform_site.runs_of(context, context.rid)) == 1


@then('its callers are served by the remaining entry')
def step_served_by_other(context):
    _check_all_served(context)


@when('a caller leaves while its request is forwarded')
def step_leave(context):
    _send_during_notice(context)
    context.rid = platform_site.new_rid(context)
    with wire_callers.connect(context.platform.callers) as sock:
        sock.sendall(
            wire_callers.request_bytes('/i/x',
                                       context.rid,
                                       body=wire_replica.ENDLESS_MARKER))
        waiting.until(lambda: platform_site.runs_of(context, context.rid),
                      'a run')


@then('the replica soon stops to work on it')
def step_stopped(context):
    waiting.until(lambda: any(context.rid in r.abandoned_at
                              for r in context.platform.replicas.values()),
                  'the replica to notice',
                  timeout_s=0.5)


@then('no entry takes a replica for exited')
def step_no_exit(context):
    _send_during_notice(context)
    for site in context.sites:
        assert not [ln for ln in site.log() if ln['event'] == 'replica_ended']
