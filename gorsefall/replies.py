"""Server-side HTTP responses: JSON bodies, errors and chunked streams."""

import math
import weakref

import msgspec
from circuits import core
from circuits.web import events as web_events

from gorsefall import decoding
from gorsefall import errors
from gorsefall import logs

JSON_TYPE = 'application/json'
WEB_CHANNEL = 'web'


def json_body(res, obj, status=200):
    """Fills ``res`` with a JSON body, and returns it for the controller.

    Args:
        res: The circuits.web response object.
        obj: Anything msgspec can encode.
        status: HTTP status code.

    Returns:
        The response object.
    """
    res.status = status
    res.headers['Content-Type'] = JSON_TYPE
    res.body = msgspec.json.encode(obj)
    return res


def error_body(res, exc):
    """Fills ``res`` with the error body of ``exc`` (a GorsefallError)."""
    if hasattr(exc, 'retry_after'):
        # The field takes whole seconds only. Rounded down, callers would
        # retry before capacity is available.
        res.headers['Retry-After'] = str(max(1, math.ceil(exc.retry_after)))
    return json_body(res, exc.to_json(), exc.status)


def reports_not_run(obj):
    """Returns whether a decoded error body says that the request did not run.

    A peer that refuses a request before running it sets ``error.not_run``.
    """
    err = obj.get('error') if isinstance(obj, dict) else None
    return isinstance(err, dict) and err.get('not_run') is True


def read_json(req, limit, kind=dict):
    """Decodes the request body.

    Args:
        req: The circuits.web request.
        limit: Maximum length of the body, bytes.
        kind: Type that the body must decode to (a msgspec Struct or dict).

    Returns:
        The decoded body.

    Raises:
        errors.BodyTooLargeError: The body is longer than ``limit``.
        errors.BadRequestError: The body is not valid JSON of ``kind``.
    """
    req.body.seek(0)
    raw = req.body.read(limit + 1)
    if len(raw) > limit:
        raise errors.BodyTooLargeError(f'body over {limit} bytes')
    try:
        return decoding.json_decoder(kind).decode(raw or b'{}')
    except errors.UndecodableError as exc:
        what = ('invalid body' if isinstance(
            exc.__cause__, msgspec.ValidationError) else 'malformed JSON')
        raise errors.BadRequestError(f'{what}: {exc}') from exc


class _EmptyBody:
    """A falsy body that makes circuits.web send only the headers.

    The chunks follow as ``stream`` events that ``ChunkedReply`` fires. With a
    generator as body, circuits.web would pull it once per loop pass, and a
    generator that waits for a back end would stall all other requests.
    """

    def __bool__(self):
        return False

    def __iter__(self):
        return iter(())

    def close(self):
        """Does nothing; circuits.web calls this at the end."""


class ChunkedReply:
    """A chunked response whose chunks are sent as they become available.

    Attributes:
        res: The circuits.web response.
        closed: Whether ``end`` was called.
    """

    def __init__(self, mgr, res, content_type):
        self._mgr = mgr
        self.res = res
        self.closed = False
        res.stream = True
        res.headers['Content-Type'] = content_type
        res.headers['Cache-Control'] = 'no-cache'
        res.body = _EmptyBody()

    def send(self, data):
        """Queues ``data`` (bytes) to be sent to the caller."""
        if not self.closed and data:
            self._mgr.fire(web_events.stream(self.res, data), WEB_CHANNEL)

    def end(self):
        """Ends the response; later ``send`` calls are ignored."""
        if not self.closed:
            self.closed = True
            self._mgr.fire(web_events.stream(self.res, None), WEB_CHANNEL)


def start_chunked(mgr, res, content_type):
    """Starts a ``ChunkedReply``; the controller must return its ``res``."""
    return ChunkedReply(mgr, res, content_type)


class JsonOnly(core.BaseComponent):
    """Makes a server accept JSON bodies and send JSON errors only.

    By default circuits.web responds to errors with an HTML page and a
    traceback, which API clients cannot parse and which discloses internals. A
    ``GorsefallError`` raised by a controller keeps its code and status. Other
    exceptions become ``internal`` (500), or have the HTTP status chosen by
    circuits (404 for an unknown path).
    """
    channel = WEB_CHANNEL

    def __init__(self):
        super().__init__()
        self._answered = weakref.WeakSet()

    @core.handler('request', priority=10)
    def _on_request(self, event, req, res):
        # All bodies are JSON, whatever their content type says: curl -d sends
        # JSON as a form by default, and the form parser of circuits fails on
        # some JSON, with status 500 for the caller.
        del event, res
        if req.method == 'POST':
            req.headers['Content-Type'] = JSON_TYPE

    @core.handler('httperror', priority=10)
    def _on_httperror(self, event, req, res, code=None, **kwargs):
        del kwargs
        event.stop()
        if req in self._answered:
            # circuits reports an exception of a controller twice, as
            # 'exception' and as 'request_failure'. Responding to both would
            # send two responses, and a caller that reuses the connection
            # would take the second one for the response to its next request.
            return
        self._answered.add(req)
        res.stream = False
        # By default circuits closes the connection after every error.
        res.close = req.headers.get('Connection', '').lower() == 'close'
        exc = event.error[1] if event.error else None
        if isinstance(exc, errors.GorsefallError):
            error_body(res, exc)
        else:
            status = getattr(event, 'code', None) or code or 500
            name = 'not_found' if status == 404 else 'internal'
            if exc is not None:
                # Details are logged, not disclosed to the caller.
                logs.get('http').error('internal_error',
                                       path=req.path,
                                       exc_info=event.error)
            json_body(res,
                      {'error': {
                          'code': name,
                          'message': event.description
                      }}, status)
        self.fire(web_events.response(res))


class DeferredReply:
    """A response whose status is decided after the controller has returned.

    The controller returns ``True``, after which circuits.web sends nothing by
    itself; this object sends status and body once they are known. A queued
    request thus gets its actual status (200, 429, 503) instead of a 200 sent
    before the outcome is known.

    Attributes:
        res: The circuits.web response.
        started: Whether the status line was sent.
        push: The ``ChunkedReply`` of a streamed response, once started.
    """

    def __init__(self, mgr, res, closing=False):
        self._mgr = mgr
        self.res = res
        res.close = res.close or closing
        self.started = False
        self.push = None

    def json(self, obj, status=200):
        """Sends a complete JSON response; ignored if one has started."""
        if self.started:
            return
        self.started = True
        json_body(self.res, obj, status)
        self._mgr.fire(web_events.response(self.res), WEB_CHANNEL)

    def error(self, exc):
        """Sends the error response of ``exc`` if nothing was sent yet.

        Returns:
            False if the response has already started (a stream is open).
        """
        if self.started:
            return False
        self.started = True
        error_body(self.res, exc)
        self._mgr.fire(web_events.response(self.res), WEB_CHANNEL)
        return True

    def stream_error(self, exc):
        """Ends a started stream with the error of ``exc``.

        The stream then lacks its end marker, so that a caller cannot take it
        for a complete response.
        """
        self.push.send(b'data: ' + msgspec.json.encode(exc.to_json()) + b'\n\n')
        self.push.end()

    def stream(self, content_type):
        """Sends status 200 and headers; returns the ``ChunkedReply``."""
        if self.push is None:
            self.started = True
            self.push = ChunkedReply(self._mgr, self.res, content_type)
            self._mgr.fire(web_events.response(self.res), WEB_CHANNEL)
        return self.push
