"""Measures the cost per replica, peer, class and request for docs/CAPACITY.md.

Usage: python bench/capacity.py [--part NAME ...] [--out out/capacity.json]

Starts a few stand-ins and one to three entries on loopback. To simulate many
replicas and peers, a few processes are listed under many names, which keeps
the site below 20 processes and 1 GB.
"""

import argparse
import contextlib
import functools
import json
import pathlib
import sys
import tempfile
import time
import urllib.request

import msgspec
import psutil
import tomli_w
from prometheus_client import parser as prom_parser

from gorsefall import bench
from gorsefall import catalogue
from gorsefall import claims
from gorsefall import publish
from gorsefall import settings
from gorsefall import settingsfile
from gorsefall.standins import launch

BASE_PORT = 18900
LOG_PORT, VM_LIST_PORT, FIRST_ENGINE_PORT, FIRST_ENTRY_PORT = (BASE_PORT,
                                                               BASE_PORT + 1,
                                                               BASE_PORT + 2,
                                                               BASE_PORT + 20)
SETTLE_S = 3.0
SAMPLE_S = 6.0
PROMPT_WORDS = 20


def _addr(port):
    return f'127.0.0.1:{port}'


def _document(customers, per_customer=1):
    return catalogue.Document(classes=[
        catalogue.Klass(owner=f'c{i}',
                        name=f'k{j}',
                        tier=1 + j % 5,
                        pool='svc' if j == 1 else 'llm',
                        rate_per_s=1e5,
                        concurrency=10**5,
                        repeatable=j != 1)
        for i in range(customers)
        for j in range(per_customer)
    ])


@contextlib.contextmanager
def run_site(replicas=4, entries=1, peers=0, doc=None, **entry_cfg):
    """Starts a site of stand-ins and entries.

    Args:
        replicas: Number of replica names, spread over four engine processes.
        entries: Number of entry processes.
        peers: Number of further entry names in the VM list, all with the
            address of the first entry.
        doc: Catalogue to publish (default: ten customers, two classes each).
        **entry_cfg: Further settings of the entries.

    Yields:
        ``(log address, [entry address], [Process])``.
    """
    with tempfile.TemporaryDirectory() as tmp:
        root = pathlib.Path(tmp)
        lines = [
            f'log log {_addr(LOG_PORT)}', f'vmlist vmlist {_addr(VM_LIST_PORT)}'
        ]
        lines += [
            f'engine e{i} {_addr(FIRST_ENGINE_PORT + i)}' for i in range(4)
        ]
        lines.append(f'service s0 {_addr(FIRST_ENGINE_PORT + 4)}')
        (root / 'standins.txt').write_text('\n'.join(lines))
        backends = [{
            'name': f'r{i}',
            'kind': 'engine',
            'pool': 'llm',
            'zone': 'z',
            'addr': _addr(FIRST_ENGINE_PORT + i % 4)
        } for i in range(replicas)]
        backends.append({
            'name': 's0',
            'kind': 'service',
            'pool': 'svc',
            'zone': 'z',
            'addr': _addr(FIRST_ENGINE_PORT + 4)
        })
        for i in range(entries):
            cfg = {
                'name': f'entry-{i}',
                'zone': 'z',
                'listen': _addr(FIRST_ENTRY_PORT + i),
                'log_service': _addr(LOG_PORT),
                'vm_list': _addr(VM_LIST_PORT),
                'slots_per_replica': 1000,
                **entry_cfg
            }
            (root / f'entry-{i}.toml').write_text(
                tomli_w.dumps({
                    'entry': cfg,
                    'backends': backends
                }))
        opts = {
            'engine': ['max_batch=1000', 'event_tokens=6', 'lo=60', 'hi=61'],
            'service': ['slots=1000', 'work_ms=5.0'],
            'log': ['appends_per_s=100000']
        }
        with launch.run_processes(root, root / 'logs', opts=opts) as procs:
            for i in range(peers):
                launch.set_vm(_addr(VM_LIST_PORT),
                              name=f'peer-{i}',
                              addr=_addr(FIRST_ENTRY_PORT),
                              role='entry')
            log = settingsfile.split_addr(_addr(LOG_PORT))
            publish.publish(log, doc or _document(10, 2))
            cfgs = [settings.load(p) for p in sorted(root.glob('entry-*.toml'))]
            listens = [c.entry.listen for c in cfgs]
            launch.wait_ready(listens)
            yield log, listens, [
                psutil.Process(procs[c.entry.name].pid) for c in cfgs
            ]


