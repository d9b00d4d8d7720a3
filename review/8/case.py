"""Case 8: streams are joined from two software versions.

Three entries. The configuration adds a route to a new service while the entry
that stores which versions may have begun streams is frozen. Streams begin there
at the other two entries. Then all processes are killed, and the service's
replicas are replaced by a newer version before the entries are back. Callers
take their streams up, as the pages allow.
"""

import collections
import pathlib
import re
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site2  # noqa: E402
from site2 import standin, waiting, wire_callers  # noqa: E402

from gorsefall.policy import rendezvous  # noqa: E402

LEAD_S = 12.5
"""Traffic starts 12 s after the machines do."""

STREAMS = 8
BEAT_S = 1.2
RUN_S = 1.0
DOWN_S = 1.5
TRIES_S = 12.0
MAX_FREEZE_S = 4.0
"""Longest freeze in the site file."""

MAX_JOINED = 2
"""The rule allows two such streams."""

HOSTS = '127.0.0.2', '127.0.0.3', '127.0.0.4'
LOCK = threading.Lock()


def beat(site):
    """Has the replicas write their entries, as sound ones do."""
    while True:
        time.sleep(BEAT_S)
        with LOCK:
            for replica in site.replicas.values():
                site.store.put('keyed.servers', replica.id, replica.record())


def route(prefix, service):
    return standin.route(f'r-{service}', prefix, 'streaming', service,
                         sticky=True, resumable=True, max_attempts=2,
                         timeout_ms=8000)


def config(version, more=()):
    """Returns a configuration; ``more`` has further (prefix, service) pairs."""
    cfg = site2.config(version, [route('/r/old/', 'pool')] +
                       [route(p, s) for p, s in more])
    for _, service in more:
        cfg['services'].append({'name': service, 'max-conns': 60,
                                'engine': {'slots': 8}})
    return cfg


class Stream:
    """One caller and its stream."""

    def __init__(self, number, record):
        self.rid = f'{number:016x}'
        self._record = record
        self.events = b''
        self.finished_by = None
        self._sock = None

    def begin(self, site):
        """Reads the first two events."""
        self._sock = wire_callers.connect(site.callers)
        self._sock.settimeout(5.0)
        self._sock.sendall(request(self.rid))
        self._record.line(f'sent {self.rid} to {site.name}')
        data = b''
        while data.count(b'\n\n') < 2 and (piece := self._sock.recv(65536)):
            data += piece
        self.events = data
        self._record.line(f'{self.rid}: {shown(data)}')

    @property
    def last_id(self):
        ids = re.findall(rb'id: (\d+)', self.events)
        return int(ids[-1]) if ids else 0

    def leave(self):
        """Its channel is broken, or it closes it."""
        self._sock.close()

    def take_up(self, sites):
        """Takes the stream up, at one entry after the other."""
        until = time.monotonic() + TRIES_S
        number = 0
        while time.monotonic() < until and self.finished_by is None:
            number += 1
            site = sites[number % len(sites)]
            rid = f'{self.rid[:-4]}{number:03x}{self.rid[-1]}'
            try:
                response = wire_callers.send_request(
                    site.callers, '/r/new/2f', rid, body=b'advice',
                    deadline_ms=5000, extra=[*PROMPT, f'Resumes: {self.rid}',
                           f'Last-Event-Id: {self.last_id}'])
            except (OSError, socket.timeout):
                time.sleep(0.3)
                continue
            self._record.line(f'{self.rid} taken up as {rid} at {site.name}: '
                              f'{response.status} {shown(response.body)}')
            if response.status == 200 and response.complete:
                self.finished_by = response.body
            time.sleep(1.0)

    @property
    def versions(self):
        """Versions that wrote the events that the caller has."""
        return set(re.findall(rb' by (\S+)',
                              self.events + (self.finished_by or b'')))


PROMPT = ('Model: m', 'Token-Count: 120,20', 'Prompt-Prefix: ab:60,cd:60')


def request(rid):
    return wire_callers.request_bytes('/r/new/2f', rid, body=b'advice',
                                      deadline_ms=8000, extra=PROMPT)


def shown(data):
    return ' '.join(re.findall(r'piece \d+ by \S+', data.decode()))


