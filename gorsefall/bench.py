"""``gorsefall bench``: an open-loop burst mix against entries, by class.

Sends requests at scheduled times (they do not wait for each other), reads
answers as a caller would, then reports per class: attainment of the
latency targets, goodput, shed counts and wasted work from the entries'
metrics. Writes the figures as JSON.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import random
import threading
import time
import tomllib
import urllib.error
import urllib.request

import msgspec

from gorsefall import catalogue
from gorsefall import errors

MAX_REQUESTS = 20000
WORKERS = 256


class Stream(msgspec.Struct, kw_only=True):
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
        prompt_words: Prompt length, words.
    """
    customer: str
    klass: str
    rate_per_s: float
    burst_x: float = 1.0
    kind: str = 'chat'
    pool: str = ''
    op: str = ''
    max_tokens: int = 64
    prompt_words: int = 20


class Scenario(msgspec.Struct, kw_only=True):
    """A bench scenario file (TOML)."""
    name: str
    catalogue: str
    duration_s: float
    burst_start_s: float = 0.0
    burst_end_s: float = 0.0
    seed: int = 7
    streams: list[Stream]


@dataclasses.dataclass
class Result:
    """One request as the caller saw it."""
    customer: str
    klass: str
    status: int
    ttft_s: float
    e2e_s: float
    tokens: int


def _arrivals(sc):
    rng = random.Random(sc.seed)
    out = []
    for st in sc.streams:
        t = 0.0
        while t < sc.duration_s and len(out) < MAX_REQUESTS:
            burst = sc.burst_start_s <= t < sc.burst_end_s
            rate = st.rate_per_s * (st.burst_x if burst else 1.0)
            t += rng.expovariate(rate)
            out.append((t, st))
    return sorted(out, key=lambda a: a[0])


def _send(entry, st, n):
    headers = {
        'Content-Type': 'application/json',
        'X-Customer': st.customer,
        'X-Class': st.klass
    }
    if st.kind == 'service':
        url = f'http://{entry[0]}:{entry[1]}/v1/services/{st.pool}/{st.op}'
        headers['Idempotency-Key'] = f'{st.customer}-{st.klass}-{n}'
        body = {'n': n}
    else:
        url = f'http://{entry[0]}:{entry[1]}/v1/chat/completions'
        words = ' '.join(f'w{(n * 7 + i) % 97}' for i in range(st.prompt_words))
        body = {
            'model': 'default',
            'stream': True,
            'max_tokens': st.max_tokens,
            'messages': [{
                'role': 'user',
                'content': f'{n} {words}'
            }]
        }
    req = urllib.request.Request(url,
                                 data=json.dumps(body).encode(),
                                 headers=headers,
                                 method='POST')
    t0 = time.monotonic()
    ttft = None
    tokens = 0
    try:
        with urllib.request.urlopen(req, timeout=120) as res:
            if st.kind == 'service':
                res.read()
                ttft = time.monotonic() - t0
            else:
                for line in res:
                    if not line.startswith(b'data: {'):
                        continue
                    if b'"error"' in line:
                        return Result(st.customer, st.klass, 502, 0,
                                      time.monotonic() - t0, tokens)
                    if b'"content"' in line:
                        tokens += 1
                        if ttft is None:
                            ttft = time.monotonic() - t0
            status = res.status
    except urllib.error.HTTPError as exc:
        status = exc.code
    except OSError:
        status = 599
    e2e = time.monotonic() - t0
    return Result(st.customer, st.klass, status, ttft or e2e, e2e, tokens)


def _scrape_wasted(entries):
    total = 0.0
    for host, port in entries:
        try:
            with urllib.request.urlopen(f'http://{host}:{port}/metrics',
                                        timeout=5) as res:
                for line in res.read().decode().splitlines():
                    if line.startswith('gorsefall_wasted_tokens_total'):
                        total += float(line.rsplit(' ', 1)[1])
        except OSError:
            pass
    return total


def run(sc, entries):
    """Runs scenario ``sc`` against ``entries``; returns the report dict."""
    doc = catalogue.parse_toml(pathlib.Path(sc.catalogue).read_text())
    targets = {(k.owner, k.name): k for k in doc.classes}
    plan = _arrivals(sc)
    wasted0 = _scrape_wasted(entries)
    results = []
    lock = threading.Lock()
    t0 = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        futs = []
        for n, (at, st) in enumerate(plan):
            delay = t0 + at - time.monotonic()
            if delay > 0:
                time.sleep(delay)
            futs.append(pool.submit(_send, entries[n % len(entries)], st, n))
        for fut in futs:
            with lock:
                results.append(fut.result())
    span = time.monotonic() - t0
    return _report(sc, targets, results, span,
                   _scrape_wasted(entries) - wasted0)


def _report(sc, targets, results, span, wasted):
    by = {}
    for r in results:
        by.setdefault((r.customer, r.klass), []).append(r)
    classes = []
    for (cust, name), rs in sorted(by.items()):
        k = targets.get((cust, name))
        if k is None:
            raise errors.CatalogueError(f'{cust}/{name} not in catalogue')
        ok = [r for r in rs if r.status == 200]
        met = [
            r for r in ok
            if r.ttft_s * 1000 <= k.ttft_ms and r.e2e_s * 1000 <= k.e2e_ms
        ]
        classes.append({
            'customer': cust,
            'class': name,
            'tier': k.tier,
            'sent': len(rs),
            'served': len(ok),
            'attained': len(met),
            'attainment': round(len(met) / len(rs), 4),
            'shed': sum(1 for r in rs if r.status in (429, 503)),
            'failed': sum(1 for r in rs if r.status not in (200, 429, 503)),
            'goodput_tok_s': round(sum(r.tokens for r in met) / span, 1),
            'ttft_p95_ms': _p95([r.ttft_s for r in ok]),
        })
    return {
        'scenario': sc.name,
        'span_s': round(span, 2),
        'requests': len(results),
        'wasted_tokens': wasted,
        'classes': classes
    }


def _p95(xs):
    if not xs:
        return None
    xs = sorted(xs)
    return round(1000 * xs[min(len(xs) - 1, int(0.95 * len(xs)))], 1)


def table(rep):
    """Returns the report as a text table, one class a line."""
    head = (f"{'tier':>4} {'customer/class':<32} {'sent':>5} {'served':>6} "
            f"{'attain':>7} {'shed':>5} {'fail':>5} {'good tok/s':>10} "
            f"{'ttft95ms':>9}")
    lines = [
        f"scenario: {rep['scenario']}  span {rep['span_s']} s  "
        f"requests {rep['requests']}  wasted tokens "
        f"{rep['wasted_tokens']:.0f}", head
    ]
    for c in sorted(rep['classes'], key=lambda c: (c['tier'], c['class'])):
        lines.append(
            f"{c['tier']:>4} {c['customer'] + '/' + c['class']:<32} "
            f"{c['sent']:>5} {c['served']:>6} {c['attainment']:>7.1%} "
            f"{c['shed']:>5} {c['failed']:>5} {c['goodput_tok_s']:>10} "
            f"{c['ttft_p95_ms']!s:>9}")
    return '\n'.join(lines)


def main(args):
    """Entry point of ``gorsefall bench``; returns the exit status."""
    raw = tomllib.loads(pathlib.Path(args.scenario).read_text())
    sc = msgspec.convert(raw, Scenario)
    rep = run(sc, args.entry)
    rep['label'] = args.label
    print(table(rep))
    out = pathlib.Path(args.out)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(rep, indent=1))
    print(f'written: {out}')
    return 0
