"""Explains from the logs what became of the usage report of a window."""

import functools

from gorsefall import errors
from gorsefall import loglines

WINDOW_PREFIX = 'window:'
"""What a window's number is preceded by on the command line."""

_SENTENCES = {
    loglines.UsageCounted:
        'fixed the counts of window {0.window}, {0.after_s:.1f} s after its '
        'end: {0.requests} requests of {0.accounts} accounts',
    loglines.UsageReported:
        'reported window {0.window}: {0.answer}',
    loglines.UsageMissed:
        'no report of window {0.window} was accepted in time',
    loglines.DutiesLost:
        'no longer holds the duties ({0.reason})',
    loglines.ClaimFailed:
        'a claim has an unknown outcome ({0.error})',
    loglines.ClaimNotRead:
        'the last claim could not be read ({0.error})',
    loglines.PlatformCallFailed:
        'a call to {0.path} of the platform failed ({0.error})',
}
"""``event type -> format string``, for events without a function below."""


@functools.singledispatch
def describe(event):
    """Returns a sentence that describes a ``loglines.DutyEvent``."""
    return _SENTENCES[type(event)].format(event)


@describe.register
def _(event: loglines.Claimed):
    how = 'took over the duties' if event.before is None else 'claimed again'
    return f'{how} with the token {event.token}'


def _of_windows(lines, windows):
    return [ln for ln in lines if getattr(ln.event, 'window', None) in windows]


def _relevant(duty_lines, window):
    """Returns the lines from the window before to the one after it."""
    before = _of_windows(duty_lines, {window - 1})
    after = _of_windows(duty_lines, {window + 1})
    own = _of_windows(duty_lines, {window})
    start = max((ln.at_s for ln in before), default=float('-inf'))
    end = min((ln.at_s for ln in after), default=float('inf'))
    return [
        ln for ln in duty_lines
        if ln in own or (start <= ln.at_s <= end and
                         not isinstance(ln.event, loglines.WindowEvent))
    ]


def cause(lines, window):
    """Returns a sentence on what became of a window's report.

    Args:
        lines: The relevant ``loglines.Line`` objects, in order.
        window: Its number.
    """
    own = [ln.event for ln in _of_windows(lines, {window})]
    counted = {e.requests for e in own if isinstance(e, loglines.UsageCounted)}
    reported = [e for e in own if isinstance(e, loglines.UsageReported)]
    if any(e.answer == 'accepted' for e in reported):
        if len(counted) > 1:
            return (f'it was reported; {len(counted)} different counts were '
                    'fixed for it, of which the later ones were not claimed')
        return 'it was reported and accepted'
    reasons = [
        describe(ln.event) for ln in lines if isinstance(
            ln.event, loglines.DutiesLost | loglines.ClaimFailed |
            loglines.ClaimNotRead | loglines.PlatformCallFailed)
    ]
    because = f': {"; ".join(dict.fromkeys(reasons))}' if reasons else ''
    if not counted:
        return f'no entry fixed its counts, or nothing was counted{because}'
    if not reported:
        return f'it was counted, but no claim was confirmed{because}'
    return f'it was reported {len(reported)} times and never accepted{because}'


def explain(log, window):
    """Returns the explanation of a window's usage report as text.

    Args:
        log: A ``loglines.Log``.
        window: Number of the window.

    Raises:
        errors.UnknownRequestError: No line is about duties.
    """
    duty_lines = sorted(
        (ln for ln in log.lines if isinstance(ln.event, loglines.DutyEvent)),
        key=lambda ln: ln.at_s)
    if not duty_lines:
        raise errors.UnknownRequestError(
            f'window {window}: none of {len(log.lines)} lines is about duties')
    lines = _relevant(duty_lines, window)
    rows = [
        f'  {ln.at_s:.4f}  {ln.process}: {describe(ln.event)}' for ln in lines
    ]
    return '\n'.join([
        f'usage of window {window}', '', 'decisions:',
        *(rows or ['  none is logged']), '', f'cause: {cause(lines, window)}'
    ])
