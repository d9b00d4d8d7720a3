"""A small deployment on loopback addresses: store, replicas, entries, callers.

The store and the callers are threads of the test; replicas (``replica.py``) and
entries (the program of the deploy file) are processes of their own. Everything
follows the users' pages; figures are those of ``kasa-gorsefall.toml``.
"""

import base64
import collections
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BEAT_S = 1.2
BOUNDS = {
    'seed-lag-s': 3, 'reuse-after-s': 2, 'contact-ms': 3000, 'ack-ms': 4000,
    'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200,
    'config-apply-ms': 2000, 'revert-slack-ms': 250, 'stretch-ms': 5000,
    'strict-revoke': True, 'revoke-ms': 5000, 'retry-ratio': 0.2,
    'retry-window-s': 10, 'retry-slack': 52, 'recover-s': 12, 'pass-ms': 120,
    'reuse-window-s': 5.6
}
KEY, TENANT = 'n2ctnfzs989anu6wsjnb', 'hule930'
HOST = 'ficu95.example'


def free_ports(n):
    """Returns ``n`` ports that are free on all loopback addresses used."""
    socks = [socket.socket() for _ in range(n)]
    for s in socks:
        s.bind(('0.0.0.0', 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


METRICS_PORT = 9464  # Fixed by the template.


def free_net(entries):
    """Returns a loopback network where the entries' metrics port is free."""
    while True:
        net = f'127.{random.randrange(1, 255)}.{random.randrange(1, 255)}'
        try:
            for n in range(1, entries + 1):
                with socket.socket() as s:
                    s.bind((f'{net}.{10 + n}', METRICS_PORT))
            return net
        except OSError:
            continue


# -- the platform's store ------------------------------------------------------


class Store:
    """The platform's store: keyed topics of one partition, form "log".

    Attributes:
        era: Number in the header ``Store-Era`` of all answers.
        away: Whether it resets all channels.
    """

    def __init__(self):
        self.era, self.away = 1, False
        self._socks = set()
        self._cond = threading.Condition()
        self.topics = collections.defaultdict(list)
        store = self

        class Handler(socketserver.BaseRequestHandler):

            def handle(self):
                try:
                    store.serve(self.request)
                except OSError:
                    pass  # The entry was killed or has closed its channel.

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 128

        self.server = Server(('127.0.0.1', 0), Handler)
        self.addr = '127.0.0.1:%d' % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Appends a record; ``value`` None drops the key."""
        raw = b'' if value is None else json.dumps(value).encode()
        self.append(topic, [bytes([len(key)]) + key.encode() + raw])

    def append(self, topic, contents):
        with self._cond:
            first = len(self.topics[topic])
            self.topics[topic].extend(contents)
            self._cond.notify_all()
            return first, len(self.topics[topic])

    def save(self):
        """Returns a copy of all topics."""
        with self._cond:
            return {name: list(t) for name, t in self.topics.items()}

    def leave(self):
        """Resets all channels, and new ones, until ``restore``."""
        self.away = True
        for sock in list(self._socks):
            self._reset(sock)

    def restore(self, copy):
        """Comes back from an older copy: what was written since is lost."""
        with self._cond:
            self.topics.clear()
            self.topics.update({name: list(t) for name, t in copy.items()})
            self.era += 1
            self.away = False
            self._cond.notify_all()

    def _reset(self, sock):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack('ii', 1, 0))
            sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def serve(self, sock):
        self._socks.add(sock)
        try:
            self._serve(sock)
        finally:
            self._socks.discard(sock)

    def _serve(self, sock):
        f = sock.makefile('rb')
        while True:
            if self.away:
                self._reset(sock)
                return
            line = f.readline()
            if not line.strip():
                return
            method, target, _ = line.decode().split(' ', 2)
            length = 0
            while (h := f.readline()).strip():
                if h.lower().startswith(b'content-length:'):
                    length = int(h.split(b':')[1])
            body = f.read(length)
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, out = self.call(method, url.path, query, body)
            kind = ('application/octet-stream'
                    if url.path == '/api/log-read' else 'application/json')
            time.sleep(0.004)
            if self.away:
                self._reset(sock)
                return
            try:
                sock.sendall(b'HTTP/1.1 %d X\r\nContent-Type: %s\r\n'
                             b'Store-Era: %d\r\n'
                             b'Content-Length: %d\r\n\r\n%s' %
                             (status, kind.encode(), self.era, len(out), out))
            except OSError:
                return

    def call(self, method, path, query, body):
        topic = query.get('topic', '')
        if path == '/api/log-append' and method == 'POST':
            if topic in ('keyed.op', 'keyed.servers'):
                return 403, b'{}'
            contents, pos = [], 0
            while pos < len(body):
                size, = struct.unpack_from('>I', body, pos)
                contents.append(body[pos + 4:pos + 4 + size])
                pos += 4 + size
            with self._cond:
                end = len(self.topics[topic])
                if int(query.get('at', end)) != end:
                    return 412, b'{"end":%d}' % end
                first, end = self.append(topic, contents)
            return 200, b'{"offset":%d,"end":%d}' % (first, end)
        if path == '/api/log-read':
            start = int(query['from'])
            with self._cond:
                era = self.era
                self._cond.wait_for(
                    lambda: len(self.topics[topic]) > start or self.era != era
                    or self.away, float(query.get('wait-ms', 0)) / 1000)
                records = self.topics[topic]
                if start > len(records):
                    return 410, b'{"first":0}'
                out = struct.pack('>QQ', len(records), 0)
                limit = int(query.get('max-kb', 1024)) * 1024
                for i, c in enumerate(records[start:]):
                    if i and len(out) + len(c) > limit:
                        break
                    out += struct.pack('>I', len(c)) + c
            return 200, out
        if path == '/api/log-newest':
            with self._cond:
                newest = {}
                for offset, c in enumerate(self.topics[topic]):
                    key, value = c[1:1 + c[0]].decode(), c[1 + c[0]:]
                    newest.pop(key, None)
                    if value:
                        newest[key] = (value, offset)
                end = len(self.topics[topic])
            items = [{
                'key': k,
                'value': base64.b64encode(v).decode(),
                'offset': o
            } for k, (v, o) in sorted(newest.items())]
            return 200, json.dumps({
                'items': items,
                'truncated': False,
                'end': end
            }).encode()
        return 404, b'{}'


# -- the deploy file -----------------------------------------------------------


def render(text, fields):
    """Fills in a template as the platform's page tells."""

    def look(name, here):
        if name == '.':
            return here
        for scope in ((here, fields) if isinstance(here, dict) else (fields,)):
            value = scope
            for part in name.split('.'):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(
                        part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ''
        if isinstance(value, bool):
            return 'true' if value else 'false'
        if isinstance(value, list):
            return ','.join(map(str, value))
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def run(part, here):
        section = re.compile(r'\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}', re.S)
        out, pos = '', 0
        for m in section.finditer(part):
            out += leaf(part[pos:m.start()], here)
            value = look(m.group(2), here)
            if m.group(1) == '^':
                out += run(m.group(3), here) if not value else ''
            elif isinstance(value, list):
                out += ''.join(run(m.group(3), v) for v in value)
            elif value:
                out += run(m.group(3), value)
            pos = m.end()
        return out + leaf(part[pos:], here)

    def leaf(part, here):
        return re.sub(r'\{\{([^#^/{}][^{}]*)\}\}',
                      lambda m: show(look(m.group(1), here)), part)

    return run(text, fields)


class Entry:
    """One entry: the role of the deploy file on a loopback address."""

    def __init__(self, site, number, seeds, zone):
        self.site = site
        self.number = number
        self.ip = f'{site.net}.{10 + number}'
        self.front = (self.ip, site.ports[0])
        self.ready_addr = (self.ip, site.ports[1])
        self.zone = zone
        self.seeds = seeds
        self.proc = None
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = role['roles']['entry']
        self.path = site.folder / f'entry-{number}.toml'

    def write_settings(self):
        p = self.site.ports
        fields = {
            'node-id': f'edge-{self.number}', 'zone': self.zone, 'ip': self.ip,
            'listen': {
                'front': f'{self.ip}:{p[0]}', 'ready': f'{self.ip}:{p[1]}',
                'control': f'{self.ip}:{p[2]}'
            },
            'port-range': [p[3], p[3]],
            'seeds': [f'{s}:{p[2]}' for s in self.seeds],
            'bounds': self.site.bounds,
            'platform': {'address': self.site.store.addr},
        }
        text = (ROOT / self.role['template']).read_text()
        self.path.write_text(render(text, fields))

    def start(self):
        self.write_settings()
        out = open(self.site.folder / f'entry-{self.number}.log', 'ab')
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG')
               if k in os.environ}
        env['GORSEFALL_CONFIG'] = str(self.path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.proc = subprocess.Popen(self.role['run'].split(), cwd=ROOT,
                                     stdout=out, stderr=out, env=env)
        self.site.procs.append(self.proc)

    def ready(self):
        try:
            c = http.client.HTTPConnection(*self.ready_addr, timeout=1)
            c.request('GET', '/api/readiness')
            ok = c.getresponse().status == 200
            c.close()
            return ok
        except OSError:
            return False


class Replica:
    """One replica process, and the heartbeats of its record."""

    def __init__(self, site, name, service, **options):
        self.site, self.name, self.service = site, name, service
        self.options = options
        self.addr = f'127.0.0.1:{free_ports(1)[0]}'
        self.state = 'ready'
        self.seq = 0
        self.log_path = site.folder / f'replica-{name}.log'
        self.proc = None

    def start(self):
        out = open(self.site.folder / f'replica-{self.name}.err', 'ab')
        self.proc = subprocess.Popen(
            [sys.executable, str(pathlib.Path(__file__).parent / 'replica.py'),
             self.name, self.addr, str(self.log_path),
             json.dumps(self.options)], stdout=out, stderr=out)
        self.site.procs.append(self.proc)
        for _ in range(200):
            try:
                socket.create_connection(split(self.addr), 1).close()
                break
            except OSError:
                time.sleep(0.02)
        self.beat()

    def beat(self):
        self.seq += 1
        self.site.store.put('keyed.servers', self.name, {
            'service': self.service, 'address': self.addr, 'zone': 'z1',
            'version': 'v1', 'slots': 64, 'state': self.state,
            'cold-left-ms': 0, 'seq': self.seq
        })

    @property
    def alive(self):
        return self.proc is not None and self.proc.poll() is None

    def log(self):
        if not self.log_path.exists():
            return []
        return [json.loads(ln) for ln in self.log_path.read_text().splitlines()]


def split(addr):
    host, port = addr.rsplit(':', 1)
    return host, int(port)


def route(name, prefix, kind, service, **fields):
    out = {
        'name': name, 'host': HOST, 'path-prefix': prefix, 'kind': kind,
        'timeout-ms': 12000, 'slo-ms': 300, 'priority': 0, 'service': service,
        'max-attempts': 1, 'auth-exempt': False, 'sticky': kind == 'streaming',
        'resumable': False
    }
    if kind == 'streaming':
        out['gap-target-ms'] = 250
    return out | fields


class Site:
    """The deployment, and the record of the run."""

    def __init__(self, folder, entries=3, bounds=()):
        self.out = open(folder / 'record.txt', 'w')
        self.lock = threading.Lock()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.bounds = BOUNDS | dict(bounds)
        self.procs = []
        self.replicas = {}
        self.store = Store()
        self.ports = free_ports(4)
        self.net = free_net(entries)
        seeds = [f'{self.net}.{10 + n}' for n in range(1, min(3, entries) + 1)]
        self.entries = [Entry(self, n, seeds, f'z{(n - 1) % 3 + 1}')
                        for n in range(1, entries + 1)]
        self.began = time.monotonic()
        self.closed = False
        threading.Thread(target=self._beats, daemon=True).start()

    def say(self, *words):
        with self.lock:
            print('%8.3f' % (time.monotonic() - self.began), *words,
                  file=self.out, flush=True)

    def configure(self, version, routes, services, tenants=None):
        self.store.put('keyed.op', 'config', {
            'version': version, 'routes': routes, 'services': services,
            'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
                       'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
            'tenants': tenants or [{'name': TENANT, 'api-keys': [KEY],
                                    'priority': 1}]
        })

    def add(self, name, service, **options):
        rep = Replica(self, name, service, **options)
        self.replicas[name] = rep
        rep.start()
        return rep

    def _beats(self):
        while not self.closed:
            time.sleep(BEAT_S)
            for rep in list(self.replicas.values()):
                if rep.alive:
                    rep.beat()

    def start_entries(self):
        for e in self.entries:
            e.start()
        end = time.monotonic() + 20
        while not all(e.ready() for e in self.entries):
            if time.monotonic() > end:
                raise RuntimeError('entries are not ready')
            time.sleep(0.1)

    def close(self):
        self.closed = True
        for p in self.procs:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.procs:
            p.wait()
        self.store.server.shutdown()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


# -- callers -------------------------------------------------------------------


class Answer:
    """What a caller saw: status, headers, body, and how it ended.

    ``end`` is ``whole`` where the framing says that the answer is complete,
    ``cut`` where the channel ended before, ``none`` without an answer.
    """

    def __init__(self):
        self.status, self.headers, self.body, self.end = 0, {}, b'', 'none'
        self.began = self.ended = None

    @property
    def events(self):
        return [int(n) for n in re.findall(rb'(?m)^id: (\d+)', self.body)]


def _request(rid, path, method, body, key, deadline_ms, stream, extra):
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}', f'Attempt-Id: {rid}',
             f'Deadline-Ms: {deadline_ms}', f'Authorization: Bearer {key}']
    if stream:
        lines += ['Model: m', 'Token-Count: 640,300',
                  f'Prompt-Prefix: 5c1e07{rid[0]}0:100,{rid[:8]}:540']
    lines += [f'{k}: {v}' for k, v in extra]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Channel:
    """A channel of a caller, for one request after the other."""

    def __init__(self, addr, recv_bytes=None):
        self.sock = self.file = None
        try:
            self.sock = socket.socket()
            if recv_bytes:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                     recv_bytes)
            self.sock.settimeout(1)
            self.sock.connect(addr)
            self.file = self.sock.makefile('rb')
        except OSError:
            self.sock = None

    def close(self):
        if self.sock is not None:
            self.file.close()
            self.sock.close()

    def call(self, rid, path, *, method='POST', body=b'', key=KEY,
             deadline_ms=12000, stream=True, extra=()):
        """Sends a request and reads its whole answer."""
        ans = Answer()
        if self.sock is None:
            ans.end = 'no channel'
            return ans
        try:
            self.sock.settimeout(deadline_ms / 1000)
            self.sock.sendall(_request(rid, path, method, body, key,
                                       deadline_ms, stream, extra))
            self._read(ans)
        except TimeoutError:
            ans.end = 'time limit'
        except (OSError, ValueError):
            pass
        ans.ended = time.monotonic()
        return ans

    def _read(self, ans):
        f = self.file
        line = f.readline()
        if not line:
            return
        ans.status = int(line.split()[1])
        ans.end = 'cut'
        while (h := f.readline()).strip():
            name, _, value = h.decode().partition(':')
            ans.headers[name.strip().lower()] = value.strip()
        ans.began = time.monotonic()
        if ans.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = f.readline()
                if not size.endswith(b'\n'):
                    return
                n = int(size, 16)
                piece = f.read(n)
                ans.body += piece
                if len(piece) < n or f.read(2) != b'\r\n':
                    return
                if not n:
                    ans.end = 'whole'
                    return
        elif 'content-length' in ans.headers:
            n = int(ans.headers['content-length'])
            ans.body = f.read(n)
            ans.end = 'whole' if len(ans.body) == n else 'cut'
        else:
            ans.body = f.read()
            ans.end = 'whole'


def call(addr, rid, path, **options):
    """Sends one request on a new channel and reads its whole answer."""
    channel = Channel(addr)
    ans = channel.call(rid, path, **options)
    channel.close()
    return ans
