"""Every failure gorsefall reports, each a type with a stable code."""


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
    """A settings file is missing, unreadable or fails its checks."""
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
    """No route of the configuration in force matches the request."""
    code = 'no_route'
    status = 404


class UnknownKeyError(BadRequestError):
    """The request's key is missing or in no configuration in force."""
    code = 'unknown_key'
    status = 401


class HeadTooLargeError(BadRequestError):
    """The request head exceeds the configured limit in bytes."""
    code = 'head_too_large'
    status = 431


class RecordError(GorsefallError):
    """A record read from the shared log cannot be decoded."""
    code = 'bad_record'


class StoreError(GorsefallError):
    """The platform's store refused, failed or did not answer.

    Attributes:
        forgotten: Whether it no longer keeps the records asked for.
    """
    code = 'store'
    status = 503

    def __init__(self, msg, records_expired=False):
        super().__init__(msg)
        self.records_expired = records_expired


class NotRunError(GorsefallError):
    """The request was refused before dispatch: it certainly did not run.

    Attributes:
        retry_after: Seconds after which the caller may try again.
    """
    code = 'not_run'
    status = 503

    def __init__(self, msg, retry_after=1.0):
        super().__init__(msg)
        self.retry_after = retry_after


class ShedError(NotRunError):
    """Admission refused the request to protect its tier's targets."""
    code = 'shed'
    status = 429


class RateLimitedError(NotRunError):
    """The customer or class is over its rate or concurrency limit."""
    code = 'rate_limited'
    status = 429


class PoisonRequestError(BadRequestError):
    """Replicas ended again and again as they ran the request: not sent."""
    code = 'crashes_replicas'


class NoReplicaError(NotRunError):
    """No live, non-leaving replica serves the requested model or service."""
    code = 'no_replica'


class DeadlineError(NotRunError):
    """The request's deadline passed while it waited."""
    code = 'deadline'


class NoCatalogueError(NotRunError):
    """This entry has not read the catalogue yet."""
    code = 'no_catalogue'


class UnconfirmedError(NotRunError):
    """The configuration was not confirmed lately: a key may be revoked."""
    code = 'unproven'


class ReplicaRefusedError(NotRunError):
    """The replica says that it did not run the request."""
    code = 'replica_refused'


class DrainingError(NotRunError):
    """This entry process is shutting down and takes no new work."""
    code = 'draining'


class OutcomeUnknownError(GorsefallError):
    """The request was dispatched and its outcome cannot be known.

    Raised instead of ``NotRunError`` whenever a back end may have acted.
    """
    code = 'outcome_unknown'
    status = 502


class BackendFailedError(GorsefallError):
    """Back ends failed and the answer could not be completed.

    Used for engines, whose generation changes nothing outside them; it
    makes no claim that nothing ran (that is ``NotRunError``).
    """
    code = 'backend_failed'
    status = 502


class TimedOutError(GorsefallError):
    """The request's time passed after it was handed to a replica."""
    code = 'timed_out'
    status = 504


class LinkError(GorsefallError):
    """A connection to another process failed, timed out or went silent."""
    code = 'link_error'
    status = 502


class LogServiceError(GorsefallError):
    """The platform's log service refused, failed or did not answer.

    Attributes:
        not_run: Whether it says that it did nothing.
        busy: Whether it did nothing for now: the same may be sent again.
    """
    code = 'log_service'
    status = 503

    def __init__(self, msg, *, not_run=False, busy=False):
        super().__init__(msg)
        self.not_run = not_run
        self.busy = busy


class StaleVersionError(GorsefallError):
    """A catalogue change was based on a version that is no longer current."""
    code = 'stale_version'
    status = 409


class BenchError(GorsefallError):
    """A bench scenario is missing or malformed."""
    code = 'bad_scenario'


class LogFileError(GorsefallError):
    """A log file cannot be read."""
    code = 'bad_log_file'


class UnknownRequestError(GorsefallError):
    """No log line has the request's id."""
    code = 'unknown_request'


class CatalogueError(GorsefallError):
    """A catalogue document fails its checks."""
    code = 'bad_catalogue'
    status = 400


class InProgressError(GorsefallError):
    """Another request with this idempotency key is being run.

    Attributes:
        retry_after: Seconds after which the caller may ask again.
    """
    code = 'in_progress'
    status = 409
    retry_after = 1.0


class KeyReusedError(GorsefallError):
    """The idempotency key was used before for a different request."""
    code = 'key_reused'
    status = 422


class DuplicateRequestError(GorsefallError):
    """The key's request has been answered before; carries that answer.

    Attributes:
        status: HTTP status of the answer.
        reply: The answer's JSON, or None when it was too large to keep.
    """
    code = 'duplicate'

    def __init__(self, status, reply):
        super().__init__('ran before; its answer was too large to keep')
        self.status = status if reply is not None else 409
        self.reply = reply
