"""Libraries that start without what an entry does not use."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

UNUSED = ('pkg_resources', 'http.server', 'wsgiref', 'xml', 'structlog.stdlib',
          'circuits.core.workers', 'circuits.core.bridge')
"""What the libraries' packages bring in and an entry never calls."""


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


def test_an_entry_does_not_load_what_it_does_not_use():
    """Two fifths of each entry's memory."""
    out = _run(START + 'print(*sys.modules, sep="\\n")')
    loaded = set(out.split('\n'))
    assert 'gorsefall.relay.node' in loaded
    assert not loaded & set(UNUSED)


def test_what_is_not_listed_is_found_all_the_same():
    """A missing name, only where it is first used."""
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
