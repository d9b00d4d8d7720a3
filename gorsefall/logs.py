"""Logging as JSON lines, through structlog."""

import logging
import os
import sys

import structlog

from gorsefall import metrics

MAX_PENDING_BYTES = 1 << 20
"""Buffer for a slow log reader; further lines are dropped and counted.

A line has about 300 bytes, so the buffer holds a few seconds of the busiest
entry."""


class BoundedWriter:
    """Writes lines to a file descriptor without ever blocking.

    With blocking writes, a stalled reader of the log pipe would stop the
    process, and every request with it, as soon as the pipe is full.

    Attributes:
        dropped_lines: Lines dropped since the last one that was buffered.
    """

    def __init__(self, fd):
        self._fd = fd
        self._pending = bytearray()
        self.dropped_lines = 0
        os.set_blocking(fd, False)

    def msg(self, line):
        """Writes a line; buffers or drops it if the reader is slow."""
        if len(self._pending) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            metrics.LOG_LINES_DROPPED.inc()
            self._flush()
            return
        if self.dropped_lines:
            note = ('{"event": "log_left_out", '
                    f'"lines": {self.dropped_lines}}}\n')
            self._pending += note.encode()
            self.dropped_lines = 0
        self._pending += line.encode() + b'\n'
        self._flush()

    log = debug = info = warning = warn = error = critical = exception = msg

    def _flush(self):
        try:
            while self._pending:
                n = os.write(self._fd, self._pending)
                del self._pending[:n]
        except BlockingIOError:
            # The rest is written with a later line.
            pass
        except OSError:
            # The reader has closed the pipe; there is nowhere to log to.
            self._pending.clear()


def _configure(level, factory):
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )


def setup(level='info'):
    """Configures structlog to write JSON lines to stderr."""
    _configure(level, structlog.PrintLoggerFactory(file=sys.stderr))


def setup_nonblocking(fd, level='info'):
    """Configures structlog to write JSON lines to ``fd`` without blocking."""
    writer = BoundedWriter(fd)
    _configure(level, lambda *args: writer)


def get(name):
    """Returns a logger bound to ``component=name``."""
    return structlog.get_logger().bind(component=name)
