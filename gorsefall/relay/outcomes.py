"""Outcomes of requests, and the error responses that callers get."""

import enum

from gorsefall import errors


class Outcome(enum.Enum):
    """How an exchange ended; the values are logged and used as labels."""
    SERVED = 'served'
    REPLICA_FAILED = 'replica_failed'
    REFUSED = 'refused'
    DENIED = 'denied'
    UNKNOWN = 'outcome_unknown'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken_off'
    CALLER_LEFT = 'caller_left'
    CALLER_LOST = 'caller_lost'
    CALLER_YIELDED = 'caller_yielded'


class LateReason(enum.Enum):
    """Which latency target a response missed; the values are logged."""
    START = 'start'
    PAUSE = 'pause'


def outcome_of(exc):
    """Returns the ``Outcome`` of a request that ended with ``exc``."""
    if isinstance(exc, errors.NotRunError):
        return Outcome.REFUSED
    if isinstance(exc, errors.BadRequestError):
        return Outcome.DENIED
    if isinstance(exc, errors.TimedOutError):
        return Outcome.TIMED_OUT
    return Outcome.UNKNOWN


def break_cause(exc):
    """Returns the error code of what broke off a response that had begun."""
    return getattr(exc, 'cause', None) or exc.code


def retry_after_s(exc):
    """Returns after how long a failed request may be retried, s, or None.

    Only a request that was not run is safe to retry in every case.
    """
    if not isinstance(exc, errors.NotRunError):
        return None
    return round(exc.retry_after, 2)


def error_response(exc):
    """Returns the ``(status, fields, body)`` of an error response."""
    body = f'{exc.code}: {exc}\n'.encode()
    fields = [(b'Content-Type', b'text/plain; charset=utf-8')]
    after_s = retry_after_s(exc)
    if after_s is not None:
        fields.append((b'Retry-After', f'{after_s:.2f}'.encode()))
    return exc.status, fields, body
