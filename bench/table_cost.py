"""Measures the CPU time of decoding a configuration, by its size.

Usage: python bench/table_cost.py
"""

import json
import pathlib
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1] / 'platform'))

from adapter import records  # noqa: E402

from gorsefall.relay import changes  # noqa: E402

SIZES = ((1_400, 24), (4_200, 24), (3_000, 1_200))
"""Routes and client accounts: the first two rows are present deployments and
their growth, the third is the size planned for in two years."""

REPEATS = 5


def _route(number):
    return {
        'name': f'route-{number}',
        'host': f'h{number % 90}.example',
        'path-prefix': f'/p{number}/',
        'kind': 'idempotent',
        'timeout-ms': 5000,
        'slo-ms': 200,
        'priority': number % 3,
        'service': 'plain',
        'max-attempts': 2
    }


def _config(routes, accounts):
    return {
        'version':
            1,
        'routes': [_route(i) for i in range(routes)],
        'services': [{
            'name': 'plain'
        }],
        'limits': {
            'max-header-bytes': 4096,
            'max-body-bytes': 20000,
            'header-timeout-ms': 1000,
            'idle-timeout-ms': 5000
        },
        'tenants': [{
            'name': f'account-{i}',
            'api-keys': [f'key-{i}-{j}' for j in range(2)]
        } for i in range(accounts)]
    }


def _decode_ms(record):
    """Returns the shortest CPU time of several runs, which has least noise."""
    times_s = []
    for _ in range(REPEATS):
        before = time.process_time()
        records.Records().decode_table(record)
        times_s.append(time.process_time() - before)
    return min(times_s) * 1000


def main():
    """Prints a row for each size."""
    print('routes  accounts      KB      ms')
    for routes, accounts in SIZES:
        raw = json.dumps(_config(routes, accounts)).encode()
        spent_ms = _decode_ms(changes.Record('config', raw, 1))
        print(f'{routes:6} {accounts:9} {len(raw) / 1000:7.0f} {spent_ms:7.1f}')


if __name__ == '__main__':
    main()
