"""Case 7: one record of another writer stops the entries for good.

Two entries and four replicas. Another writer puts an entry into keyed.servers
whose bytes can't be read: 2.4 KB of JSON, one field of which is nested 1,200
deep. Then the processes of all entries are killed and start again.
"""

import collections
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site2  # noqa: E402
from site2 import standin, waiting, wire_callers  # noqa: E402

NESTED = 1200
FOREIGN_RECORD = b'{"labels":' + b'[' * NESTED + b']' * NESTED + b'}'
BEFORE_S, AFTER_RECORD_S = 4.0, 4.0
DOWN_S = 1.0
RECOVER_S = 12.0
"""``recover-s`` of the site."""

MEASURED_S = 8.0
DRAIN_S = 2.0
"""``drain-ms`` of the site."""

PAUSE_S = 0.1
BEAT_S = 1.2
"""``beat-ms`` of the settings: each replica writes its entry so often."""


class Load:
    """Sends requests to both entries; each goes to the other if refused."""

    def __init__(self, sites, record):
        self._sites, self._record = sites, record
        self._lock = threading.Lock()
        self.results = []
        self.finished = False
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(2)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, number):
        count = 0
        while not self.finished:
            count += 1
            rid = f'{number + 1:08x}{count:08x}'
            sent_at = time.monotonic()
            status = self._send(rid, number)
            with self._lock:
                self.results.append((sent_at, status))
            self._record.line(f'sent {rid}, answered {status}')
            time.sleep(PAUSE_S)

    def _send(self, rid, number):
        status = 'no channel'
        for turn in range(2):
            site = self._sites[(number + turn) % 2]
            try:
                response = wire_callers.send_request(
                    site.callers, '/receipt/2f', f'{rid}{turn}',
                    deadline_ms=1500)
                status = response.status if response.complete else 'cut'
            except OSError:
                status = 'no channel'
            if status == 200:
                break
        return status

    def share(self, since, until):
        """Returns the share of the requests sent in a time that was served."""
        with self._lock:
            statuses = [s for at, s in self.results if since <= at < until]
        served = sum(s == 200 for s in statuses)
        self._record.line(
            f'{served} of {len(statuses)} requests were served: '
            f'{dict(collections.Counter(map(str, statuses)))}')
        return served / max(1, len(statuses))


def case(stack, folder, take_port, record):
    """Plays the case; returns whether the rule held."""
    peers_port = take_port()
    hosts = '127.0.0.2', '127.0.0.3'
    sites = []
    for number, host in enumerate(hosts):
        site = site2.Site(folder / str(number), take_port,
                          store=sites[0].store if sites else None, host=host,
                          zone=f'zone-{number}', name=f'edge-zone-{number}-1',
                          seeds=','.join(f'{h}:{peers_port}' for h in hosts))
        site.peers_port = peers_port
        stack.callback(site.close)
        sites.append(site)
    store = sites[0].store
    store.put(
        'keyed.op', 'config',
        site2.config(1, [
            standin.route('r-receipt', '/receipt/', 'idempotent', 'plain',
                          max_attempts=2, timeout_ms=1500)
        ]))
    for number in range(4):
        replica = sites[0].add(f'i-{number}', 'plain')
        replica.on_run = lambda req, by=replica: record.line(
            f'ran {req.headers["attempt-id"]} at {by.id}')
    threading.Thread(target=beat, args=(sites[0],), daemon=True).start()
    for site in sites:
        site.start()
    for site in sites:
        site.wait_ready()
    load = Load(sites, record)
    time.sleep(BEFORE_S)
    before_at = time.monotonic()
    if site2.TROUBLE:
        store.put_raw('keyed.servers', 'batch-7', FOREIGN_RECORD)
        record.line(f'another writer: {len(FOREIGN_RECORD)} bytes, an entry '
                    f'whose field "labels" is nested {NESTED} deep')
    time.sleep(AFTER_RECORD_S)
    watch_drain(sites[0], load, record)
    record.line('all entries are killed')
    for site in sites:
        site.proc.kill()
        site.proc.wait()
    time.sleep(DOWN_S)
    for site in sites:
        site.launch()
    for site in sites:
        waiting.until(
            lambda s=site: wire_callers.status(s.readiness) is not None,
            'an entry to listen')
    back_at = time.monotonic()
    record.line('all entries listen again')
    time.sleep(RECOVER_S + MEASURED_S)
    load.finished = True
    for site in sites:
        record.line(f'{site.name}: readiness '
                    f'{wire_callers.status(site.readiness)}')
    for line in [x for s in sites for x in s.exceptions()][:2]:
        text = str(line).replace(str(site2.ROOT) + '/', '')
        record.line(f'log of an entry: ...{text[-300:]}')
    if load.share(before_at - BEFORE_S, before_at) < 0.25:
        raise RuntimeError('too few requests were served before')
    return load.share(back_at + RECOVER_S, back_at + RECOVER_S +
                      MEASURED_S) >= 0.25


def watch_drain(site, load, record):
    """Has a replica leave; records what still reaches it (not judged)."""
    replica = site.replicas['i-3']
    replica.state = 'draining'
    site.store.put('keyed.servers', 'i-3', replica.record())
    acked_at = time.monotonic()
    record.line('i-3 is draining: acknowledged by the store')
    time.sleep(DRAIN_S + 2.0)
    late = [r for r in replica.received_requests if r.at > acked_at + DRAIN_S]
    record.line(f'{len(late)} requests reached i-3 later than {DRAIN_S} s '
                'after that')
    del load
    with LOCK:
        del site.replicas['i-3']
        site.store.put('keyed.servers', 'i-3', None)
    replica.close()


LOCK = threading.Lock()


def beat(site):
    """Has the replicas write their entries, as sound ones do."""
    while True:
        time.sleep(BEAT_S)
        with LOCK:
            for replica in site.replicas.values():
                site.store.put('keyed.servers', replica.id, replica.record())


if __name__ == '__main__':
    site2.main(case, pathlib.Path(__file__).resolve().parent)
