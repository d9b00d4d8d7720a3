"""What the scripts of cases 6 to 10 share: a small deployment on loopback.

Entries are started with the command of the deploy file, ``python3
platform/start.py`` at the root of the repository, with ``target/deps`` on
Python's path and with settings as the template makes them for a small
installation. The store and the replicas are the project's stand-ins.
"""

import atexit
import contextlib
import datetime
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.dont_write_bytecode = True
sys.path[:0] = [str(ROOT), str(ROOT / 'platform' / 'tests')]

import standin  # noqa: E402
import wire_callers  # noqa: E402
import wire_replica  # noqa: E402
import wire_servers  # noqa: E402

from gorsefall.standins import acceptor  # noqa: E402
from gorsefall.standins import ports  # noqa: E402
from gorsefall.standins import waiting  # noqa: E402

__all__ = ['acceptor', 'standin', 'waiting', 'wire_callers', 'wire_replica',
           'wire_servers']

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """\
name = "{name}"
zone = "{zone}"
callers = "{callers}"
readiness = "{readiness}"
store = "{store}"
{peers}
metrics_port = {metrics}
revoke_s = 5000e-3
strict_revocation = true
apply_s = 2000e-3
settle_s = 3000e-3
leave_s = 2000e-3
grace_s = 8
memory_mb = 150
max_fds = 4100
file_fds = 200
{more}
[retries]
ratio = 0.2
window_s = 10
slack = 52
{duties}
"""


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')  # noqa: SIM115
        self._lock = threading.Lock()
        self._began = time.monotonic()
        self.line(f'trouble={TROUBLE} at {datetime.datetime.now().isoformat()}')

    def line(self, text):
        """Writes a line."""
        with self._lock:
            self._file.write(f'{time.monotonic() - self._began:9.3f} {text}\n')
            self._file.flush()


class Site(standin.Site):
    """A store, replicas and one entry of a small deployment."""

    def __init__(self, folder, take_port, **kwargs):
        self.host = kwargs.pop('host', '127.0.0.1')
        self.zone = kwargs.pop('zone', 'zone-a')
        self.seeds = kwargs.pop('seeds', '')
        self.entry_name = kwargs.pop('name', 'edge-zone-a-1')
        folder.mkdir(exist_ok=True)
        super().__init__(folder, take_port, **kwargs)
        if self.host != '127.0.0.1':
            self.callers = self.callers.replace('127.0.0.1', self.host)
            self.readiness = self.readiness.replace('127.0.0.1', self.host)
        self.name = self.entry_name
        self.peers_port = 0

    def settings(self):
        """See ``standin.Site``."""
        path = self._folder / 'entry.toml'
        peers = ''
        if self.peers_port:
            peers = (f'peers = "{self.host}:{self.peers_port}"\n'
                     f'seeds = "{self.seeds}"')
        path.write_text(
            SETTINGS.format(name=self.name, zone=self.zone,
                            callers=self.callers, readiness=self.readiness,
                            store=self.store.addr, peers=peers,
                            metrics=self._metrics, more=self._more_settings,
                            duties=self._duties))
        return path

    def launch(self):
        """See ``standin.Site``; the command of the deploy file."""
        out = open(self._folder / 'entry.log', 'ab')  # noqa: SIM115
        env = {
            'GORSEFALL_CONFIG': str(self.settings()),
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.proc = subprocess.Popen(['python3', 'platform/start.py'],
                                     cwd=ROOT, stdout=out,
                                     stderr=subprocess.STDOUT, env=env)
        atexit.register(self._end)

    def _end(self):
        if self.proc is not None and self.proc.poll() is None:
            self.proc.kill()
            self.proc.wait()

    def wait_ready(self):
        """Waits until the entry is ready."""
        waiting.until(lambda: wire_callers.status(self.readiness) == 200,
                      f'{self.name} to be ready')


def config(version, routes, **kwargs):
    """Returns a configuration like those of a small deployment."""
    limits = {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
              'header-timeout-ms': 5000, 'idle-timeout-ms': 15000}
    return standin.config(version, routes, **{k.replace('-', '_'): v
                                              for k, v in kwargs.items()}) | {
        'limits': limits}


def main(case, folder):
    """Runs ``case(stack, folder, take_port, record)``; ends the process.

    The case returns whether the rule held.
    """
    folder = pathlib.Path(folder).resolve()
    record = Record(folder)
    scratch = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    try:
        with contextlib.ExitStack() as stack:
            take_port = stack.enter_context(ports.allocator())
            held = case(stack, scratch, take_port, record)
        code = HELD if held else BROKEN
    except Exception:
        record.line(traceback.format_exc())
        code = NOT_RUN
    record.line({HELD: 'the rule held', BROKEN: 'the rule was broken',
                 NOT_RUN: 'the case could not run'}[code])
    shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    # The stand-ins' threads may still wait.
    os._exit(_end_children(code))


def _end_children(code):
    atexit._run_exitfuncs()
    return code
