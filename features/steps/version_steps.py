"""Steps of the feature about replicas of several software versions."""

import signal
import time

from behave import given
from behave import then
from behave import when
from steps import platform_site
from steps import streams_taken_up

import standin
import wire_callers

QUICK_S = 0.8
"""Time within which a caller is told that its stream cannot go on, s."""

LEFT_AT = b'id: 2\ndata: piece 2\n\n'
"""The event after which callers leave their streams."""


@given('three entries before replicas of the versions "{versions}"')
def step_entries(context, versions):
    context.sites = platform_site.new_sites(context, 3, 4.0)
    first = context.platform = context.sites[0]
    for name in platform_site.PLAIN_REPLICAS:
        first.add(name, 'plain')
    streams_taken_up.add_replicas(context, versions)
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)
    streams_taken_up.wait_until_seen(context)


@given('more replicas of the versions "{versions}"')
def step_more(context, versions):
    streams_taken_up.add_replicas(context, versions)
    streams_taken_up.wait_until_seen(context)


@when('the replica of a resumable stream "{fault}"')
def step_fault(context, fault):
    streams_taken_up.script(context, fault)
    platform_site.send_request(context, 'resumable', body=b'body')
    context.tries = [[context.rid]]


@when('the replicas of ten resumable streams "{fault}"')
def step_faults(context, fault):
    context.tries, context.replies = [], []
    for _ in range(streams_taken_up.STREAM_COUNT):
        streams_taken_up.script(context, fault)
        context.replies.append(
            platform_site.send_request(context, 'resumable', body=b'body'))
        context.tries.append([context.rid])
        time.sleep(0.1)


@then('all ten callers get the whole stream')
def step_all_whole(context):
    for reply in context.replies:
        assert reply.status == 200, reply
        assert reply.complete, reply
        assert reply.body == platform_site.STREAM_BODY, reply


@when('ten long responses are generated')
def step_long(context):
    streams_taken_up.script(context)
    for _ in range(streams_taken_up.STREAM_COUNT):
        reply = wire_callers.send_request(context.platform.callers,
                                          '/os/x',
                                          platform_site.new_rid(context),
                                          body=b'x',
                                          deadline_ms=5000,
                                          extra=('Model: m',
                                                 'Token-Count: 10,400'))
        assert reply.complete, reply


def _backup_holders(context):
    """Returns ``(replica, address of its backup)`` of each run."""
    return [(r, run.headers.get('kv-backup'))
            for r in streams_taken_up.pool(context)
            for run in r.runs]


@then('KV backups are held by other replicas of the same version')
def step_backups(context):
    backed_up = [(r, addr) for r, addr in _backup_holders(context) if addr]
    assert backed_up
    for replica, addr in backed_up:
        (holder,) = [
            r for r in streams_taken_up.pool(context) if r.addr == addr
        ]
        assert holder is not replica
        assert holder.version == replica.version, (replica.id, holder.id)


@then('no run has a KV backup')
def step_no_backups(context):
    assert [addr for _, addr in _backup_holders(context)
           ] == streams_taken_up.STREAM_COUNT * [None]


@then('one version wrote the stream')
@then('one version wrote each stream')
def step_one_version(context):
    streams_taken_up.check_one_version(context)


@when('ten callers leave their streams after two events')
def step_leave_ten(context):
    context.tries = [[
        streams_taken_up.leave(context, context.platform, LEFT_AT)
    ] for _ in range(streams_taken_up.STREAM_COUNT)]
    context.last_event = 2


@when('a caller leaves its stream after two events')
def step_leave_one(context):
    context.tries = [[
        streams_taken_up.leave(context, context.platform, LEFT_AT)
    ]]
    context.last_event = 2


@when('all entries go on')
def step_goes_on(context):
    del context


@when('the entry that they left is killed')
def step_lost(context):
    context.platform.proc.send_signal(signal.SIGKILL)
    context.platform.proc.wait(10)


@when('the entry that they left is restarted')
def step_restart_first(context):
    streams_taken_up.restart(context, context.sites[0])


@when('that entry is restarted')
def step_restart_another(context):
    streams_taken_up.restart(context, context.sites[1])


@when('the callers take their streams up at another entry and leave after one '
      'more event')
def step_take_up_and_leave(context):
    for rids in context.tries:
        rids.append(
            streams_taken_up.leave(
                context, context.sites[1], b'id: 3\ndata: piece 3\n\n',
                streams_taken_up.take_up_fields(context, rids)))
    context.last_event = 3


@when('the callers take their streams up at the same entry')
def step_take_up_same(context):
    _take_all_up(context, context.sites[0])


@when('the callers take their streams up at another entry')
def step_take_up_another(context):
    _take_all_up(context, context.sites[1])


def _take_all_up(context, site):
    context.replies = [
        streams_taken_up.take_up(context, site, rids,
                                 streams_taken_up.take_up_fields(context, rids))
        for rids in context.tries
    ]


@then('all ten get the rest of their streams')
def step_rests(context):
    for reply in context.replies:
        assert reply.status == 200, reply
        assert reply.complete, reply
        assert reply.body == streams_taken_up.rest_after(
            context.last_event), reply


@when('the replicas of its version are gone')
def step_gone(context):
    (version,) = streams_taken_up.versions(context, context.tries[0])
    streams_taken_up.remove(
        context,
        [r for r in streams_taken_up.pool(context) if r.version == version])


@then('a caller that takes it up is told at once that it has not run')
def step_told(context):
    for site in context.sites:
        rids = list(context.tries[0])
        reply = streams_taken_up.take_up(
            context, site, rids, streams_taken_up.take_up_fields(context, rids))
        _check_refused(context, reply, 503, rids[-1])


def _check_refused(context, reply, status, rid):
    assert reply.status == status, reply
    assert reply.complete, reply
    assert 'replica-seal' not in reply.headers, reply
    assert ('retry-after' in reply.headers) == (status == 503), reply
    assert context.took_s < QUICK_S, context.took_s
    assert not platform_site.runs_of(context, rid)


@then('a caller that takes up {whose} gets {status:d} at once, and nothing '
      'runs')
def step_refused(context, whose, status):
    first = context.tries[0][0]
    named = {
        'a stream that nobody knows': 'feedfacefeedface',
        'the stream of another account': first,
        'its own request': f'{context.request_count + 1:016x}',
        'an id of 2,000 bytes': 'a' * 2000,
        'an empty id': '',
    }[whose]
    key = 'k-desk' if whose == 'the stream of another account' else 'k-gate'
    rids = []
    reply = streams_taken_up.take_up(context,
                                     context.sites[0],
                                     rids,
                                     (f'Resumes: {named}', 'Last-Event-Id: 2'),
                                     key=key)
    _check_refused(context, reply, status, rids[-1])


@then('a caller that takes up a stream that nobody knows gets the rest of it')
def step_sole(context):
    reply = streams_taken_up.take_up(
        context, context.sites[0], [],
        ('Resumes: feedfacefeedface', 'Last-Event-Id: 2'))
    assert reply.status == 200, reply
    assert reply.complete, reply
    assert reply.body == streams_taken_up.rest_after(2), reply


@then('a caller that has all events of a stream and takes it up gets its end')
def step_end(context):
    rids = []
    reply = streams_taken_up.take_up(
        context, context.sites[0], rids,
        ('Resumes: feedfacefeedface', 'Last-Event-Id: 4'))
    context.rid = rids[-1]
    assert reply.status == 200, reply
    assert reply.complete, reply
    assert reply.body == b'', reply
