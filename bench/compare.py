"""Runs a scenario under several policies and compares the reports.

Usage: python bench/compare.py bench/SCENARIO.toml [--policy NAME ...]
           [--repeat N] [--out out/bench]

Each policy gets the same arrivals, prompts and faults, and newly started
stand-ins and entries. Writes a JSON file and a PNG file per scenario.
"""

import argparse
import json
import pathlib
import shutil
import statistics
import sys
import tempfile
import tomllib
import urllib.request

import matplotlib
import psutil
import tomli_w

from gorsefall import bench
from gorsefall import catalogue
from gorsefall import publish
from gorsefall import settings
from gorsefall import settingsfile
from gorsefall.standins import launch

matplotlib.use('Agg')
# pylint: disable=wrong-import-position
from matplotlib import pyplot  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
POLICIES = ('tiers', 'fifo', 'roundrobin')


def make_site(sc, policy, target):
    """Copies the scenario's example site, with ``policy`` in its settings."""
    src = ROOT / 'examples' / sc.site
    slots = _opt(sc, 'engine', 'max_batch', 16)
    service_slots = _opt(sc, 'service', 'slots', 6)
    (target / 'standins.txt').write_text((src / 'standins.txt').read_text())
    cfgs = []
    for path in sorted(src.glob('entry-*.toml')):
        raw = tomllib.loads(path.read_text())
        pools = {b['pool'] for b in raw['backends'] if b['kind'] == 'service'}
        raw['entry'] |= {
            'policy': policy,
            'slots_per_replica': slots,
            'pool_slots': {
                p: service_slots for p in pools
            }
        }
        (target / path.name).write_text(tomli_w.dumps(raw))
        cfgs.append(settings.load(target / path.name))
    return cfgs


def _opt(sc, kind, name, default):
    for text in sc.standin_opts.get(kind, []):
        key, _, value = text.partition('=')
        if key == name:
            return int(value)
    return default


def _get(addr, path):
    with urllib.request.urlopen(f'http://{addr}{path}', timeout=5) as res:
        return json.load(res)


def standin_addrs(site):
    """Returns the addresses of a site's stand-ins as ``name -> host:port``."""
    lines = (site / 'standins.txt').read_text().splitlines()
    rows = [ln.split() for ln in lines if ln and not ln.startswith('#')]
    return {name: addr for _, name, addr in rows}


def _engine_totals(addrs):
    totals = {}
    for name, addr in addrs.items():
        if name.startswith('engine'):
            for key, value in _get(addr, '/stats').items():
                if isinstance(value, int):
                    totals[key] = totals.get(key, 0) + value
    return totals


def run_policy(sc, policy):
    """Runs ``sc`` under ``policy`` with new processes; returns the report."""
    with tempfile.TemporaryDirectory() as tmp:
        site = pathlib.Path(tmp)
        cfgs = make_site(sc, policy, site)
        addrs = standin_addrs(site)
        logs = ROOT / 'out' / 'logs' / policy
        shutil.rmtree(logs, ignore_errors=True)
        with launch.run_processes(site, logs,
                                  opts=sc.standin_opts) as procs_by_name:
            log = settingsfile.split_addr(cfgs[0].entry.log_service)
            publish.publish(log, catalogue.load(ROOT / sc.catalogue))
            listens = [c.entry.listen for c in cfgs]
            launch.wait_ready(listens)
            procs = [
                psutil.Process(procs_by_name[c.entry.name].pid) for c in cfgs
            ]
            cpu_before = sum(sum(p.cpu_times()[:2]) for p in procs)
            rep = bench.run(sc, [settingsfile.split_addr(a) for a in listens],
                            addrs.get)
            cpu = sum(sum(p.cpu_times()[:2]) for p in procs) - cpu_before
            rep['label'] = policy
            rep['engines'] = _engine_totals(addrs)
            rep['entry_cpu_ms_per_req'] = round(1000 * cpu / rep['requests'], 2)
            rep['entry_rss_mb'] = round(
                max(p.memory_info().rss for p in procs) / 1e6, 1)
            return rep


def median_report(reps):
    """Returns a report with the median over repeated runs of each number."""
    first = reps[0]
    if isinstance(first, dict):
        keys = set.union(*(set(r) for r in reps))
        return {k: median_report([r[k] for r in reps if k in r]) for k in keys}
    if isinstance(first, list):
        return [median_report(list(items)) for items in zip(*reps, strict=True)]
    if isinstance(first, (int, float)):
        return statistics.median(r for r in reps if r is not None)
    return first


def plot(reps, path):
    """Draws for each policy the attainment by class, goodput and waste."""
    fig, (top, bottom) = pyplot.subplots(2, 1, figsize=(9, 8))
    names = [f"T{c['tier']} {c['class']}" for c in reps[0]['classes']]
    width = 0.8 / len(reps)
    for i, rep in enumerate(reps):
        xs = [x + i * width for x in range(len(names))]
        top.bar(xs, [100 * c['attainment'] for c in rep['classes']],
                width,
                label=rep['label'])
    mid = 0.4 - width / 2
    top.set_xticks([x + mid for x in range(len(names))], names)
    top.set_ylabel('attainment, %')
    top.set_title(reps[0]['scenario'])
    top.legend()
    labels = [r['label'] for r in reps]
    bottom.bar([x - 0.2 for x in range(len(reps))],
               [r['goodput_tok_s'] for r in reps],
               0.4,
               label='goodput, tokens/s')
    bottom.bar([x + 0.2 for x in range(len(reps))],
               [r['wasted_tokens'] / r['span_s'] for r in reps],
               0.4,
               label='wasted, tokens/s')
    bottom.set_xticks(range(len(reps)), labels)
    bottom.legend()
    fig.tight_layout()
    fig.savefig(path)


def summary(rep):
    """Returns a line with preemptions, prefill share and cost of entries."""
    engines = rep['engines']
    preempted = {
        k.removeprefix('preempted_'): v
        for k, v in engines.items()
        if k.startswith('preempted_')
    }
    prefilled = (engines.get('prefill_tokens', 0) /
                 max(1, engines.get('prompt_tokens', 1)))
    return (f"shed {rep['shed']}  preempted by priority {preempted}  "
            f"prompt tokens prefilled {prefilled:.1%}  "
            f"entry CPU {rep['entry_cpu_ms_per_req']} ms/req  "
            f"RSS {rep['entry_rss_mb']} MB")


def main(argv=None):
    """Runs the comparison; returns the exit status."""
    args = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    args.add_argument('scenario')
    args.add_argument('--policy', action='append')
    args.add_argument('--repeat', type=int, default=1)
    args.add_argument('--out', default='out/bench')
    args = args.parse_args(argv)
    sc = bench.load(args.scenario)
    policies = args.policy or POLICIES
    # Policies alternate, so that a change of the VM's load affects all alike.
    runs = {p: [] for p in policies}
    for _ in range(args.repeat):
        for policy in policies:
            runs[policy].append(run_policy(sc, policy))
    reps = [median_report(runs[p]) for p in policies]
    for rep in reps:
        print(f"== {rep['label']}")
        print(bench.table(rep))
        print(summary(rep), flush=True)
    out = pathlib.Path(args.out)
    out.mkdir(parents=True, exist_ok=True)
    stem = pathlib.Path(args.scenario).stem
    (out / f'{stem}.json').write_text(json.dumps(reps, indent=1))
    plot(reps, out / f'{stem}.png')
    print(f'written: {out}/{stem}.json and .png')
    return 0


if __name__ == '__main__':
    sys.exit(main())
