"""Compares how an entry bears crowds of callers that do not behave.

    PYTHONPATH=platform/tests:. python bench/crowds.py [CROWD...]

For each crowd of ``platform/tests/test_crowds.py``: the peak of the memory and
descriptors of the entry, how many ordinary requests of another account were
answered in ``MEASURED_S``, and whether a caller of that account with a slow
link got the whole of a long answer.
"""

import argparse
import contextlib
import sys
import threading
import time

import crowd_site
import test_crowds
import wire_callers
import wire_replica

MEASURED_S = 12.0
ORDINARY_PAUSE_S = 0.2
TIMEOUT_S = 3.0

SLOW_ANSWER_BYTES = 2_000_000
SLOW_READ_BYTES, SLOW_PAUSE_S = 20_000, 0.05
"""How a caller with a link of 400 KB/s reads."""

KEY, CROWD_KEY = 'k-desk', 'k-gate'
"""Keys of the account that behaves, and of the one that does not."""

ANSWER_BYTES = 1_500_000
"""Long answer that an ordinary caller of the crowd's account asks for."""

SETTLE_S = 1.0
"""Time between the crowd and the first ordinary request, s."""

_LIMITS = {'max_body_bytes': 1 << 20, 'idle_timeout_ms': 15_000}

CROWDS = {
    'unread': (test_crowds._unread, 20, {}),
    'slow': (test_crowds._read_slowly, 20, {}),
    'pipelined': (test_crowds._pipelined, 2, {}),
    'bodies': (test_crowds._unfinished_bodies, 800, _LIMITS),
    'chunks': (test_crowds._small_chunks, 4, _LIMITS),
    'streams': (test_crowds._unread_streams, 20, {}),
    'silent': (test_crowds._silent, 200, _LIMITS | {
        'max_fds': 160
    }),
    'heads': (test_crowds._slow_heads, 200, {
        'max_fds': 160,
        'header_timeout_ms': 15_000
    }),
    'ahead': (test_crowds._read_ahead, 700, {}),
}


class _SlowCaller(threading.Thread):
    """Reads a long answer over a slow link.

    Attributes:
        done: Whether it got the whole.
    """

    def __init__(self, site):
        super().__init__(daemon=True)
        self._site = site
        self.done = False

    def run(self):
        """See ``threading.Thread``."""
        size = 0
        data = wire_callers.request_bytes('/i/slow',
                                          'slow',
                                          body=wire_replica.LONG_ANSWER +
                                          b'%d' % SLOW_ANSWER_BYTES,
                                          key=KEY,
                                          deadline_ms=30_000)
        with contextlib.suppress(OSError), wire_callers.connect(
                self._site.site.callers) as sock:
            sock.sendall(data)
            while piece := sock.recv(SLOW_READ_BYTES):
                size += len(piece)
                self.done = size > SLOW_ANSWER_BYTES
                time.sleep(SLOW_PAUSE_S)


def _ask(site, path, number, same):
    """Returns whether an ordinary request is answered."""
    body = wire_replica.LONG_ANSWER + b'%d' % ANSWER_BYTES if same else b'x'
    try:
        with wire_callers.connect(site.site.callers) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(
                wire_callers.request_bytes(path,
                                           f'ordinary-{number}',
                                           body=body,
                                           key=CROWD_KEY if same else KEY))
            return wire_callers.read_response(sock).status == 200
    except OSError:
        return False


def measure(name, same):
    """Prints one line for a crowd.

    Args:
        name: Its name.
        same: Whether ordinary callers are of the crowd's account and ask for
            long answers too.
    """
    crowd, count, limits = CROWDS[name]
    path = '/s/x' if name == 'streams' else '/i/x'
    with contextlib.ExitStack() as stack:
        site = crowd_site.CrowdSite(stack, **limits)
        slow = _SlowCaller(site)
        slow.start()
        time.sleep(0.5)
        crowd(site, count)
        time.sleep(SETTLE_S)
        end = time.monotonic() + MEASURED_S
        asked = answered = 0
        while time.monotonic() < end and site.site.proc.poll() is None:
            asked += 1
            answered += _ask(site, path, asked, same)
            time.sleep(ORDINARY_PAUSE_S)
        lives = site.site.proc.poll() is None
        print(
            f'{name:10} lives {lives!s:5} peak {site.machine.peak_mb:5.1f} MB '
            f'{site.machine.peak_fds:4} fds, ordinary {answered} of {asked}, '
            f'slow caller {"done" if slow.done else "not done"}',
            flush=True)


def main():
    """Measures the crowds that are named, or all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('crowds', nargs='*', choices=[[], *CROWDS], default=[])
    parser.add_argument('--same',
                        action='store_true',
                        help='ordinary callers are of the same account')
    args = parser.parse_args()
    for name in args.crowds or CROWDS:
        measure(name, args.same)


if __name__ == '__main__':
    sys.exit(main())
