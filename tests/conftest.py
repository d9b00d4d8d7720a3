"""Fixtures of all tests."""

import pytest
import structlog


@pytest.fixture(autouse=True)
def reset_logging():
    """Resets the process-wide logging configuration.

    A test that runs the command line configures logging to its captured
    stderr, which is closed after the test. Later tests would fail with "I/O
    operation on closed file".
    """
    structlog.reset_defaults()
    yield
    structlog.reset_defaults()
