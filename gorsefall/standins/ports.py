"""Allocates free ports, so that several sites can run on one VM.

With fixed ports, two test runs on one VM connect to each other's processes,
and scenarios fail only while a second run is active.
"""

import contextlib
import fcntl
import pathlib
import random
import re
import socket
import tempfile

PORT_RANGE = range(20000, 32000)
"""Below the kernel's range for outgoing connections: one of these could
otherwise occupy a port between the check and the call of ``listen``."""

_LOCK_DIR = pathlib.Path(tempfile.gettempdir()) / 'gorsefall-ports'
_LOOPBACK_ADDRESS = re.compile(r'127\.0\.0\.1:(\d+)')


def _is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def _lock(port):
    """Returns the open lock file of ``port``, None if another run holds it."""
    _LOCK_DIR.mkdir(exist_ok=True)
    # The caller's ExitStack closes the file, which releases the lock.
    file = open(_LOCK_DIR / str(port), 'w', encoding='ascii')  # noqa: SIM115
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        return None
    return file


@contextlib.contextmanager
def allocator():
    """Yields a function that returns another free port on each call.

    The ports stay locked against other test runs until the context ends.
    """
    with contextlib.ExitStack() as locks:

        def allocate():
            while True:
                port = random.choice(PORT_RANGE)
                file = _lock(port)
                if file is None:
                    continue
                locks.enter_context(file)
                if _is_free(port):
                    return port

        yield allocate


@contextlib.contextmanager
def copy_site(source, target):
    """Copies a site's files, replacing each loopback port by a free one.

    Args:
        source: Folder with the site's files.
        target: Folder for the copies; created if missing.

    Yields:
        ``target`` as a path.
    """
    source, target = pathlib.Path(source), pathlib.Path(target)
    target.mkdir(parents=True, exist_ok=True)
    ports = {}
    with allocator() as allocate:

        def replace_port(match):
            port = match.group(1)
            if port not in ports:
                ports[port] = allocate()
            return f'127.0.0.1:{ports[port]}'

        for path in sorted(source.iterdir()):
            if path.is_file():
                text = path.read_text(encoding='utf-8')
                (target / path.name).write_text(_LOOPBACK_ADDRESS.sub(
                    replace_port, text),
                                                encoding='utf-8')
        yield target
