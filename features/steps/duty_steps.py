"""Steps of the feature on duties that one entry at a time performs."""

import collections
import itertools
import signal
import time

from behave import given
from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers
import wire_cloud

from gorsefall.standins import waiting

WINDOW_S, LEASE_S = 1, 1.0
REVOKE_S = 4.0

SETTINGS = f"""
[duties]
address = "{{address}}"
names = "usage_report,autoscale"
lease_s = {LEASE_S}
report_window_s = {WINDOW_S}
report_due_s = 9.0
"""

REPORTED_S = 6.0
"""Time within which a window is reported, s: a takeover and the wait for the
reports of all entries."""

TAKEOVER_S = 16.0
"""Time within which the duties have a holder, s."""

RETURN_S = 1.0
"""Time for which a store is away before it comes back from a copy, s."""

PAUSE_S = 0.05
"""Pause between two rounds of requests, s."""

SCALING = {
    'min': 1,
    'max': 4,
    'boot-s': 0.5,
    'spot-price': 0.2,
    'zone-prices': {
        'z1': 1.0
    }
}


@given('three entries on the platform with duties')
def step_sites(context):
    context.cloud = wire_cloud.Cloud()
    context.add_cleanup(context.cloud.close)
    context.sent = collections.Counter()
    context.sites = platform_site.new_sites(
        context,
        3,
        REVOKE_S,
        duties=SETTINGS.format(address=context.cloud.addr))
    first = context.platform = context.sites[0]
    for name in platform_site.PLAIN_REPLICAS:
        first.add(name, 'plain')
    for name in platform_site.POOL_REPLICAS:
        first.add(name, 'pool')
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    platform_site.wait_until_ready(context.sites)
    waiting.until(lambda: _holder_site(context) is not None,
                  'a holder',
                  timeout_s=TAKEOVER_S)


def _claims(site):
    return [ln for ln in site.log() if ln['event'] == 'claimed']


def _holder_site(context):
    """Returns the site whose entry made the last claim, or None."""
    newest = max(((_claims(s)[-1]['token'], i)
                  for i, s in enumerate(context.sites)
                  if _claims(s)),
                 default=None)
    return None if newest is None else context.sites[newest[1]]


def _serve(context, sites, seconds):
    end = time.monotonic() + seconds
    for key in itertools.cycle(standin.ACCOUNTS_BY_KEY):
        if time.monotonic() > end:
            return
        for site in sites:
            reply = wire_callers.send_request(site.callers,
                                              '/i/x',
                                              platform_site.new_rid(context),
                                              key=key)
            if reply.status == 200:
                context.sent[standin.ACCOUNTS_BY_KEY[key]] += 1
        time.sleep(PAUSE_S)


@when('requests are served at all entries for {seconds:g} s')
def step_serve(context, seconds):
    _serve(context, context.sites, seconds)


@when('requests are served at the other entries for {seconds:g} s')
def step_serve_others(context, seconds):
    others = [s for s in context.sites if s is not context.old_holder]
    _serve(context, others, seconds)


@when('the holder of the duties is {fault}')
def step_fault(context, fault):
    context.old_holder = _holder_site(context)
    context.reports_before = len(context.cloud.reports)
    signo = {
        'killed': signal.SIGKILL,
        'stopped': signal.SIGTERM,
        'frozen': signal.SIGSTOP
    }[fault]
    context.old_holder.proc.send_signal(signo)
    if fault == 'frozen':
        context.add_cleanup(context.old_holder.proc.send_signal, signal.SIGCONT)


@when('a copy of the store is taken')
def step_copy(context):
    context.copy = context.platform.store.save()


@when('the store comes back from the copy while the holder is {fault}')
def step_restore(context, fault):
    store = context.platform.store
    store.switch('reset')
    if fault == 'well':
        context.old_holder = None
    else:
        step_fault(context, fault)
    time.sleep(RETURN_S)
    store.restore(context.copy)
    context.reports_before = len(context.cloud.reports)


@then('usage is reported after the return')
def step_reports_go_on(context):
    waiting.until(
        lambda: len(context.cloud.reports) > context.reports_before + 2,
        'reports after the return',
        timeout_s=TAKEOVER_S)


@then('tokens only grew')
def step_tokens_grew(context):
    tokens = [token for _, token, _, _ in context.cloud.calls]
    assert tokens == sorted(tokens), tokens


@when("the platform's calls are {mode} for {seconds:g} s")
def step_cloud(context, mode, seconds):
    context.cloud.mode = mode
    _serve(context, context.sites, seconds)
    context.cloud.mode = 'ok'


def _reported(context):
    total = collections.Counter()
    for report in context.cloud.reports:
        total.update(report.counts)
    return total


@then('the reports contain each request once')
def step_reported(context):
    waiting.until(lambda: _reported(context) == context.sent,
                  'reports of all requests',
                  timeout_s=REPORTED_S)


@then('another entry reports the usage')
def step_other_reports(context):
    name = context.old_holder.name
    waiting.until(
        lambda: any(r.holder != name
                    for r in context.cloud.reports[context.reports_before:]),
        'a report of another entry',
        timeout_s=TAKEOVER_S)


@then('no two entries used the same token')
def step_tokens(context):
    holders = collections.defaultdict(set)
    for holder, token, _, _ in context.cloud.calls:
        holders[token].add(holder)
    assert all(len(h) == 1 for h in holders.values()), dict(holders)


@then('no window was reported with different counts')
def step_windows(context):
    assert context.cloud.conflicts == []


@when("the pool's replicas may be ordered")
def step_scaling(context):
    site = context.platform
    numbers = itertools.count()

    def start_ordered(service, zone, spot, count):
        running = [r for r in site.replicas.values() if r.spot and zone]
        for _ in range(count - len(running) if spot else 0):
            site.add(f's{next(numbers)}', service, spot=True)

    context.cloud.on_order = start_ordered
    site.store.put('keyed.op', 'config', standin.config(2, scaling=SCALING))


@then('spot replicas are ordered, start and serve')
def step_spots(context):
    site = context.platform
    waiting.until(lambda: any(r.spot for r in site.replicas.values()),
                  'spot replicas',
                  timeout_s=TAKEOVER_S)

    def served():
        wire_callers.send_request(site.callers, '/s/x',
                                  platform_site.new_rid(context))
        return any(r.spot and r.runs for r in site.replicas.values())

    waiting.until(served, 'a spot replica to serve', timeout_s=TAKEOVER_S)


@then('regular ones are ordered away once these serve')
def step_regular(context):
    key = 'pool', 'z1', False
    waiting.until(lambda: context.cloud.orders.get(key) == 0,
                  'an order of no regular replica',
                  timeout_s=TAKEOVER_S)
