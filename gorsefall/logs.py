"""JSON-line logs through structlog."""

import logging
import sys

import structlog


def setup(level='info'):
    """Configures structlog to write one JSON object a line to stderr."""
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
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def get(name):
    """Returns a logger bound to ``component=name``."""
    return structlog.get_logger().bind(component=name)
