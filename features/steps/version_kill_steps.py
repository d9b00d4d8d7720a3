"""Steps in which all entries are gone while callers take streams up."""

import signal
import time

from behave import then
from behave import when
from steps import platform_site
from steps import streams_taken_up

import standin

from gorsefall.standins import waiting

TOPIC = 'keyed.versions'

SYNC_S = 1.5
"""Time after which each entry has tried to store a new version, s."""

STORE_LOST_S = 1.2
"""Time after which entries have noticed that the store does not respond, s."""


@when('the replicas of the version "{version}" are gone')
def step_version_gone(context, version):
    streams_taken_up.remove(
        context,
        [r for r in streams_taken_up.pool(context) if r.version == version])


@when('all entries are killed, and "{version}" leaves')
def step_leaves_meanwhile(context, version):
    _kill_all(context)
    for replica in streams_taken_up.pool(context):
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
        streams_taken_up.restart(context, site)


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


@when('the versions can be neither read nor written')
def step_refuse_versions(context):
    store = context.platform.store
    store.unreadable, store.unwritable = {TOPIC}, {TOPIC}


@when('the versions cannot be written')
def step_refuse_writes(context):
    context.platform.store.unwritable = {TOPIC}


@when('replicas of the versions "{versions}" come')
def step_come(context, versions):
    streams_taken_up.add_replicas(context, versions)
    streams_taken_up.wait_until_seen(context)
    time.sleep(SYNC_S)


@when('all entries are killed, and the versions can be read again')
def step_kill_and_show(context):
    _kill_all(context)
    store = context.platform.store
    store.unreadable, store.unwritable = set(), set()


@when('the services of the routes are stored')
def step_routes_stored(context):
    waiting.until(lambda: [
        ln for site in context.sites for ln in site.log()
        if ln['event'] == 'routes_stored'
    ],
                  'the services of the routes',
                  timeout_s=15.0)


@when('the route is moved to another service with replicas "{versions}"')
def step_move(context, versions):
    site = context.platform
    for version in versions.split():
        site.add(f'{version}-{len(site.replicas)}', 'other', version=version)
    cfg = standin.config(2)
    cfg['services'].append({'name': 'other', 'max-conns': 60})
    for route in cfg['routes']:
        if route['path-prefix'] == '/r/':
            route['service'] = 'other'
    site.store.put('keyed.op', 'config', cfg)
    for entry in context.sites:
        waiting.until(lambda e=entry: [
            ln for ln in e.log()
            if ln['event'] == 'configuration' and ln['version'] == 2
        ],
                      'the configuration')


@then('a new stream is served')
def step_new_stream(context):
    streams_taken_up.script(context)
    reply = platform_site.send_request(context, 'resumable', body=b'body')
    assert reply.status == 200, reply


@when('the callers take their streams up at all entries in turn')
def step_take_up_in_turn(context):
    context.replies = [
        streams_taken_up.take_up(context, context.sites[i % len(context.sites)],
                                 rids,
                                 streams_taken_up.take_up_fields(context, rids))
        for i, rids in enumerate(context.tries)
    ]


@then('no stream is joined from two versions, and what is refused has not run')
def step_not_joined(context):
    for reply, rids in zip(context.replies, context.tries, strict=True):
        if reply.status == 200:
            assert reply.body == streams_taken_up.rest_after(
                context.last_event), reply
        else:
            assert reply.status == 503, reply
            assert not platform_site.runs_of(context, rids[-1])
    streams_taken_up.check_one_version(context)


@then('at least half of the streams go on')
def step_half_go_on(context):
    went_on = sum(reply.status == 200 for reply in context.replies)
    assert went_on >= streams_taken_up.STREAM_COUNT / 2, went_on
