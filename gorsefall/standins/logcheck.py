"""Finds exceptions in the logs of processes under test."""

import pathlib

MARKS = ('"exception"', 'Traceback (most recent call last)')
"""Parts of the log lines with an exception, as JSON and as plain text."""


def exceptions(folder):
    """Yields the lines with an exception in the logs below a folder.

    Args:
        folder: Path of the folder; logs end with ``.log``.
    """
    for path in sorted(pathlib.Path(folder).rglob('*.log')):
        for line in path.read_text(errors='replace').splitlines():
            if any(mark in line for mark in MARKS):
                yield f'{path.name}: {line}'
