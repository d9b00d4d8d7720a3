"""Exceptions for all failures that gorsefall reports, with stable codes."""


class GorsefallError(Exception):
    """Base of all gorsefall errors.

    Attributes:
        code: Stable machine-readable code, sent to callers as ``error.code``.
        status: HTTP status used when the error reaches a caller.
    """
    code = 'internal'
    status = 500

    def to_json(self):
        """Returns the OpenAI-style error body as a dict."""
        return {'error': {'code': self.code, 'message': str(self)}}


class SettingsError(GorsefallError):
    """A settings file is missing, unreadable or invalid."""
    code = 'bad_settings'


class BadRequestError(GorsefallError):
    """The caller's request is malformed (bad JSON, missing field)."""
    code = 'bad_request'
    status = 400


class BodyTooLargeError(BadRequestError):
    """The request body exceeds the configured limit in bytes."""
    code = 'body_too_large'
    status = 413


class UnknownCustomerError(BadRequestError):
    """The named customer is not in the catalogue."""
    code = 'unknown_customer'
    status = 403


class UnknownClassError(BadRequestError):
    """The named class is not in the catalogue for this customer."""
    code = 'unknown_class'
    status = 403


class NoRouteError(BadRequestError):
    """No route of the active configuration matches the request."""
    code = 'no_route'
    status = 404


class UnknownKeyError(BadRequestError):
    """The API key is missing or not in the active configuration."""
    code = 'unknown_key'
    status = 401


class HeadTooLargeError(BadRequestError):
    """The request head exceeds the configured limit in bytes."""
    code = 'head_too_large'
    status = 431


class UndecodableError(GorsefallError):
    """Bytes from outside the process are not what they should hold."""
    code = 'undecodable'


class RecordError(GorsefallError):
    """A record read from the shared log cannot be decoded."""
    code = 'bad_record'


class StoreError(GorsefallError):
    """The platform's store refused or failed a request, or did not respond.

    Attributes:
        records_expired: Whether the store has already deleted the requested
            records.
    """
    code = 'store'
    status = 503

    def __init__(self, msg, records_expired=False):
        super().__init__(msg)
        self.records_expired = records_expired


class ConflictError(StoreError):
    """A conditional append was refused: the topic does not end there."""
    code = 'conflict'


class NotRunError(GorsefallError):
    """The request was refused and has certainly not run.

    Attributes:
        retry_after: Delay after which the caller may retry, s.
    """
    code = 'not_run'
    status = 503

    def __init__(self, msg, retry_after=1.0):
        super().__init__(msg)
        self.retry_after = retry_after


class ShedError(NotRunError):
    """Admission control refused the request to protect latency targets."""
    code = 'shed'
    status = 429


class RateLimitedError(NotRunError):
    """The customer or class exceeds its rate or concurrency limit."""
    code = 'rate_limited'
    status = 429


class PoisonRequestError(BadRequestError):
    """Replicas repeatedly crashed while running this request; not sent."""
    code = 'crashes_replicas'


class SuspectedPartError(NotRunError):
    """Replicas crash as they run it or a part of it, perhaps of another cause.

    Not sent.
    """
    code = 'part_suspected'


class NoReplicaError(NotRunError):
    """No available replica serves the requested model or service."""
    code = 'no_replica'


class StreamOriginError(NotRunError):
    """It is not known where the stream began that the request takes up."""
    code = 'stream_unknown'


class DeadlineError(NotRunError):
    """The request's deadline passed before it was sent."""
    code = 'deadline'


class NoCatalogueError(NotRunError):
    """This entry has not read the catalogue yet."""
    code = 'no_catalogue'


class UnconfirmedError(NotRunError):
    """The configuration is not confirmed: key or route may have changed."""
    code = 'unproven'


class ReplicaRefusedError(NotRunError):
    """The replica reported that it did not run the request."""
    code = 'replica_refused'


class MemoryShortError(NotRunError):
    """This entry has no room for the request beside what it holds."""
    code = 'memory_short'


class DrainingError(NotRunError):
    """This entry is shutting down and accepts no new requests."""
    code = 'draining'


class OutcomeUnknownError(GorsefallError):
    """The request was sent and may or may not have run.

    Raised instead of ``NotRunError`` whenever a back end may have executed the
    request.

    Attributes:
        cause: Code of the error that ended the request and is not reported,
            because it would say that the request has not run; None if there is
            none.
    """
    code = 'outcome_unknown'
    status = 502

    def __init__(self, msg, cause=None):
        super().__init__(msg)
        self.cause = cause


class BackendFailedError(GorsefallError):
    """Back ends failed and the response could not be completed.

    Used for engines, where generation has no side effects. Unlike
    ``NotRunError`` it does not say that the request has not run.
    """
    code = 'backend_failed'
    status = 502


class TimedOutError(GorsefallError):
    """The request timed out after it was sent to a replica."""
    code = 'timed_out'
    status = 504


class CallerLostError(GorsefallError):
    """The connection to a caller failed, and the caller had not closed it."""
    code = 'caller_lost'


class CallerYieldedError(GorsefallError):
    """A caller did not read or send, and others needed what it held."""
    code = 'caller_yielded'


class LinkError(GorsefallError):
    """A connection to another process failed, timed out or went silent."""
    code = 'link_error'
    status = 502


class FrameError(GorsefallError):
    """Another process sent a frame that is too long or no known message."""
    code = 'bad_frame'


class LogServiceError(GorsefallError):
    """The platform's log service refused or failed a call, or did not respond.

    Attributes:
        not_run: Whether the service reported that it did not run the call.
        busy: Whether the refusal is temporary, so that the call may be retried.
    """
    code = 'log_service'
    status = 503

    def __init__(self, msg, *, not_run=False, busy=False):
        super().__init__(msg)
        self.not_run = not_run
        self.busy = busy


class StaleVersionError(GorsefallError):
    """A catalogue change conflicts with changes since its base version."""
    code = 'stale_version'
    status = 409


class BenchError(GorsefallError):
    """A benchmark scenario is missing or malformed."""
    code = 'bad_scenario'


class LogFileError(GorsefallError):
    """A log file cannot be read."""
    code = 'bad_log_file'


class UnknownRequestError(GorsefallError):
    """No log line has the given request ID."""
    code = 'unknown_request'


class CatalogueError(GorsefallError):
    """A catalogue document is invalid."""
    code = 'bad_catalogue'
    status = 400


class InProgressError(GorsefallError):
    """Another request with the same idempotency key is in progress.

    Attributes:
        retry_after: Delay after which the caller may retry, s.
    """
    code = 'in_progress'
    status = 409
    retry_after = 1.0


class KeyReusedError(GorsefallError):
    """The idempotency key was already used for a different request."""
    code = 'key_reused'
    status = 422


class DuplicateRequestError(GorsefallError):
    """A request with the same idempotency key has completed before.

    Carries the response of that request.

    Attributes:
        status: HTTP status of the stored response; 409 if it was not stored.
        reply: JSON body of the response, or None if it was too large to
            store.
    """
    code = 'duplicate'

    def __init__(self, status, reply):
        super().__init__('ran before; its answer was too large to keep')
        self.status = status if reply is not None else 409
        self.reply = reply
