"""Library packages are imported without the parts an entry doesn't use."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

UNUSED = ('pkg_resources', 'http.server', 'wsgiref', 'xml', 'structlog.stdlib',
          'circuits.core.workers', 'circuits.core.bridge')
"""Modules that the libraries import and an entry never uses."""


def _run(code):
    done = subprocess.run([sys.executable, '-c', code],
                          cwd=ROOT,
                          capture_output=True,
                          text=True,
                          env={'PYTHONPATH': f'{ROOT}:{ROOT / "platform"}'},
                          check=False)
    assert done.returncode == 0, done.stderr
    return done.stdout


START = """
from gorsefall import lazyimports
lazyimports.install()
from adapter import records, store, wire
from gorsefall import logs
from gorsefall.relay import main, node
logs.setup_nonblocking(1)
logs.get('t').info('started')
import sys
"""


def test_an_entry_does_not_load_unused_modules():
    """The unused modules would take two fifths of an entry's memory."""
    out = _run(START + 'print(*sys.modules, sep="\\n")')
    loaded = set(out.split('\n'))
    assert 'gorsefall.relay.node' in loaded
    assert not loaded & set(UNUSED)


def test_attributes_that_are_not_listed_are_found():
    """A missing one would raise an error only where it is first used."""
    _run(START + """
import circuits, prometheus_client, structlog
prometheus_client.generate_latest(prometheus_client.CollectorRegistry())
circuits.core.Timer, circuits.Debugger, structlog.stdlib, structlog.testing
class Own(circuits.core.BaseComponent):
    pass
assert issubclass(Own, circuits.BaseComponent)
try:
    structlog.no_such_name
except AttributeError:
    pass
else:
    raise AssertionError
""")
