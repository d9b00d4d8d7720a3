"""Steps of the feature about replicas of several software versions."""

import signal
import time

from behave import given
from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers

from gorsefall.standins import waiting

STREAM_COUNT = 10

QUICK_S = 0.8
"""Time within which a caller is told that its stream cannot go on, s."""

STORE_LOST_S = 1.2
"""Time after which entries have noticed that the store does not respond, s."""

LEFT_AT = b'id: 2\ndata: piece 2\n\n'
"""The event after which callers leave their streams."""


def _rest_after(event):
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (i, i) for i in range(event + 1, 5))


@given('three entries before replicas of the versions "{versions}"')
def step_entries(context, versions):
    context.sites = platform_site.new_sites(context, 3, 4.0)
    first = context.platform = context.sites[0]
    for name in platform_site.PLAIN_REPLICAS:
        first.add(name, 'plain')
    _add_replicas(context, versions)
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)
    _wait_until_seen(context)


def _add_replicas(context, versions):
    site = context.platform
    for version in versions.split():
        site.add(f'{version}-{len(site.replicas)}', 'pool', version=version)


def _wait_until_seen(context):
    names = set(context.platform.replicas)
    for site in context.sites:
        waiting.until(
            lambda s=site: names <=
            {ln['replica'] for ln in s.log() if ln['event'] == 'replica_seen'},
            'the replicas')
        waiting.until(lambda s=site: [
            ln for ln in s.log()
            if ln['event'] == 'entries_heard' and ln['now'] == 2
        ],
                      'the other entries')


@given('more replicas of the versions "{versions}"')
def step_more(context, versions):
    _add_replicas(context, versions)
    _wait_until_seen(context)


def _pool(context):
    return [
        r for r in context.platform.replicas.values() if r.service == 'pool'
    ]


def _remove(context, replicas):
    for replica in replicas:
        replica.close()
        context.platform.store.put('keyed.servers', replica.id, None)
    for site in context.sites:
        waiting.until(
            lambda s=site: {r.id for r in replicas} <=
            {ln['replica'] for ln in s.log() if ln['event'] == 'replica_gone'},
            'the replicas to be dropped')


def _script(context, *faults):
    """Has each new request meet the faults in turn, wherever it is sent."""
    shared = platform_site.SharedScript(*faults)
    for replica in _pool(context):
        replica.script = shared


@when('the replica of a resumable stream "{fault}"')
def step_fault(context, fault):
    _script(context, fault)
    platform_site.send_request(context, 'resumable', body=b'body')
    context.tries = [[context.rid]]


@when('the replicas of ten resumable streams "{fault}"')
def step_faults(context, fault):
    context.tries, context.replies = [], []
    for _ in range(STREAM_COUNT):
        _script(context, fault)
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


def _versions(context, rids):
    return {
        context.platform.replicas[name].version
        for rid in rids
        for name, _ in platform_site.runs_of(context, rid)
    }


@when('ten long responses are generated')
def step_long(context):
    _script(context)
    for _ in range(STREAM_COUNT):
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
            for r in _pool(context)
            for run in r.runs]


@then('KV backups are held by other replicas of the same version')
def step_backups(context):
    backed_up = [(r, addr) for r, addr in _backup_holders(context) if addr]
    assert backed_up
    for replica, addr in backed_up:
        (holder,) = [r for r in _pool(context) if r.addr == addr]
        assert holder is not replica
        assert holder.version == replica.version, (replica.id, holder.id)


@then('no run has a KV backup')
def step_no_backups(context):
    assert [addr for _, addr in _backup_holders(context)
           ] == STREAM_COUNT * [None]


@then('one version wrote the stream')
@then('one version wrote each stream')
def step_one_version(context):
    mixed = [
        versions for rids in context.tries
        if len(versions := _versions(context, rids)) != 1
    ]
    assert not mixed, f'{len(mixed)} of {len(context.tries)}: {mixed}'


def _leave(context, site, until, extra=()):
    """Sends a request, leaves after an event; returns the request's id."""
    _script(context, 'is silent after two events')
    rid = platform_site.new_rid(context)
    with wire_callers.connect(site.callers) as sock:
        sock.sendall(
            wire_callers.request_bytes('/r/x', rid, body=b'body', extra=extra))
        got = b''
        while until not in got:
            data = sock.recv(wire_callers.MAX_RECV_BYTES)
            assert data, got
            got += data
    return rid


@when('ten callers leave their streams after two events')
def step_leave_ten(context):
    context.tries = [[_leave(context, context.platform, LEFT_AT)]
                     for _ in range(STREAM_COUNT)]
    context.last_event = 2


@when('a caller leaves its stream after two events')
def step_leave_one(context):
    context.tries = [[_leave(context, context.platform, LEFT_AT)]]
    context.last_event = 2


@when('all entries go on')
def step_goes_on(context):
    del context


@when('the entry that they left is killed')
def step_lost(context):
    context.platform.proc.send_signal(signal.SIGKILL)
    context.platform.proc.wait(10)


def _take_up_fields(context, rids):
    return (f'Resumes: {rids[0]}', f'Last-Event-Id: {context.last_event}')


@when('the entry that they left is restarted')
def step_restart_first(context):
    _restart(context, context.sites[0])


@when('that entry is restarted')
def step_restart_another(context):
    _restart(context, context.sites[1])


