"""Free ports for a site's processes, so that sites do not disturb each other.

Two suites on one machine with the same fixed ports talk to each other's
processes (noticed as scenarios that fail only beside a second run).
"""

import contextlib
import fcntl
import pathlib
import random
import re
import socket
import tempfile

PORT_RANGE = range(20000, 32000)
"""Below the kernel's range for outgoing connections, so that none of these
is taken between being found free and being listened on."""

_LOCKS = pathlib.Path(tempfile.gettempdir()) / 'gorsefall-ports'
_ADDRESS = re.compile(r'127\.0\.0\.1:(\d+)')


def _is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def _lock(port):
    """Returns the open lock file of ``port``, or None if it is taken."""
    _LOCKS.mkdir(exist_ok=True)
    # Closed by the caller's ExitStack; the lock lasts as long as the file.
    file = open(_LOCKS / str(port), 'w', encoding='ascii')  # noqa: SIM115
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        return None
    return file


@contextlib.contextmanager
def allocator():
    """Yields a function that gives a free port each time it is called.

    A port stays reserved against other suites until the context ends.
    """
    with contextlib.ExitStack() as held:

        def take():
            while True:
                port = random.choice(PORT_RANGE)
                file = _lock(port)
                if file is None:
                    continue
                held.enter_context(file)
                if _is_free(port):
                    return port

        yield take


@contextlib.contextmanager
def copy_site(source, target):
    """Copies a site's settings with every loopback port changed to a free one.

    Args:
        source: Folder with the site's files.
        target: Folder for the copies; made if missing.

    Yields:
        ``target`` as a path.
    """
    source, target = pathlib.Path(source), pathlib.Path(target)
    target.mkdir(parents=True, exist_ok=True)
    ports = {}
    with allocator() as take:

        def replace(match):
            old = match.group(1)
            if old not in ports:
                ports[old] = take()
            return f'127.0.0.1:{ports[old]}'

        for path in sorted(source.iterdir()):
            if path.is_file():
                text = path.read_text(encoding='utf-8')
                (target / path.name).write_text(_ADDRESS.sub(replace, text),
                                                encoding='utf-8')
        yield target
