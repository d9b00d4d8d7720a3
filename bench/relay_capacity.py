"""Measures what a relay entry costs: at rest, and for a request.

Usage: python bench/relay_capacity.py

One real entry process against the stand-ins of the platform, on loopback.
Processor time is the process's own, over ``IDLE_S`` or a batch of requests.
"""

import os
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / 'platform' / 'tests'))

import standin  # noqa: E402
import wire_callers  # noqa: E402

from gorsefall.standins import ports  # noqa: E402
from gorsefall.standins import waiting  # noqa: E402

IDLE_S = 5.0
REQUESTS_PER_KIND = 400
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def cpu_s(pid):
    """Returns the processor time of a process, s."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, kernel = fields.split()[11:13]
    return (int(user) + int(kernel)) / TICKS_PER_S


def rss_mb(pid):
    """Returns the resident memory of a process, MB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(replicas, routes):
    """Prints one row: an entry with so many replica records and routes."""
    with ports.allocator() as take, tempfile.TemporaryDirectory() as tmp:
        site = standin.Site(tmp, take)
        plain = site.add('p1', 'plain')
        site.add('e1', 'pool')
        for i in range(replicas - 2):
            site.store.put('keyed.servers', f'x{i}',
                           plain.record() | {'service': 'pool-b'})
        more = [
            standin.route(f'r{i}', f'/x{i}/', 'idempotent', 'plain')
            for i in range(routes)
        ]
        cfg = standin.config(1)
        cfg['routes'] += more
        site.store.put('keyed.op', 'config', cfg)
        site.start()
        waiting.until(lambda: wire_callers.status(site.readiness) == 200,
                      'ready')
        try:
            _rows(site, replicas, routes)
        finally:
            site.close()


def _rows(site, replicas, routes):
    pid = site.proc.pid
    time.sleep(1.0)
    before, calls = cpu_s(pid), sum(site.store.calls.values())
    time.sleep(IDLE_S)
    rest = (cpu_s(pid) - before) / IDLE_S
    calls = (sum(site.store.calls.values()) - calls) / IDLE_S
    row = [
        f'replicas {replicas}', f'routes {routes}', f'rest {rest:.2%}',
        f'{calls:.1f} calls/s'
    ]
    for kind, path in (('plain', '/i/x'), ('stream', '/s/x')):
        before = cpu_s(pid)
        for i in range(REQUESTS_PER_KIND):
            reply = wire_callers.send_request(site.callers,
                                              path,
                                              f'{kind}{i}',
                                              body=b'x')
            assert reply.status == 200, reply
        row.append(
            f'{kind} {(cpu_s(pid) - before) / REQUESTS_PER_KIND * 1000:.2f} ms')
    row.append(f'{rss_mb(pid):.1f} MB')
    print('  '.join(row), flush=True)


def main():
    """Prints a row for each size."""
    for replicas, routes in ((8, 10), (256, 10), (1800, 10), (8, 1000),
                             (8, 3000), (1800, 3000)):
        measure(replicas, routes)


if __name__ == '__main__':
    main()