def _restart(context, site):
    site.proc.send_signal(signal.SIGKILL)
    site.proc.wait(10)
    lines_before = len(site.log())
    site.start()
    platform_site.wait_until_ready([site])
    waiting.until(
        lambda: [
            ln for ln in site.log()[lines_before:]
            if ln['event'] == 'entries_heard' and ln['now'] == 2
        ], 'the other entries')


@when('the replicas of the version "{version}" are gone')
def step_version_gone(context, version):
    _remove(context, [r for r in _pool(context) if r.version == version])


@when('all entries are killed, and "{version}" leaves')
def step_leaves_meanwhile(context, version):
    _kill_all(context)
    for replica in _pool(context):
        if replica.version == version:
            replica.close()
            context.platform.store.put('keyed.servers', replica.id, None)


@when('all entries are killed and start again')
def step_kill_all(context):
    _kill_all(context)
    _start_all(context)


@when('each entry is killed and started in turn')
def step_kill_in_turn(context):
    for site in context.sites:
        _restart(context, site)


@when('all entries start again')
def step_start_all(context):
    _start_all(context)


@when('all entries start again without the store')
def step_start_without_store(context):
    _start_all(context)
    context.platform.store.switch('silent')
    time.sleep(STORE_LOST_S)


@when('all entries are replaced by new ones')
def step_replace_all(context):
    _kill_all(context)
    context.sites = platform_site.replacements(context)
    _start_all(context)


@when('the streams have run for a second')
def step_have_run(context):
    del context
    time.sleep(1.0)


def _kill_all(context):
    for site in context.sites:
        site.proc.send_signal(signal.SIGKILL)
    for site in context.sites:
        site.proc.wait(10)


def _start_all(context):
    lines_before = {
        site: len(site.log()) if site.proc else 0 for site in context.sites
    }
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)
    for site, before in lines_before.items():
        waiting.until(lambda s=site, n=before: [
            ln for ln in s.log()[n:]
            if ln['event'] == 'entries_heard' and ln['now'] == 2
        ],
                      'the other entries')


@when('the callers take their streams up at all entries in turn')
def step_take_up_in_turn(context):
    context.replies = [
        _take_up(context, context.sites[i % len(context.sites)], rids,
                 _take_up_fields(context, rids))
        for i, rids in enumerate(context.tries)
    ]


@then('no stream is joined from two versions, and what is refused has not run')
def step_not_joined(context):
    for reply, rids in zip(context.replies, context.tries, strict=True):
        if reply.status == 200:
            assert reply.body == _rest_after(context.last_event), reply
        else:
            assert reply.status == 503, reply
            assert not platform_site.runs_of(context, rids[-1])
    step_one_version(context)


@then('at least half of the streams go on')
def step_half_go_on(context):
    went_on = sum(reply.status == 200 for reply in context.replies)
    assert went_on >= STREAM_COUNT / 2, went_on


@when('the callers take their streams up at another entry and leave after one '
      'more event')
def step_take_up_and_leave(context):
    for rids in context.tries:
        rids.append(
            _leave(context, context.sites[1], b'id: 3\ndata: piece 3\n\n',
                   _take_up_fields(context, rids)))
    context.last_event = 3


def _take_up(context, site, rids, extra, **kw):
    _script(context)
    rid = platform_site.new_rid(context)
    began = time.monotonic()
    reply = wire_callers.send_request(site.callers,
                                      '/r/x',
                                      rid,
                                      body=b'body',
                                      extra=extra,
                                      **kw)
    context.took_s = time.monotonic() - began
    rids.append(rid)
    return reply


@when('the callers take their streams up at the same entry')
def step_take_up_same(context):
    _take_all_up(context, context.sites[0])


@when('the callers take their streams up at another entry')
def step_take_up_another(context):
    _take_all_up(context, context.sites[1])


def _take_all_up(context, site):
    context.replies = [
        _take_up(context, site, rids, _take_up_fields(context, rids))
        for rids in context.tries
    ]


@then('all ten get the rest of their streams')
def step_rests(context):
    for reply in context.replies:
        assert reply.status == 200, reply
        assert reply.complete, reply
        assert reply.body == _rest_after(context.last_event), reply


@when('the replicas of its version are gone')
def step_gone(context):
    (version,) = _versions(context, context.tries[0])
    _remove(context, [r for r in _pool(context) if r.version == version])


@then('a caller that takes it up is told at once that it has not run')
def step_told(context):
    for site in context.sites:
        rids = list(context.tries[0])
        reply = _take_up(context, site, rids, _take_up_fields(context, rids))
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
    reply = _take_up(context,
                     context.sites[0],
                     rids, (f'Resumes: {named}', 'Last-Event-Id: 2'),
                     key=key)
    _check_refused(context, reply, status, rids[-1])


@then('a caller that takes up a stream that nobody knows gets the rest of it')
def step_sole(context):
    reply = _take_up(context, context.sites[0], [],
                     ('Resumes: feedfacefeedface', 'Last-Event-Id: 2'))
    assert reply.status == 200, reply
    assert reply.complete, reply
    assert reply.body == _rest_after(2), reply


@then('a caller that has all events of a stream and takes it up gets its end')
def step_end(context):
    rids = []
    reply = _take_up(context, context.sites[0], rids,
                     ('Resumes: feedfacefeedface', 'Last-Event-Id: 4'))
    context.rid = rids[-1]
    assert reply.status == 200, reply
    assert reply.complete, reply
    assert reply.body == b'', reply
