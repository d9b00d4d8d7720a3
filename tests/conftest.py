"""What every test starts with."""

import pytest
import structlog


@pytest.fixture(autouse=True)
def own_logs():
    """Keeps a test's log settings to itself.

    Symptom: a test fails with "I/O operation on closed file". Sequence: an
    earlier one runs the command line, which sets logging to its captured
    stderr; that is closed with it. Cause: logging is set for the process.
    """
    structlog.reset_defaults()
    yield
    structlog.reset_defaults()
