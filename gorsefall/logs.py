"""JSON-line logs through structlog."""

import logging
import os
import sys

import structlog

from gorsefall import metrics

MAX_PENDING_BYTES = 1 << 20
"""Log bytes that wait for a slow reader; more is left out and counted. A
line has about 300 bytes, so this is some seconds of the busiest entry."""


class BoundedWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    A reader of our output that stalls would otherwise stop the process with
    the pipe full, and every request with it.

    Attributes:
        dropped_lines: Lines that were left out.
    """

    def __init__(self, fd):
        self._fd = fd
        self._waiting = bytearray()
        self.dropped_lines = 0
        os.set_blocking(fd, False)

    def msg(self, line):
        """Writes a line, or keeps or drops it when the reader is slow."""
        if len(self._waiting) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            metrics.LOG_LINES_DROPPED.inc()
            self._flush()
            return
        if self.dropped_lines:
            note = ('{"event": "log_left_out", '
                    f'"lines": {self.dropped_lines}}}\n')
            self._waiting += note.encode()
            self.dropped_lines = 0
        self._waiting += line.encode() + b'\n'
        self._flush()

    log = debug = info = warning = warn = error = critical = exception = msg

    def _flush(self):
        try:
            while self._waiting:
                n = os.write(self._fd, self._waiting)
                del self._waiting[:n]
        except BlockingIOError:
            # The rest goes out with a later line.
            pass
        except OSError:
            # The reader is gone for good: nobody is left to tell.
            self._waiting.clear()


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
    """Configures structlog to write one JSON object a line to stderr."""
    _configure(level, structlog.PrintLoggerFactory(file=sys.stderr))


def setup_nonblocking(fd, level='info'):
    """Configures structlog to write JSON lines to ``fd``, never blocking."""
    writer = BoundedWriter(fd)
    _configure(level, lambda *args: writer)


def get(name):
    """Returns a logger bound to ``component=name``."""
    return structlog.get_logger().bind(component=name)
