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

REPLICAS = 6

CONTACT_S = 3.0
"""Time in which what one entry saw is known to all, s: the platform's bound."""

MOST_AFTER = 3
"""Sends that may reach replicas later than that after the third crash."""

ROUNDS = 4
"""Times that the request comes to each entry."""

BETWEEN_S = 0.5
"""Pause between two of its callers, s."""

DEADLINE_MS = 1500

BURSTS = 3

UNDER_WAY_S = 0.25
"""Time after which replicas crash under requests that take 0.8 s, s."""

GUILTY = wire_replica.CRASH_MARKER + b', and then something more'


@given('five entries on the platform before replicas that can crash')
def step_site(context):
    context.sites = platform_site.new_sites(context, 5, revoke_s=4.0)
    first = context.platform = context.sites[0]
    for i in range(REPLICAS):
        first.add_crashable(f'p{i}', 'plain')
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    for site in context.sites:
        _wait_ready(site)


def _wait_ready(site):
    waiting.until(lambda: wire_callers.status(site.readiness) == 200, 'ready')


def _ask(context, site, body):
    return wire_callers.send_request(site.callers,
                                     platform_site.PATH_BY_KIND['idempotent'],
                                     platform_site.new_rid(context),
                                     body=body,
                                     deadline_ms=DEADLINE_MS)


def _runs(context, body):
    """Returns when each run of ``body`` began at a replica, in order."""
    replicas = list(context.platform.replicas.values())
    return sorted(req.at
                  for replica in replicas
                  for req in replica.runs
                  if req.body == body)


@when('a request that crashes its replicas comes to each entry in turn')
def step_guilty(context):
    context.replies = []
    for _ in range(ROUNDS):
        for site in context.sites:
            context.replies.append(_ask(context, site, GUILTY))
            time.sleep(BETWEEN_S)


@then('at most three sends of it reach replicas once the entries had time to '
      'tell')
def step_few(context):
    runs = _runs(context, GUILTY)
    assert len(runs) >= 3, runs
    late = [at for at in runs if at > runs[2] + CONTACT_S]
    assert len(late) <= MOST_AFTER, [round(at - runs[2], 2) for at in runs]


@then('its last callers get a final answer at once')
def step_final(context):
    for reply in context.replies[-len(context.sites):]:
        assert reply.status == 400 and reply.complete, reply
        assert 'retry-after' not in reply.headers, reply


@then('good requests of the same caller are served at all five')
def step_good(context):
    for site in context.sites:
        waiting.until(lambda s=site: _ask(context, s, b'good').status == 200,
                      'a good request served')


@when('an entry is killed and starts again')
def step_restart(context):
    context.again = [context.sites[-1]]
    _restart(context.again)


@when('all entries are killed and start again')
def step_restart_all(context):
    context.again = context.sites
    _restart(context.again)


def _restart(sites):
    for site in sites:
        site.proc.send_signal(signal.SIGKILL)
        site.proc.wait()
    for site in sites:
        site.start()
    for site in sites:
        _wait_ready(site)
    time.sleep(CONTACT_S)


@then('the request soon gets a final answer there')
def step_known(context):
    before = len(_runs(context, GUILTY))
    for site in context.again:
        reply = _ask(context, site, GUILTY)
        assert reply.status == 400, reply
    assert len(_runs(context, GUILTY)) == before


class _Always:
    """A script with the same fault for each request."""

    def __init__(self, fault):
        self._fault = fault

    def popleft(self):
        return self._fault


@when('a third of the replicas crash at once, thrice, under the same good '
      'requests')
def step_bursts(context):
    context.good = [b'good %d' % i for i in range(10)]
    slow = _Always('answers slowly')
    for _ in range(BURSTS):
        up = waiting.until(lambda: _all_up(context), 'all replicas')
        for replica in up:
            replica.scripts_by_body = dict.fromkeys(context.good, slow)
        with concurrent.futures.ThreadPoolExecutor(len(context.good)) as pool:
            answers = [
                pool.submit(_ask, context, site, body) for site, body in zip(
                    itertools.cycle(context.sites), context.good, strict=False)
            ]
            time.sleep(UNDER_WAY_S)
            for replica in up[:REPLICAS // 3]:
                replica.crash()
            for answer in answers:
                answer.result()


def _all_up(context):
    up = [r for r in context.platform.replicas.values() if not r.crashed]
    return up if len(up) == REPLICAS else None


@then('the good requests are served at all five')
def step_good_served(context):
    for replica in context.platform.replicas.values():
        replica.scripts_by_body = {}
    for site in context.sites:
        for body in context.good:
            reply = waiting.until(
                lambda s=site, b=body: _answered(_ask(context, s, b)),
                'an answer')
            assert reply.status == 200, reply


def _answered(reply):
    """Returns the reply unless it says to come back, or that all is open."""
    return reply if reply.status not in (502, 503) else None


@then('nobody blames them')
def step_nobody_blames(context):
    for site in context.sites:
        blamed = [ln for ln in site.log() if ln['event'] == 'request_blamed']
        assert not blamed, blamed
