"""Where a day's requests were lost, by kind and 2 s, from the entries' logs.

Usage: python bench/losses.py LOGS [--by replica]

Reads the JSON lines of all entries of one day, as a collector wrote them, and
prints for each route and span of 2 s how many requests were served within
their target, served late, refused (by cause) and broken off, or, by replica,
how long answers took to begin and what was under way there.
"""

import argparse
import collections
import statistics
import sys
import typing

from gorsefall import loglines

ROW_SPAN_S = 2.0
"""Length of a row, s: shorter than any trouble of the days, long enough for
twenty requests of a kind."""

MAX_ROUTES = 6
"""Routes shown, the busiest: the others only try the configuration."""


class Cell(typing.NamedTuple):
    """One row's place.

    Attributes:
        route: Route name.
        span: Number of the span.
    """
    route: str
    span: int


def _ended(line):
    """Returns under what a request's end is counted."""
    if line.outcome == 'served':
        return f'late_{line.late}' if line.late else 'on_time'
    return line.code or line.outcome


def print_by_route(lines, out):
    """Prints a row for each route and span, a column for each end."""
    cells = collections.defaultdict(collections.Counter)
    firsts = collections.defaultdict(list)
    for at, line in lines:
        if isinstance(line, loglines.Answered):
            cell = Cell(line.route or '-', int(at // ROW_SPAN_S))
            cells[cell][_ended(line)] += 1
            if line.outcome == 'served' and line.first_ms is not None:
                firsts[cell].append(line.first_ms)
    sizes = collections.Counter()
    for cell, row in cells.items():
        sizes[cell.route] += row.total()
    busiest = {name for name, _ in sizes.most_common(MAX_ROUTES)}
    cells = {c: row for c, row in cells.items() if c.route in busiest}
    ends = sorted({end for row in cells.values() for end in row})
    print('route from_s first_ms first_max', *ends, file=out)
    for cell in sorted(cells):
        times = firsts[cell] or [0.0]
        print(cell.route,
              cell.span * ROW_SPAN_S,
              round(statistics.median(times)),
              round(max(times)),
              *(cells[cell][end] for end in ends),
              file=out)


def print_by_replica(lines, out):
    """Prints for each replica and span the sends and when answers began."""
    sends = {}
    cells = collections.defaultdict(list)
    for at, line in lines:
        if isinstance(line, loglines.Sent):
            sends[line.rid] = (at, line)
        elif isinstance(line, loglines.Answered) and line.rid in sends:
            began, sent = sends.pop(line.rid)
            cell = (sent.service, sent.replica, int(began // ROW_SPAN_S))
            cells[cell].append((sent, line))
    print(
        'service replica from_s sends first_ms first_max own others queue_ms '
        'queue_max tokens',
        file=out)
    for (service, replica, span), pairs in sorted(cells.items()):
        firsts = [a.first_ms for _, a in pairs if a.first_ms is not None]
        print(service,
              replica,
              span * ROW_SPAN_S,
              len(pairs),
              round(statistics.median(firsts or [0.0])),
              round(max(firsts or [0.0])),
              round(statistics.fmean(s.outstanding for s, _ in pairs), 1),
              round(statistics.fmean(s.others for s, _ in pairs), 1),
              round(statistics.fmean(s.queue_ms for s, _ in pairs)),
              round(max(s.queue_ms for s, _ in pairs)),
              sum(s.tokens for s, _ in pairs),
              file=out)


_WAYS = {'route': print_by_route, 'replica': print_by_replica}


def main(argv=None):
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('logs', help='log lines of all entries')
    parser.add_argument('--by', choices=sorted(_WAYS), default='route')
    args = parser.parse_args(argv)
    log = loglines.read_files([args.logs])
    lines = sorted(((ln.at_s, ln.event) for ln in log.lines),
                   key=lambda pair: pair[0])
    _WAYS[args.by](lines, sys.stdout)


if __name__ == '__main__':
    main()
