"""Entry point of a relay entry process.

The module imports little, because memory is scarce on the VMs of entries.
"""

import sys

from gorsefall import errors
from gorsefall import logs
from gorsefall.relay import node


def main(path, adapter):
    """Runs a relay entry; returns the exit status.

    Args:
        path: Settings file.
        adapter: See ``node.Node``.
    """
    logs.setup_nonblocking(sys.stdout.fileno())
    try:
        node.run(path, adapter)
    except errors.GorsefallError as exc:
        print(f'gorsefall: error [{exc.code}]: {exc}', file=sys.stderr)
        return 2
    return 0