def case(stack, folder, take_port, record):
    """Plays the case; returns whether the rule held."""
    port = take_port()
    sites = []
    for number, host in enumerate(HOSTS):
        site = site2.Site(folder / str(number), take_port,
                          store=sites[0].store if sites else None, host=host,
                          zone=f'zone-{number}', name=f'edge-zone-{number}-1',
                          seeds=','.join(f'{h}:{port}' for h in HOSTS))
        site.peers_port = port
        stack.callback(site.close)
        sites.append(site)
    store = sites[0].store
    # The pages know no histories of the store.
    store.era = 0
    store.put('keyed.op', 'config', config(1))
    for number in range(2):
        add(sites[0], f'i-old-{number}', 'pool', 'v7', record)
    threading.Thread(target=beat, args=(sites[0],), daemon=True).start()
    for site in sites:
        site.start()
    began_at = time.monotonic()
    for site in sites:
        site.wait_ready()
    time.sleep(LEAD_S - (time.monotonic() - began_at))
    for number in range(2):
        add(sites[0], f'i-new-{number}', 'pool-new', 'v1', record)
    time.sleep(2.0)

    keeper = rendezvous.top(b'versions', [s.name for s in sites], 1)[0]
    frozen = next(s for s in sites if s.name == keeper)
    others = [s for s in sites if s is not frozen]
    if site2.TROUBLE:
        frozen.proc.send_signal(signal.SIGSTOP)
        frozen_at = time.monotonic()
        record.line(f'{frozen.name} freezes')
    store.put('keyed.op', 'config', config(2, [('/r/new/', 'pool-new')]))
    record.line('version 2 of the configuration is acknowledged: a route to '
                'the new service')
    for site in others:
        waiting.until(lambda s=site: any(
            ln['event'] == 'configuration' and ln['version'] == 2
            for ln in s.log()), 'version 2')
    record.line('it is in force at ' + ', '.join(s.name for s in others))
    streams = [Stream(n + 1, record) for n in range(STREAMS)]
    beginnings = [
        threading.Thread(target=stream.begin, args=(others[number % 2],))
        for number, stream in enumerate(streams)
    ]
    for thread in beginnings:
        thread.start()
    for thread in beginnings:
        thread.join()
    time.sleep(RUN_S)

    if site2.TROUBLE:
        frozen_s = time.monotonic() - frozen_at
        record.line(f'all processes are killed; {frozen.name} was frozen for '
                    f'{frozen_s:.1f} s')
        if frozen_s > MAX_FREEZE_S:
            raise RuntimeError('frozen for longer than a day of the site has')
        for site in sites:
            site.proc.kill()
        for site in sites:
            site.proc.wait()
    for stream in streams:
        stream.leave()
    replace(sites[0], record)
    time.sleep(DOWN_S)
    if site2.TROUBLE:
        for site in sites:
            site.start()
        for site in sites:
            site.wait_ready()
        record.line('all entries are back')
    threads = [threading.Thread(target=s.take_up, args=(sites,))
               for s in streams]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for site in sites:
        for line in site.log():
            if line['event'] in ('stream_taken_up', 'version_stored'):
                record.line(f'log of {site.name}: {line["event"]} '
                            f'{line.get("reason") or line.get("version")}')
    joined = [s.rid for s in streams if len(s.versions) > 1]
    record.line(f'{len(joined)} of {STREAMS} streams hold events of two '
                f'versions: {joined}')
    if not all(s.events.count(b'\n\n') >= 2 for s in streams):
        raise RuntimeError('a stream did not begin')
    return len(joined) <= MAX_JOINED


def add(site, name, service, version, record):
    with LOCK:
        replica = site.add(name, service, version=version)
    replica.signs_events = True
    replica.event_pause_s = 0.8
    replica.on_run = lambda req: record.line(
        f'ran {req.headers["attempt-id"]} at {name} ({version}), '
        f'Last-Event-Id {req.headers.get("last-event-id")}')


def replace(site, record):
    """Replaces the new service's replicas by those of another version."""
    for number in range(2):
        add(site, f'i-newer-{number}', 'pool-new', 'v2', record)
    for number in range(2):
        with LOCK:
            replica = site.replicas.pop(f'i-new-{number}')
            site.store.put('keyed.servers', replica.id, None)
        replica.close()
    record.line('the replicas of pool-new with v1 have left, those with v2 '
                'have come')


if __name__ == '__main__':
    site2.main(case, pathlib.Path(__file__).resolve().parent)
