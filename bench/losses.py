"""Prints from the entries' logs where requests of one day failed or were late.

Usage: python bench/losses.py LOGS [--by replica]

Reads the collected JSON log lines of all entries. For each route and span of
2 s it prints how many requests were served within their target, served late,
refused (by error code) and broken off. With ``--by replica`` it prints for
each replica how long responses took to start and what was in flight there.
"""

import argparse
import collections
import statistics
import sys
import typing

from gorsefall import loglines

ROW_SPAN_S = 2.0
"""Time covered by a row, s: shorter than any fault of the days, and long
enough for twenty requests of a route."""

MAX_ROUTES = 6
"""Only the busiest routes are shown; the others only exercise the
configuration."""


class Cell(typing.NamedTuple):
    """Key of a row.

    Attributes:
        route: Route name.
        span: Index of the time span.
    """
    route: str
    span: int


def _outcome(line):
    """Returns the name of the column that counts a request."""
    if line.outcome == 'served':
        return f'late_{line.late}' if line.late else 'on_time'
    return line.code or line.outcome


def print_by_route(lines, out):
    """Prints a row for each route and span, with a column for each outcome."""
    cells = collections.defaultdict(collections.Counter)
    first_ms_by_cell = collections.defaultdict(list)
    for at, line in lines:
        if isinstance(line, loglines.Answered):
            cell = Cell(line.route or '-', int(at // ROW_SPAN_S))
            cells[cell][_outcome(line)] += 1
            if line.outcome == 'served' and line.first_ms is not None:
                first_ms_by_cell[cell].append(line.first_ms)
    sizes = collections.Counter()
    for cell, row in cells.items():
        sizes[cell.route] += row.total()
    busiest = {name for name, _ in sizes.most_common(MAX_ROUTES)}
    cells = {c: row for c, row in cells.items() if c.route in busiest}
    outcomes = sorted({outcome for row in cells.values() for outcome in row})
    print('route from_s first_ms first_max', *outcomes, file=out)
    for cell in sorted(cells):
        times = first_ms_by_cell[cell] or [0.0]
        print(cell.route,
              cell.span * ROW_SPAN_S,
              round(statistics.median(times)),
              round(max(times)),
              *(cells[cell][outcome] for outcome in outcomes),
              file=out)


def print_by_replica(lines, out):
    """Prints for each replica and span the attempts and times to first byte."""
    attempts = {}
    cells = collections.defaultdict(list)
    for at, line in lines:
        if isinstance(line, loglines.Sent):
            attempts[line.rid] = (at, line)
        elif isinstance(line, loglines.Answered) and line.rid in attempts:
            sent_at, sent = attempts.pop(line.rid)
            cell = (sent.service, sent.replica, int(sent_at // ROW_SPAN_S))
            cells[cell].append((sent, line))
    print(
        'service replica from_s attempts first_ms first_max own others '
        'queue_ms queue_max tokens',
        file=out)
    for (service, replica, span), pairs in sorted(cells.items()):
        first_ms = [a.first_ms for _, a in pairs if a.first_ms is not None]
        print(service,
              replica,
              span * ROW_SPAN_S,
              len(pairs),
              round(statistics.median(first_ms or [0.0])),
              round(max(first_ms or [0.0])),
              round(statistics.fmean(s.outstanding for s, _ in pairs), 1),
              round(statistics.fmean(s.others for s, _ in pairs), 1),
              round(statistics.fmean(s.queue_ms for s, _ in pairs)),
              round(max(s.queue_ms for s, _ in pairs)),
              sum(s.tokens for s, _ in pairs),
              file=out)


_PRINTERS = {'route': print_by_route, 'replica': print_by_replica}


def main(argv=None):
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('logs', help='file with the log lines of all entries')
    parser.add_argument('--by', choices=sorted(_PRINTERS), default='route')
    args = parser.parse_args(argv)
    log = loglines.read_files([args.logs])
    lines = sorted(((ln.at_s, ln.event) for ln in log.lines),
                   key=lambda pair: pair[0])
    _PRINTERS[args.by](lines, sys.stdout)


if __name__ == '__main__':
    main()
