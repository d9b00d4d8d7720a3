"""Steps of the feature on entries that share reads of the store."""

import signal
import time

from behave import given
from behave import then
from behave import when
from gorsefall.policy import readers
from steps import platform_site

import standin
import wire_callers

from gorsefall.standins import waiting

REVOKE_S = 4.0
"""The bound on revoked keys at these entries, s."""

ROUNDS_S = 6.0
"""Time for which requests come, s: longer than a proof holds."""

CALLS_PER_S = 5.0
"""Most calls a second of an entry that reads for others, at these bounds."""


@given('five entries on the platform that share reads of the store')
def step_five(context):
    context.sites = platform_site.new_sites(context, 5, REVOKE_S)
    first = context.platform = context.sites[0]
    for name in platform_site.PLAIN_REPLICAS:
        first.add(name, 'plain')
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    waiting.until(lambda: len(_reading(context)) == readers.MIN_READERS,
                  'three entries that read')
    for site in context.sites:
        waiting.until(lambda s=site: wire_callers.status(s.readiness) == 200,
                      'ready')


def _reads(site):
    """Whether the site's entry says that it reads by itself."""
    said = [ln for ln in site.log() if ln['event'] == 'reads_store']
    return bool(said) and said[-1]['leads']


def _reading(context):
    return [site for site in context.sites if _reads(site)]


def _ask(context, site, **kw):
    return wire_callers.send_request(site.callers, '/i/x',
                                     platform_site.new_rid(context), **kw)


@then('the store gets the calls of three entries')
def step_few_calls(context):
    calls = context.platform.store.calls
    before = calls.total()
    time.sleep(ROUNDS_S)
    made = calls.total() - before
    assert made <= readers.MIN_READERS * CALLS_PER_S * ROUNDS_S, made
    assert len(_reading(context)) == readers.MIN_READERS


@when('the entries that read are {how}')
def step_fail(context, how):
    failing = _reading(context)
    for site in failing:
        site.proc.send_signal(signal.SIGKILL if how ==
                              'killed' else signal.SIGSTOP)
    context.sound = [s for s in context.sites if s not in failing]


@then('the others serve requests with a key all along')
def step_served(context):
    end = time.monotonic() + ROUNDS_S
    while time.monotonic() < end:
        for site in context.sound:
            reply = _ask(context, site)
            assert reply.status == 200, reply
        time.sleep(0.05)


def _take_away(context, account='gate'):
    keys = {k: a for k, a in standin.ACCOUNTS_BY_KEY.items() if a != account}
    context.platform.store.put('keyed.op', 'config', standin.config(2,
                                                                    keys=keys))


@then('a key that is taken away soon stops at the others')
def step_stops(context):
    _take_away(context)
    for site in context.sound:
        waiting.until(lambda s=site: _ask(context, s).status == 401,
                      'the key denied')


@when('an entry is paused, a key is taken away, and the entry goes on')
def step_pause(context):
    context.site_paused = next(s for s in context.sites if not _reads(s))
    assert _ask(context, context.site_paused).status == 200
    context.site_paused.proc.send_signal(signal.SIGSTOP)
    _take_away(context)
    time.sleep(REVOKE_S)
    context.site_paused.proc.send_signal(signal.SIGCONT)


@then('no request with that key is run from then on')
def step_none_run(context):
    end = time.monotonic() + 1.0
    while time.monotonic() < end:
        status = _ask(context, context.site_paused).status
        assert status in (401, 503), status


@when('the store falls silent for the five')
def step_silent(context):
    context.platform.store.mode = 'silent'
    context.platform.store.cut()


@then('requests with a key are refused at all five within the bound')
def step_refused(context):
    time.sleep(REVOKE_S)
    for site in context.sites:
        reply = _ask(context, site)
        assert reply.status == 503, reply


@then('they are served at all five when it answers again')
def step_again(context):
    context.platform.store.mode = 'ok'
    context.platform.store.cut()
    for site in context.sites:
        waiting.until(lambda s=site: _ask(context, s).status == 200, 'served')