def link_bytes(addr):
    """Returns the bytes of an entry's calls in both directions, by route."""
    with urllib.request.urlopen(f'http://{addr}/metrics', timeout=5) as res:
        text = res.read().decode()
    out = {}
    for family in prom_parser.text_string_to_metric_families(text):
        for s in family.samples:
            if s.name == 'gorsefall_link_bytes_total':
                route = s.labels['route']
                out[route] = out.get(route, 0) + s.value
    return out


def _cpu_s(proc):
    return sum(proc.cpu_times()[:2])


def idle_cost(addr, proc):
    """Returns CPU (% of a core), RSS (MB) and B/s by route of an idle entry."""
    time.sleep(SETTLE_S)
    cpu, sent, start = _cpu_s(proc), link_bytes(addr), time.monotonic()
    time.sleep(SAMPLE_S)
    span = time.monotonic() - start
    after = link_bytes(addr)
    return {
        'cpu_pct': round(100 * (_cpu_s(proc) - cpu) / span, 2),
        'rss_mb': round(proc.memory_info().rss / 1e6, 1),
        'bytes_s': {
            k: round((v - sent.get(k, 0)) / span) for k, v in after.items()
        }
    }


def part_replicas():
    """Measures the idle cost by number of replicas."""
    out = {}
    for n in (4, 16, 64, 256):
        with run_site(replicas=n) as (_, addrs, procs):
            out[n] = idle_cost(addrs[0], procs[0])
    return out


def part_peers():
    """Measures the idle cost by number of peers."""
    out = {}
    for n in (0, 6, 24):
        with run_site(peers=n) as (_, addrs, procs):
            out[n] = idle_cost(addrs[0], procs[0])
    return out


def part_polls():
    """Measures the idle cost by poll period, as a multiple of the default."""
    periods = {
        'catalogue_poll_s': 1.0,
        'ledger_poll_s': 3.0,
        'load_poll_s': 0.5,
        'vm_poll_s': 1.0,
        'peer_poll_s': 1.0
    }
    out = {}
    for factor in (1, 4):
        cfg = {k: v * factor for k, v in periods.items()}
        with run_site(peers=6, **cfg) as (_, addrs, procs):
            out[factor] = idle_cost(addrs[0], procs[0])
    return out


