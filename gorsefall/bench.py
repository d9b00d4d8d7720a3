"""``gorsefall bench``: an open-loop load with a burst, reported by class.

Requests are sent at scheduled times, independently of earlier responses. Like
a real caller, the benchmark reads responses as they arrive and gives up after
a timeout. It reports for each class the attainment of latency targets,
goodput, refusals and wasted work.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import statistics
import time
import tomllib

import aiohttp
import msgspec
from prometheus_client import parser as prom_parser

from gorsefall import catalogue
from gorsefall import errors

MAX_REQUESTS = 50000
OK = 200
REFUSED_STATUSES = (429, 503)
CALLER_LEFT_STATUS = 499
BROKEN_STATUS = 599


class Stream(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One source of requests in a scenario.

    Attributes:
        customer: Customer name.
        klass: Class name.
        rate_per_s: Steady arrivals per second.
        burst_x: Rate multiplier during the burst window.
        kind: ``chat`` or ``service``.
        pool: Pool of a service call.
        op: Service operation.
        max_tokens: Token cap of chat requests.
        shared_words: Length of the prompt prefix that all requests of the
            stream share, words.
        prompt_words: Length of the rest of the prompt, words.
        patience_x: Timeout of the caller, as a multiple of the class's
            ``e2e_ms``.
    """
    customer: str
    klass: str
    rate_per_s: float
    burst_x: float = 1.0
    kind: str = 'chat'
    pool: str = ''
    op: str = ''
    max_tokens: int = 64
    shared_words: int = 0
    prompt_words: int = 20
    patience_x: float = 2.0


class Scenario(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A benchmark scenario file (TOML).

    Attributes:
        name: Name of the scenario in reports.
        site: Folder under ``examples/`` with the processes to use.
        catalogue: Catalogue file with the targets of the classes.
        duration_s: Seconds during which requests are sent.
        burst_start_s, burst_end_s: The burst window, s from the start.
        seed: Seed of the arrival times.
        standin_opts: ``kind -> [NAME=VALUE]`` options of the stand-ins.
        faults: Faults injected during the run.
        streams: The sources of requests.
    """
    name: str
    site: str
    catalogue: str
    duration_s: float
    burst_start_s: float = 0.0
    burst_end_s: float = 0.0
    seed: int = 7
    standin_opts: dict[str, list[str]] = {}
    faults: list['Fault'] = []
    streams: list[Stream]


class Fault(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Fault switches to set on a stand-in ``at_s`` seconds after the start."""
    at_s: float
    standin: str
    switches: dict


@dataclasses.dataclass
class Result:
    """One request as observed by the caller.

    Attributes:
        stream: The ``Stream`` it came from.
        at_s: When it was sent, s from the start.
        status: HTTP status; ``CALLER_LEFT_STATUS`` if the caller gave up,
            ``BROKEN_STATUS`` if the response was truncated or never came.
        ttft_s: Time to the first token, s.
        e2e_s: Time to the end, s.
        tokens: Number of tokens received.
        gap_s: Longest time between two chunks, s.
    """
    stream: Stream
    at_s: float
    status: int = BROKEN_STATUS
    ttft_s: float = 0.0
    e2e_s: float = 0.0
    tokens: int = 0
    gap_s: float = 0.0


def load(path):
    """Reads a scenario file.

    Raises:
        errors.BenchError: The file is missing, malformed, or has unknown
            keys.
    """
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text(encoding='utf-8'))
        return msgspec.convert(raw, Scenario)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.BenchError(f'{path}: {exc}') from exc


def load_classes(sc):
    """Returns ``(customer, class) -> Klass`` of the scenario's catalogue.

    Raises:
        errors.CatalogueError: A stream's class is not in the catalogue.
    """
    doc = catalogue.parse_toml(pathlib.Path(sc.catalogue).read_text())
    by_key = doc.items()
    for st in sc.streams:
        if (st.customer, st.klass) not in by_key:
            raise errors.CatalogueError(
                f'{st.customer}/{st.klass} not in {sc.catalogue}')
    return by_key


def arrivals(sc):
    """Returns ``[(time s, Stream)]`` in order of time.

    The arrivals are Poisson processes with a higher rate during the burst.
    """
    rng = random.Random(sc.seed)
    out = []
    for st in sc.streams:
        at = 0.0
        while len(out) < MAX_REQUESTS:
            burst = sc.burst_start_s <= at < sc.burst_end_s
            at += rng.expovariate(st.rate_per_s * (st.burst_x if burst else 1))
            if at >= sc.duration_s:
                break
            out.append((at, st))
    return sorted(out, key=lambda a: a[0])


