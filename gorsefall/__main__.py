"""Runs the command line when the package is executed."""

import sys

from gorsefall import cmdline

sys.exit(cmdline.main(sys.argv[1:]))
