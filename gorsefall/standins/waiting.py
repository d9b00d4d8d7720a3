"""Waiting for processes and for what they come to believe."""

import time

TIMEOUT_S = 20.0
"""Longest wait, s: a bound against hangs, over ten times what is usual."""

POLL_INTERVAL_S = 0.02
"""Pause between looks, s."""


class WaitTimeoutError(AssertionError):
    """What was waited for did not come."""


def until(check, what, timeout_s=TIMEOUT_S):
    """Polls ``check`` until it returns a true value; returns that.

    A bound, not a speed assert: it only turns a hang into a failure.

    Raises:
        WaitTimeoutError: It did not within ``timeout_s``.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        got = check()
        if got:
            return got
        time.sleep(POLL_INTERVAL_S)
    raise WaitTimeoutError(f'timed out waiting for {what}')
