"""Helpers of the steps about streams that callers take up."""

import signal
import time

from steps import platform_site

import wire_callers

from gorsefall.standins import waiting

STREAM_COUNT = 10


def rest_after(event):
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (i, i) for i in range(event + 1, 5))


def add_replicas(context, versions):
    site = context.platform
    for version in versions.split():
        site.add(f'{version}-{len(site.replicas)}', 'pool', version=version)


def wait_until_seen(context):
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


def wait_until_listed(context, site):
    names = {r.id for r in pool(context)}
    waiting.until(
        lambda: names <=
        {ln['replica'] for ln in site.log() if ln['event'] == 'replica_seen'},
        'the replicas')


def pool(context):
    return [
        r for r in context.platform.replicas.values() if r.service == 'pool'
    ]


def remove(context, replicas):
    for replica in replicas:
        replica.close()
        context.platform.store.put('keyed.servers', replica.id, None)
    for site in context.sites:
        waiting.until(
            lambda s=site: {r.id for r in replicas} <=
            {ln['replica'] for ln in s.log() if ln['event'] == 'replica_gone'},
            'the replicas to be dropped')


def script(context, *faults):
    """Has each new request meet the faults in turn, wherever it is sent."""
    shared = platform_site.SharedScript(*faults)
    for replica in pool(context):
        replica.script = shared


def versions(context, rids):
    return {
        context.platform.replicas[name].version
        for rid in rids
        for name, _ in platform_site.runs_of(context, rid)
    }


def take_up_fields(context, rids):
    return (f'Resumes: {rids[0]}', f'Last-Event-Id: {context.last_event}')


def restart(context, site):
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


def leave(context, site, until, extra=()):
    """Sends a request, leaves after an event; returns the request's id."""
    script(context, 'is silent after two events')
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


def take_up(context, site, rids, extra, **kw):
    script(context)
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


def check_one_version(context):
    """Asserts that each stream has events of one version only."""
    mixed = [
        found for rids in context.tries
        if len(found := versions(context, rids)) != 1
    ]
    assert not mixed, f'{len(mixed)} of {len(context.tries)}: {mixed}'
