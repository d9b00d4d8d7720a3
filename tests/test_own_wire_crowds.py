"""Callers of the product's own wire that do not behave, before real entries."""

import contextlib
import json
import pathlib
import resource
import time
import urllib.request

import pytest

from gorsefall import catalogue
from gorsefall import publish
from gorsefall import settings
from gorsefall import settingsfile
from gorsefall.standins import crowd
from gorsefall.standins import launch
from gorsefall.standins import logcheck
from gorsefall.standins import machine
from gorsefall.standins import ports
from gorsefall.standins import waiting

SITE = pathlib.Path(__file__).parent.parent / 'features' / 'site'

MEMORY_MB = 110
"""Memory of the machine, MB: an entry at rest takes half of it."""

MAX_FDS = 120
"""Descriptors that the process may open."""

SETTLE_S = 2.0
"""Time for which a crowd acts before the ordinary request, s."""

LIMITS = """
max_conns = 60
callers_mb = 8
request_timeout_s = 3.0
unread_timeout_s = 3.0
"""

BODY_BYTES = 1_000_000
TIMEOUT_S = 5


class _Entry(crowd.Crowd):
    """A crowd, and the entry that it connects to.

    Attributes:
        proc: The process of the entry.
        machine: Its ``machine.Machine``.
    """

    def __init__(self, stack, folder):
        site = stack.enter_context(ports.copy_site(SITE, folder / 'site'))
        path = site / 'entry-a.toml'
        path.write_text(path.read_text().replace('\n[[backends]]',
                                                 f'{LIMITS}\n[[backends]]', 1))
        cfg = settings.load(path).entry
        self._folder = folder
        procs = stack.enter_context(
            launch.run_processes(site, folder, entries=['entry-a.toml']))
        publish.publish(settingsfile.split_addr(cfg.log_service),
                        catalogue.load(SITE / 'catalogue.toml'), 'test')
        self.proc = procs['entry-a']
        resource.prlimit(self.proc.pid, resource.RLIMIT_NOFILE,
                         (MAX_FDS, MAX_FDS))
        super().__init__(cfg.listen)
        stack.callback(self.leave)
        self.serve_ordinary()
        self.machine = machine.Machine(self.proc.pid, MEMORY_MB)
        stack.callback(self.machine.close)

    def _ask(self):
        body = {
            'model': 'default',
            'messages': [{
                'role': 'user',
                'content': 'seats?'
            }]
        }
        req = urllib.request.Request(f'http://{self.addr}/v1/chat/completions',
                                     data=json.dumps(body).encode(),
                                     headers={
                                         'Content-Type': 'application/json',
                                         'X-Customer': 'traveller-app',
                                         'X-Class': 'seat'
                                     })
        with urllib.request.urlopen(req, timeout=TIMEOUT_S) as res:
            return res.status == 200

    def serve_ordinary(self):
        """Waits until an ordinary caller is answered, as it retries."""

        def answered():
            assert self.proc.poll() is None, 'the process has ended'
            with contextlib.suppress(OSError):
                return self._ask()
            return False

        waiting.until(answered, 'an ordinary request to be answered')

    def check(self):
        """Checks the process, and that an ordinary request is answered."""
        self.serve_ordinary()
        self.machine.close()
        assert self.proc.poll() is None
        assert self.machine.peak_mb <= MEMORY_MB
        assert list(logcheck.exceptions(self._folder)) == []


@pytest.fixture(name='entry')
def _entry(tmp_path):
    with contextlib.ExitStack() as stack:
        yield _Entry(stack, tmp_path)


def _head(length):
    return (b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: %d\r\n\r\n' % length)


def _silent(entry):
    for _ in range(150):
        entry.reopen()


def _unfinished_bodies(entry):
    for _ in range(120):
        entry.send(_head(BODY_BYTES) + bytes(BODY_BYTES - 1))


def _endless_body(entry):
    for _ in range(4):
        entry.send(_head(50 * BODY_BYTES) + bytes(50 * BODY_BYTES))


def _slow_heads(entry):
    for _ in range(150):
        entry.send(b'GET /healthz HTTP/1.1\r\nX: ',
                   then=lambda sock: sock.send(b'x'))


def _unread_responses(entry):
    for _ in range(40):
        entry.send(b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n',
                   then=lambda sock: sock.send(
                       b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n'))


@pytest.mark.parametrize('kind', [
    _silent, _unfinished_bodies, _endless_body, _slow_heads, _unread_responses
])
def test_an_entry_bears_a_crowd(entry, kind):
    """Callers of this wire were bounded by nothing."""
    kind(entry)
    waiting.until(lambda: entry.has_sent or entry.proc.poll() is not None,
                  'the crowd to send')
    time.sleep(SETTLE_S)
    entry.check()


def test_an_entry_bears_crowds_of_several_kinds(entry):
    """Several kinds of callers that do not behave overlap."""
    for kind in (_silent, _unfinished_bodies, _slow_heads, _unread_responses):
        kind(entry)
    time.sleep(SETTLE_S)
    entry.check()
