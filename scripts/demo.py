"""Runs ``gorsefall demo`` on an example site: stand-ins, two entries, load.

Usage: python scripts/demo.py [authority|hollinbrook]
"""

import pathlib
import sys

from gorsefall import cmdline

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main(site='authority'):
    """Runs the demo of an example site; returns the exit status."""
    return cmdline.main([
        'demo',
        str(ROOT / 'examples' / site),
        str(ROOT / 'bench' / f'{site}-burst.toml'), '--out',
        str(ROOT / 'out')
    ])


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