def _words(seed, n):
    rng = random.Random(seed)
    return ' '.join(f'w{rng.randrange(10000)}' for _ in range(n))


def _request(st, n):
    headers = {'X-Customer': st.customer, 'X-Class': st.klass}
    if st.kind == 'service':
        headers['Idempotency-Key'] = f'bench-{time.time_ns()}-{n}'
        return f'/v1/services/{st.pool}/{st.op}', {'n': n}, headers
    shared = _words(f'{st.customer}/{st.klass}', st.shared_words)
    content = f'{shared} {n} {_words(n, st.prompt_words)}'
    body = {
        'model': 'default',
        'stream': True,
        'max_tokens': st.max_tokens,
        'messages': [{
            'role': 'user',
            'content': content
        }]
    }
    return '/v1/chat/completions', body, headers


async def _read_stream(res, result, t0):
    done = False
    last = None
    async for line in res.content:
        if not line.startswith(b'data: '):
            continue
        if line.startswith(b'data: [DONE]'):
            done = True
            continue
        chunk = msgspec.json.decode(line[6:])
        if 'error' in chunk:
            return BROKEN_STATUS
        text = chunk['choices'][0]['delta'].get('content')
        if text:
            now = time.monotonic()
            if last is None:
                result.ttft_s = now - t0
            else:
                result.gap_s = max(result.gap_s, now - last)
            last = now
            result.tokens += len(text.split())
    return OK if done else BROKEN_STATUS


async def _exchange(session, addr, st, n, result):
    path, body, headers = _request(st, n)
    t0 = time.monotonic()
    url = f'http://{addr[0]}:{addr[1]}{path}'
    async with session.post(url, json=body, headers=headers) as res:
        if res.status != OK:
            await res.read()
            result.status = res.status
        elif st.kind == 'service':
            await res.json()
            result.ttft_s = time.monotonic() - t0
            result.status = OK
        else:
            result.status = await _read_stream(res, result, t0)


async def _run_request(session, addr, n, result, timeout_s):
    t0 = time.monotonic()
    try:
        async with asyncio.timeout(timeout_s):
            await _exchange(session, addr, result.stream, n, result)
    except TimeoutError:
        result.status = CALLER_LEFT_STATUS
    except aiohttp.ClientError:
        result.status = BROKEN_STATUS
    result.e2e_s = time.monotonic() - t0


async def _inject_fault(session, fault, addr_of, t0):
    await asyncio.sleep(max(0.0, t0 + fault.at_s - time.monotonic()))
    url = f'http://{addr_of(fault.standin)}/control'
    async with session.post(url, json=fault.switches) as res:
        await res.read()


async def _run_load(sc, entries, klasses, addr_of):
    results, tasks = [], []
    conn = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=conn) as session:
        t0 = time.monotonic()
        for fault in sc.faults:
            tasks.append(
                asyncio.create_task(_inject_fault(session, fault, addr_of, t0)))
        for n, (at, st) in enumerate(arrivals(sc)):
            await asyncio.sleep(max(0.0, t0 + at - time.monotonic()))
            klass = klasses[st.customer, st.klass]
            result = Result(st, at)
            results.append(result)
            tasks.append(
                asyncio.create_task(
                    _run_request(session, entries[n % len(entries)], n, result,
                                 klass.e2e_ms / 1000 * st.patience_x)))
        await asyncio.gather(*tasks)
        return results, time.monotonic() - t0


async def _scrape(entries):
    """Returns the entries' counters, summed by name, tier and reason."""
    sums = collections.Counter()
    async with aiohttp.ClientSession() as session:
        for host, port in entries:
            async with session.get(f'http://{host}:{port}/metrics') as res:
                text = await res.text()
            for family in prom_parser.text_string_to_metric_families(text):
                for s in family.samples:
                    if s.name.endswith('_total') and 'tier' in s.labels:
                        reason = s.labels.get('reason', '')
                        sums[s.name, s.labels['tier'], reason] += s.value
    return sums


def run(sc, entries, addr_of=None):
    """Runs scenario ``sc`` against ``entries``; returns the report dict.

    Args:
        sc: The ``Scenario``.
        entries: List of ``(host, port)``.
        addr_of: Returns the ``host:port`` of a stand-in, given its name; used
            for the scenario's faults.
    """
    klasses = load_classes(sc)
    before = asyncio.run(_scrape(entries))
    results, span = asyncio.run(_run_load(sc, entries, klasses, addr_of))
    after = asyncio.run(_scrape(entries))
    return _report(sc, klasses, results, span, after - before)


