"""Access log: metrics and a log line for each request that ended."""

import time

from gorsefall import digests
from gorsefall import metrics
from gorsefall.relay import outcomes

_BREAKS = (outcomes.Outcome.BROKEN, outcomes.Outcome.CALLER_LOST,
           outcomes.Outcome.CALLER_YIELDED)


def record(exchange, outcome, exc):
    """Updates the metrics and logs the end of an exchange.

    Args:
        exchange: The ``exchange.Exchange`` that ended.
        outcome: The ``outcomes.Outcome``.
        exc: The error that was sent to the caller, or None.
    """
    now = time.monotonic()
    node, grant = exchange.node, exchange.grant
    pause_s = exchange.longest_pause_s
    route = grant.route
    account = grant.account.name if grant.account else ''
    metrics.count_relayed(account, route.name if route else '', outcome.value)
    if outcome is outcomes.Outcome.SERVED:
        # A response without a body has no first byte; its end is the first.
        first_at = exchange.first_byte_at or now
        metrics.observe_relay_times(route.name, first_at - exchange.arrived_at,
                                    now - exchange.arrived_at)
    cause = None
    if outcome in _BREAKS and exchange.response_begun:
        cause = outcomes.break_cause(exc)
        metrics.RESPONSES_BROKEN.labels(cause).inc()
    late = _late_reason(exchange, grant, pause_s, now)
    exchange.log.info('answered',
                      outcome=outcome.value,
                      error=str(exc) if exc else None,
                      code=exc.code if exc else None,
                      cause=cause,
                      disconnect=exchange.disconnect_reason,
                      retry_after_s=outcomes.retry_after_s(exc),
                      route=route.name if route else None,
                      kind=route.kind.value if route else None,
                      account=account,
                      digest=digests.abbreviate(exchange.causes.request or b''),
                      attempts=exchange.attempts.replicas,
                      first_ms=_since_ms(exchange, exchange.first_byte_at),
                      ms=_since_ms(exchange, now),
                      pause_ms=round(pause_s * 1000, 1),
                      late=late.value if late else None,
                      last_event=exchange.last_event,
                      ending=_value(exchange.response_end.ending),
                      stream_end=_value(exchange.response_end.verdict),
                      version=node.table.version if node.table else None,
                      proof_age_s=node.confirmation.logged_age_s())


def _value(state):
    """Returns what stands in a log line for an ``Enum`` member or None."""
    return None if state is None else state.value


def _late_reason(exchange, grant, pause_s, now):
    """Returns which target was missed, an ``outcomes.LateReason``, or None."""
    route = grant.route
    if route is None or exchange.first_byte_at is None:
        return None
    response_at = exchange.first_byte_at if grant.streams else now
    if route.target_s and response_at - exchange.arrived_at > route.target_s:
        return outcomes.LateReason.START
    if route.gap_target_s and pause_s > route.gap_target_s:
        return outcomes.LateReason.PAUSE
    return None


def _since_ms(exchange, when):
    """Returns the time from the request's arrival to ``when``, ms, or None."""
    if when is None:
        return None
    return round((when - exchange.arrived_at) * 1000, 1)
