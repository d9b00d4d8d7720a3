"""Case 6: a request that is not idempotent runs at two replicas.

A deployment of one entry and four replicas. Callers send requests of a
non_idempotent route whose configuration allows two replicas (max-attempts),
with bodies of 18,000 bytes, each in one write. Two of the replicas lose the
answer of each twentieth request that they ran: the connection is reset.
"""

import collections
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site2  # noqa: E402
from site2 import standin, wire_callers  # noqa: E402

CALLERS, REQUESTS_PER_CALLER = 4, 70
PAUSE_S = 0.12
LOST_OF_RUNS = 20
"""Each of so many answers is lost, at half of the replicas."""

BODY_BYTES = 18000


def send_all(site, caller, record, statuses):
    """Sends the requests of one caller, each on a connection of its own."""
    for number in range(REQUESTS_PER_CALLER):
        rid = f'{caller:08x}{number:08x}'
        body = rid.encode().ljust(BODY_BYTES, b'.')
        record.line(f'sent {rid}: POST /hold/2f, body of {len(body)} bytes')
        response = wire_callers.send_request(site.callers, '/hold/2f', rid,
                                             body=body, deadline_ms=1000)
        record.line(f'answered {rid}: {response.status}')
        statuses[rid] = response.status
        time.sleep(PAUSE_S)


def case(stack, folder, take_port, record):
    """Plays the case; returns whether the rule held."""
    site = site2.Site(folder / 'a', take_port)
    stack.callback(site.close)
    site.store.put(
        'keyed.op', 'config',
        site2.config(1, [
            standin.route('r-hold', '/hold/', 'non_idempotent', 'plain',
                          max_attempts=2, timeout_ms=1000)
        ]))
    for number in range(4):
        replica = site.add(f'i-{number}', 'plain')
        replica.on_run = lambda req, by=replica: record.line(
            f'ran {req.headers["attempt-id"]} at {by.id}')
        if site2.TROUBLE and number < 2:
            lost = ['ok'] * (LOST_OF_RUNS - 1) + ['resets']
            replica.script = collections.deque(lost * 20)
    site.start()
    site.wait_ready()
    statuses = {}
    threads = [
        threading.Thread(target=send_all, args=(site, n, record, statuses))
        for n in range(1, CALLERS + 1)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(0.5)
    runs = collections.Counter(req.headers['attempt-id']
                               for replica in site.replicas.values()
                               for req in replica.runs)
    twice = [rid for rid, count in runs.items() if count > 1]
    record.line(f'{len(statuses)} requests, '
                f'answers {dict(collections.Counter(statuses.values()))}')
    record.line(f'ran more than once: {twice}')
    if len(runs) < len(statuses) * 0.9:
        raise RuntimeError('too few requests ran')
    return not twice


if __name__ == '__main__':
    site2.main(case, pathlib.Path(__file__).resolve().parent)