def meets_targets(result, klass):
    """Returns whether a result met the latency targets of its class."""
    return (result.status == OK and result.ttft_s * 1000 <= klass.ttft_ms and
            result.e2e_s * 1000 <= klass.e2e_ms)


def _report(sc, klasses, results, span, counters):
    by = collections.defaultdict(list)
    for r in results:
        by[r.stream.customer, r.stream.klass].append(r)
    classes = [_class_report(klasses[k], rs, span) for k, rs in by.items()]
    wasted = sum(v for (name, _, _), v in counters.items()
                 if name == 'gorsefall_wasted_tokens_total')
    shed = collections.Counter()
    for (name, tier, reason), v in counters.items():
        if name == 'gorsefall_shed_total':
            shed[f'{tier}:{reason}'] += int(v)
    return {
        'scenario': sc.name,
        'span_s': round(span, 2),
        'requests': len(results),
        'goodput_tok_s': round(sum(c['goodput_tok_s'] for c in classes), 1),
        'wasted_tokens': wasted,
        'shed': dict(sorted(shed.items())),
        'classes': sorted(classes, key=lambda c: (c['tier'], c['class']))
    }


def _class_report(klass, rs, span):
    ok = [r for r in rs if r.status == OK]
    good = [r for r in rs if meets_targets(r, klass)]
    return {
        'customer':
            klass.owner,
        'class':
            klass.name,
        'tier':
            klass.tier,
        'sent':
            len(rs),
        'served':
            len(ok),
        'attainment':
            round(len(good) / len(rs), 4),
        'shed':
            sum(1 for r in rs if r.status in REFUSED_STATUSES),
        'left':
            sum(1 for r in rs if r.status == CALLER_LEFT_STATUS),
        'failed':
            sum(1 for r in rs
                if r.status not in (OK, CALLER_LEFT_STATUS, *REFUSED_STATUSES)),
        'goodput_tok_s':
            round(sum(r.tokens for r in good) / span, 1),
        'ttft_p50_ms':
            _quantile([r.ttft_s for r in ok], 50),
        'ttft_p95_ms':
            _quantile([r.ttft_s for r in ok], 95),
        'gap_p95_ms':
            _quantile([r.gap_s for r in ok], 95),
    }


def _quantile(xs, percent):
    """Returns a percentile of ``xs`` (s) in ms, or None if it is empty."""
    if len(xs) < 2:
        return round(1000 * xs[0], 1) if xs else None
    cuts = statistics.quantiles(xs, n=100, method='inclusive')
    return round(1000 * cuts[percent - 1], 1)


def table(rep):
    """Returns the report as a text table with a line for each class."""
    lines = [
        f"scenario: {rep['scenario']}  span {rep['span_s']} s  "
        f"requests {rep['requests']}  goodput {rep['goodput_tok_s']} tok/s  "
        f"wasted tokens {rep['wasted_tokens']:.0f}",
        f"{'tier':>4} {'customer/class':<30} {'sent':>5} {'served':>6} "
        f"{'attain':>7} {'shed':>5} {'left':>5} {'fail':>5} "
        f"{'good tok/s':>10} {'ttft95ms':>9}"
    ]
    for c in rep['classes']:
        lines.append(f"{c['tier']:>4} {c['customer'] + '/' + c['class']:<30} "
                     f"{c['sent']:>5} {c['served']:>6} {c['attainment']:>7.1%} "
                     f"{c['shed']:>5} {c['left']:>5} {c['failed']:>5} "
                     f"{c['goodput_tok_s']:>10} {c['ttft_p95_ms']!s:>9}")
    return '\n'.join(lines)


def report(scenario, entries, out, label='gorsefall'):
    """Runs a scenario file, prints a table and writes the report.

    Args:
        scenario: Path of the scenario file.
        entries: ``(host, port)`` of each entry.
        out: Path of the report, JSON.
        label: Label of the run in the report.

    Returns:
        The exit status.
    """
    rep = run(load(scenario), entries)
    rep['label'] = label
    print(table(rep))
    out = pathlib.Path(out)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(rep, indent=1), encoding='utf-8')
    print(f'written: {out}')
    return 0


def main(args):
    """Entry point of ``gorsefall bench``; returns the exit status."""
    return report(args.scenario, args.entry, args.out, args.label)
