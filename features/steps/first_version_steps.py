"""Steps in which a service gets its first version while an entry is held up."""

import signal

from behave import given
from behave import when
from steps import platform_site
from steps import streams_taken_up

import standin

from gorsefall.policy import rendezvous

SIGNALS = {'frozen': signal.SIGSTOP, 'killed': signal.SIGKILL}


@given('three entries before a service without replicas')
def step_no_replicas(context):
    context.sites = platform_site.new_sites(context, 3, 4.0)
    context.platform = context.sites[0]
    for name in platform_site.PLAIN_REPLICAS:
        context.platform.add(name, 'plain')
    context.platform.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)
    streams_taken_up.wait_until_seen(context)


@when('the entry that stores versions is {fault} as replicas of the versions '
      '"{versions}" come')
def step_hold_up(context, fault, versions):
    names = [site.name for site in context.sites]
    keeper, = rendezvous.top(b'versions', names, 1)
    site = context.sites[names.index(keeper)]
    site.proc.send_signal(SIGNALS[fault])
    context.left = [s for s in context.sites if s is not site]
    streams_taken_up.add_replicas(context, versions)
    for left in context.left:
        streams_taken_up.wait_until_listed(context, left)


@when('ten callers leave their streams after {count:d} events there')
def step_leave(context, count):
    # As soon as the entries see the replicas.
    last = b'id: %d\ndata: piece %d\n\n' % (count, count)
    context.tries = [[
        streams_taken_up.leave(context, context.left[i % 2], last)
    ] for i in range(streams_taken_up.STREAM_COUNT)]
    context.last_event = count


@when('all entries are killed')
def step_kill(context):
    for site in context.sites:
        site.proc.send_signal(signal.SIGKILL)
    for site in context.sites:
        site.proc.wait(10)


@when('replicas of the versions "{versions}" replace all others')
def step_replace(context, versions):
    for replica in streams_taken_up.pool(context):
        replica.close()
        context.platform.store.put('keyed.servers', replica.id, None)
    streams_taken_up.add_replicas(context, versions)
