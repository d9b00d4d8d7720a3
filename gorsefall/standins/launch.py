"""Starts stand-ins and entries as processes, for demos, tests and benchmarks.

The daemons themselves start no processes.
"""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import urllib.request

import msgspec

from gorsefall import messages
from gorsefall import settings
from gorsefall.standins import waiting


def _get_json(addr, path):
    """Returns the decoded response, or None if the request failed."""
    try:
        with urllib.request.urlopen(f'http://{addr}{path}', timeout=1) as res:
            return msgspec.json.decode(res.read())
    except OSError:
        return None


def wait_ready(listens):
    """Waits until every entry reports that it is ready.

    Args:
        listens: ``host:port`` of each entry.

    Raises:
        waiting.WaitTimeoutError: An entry was not ready in time.
    """
    for addr in listens:
        waiting.until(lambda addr=addr:
                      (_get_json(addr, '/readyz') or {}).get('ready'),
                      f'{addr} to be ready')


def set_vm(vm_list, **fields):
    """Sets one VM's ``messages.VmEntry`` on the VM list stand-in.

    Args:
        vm_list: ``host:port`` of the VM list.
        **fields: Fields of the ``VmEntry``.
    """
    body = msgspec.json.encode(messages.VmEntry(**fields))
    req = urllib.request.Request(f'http://{vm_list}/vms',
                                 data=body,
                                 method='POST')
    with urllib.request.urlopen(req, timeout=5):
        pass


@contextlib.contextmanager
def run_processes(site_dir, log_dir, entries=None, opts=None):
    """Starts a site's stand-ins and entries; stops them on exit.

    Args:
        site_dir: Folder with ``standins.txt`` and ``entry-*.toml``.
        log_dir: Folder for the logs, one file per process.
        entries: Names of the entry settings files to start (default: all).
        opts: ``kind -> [NAME=VALUE]``, parameters of the stand-ins.

    Yields:
        A dict ``name -> subprocess.Popen``.
    """
    site = pathlib.Path(site_dir)
    logs = pathlib.Path(log_dir)
    logs.mkdir(parents=True, exist_ok=True)
    procs = {}
    addrs = []
    vm_list = None
    started_entries = []
    try:
        for line in (site / 'standins.txt').read_text().splitlines():
            if not line or line.startswith('#'):
                continue
            kind, name, addr = line.split()
            if kind == 'vmlist':
                vm_list = addr
            cmd = [
                sys.executable, '-m', 'gorsefall', 'standin', kind, '--listen',
                addr
            ]
            if kind in ('engine', 'service'):
                cmd += ['--opt', f'name={name}']
            for opt in (opts or {}).get(kind, []):
                cmd += ['--opt', opt]
            procs[name] = _spawn(cmd, logs / f'{name}.log')
            addrs.append(addr)
        for path in sorted(site.glob('entry-*.toml')):
            if entries is not None and path.name not in entries:
                continue
            cfg = settings.load(path)
            procs[cfg.entry.name] = _spawn(
                [sys.executable, '-m', 'gorsefall', 'entry',
                 str(path)], logs / f'{cfg.entry.name}.log')
            addrs.append(cfg.entry.listen)
            started_entries.append(cfg.entry)
        for addr in addrs:
            waiting.until(lambda addr=addr: _get_json(addr, '/healthz'),
                          f'{addr} to come up')
        for entry in started_entries:
            set_vm(vm_list,
                   name=entry.name,
                   addr=entry.listen,
                   zone=entry.zone,
                   role='entry')
        yield procs
    finally:
        for proc in procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGTERM)
        for proc in procs.values():
            try:
                proc.wait(timeout=10)
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()


def _spawn(cmd, log_path):
    with open(log_path, 'ab') as out:
        return subprocess.Popen(cmd,
                                stdout=out,
                                stderr=subprocess.STDOUT,
                                env=dict(os.environ, PYTHONUNBUFFERED='1'))
