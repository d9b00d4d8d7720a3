"""Steps of the feature on requests that crash the replicas that run them."""

import concurrent.futures
import itertools
import signal
import time

from behave import given
from behave import then
from behave import when
from steps import platform_site

import standin
import wire_callers
import wire_replica

from gorsefall.standins import waiting

REPLICA_COUNT = 6

PROPAGATION_S = 3.0
"""Time in which all entries learn what one has observed, s: the platform's
bound."""

MAX_LATE_RUNS = 3
"""Attempts that may reach replicas later than ``PROPAGATION_S`` after the third
crash."""

ROUNDS = 4
"""Number of times that the request is sent to each entry."""

CALLER_INTERVAL_S = 0.5
"""Pause between two callers of the poison request, s."""

DEADLINE_MS = 1500

BURST_COUNT = 3

CRASH_DELAY_S = 0.25
"""Time after which replicas crash while they run requests of 0.8 s, s."""

POISON_BODY = wire_replica.CRASH_MARKER + b', and then something more'


@given('five entries on the platform before replicas that can crash')
def step_site(context):
    context.sites = platform_site.new_sites(context, 5, revoke_s=4.0)
    first = context.platform = context.sites[0]
    for i in range(REPLICA_COUNT):
        first.add_crashable(f'p{i}', 'plain')
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    for site in context.sites:
        _wait_ready(site)


def _wait_ready(site):
    waiting.until(lambda: wire_callers.status(site.readiness) == 200,
                  'the entry to be ready')


def _send_request(context, site, body):
    return wire_callers.send_request(site.callers,
                                     platform_site.PATH_BY_KIND['idempotent'],
                                     platform_site.new_rid(context),
                                     body=body,
                                     deadline_ms=DEADLINE_MS)


def _runs(context, body):
    """Returns the sorted start times of the runs of ``body`` at replicas."""
    replicas = list(context.platform.replicas.values())
    return sorted(req.at
                  for replica in replicas
                  for req in replica.runs
                  if req.body == body)


@when('a request that crashes its replicas is sent to each entry in turn')
def step_poison(context):
    context.replies = []
    for _ in range(ROUNDS):
        for site in context.sites:
            context.replies.append(_send_request(context, site, POISON_BODY))
            time.sleep(CALLER_INTERVAL_S)


@then('at most three attempts reach replicas after the entries had time to '
      'share crashes')
def step_few_runs(context):
    runs = _runs(context, POISON_BODY)
    assert len(runs) >= 3, runs
    late_runs = [at for at in runs if at > runs[2] + PROPAGATION_S]
    assert len(late_runs) <= MAX_LATE_RUNS, [
        round(at - runs[2], 2) for at in runs
    ]


@then('its last callers get a final response at once')
def step_final(context):
    for reply in context.replies[-len(context.sites):]:
        assert reply.status == 400 and reply.complete, reply
        assert 'retry-after' not in reply.headers, reply


@then('good requests of the same caller are served at all five')
def step_good(context):
    for site in context.sites:
        waiting.until(
            lambda s=site: _send_request(context, s, b'good').status == 200,
            'a good request to be served')


@when('an entry is killed and restarted')
def step_restart(context):
    context.restarted = [context.sites[-1]]
    _restart(context.restarted)


@when('all entries are killed and restarted')
def step_restart_all(context):
    context.restarted = context.sites
    _restart(context.restarted)


def _restart(sites):
    for site in sites:
        site.proc.send_signal(signal.SIGKILL)
        site.proc.wait()
    for site in sites:
        site.start()
    for site in sites:
        _wait_ready(site)
    time.sleep(PROPAGATION_S)


@then('the request soon gets a final response there')
def step_refused_after_restart(context):
    before = len(_runs(context, POISON_BODY))
    for site in context.restarted:
        reply = _send_request(context, site, POISON_BODY)
        assert reply.status == 400, reply
    assert len(_runs(context, POISON_BODY)) == before


class _RepeatedFault:
    """A script with the same fault for each request."""

    def __init__(self, fault):
        self._fault = fault

    def popleft(self):
        return self._fault


@when('a third of the replicas crash at once, three times, under the same '
      'good requests')
def step_bursts(context):
    context.good_bodies = [b'good %d' % i for i in range(10)]
    slow = _RepeatedFault('answers slowly')
    for _ in range(BURST_COUNT):
        replicas = waiting.until(lambda: _all_up(context),
                                 'all replicas to be up')
        for replica in replicas:
            replica.scripts_by_body = dict.fromkeys(context.good_bodies, slow)
        with concurrent.futures.ThreadPoolExecutor(len(
                context.good_bodies)) as pool:
            futs = [
                pool.submit(_send_request, context, site, body)
                for site, body in zip(itertools.cycle(context.sites),
                                      context.good_bodies,
                                      strict=False)
            ]
            time.sleep(CRASH_DELAY_S)
            for replica in replicas[:REPLICA_COUNT // 3]:
                replica.crash()
            for fut in futs:
                fut.result()


def _all_up(context):
    replicas = [r for r in context.platform.replicas.values() if not r.crashed]
    return replicas if len(replicas) == REPLICA_COUNT else None


@then('the good requests are served at all five')
def step_good_served(context):
    for replica in context.platform.replicas.values():
        replica.scripts_by_body = {}
    for site in context.sites:
        for body in context.good_bodies:
            reply = waiting.until(lambda s=site, b=body: _final_reply(
                _send_request(context, s, b)),
                                  'a final response')
            assert reply.status == 200, reply


def _final_reply(reply):
    """Returns the reply, or None if it is a refusal or an unknown outcome."""
    return reply if reply.status not in (502, 503) else None


@then('no entry marks them as poison requests')
def step_not_poison(context):
    for site in context.sites:
        blamed = [ln for ln in site.log() if ln['event'] == 'request_blamed']
        assert not blamed, blamed
