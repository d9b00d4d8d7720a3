"""Measures the cost of a relay entry: while idle, and per request.

Usage: python bench/relay_capacity.py

Runs one entry process with the platform's stand-ins on loopback. The CPU time
is that of the entry process, over ``IDLE_S`` or a batch of requests.
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
    """Returns the CPU time of a process, s."""
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
    """Prints a row for an entry with this many replica records and routes."""
    with ports.allocator() as allocate, tempfile.TemporaryDirectory() as tmp:
        site = standin.Site(tmp, allocate)
        plain = site.add('p1', 'plain')
        site.add('e1', 'pool')
        for i in range(replicas - 2):
            site.store.put('keyed.servers', f'x{i}',
                           plain.record() | {'service': 'pool-b'})
        routes_added = [
            standin.route(f'r{i}', f'/x{i}/', 'idempotent', 'plain')
            for i in range(routes)
        ]
        cfg = standin.config(1)
        cfg['routes'] += routes_added
        site.store.put('keyed.op', 'config', cfg)
        site.start()
        waiting.until(lambda: wire_callers.status(site.readiness) == 200,
                      'ready')
        try:
            _print_row(site, replicas, routes)
        finally:
            site.close()


def _print_row(site, replicas, routes):
    pid = site.proc.pid
    time.sleep(1.0)
    before, calls = cpu_s(pid), sum(site.store.calls.values())
    time.sleep(IDLE_S)
    idle_share = (cpu_s(pid) - before) / IDLE_S
    calls = (sum(site.store.calls.values()) - calls) / IDLE_S
    row = [
        f'replicas {replicas}', f'routes {routes}', f'idle {idle_share:.2%}',
        f'{calls:.1f} calls/s'
    ]
    for kind, path in (('plain', '/i/x'), ('stream', '/s/x')):
        before = cpu_s(pid)
        for i in range(REQUESTS_PER_KIND):
            res = wire_callers.send_request(site.callers,
                                            path,
                                            f'{kind}{i}',
                                            body=b'x')
            assert res.status == 200, res
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
