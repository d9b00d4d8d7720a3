"""Helpers of the platform steps: starting sites and sending requests."""

import contextlib
import pathlib
import sys
import tempfile

sys.path.append(
    str(pathlib.Path(__file__).resolve().parents[2] / 'platform' / 'tests'))

import standin  # noqa: E402
import wire_callers  # noqa: E402

from gorsefall.standins import ports  # noqa: E402
from gorsefall.standins import waiting  # noqa: E402

PATH_BY_KIND = {
    'idempotent': '/i/x?q=1',
    'non_idempotent': '/n/x',
    'streaming': '/s/x',
    'resumable': '/r/x',
}
STREAM_BODY = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (i, i) for i in range(1, 5))
PLAIN_REPLICAS, POOL_REPLICAS = ('p1', 'p2'), ('e1', 'e2')


def new_rid(context):
    context.request_count = getattr(context, 'request_count', 0) + 1
    return f'{context.request_count:016x}'


def new_site(context, configured=True):
    resources = context.site_resources = contextlib.ExitStack()
    next_port = resources.enter_context(ports.allocator())
    site = standin.Site(tempfile.mkdtemp(dir=context.tmp), next_port)
    resources.callback(site.close)
    context.add_cleanup(resources.close)
    context.platform = site
    for name in PLAIN_REPLICAS:
        site.add(name, 'plain')
    for name in POOL_REPLICAS:
        site.add(name, 'pool')
    if configured:
        site.store.put('keyed.op', 'config', standin.config(1))
    return site


def new_sites(context, count, revoke_s, duties='', routed=0):
    """Returns sites of one entry each, which are peers and share a store.

    Args:
        context: The context of the scenario.
        count: Number of entries.
        revoke_s: See ``standin.Site``.
        duties: See ``standin.Site``.
        routed: Number of entries, the first ones, with paths of their own to
            the replicas.
    """
    resources = context.site_resources = contextlib.ExitStack()
    context.add_cleanup(resources.close)
    port = resources.enter_context(ports.allocator())()
    sites = []
    for i in range(count):
        site = standin.Site(tempfile.mkdtemp(dir=context.tmp),
                            resources.enter_context(ports.allocator()),
                            store=sites[0].store if sites else None,
                            peers=f'127.0.0.{i + 2}:{port}',
                            revoke_s=revoke_s,
                            duties=duties,
                            own_paths=i < routed)
        resources.callback(site.close)
        sites.append(site)
    return sites


def replacements(context):
    """Returns sites of new entries at new hosts in place of the old ones.

    Args:
        context: The context of the scenario, whose ``sites`` have no running
            entry.
    """
    sites = []
    for old in context.sites:
        host, port = old.peers.rsplit(':', 1)
        first, last = host.rsplit('.', 1)
        site = standin.Site(tempfile.mkdtemp(dir=context.tmp),
                            context.site_resources.enter_context(
                                ports.allocator()),
                            store=context.platform.store,
                            peers=f'{first}.{int(last) + 100}:{port}',
                            revoke_s=old.revoke_s)
        site.seed = sites[0].peers_host if sites else site.peers_host
        context.add_cleanup(site.close)
        sites.append(site)
    return sites


def wait_until_ready(sites):
    """Waits until the entries of all ``sites`` are ready."""
    for site in sites:
        waiting.until(lambda s=site: wire_callers.status(s.readiness) == 200,
                      'the entry to be ready')


def send_request(context, kind='idempotent', **kw):
    site = context.platform
    context.rid = new_rid(context)
    context.reply = wire_callers.send_request(site.callers, PATH_BY_KIND[kind],
                                              context.rid, **kw)
    return context.reply


def runs_of(context, rid):
    runs = [(name, req)
            for name, replica in context.platform.replicas.items()
            for req in replica.runs
            if req.headers['attempt-id'] == rid]
    return sorted(runs, key=lambda run: run[1].at)


def script_fault(context, kind, *faults):
    # Only the first replica that gets the request has the first fault. Which
    # one that is isn't known beforehand, so both replicas share a script.
    names = POOL_REPLICAS if kind in ('streaming',
                                      'resumable') else PLAIN_REPLICAS
    replicas = [context.platform.replicas[n] for n in names]
    shared = SharedScript(*faults)
    for replica in replicas:
        replica.script = shared


class SharedScript:
    """A script that several replicas share."""

    def __init__(self, *faults):
        self._remaining = list(faults)

    def __bool__(self):
        return bool(self._remaining)

    def popleft(self):
        return self._remaining.pop(0)