def part_classes():
    """Measures idle cost and the cost of a change by number of classes."""
    out = {}
    for n in (10, 500, 2000, 6000):
        doc = _document(n // 5, 5)
        with run_site(doc=doc) as (log, addrs, procs):
            row = idle_cost(addrs[0], procs[0])
            doc.classes[0].rate_per_s = 7.0
            cpu, sent = _cpu_s(procs[0]), link_bytes(addrs[0])
            start = time.monotonic()
            version = publish.publish(log, doc)
            _wait_version(addrs[0], version)
            row['change_in_force_s'] = round(time.monotonic() - start, 2)
            row['change_cpu_ms'] = round(1000 * (_cpu_s(procs[0]) - cpu), 1)
            row['change_bytes'] = round(
                link_bytes(addrs[0])['streams'] - sent['streams'])
            out[n] = row
    return out


def _wait_version(addr, version):
    while True:
        with urllib.request.urlopen(f'http://{addr}/status', timeout=5) as res:
            if json.load(res)['catalogue']['version'] >= version:
                return
        time.sleep(0.02)


def _scenario(rate, kind, duration_s=6.0):
    stream = bench.Stream(customer='c0',
                          klass='k1' if kind == 'service' else 'k0',
                          rate_per_s=rate,
                          kind=kind,
                          pool='svc',
                          op='charge',
                          max_tokens=60,
                          prompt_words=PROMPT_WORDS)
    return bench.Scenario(name=f'{kind} {rate}/s',
                          site='',
                          catalogue='',
                          duration_s=duration_s,
                          streams=[stream])


def _measure_load(kind, rates):
    out = {}
    for rate in rates:
        with run_site() as (_, addrs,
                            procs), tempfile.TemporaryDirectory() as tmp:
            sc = _scenario(rate, kind)
            path = pathlib.Path(tmp) / 'catalogue.toml'
            path.write_text(catalogue.to_toml(_document(10, 2)))
            sc.catalogue = str(path)
            log_before = _log_stats()
            cpu, rss = _cpu_s(procs[0]), procs[0].memory_info().rss
            rep = bench.run(sc, [settingsfile.split_addr(addrs[0])])
            used = _cpu_s(procs[0]) - cpu
            log_after = _log_stats()
            klass = rep['classes'][0]
            out[rate] = {
                'requests':
                    rep['requests'],
                'served':
                    klass['served'],
                'cpu_pct':
                    round(100 * used / rep['span_s'], 1),
                'cpu_ms_per_req':
                    round(1000 * used / rep['requests'], 2),
                'rss_growth_mb':
                    round((procs[0].memory_info().rss - rss) / 1e6, 1),
                'ttft_p95_ms':
                    klass['ttft_p95_ms'],
                'appends':
                    log_after['appends'] - log_before['appends'],
                'records':
                    log_after['records'] - log_before['records'],
            }
    return out


def _log_stats():
    with urllib.request.urlopen(f'http://{_addr(LOG_PORT)}/stats',
                                timeout=5) as res:
        return {'appends': 0, 'records': 0, **json.load(res)}


def part_claims():
    """Measures memory and CPU time per idempotency key, in this process."""
    out = {}
    this_process = psutil.Process()
    for n in (20000, 40000):
        state = claims.State(900.0)
        rss = this_process.memory_info().rss
        start = time.process_time()
        for i in range(n):
            raw = {
                'kind': 'claim',
                'key': f'customer/{i:032x}',
                'rid': f'req-{i:016x}',
                'at': float(i) / 300,
                'digest': f'{i:016x}'
            }
            state.apply(2 * i, msgspec.convert(raw, claims.Record), 0.0)
            raw |= {
                'kind': 'done',
                'status': 200,
                'reply': {
                    'id': raw['rid'],
                    'ok': True
                }
            }
            state.apply(2 * i + 1, msgspec.convert(raw, claims.Record), 0.0)
        out[n] = {
            'bytes_per_key': round((this_process.memory_info().rss - rss) / n),
            'us_per_key': round(1e6 * (time.process_time() - start) / n, 1)
        }
    return out


PARTS = {
    'claims': part_claims,
    'replicas': part_replicas,
    'peers': part_peers,
    'polls': part_polls,
    'classes': part_classes,
    'streams': functools.partial(_measure_load, 'chat', (10, 20, 40)),
    'charges': functools.partial(_measure_load, 'service', (20, 40, 80)),
}


def main(argv=None):
    """Runs the selected parts; returns the exit status."""
    args = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    args.add_argument('--part', action='append', choices=sorted(PARTS))
    args.add_argument('--out', default='out/capacity.json')
    args = args.parse_args(argv)
    out = {}
    for name in args.part or PARTS:
        out[name] = PARTS[name]()
        print(f'== {name}')
        for x, row in out[name].items():
            print(f'{x:>6} {json.dumps(row)}', flush=True)
    path = pathlib.Path(args.out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(out, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
