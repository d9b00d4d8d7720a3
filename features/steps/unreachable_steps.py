"""Steps of the feature on an entry that reaches no replica."""

import time

from behave import given
from behave import then
from behave import when
from steps import platform_site

import entry_paths
import standin
import wire_callers

from gorsefall.standins import waiting

NOTICE_S = 3.0
"""Time after which an entry has to serve its callers in spite of a cut, s."""

REQUESTS_OF_A_KIND = 12


@given('three entries on the platform, the first with paths of its own')
def step_three(context):
    context.sites = platform_site.new_sites(context, 3, 4.0, routed=1)
    first = context.platform = context.sites[0]
    for names, service in ((platform_site.PLAIN_REPLICAS, 'plain'),
                           (platform_site.POOL_REPLICAS, 'pool')):
        for name in names:
            first.paths.add(first.add(name, service).addr)
    first.store.put('keyed.op', 'config', standin.config(1))
    for site in context.sites:
        site.start()
    for site in context.sites:
        waiting.until(lambda s=site: wire_callers.status(s.readiness) == 200,
                      'the entry to be ready')
    for kind in platform_site.PATH_BY_KIND:
        assert platform_site.send_request(context, kind).status == 200


@when('connections of the first entry to all replicas {how}')
def step_cut(context, how):
    context.platform.paths.cut(entry_paths.Cut(how))


def _send_during_notice(context):
    """Sends requests while the entry may still have to notice the cut."""
    end = time.monotonic() + NOTICE_S
    while time.monotonic() < end:
        platform_site.send_request(context, 'idempotent', deadline_ms=1000)
        time.sleep(0.1)


@then('its callers are served once it has had time to notice')
def step_served(context):
    _send_during_notice(context)
    for kind in platform_site.PATH_BY_KIND:
        for _ in range(REQUESTS_OF_A_KIND):
            reply = platform_site.send_request(context, kind, deadline_ms=1000)
            assert reply.status == 200, (kind, reply)
            assert reply.complete, (kind, reply)
            assert len(platform_site.runs_of(context, context.rid)) == 1


@then('it sends to the replicas itself once its paths are back')
def step_restored(context):
    context.platform.paths.restore()

    def sends_itself():
        platform_site.send_request(context)
        sent = [
            ln for ln in context.platform.log()
            if ln['event'] == 'sent' and ln['rid'] == context.rid
        ]
        return context.reply.status == 200 and sent[-1].get('via') is None

    waiting.until(sends_itself, 'a request without another entry')
