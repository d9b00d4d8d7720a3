"""Polls a condition until it holds, for tests of several processes."""

import time

TIMEOUT_S = 20.0
"""Over ten times a usual wait: the bound only turns a hang into a failure."""

POLL_INTERVAL_S = 0.02


class WaitTimeoutError(AssertionError):
    """The condition did not hold in time."""


def until(check, what, timeout_s=TIMEOUT_S):
    """Polls ``check`` until it returns a true value.

    Args:
        check: A function without arguments.
        what: Description of the condition, for the error.
        timeout_s: Maximum wait, s.

    Returns:
        The true value.

    Raises:
        WaitTimeoutError: The wait exceeded ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise WaitTimeoutError(f'timed out waiting for {what}')
