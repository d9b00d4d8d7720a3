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
"""Bound on the use of a revoked key at these entries, s."""

LOAD_S = 6.0
"""Time for which requests are sent, s: longer than a confirmation is valid."""

MAX_READER_CALLS_PER_S = 5.0
"""Most store calls per second of a reader with ``REVOKE_S``."""


@given('five entries on the platform that share reads of the store')
def step_five(context):
    context.sites = platform_site.new_sites(context, 5, REVOKE_S)
    first = context.platform = context.sites[0]
    for name in platform_site.PLAIN_REPLICAS:
        first.add(name, 'plain')
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    standin.wait_until_shared(context.sites)


def _reader_sites(context):
    return [site for site in context.sites if site.reads_store()]


def _send_request(context, site, **kw):
    return wire_callers.send_request(site.callers, '/i/x',
                                     platform_site.new_rid(context), **kw)


@then('the store gets no more calls than three entries make')
def step_call_count(context):
    calls = context.platform.store.calls
    before = calls.total()
    time.sleep(LOAD_S)
    new_calls = calls.total() - before
    assert new_calls <= (readers.MIN_READERS * MAX_READER_CALLS_PER_S *
                         LOAD_S), new_calls
    assert len(_reader_sites(context)) == readers.MIN_READERS


@when('the entries that read are {how}')
def step_stop_readers(context, how):
    stopped = _reader_sites(context)
    for site in stopped:
        site.proc.send_signal(signal.SIGKILL if how ==
                              'killed' else signal.SIGSTOP)
    context.healthy_sites = [s for s in context.sites if s not in stopped]


@then('the other entries keep serving requests with a key')
def step_keep_serving(context):
    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        for site in context.healthy_sites:
            reply = _send_request(context, site)
            assert reply.status == 200, reply
        time.sleep(0.05)


def _revoke_key(context, account='gate'):
    keys = {k: a for k, a in standin.ACCOUNTS_BY_KEY.items() if a != account}
    context.platform.store.put('keyed.op', 'config', standin.config(2,
                                                                    keys=keys))


@then('the other entries soon refuse a revoked key')
def step_revoked(context):
    _revoke_key(context)
    for site in context.healthy_sites:
        waiting.until(lambda s=site: _send_request(context, s).status == 401,
                      'the key to be refused')


@when('an entry is paused, a key is revoked, and the entry resumes')
def step_pause_entry(context):
    context.paused_site = next(s for s in context.sites if not s.reads_store())
    assert _send_request(context, context.paused_site).status == 200
    context.paused_site.proc.send_signal(signal.SIGSTOP)
    _revoke_key(context)
    time.sleep(REVOKE_S)
    context.paused_site.proc.send_signal(signal.SIGCONT)


@then('no request with that key runs from then on')
def step_key_refused(context):
    end = time.monotonic() + 1.0
    while time.monotonic() < end:
        status = _send_request(context, context.paused_site).status
        assert status in (401, 503), status


@when('the store stops responding to all five entries')
def step_store_silent(context):
    context.platform.store.switch('silent')


@then('requests with a key are refused at all five within the revocation bound')
def step_all_refuse(context):
    time.sleep(REVOKE_S)
    for site in context.sites:
        reply = _send_request(context, site)
        assert reply.status == 503, reply


@then('they are served at all five when the store responds again')
def step_store_returns(context):
    context.platform.store.switch('ok')
    for site in context.sites:
        waiting.until(lambda s=site: _send_request(context, s).status == 200,
                      'requests to be served')
