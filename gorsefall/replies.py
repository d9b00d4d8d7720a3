"""Server-side HTTP replies: JSON bodies, coded errors and pushed streams."""

import math
import weakref

import msgspec
from circuits import core
from circuits.web import events as web_events

from gorsefall import errors
from gorsefall import logs

JSON_TYPE = 'application/json'
WEB_CHANNEL = 'web'


def json_body(res, obj, status=200):
    """Sets ``res`` to a JSON reply and returns it for a controller to return.

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
    """Sets ``res`` to the coded error reply of ``exc`` (a GorsefallError)."""
    if hasattr(exc, 'retry_after'):
        # Whole seconds are all that the field knows; rounding down would
        # bring callers back before their place is free.
        res.headers['Retry-After'] = str(max(1, math.ceil(exc.retry_after)))
    return json_body(res, exc.to_json(), exc.status)


def reports_not_run(obj):
    """Returns whether a decoded error reply says that nothing was done.

    A peer that refuses before acting marks it with ``error.not_run``.
    """
    err = obj.get('error') if isinstance(obj, dict) else None
    return isinstance(err, dict) and err.get('not_run') is True


def read_json(req, limit, kind=dict):
    """Decodes the request body.

    Args:
        req: The circuits.web request.
        limit: Largest body accepted, bytes.
        kind: Type the body must decode to (a msgspec Struct or dict).

    Returns:
        The decoded body.

    Raises:
        errors.BodyTooLargeError: The body is over ``limit`` bytes.
        errors.BadRequestError: The body is not valid JSON of ``kind``.
    """
    req.body.seek(0)
    raw = req.body.read(limit + 1)
    if len(raw) > limit:
        raise errors.BodyTooLargeError(f'body over {limit} bytes')
    try:
        return msgspec.json.decode(raw or b'{}', type=kind)
    except msgspec.ValidationError as exc:
        raise errors.BadRequestError(f'invalid body: {exc}') from exc
    except msgspec.DecodeError as exc:
        raise errors.BadRequestError(f'malformed JSON: {exc}') from exc


class _PushedBody:
    """A body that circuits.web never iterates: data is pushed as it comes.

    circuits.web pulls a generator body once per loop pass, so a generator
    that waits for a back end would stall every other request of the
    process. Being falsy, this body makes circuits.web send only the headers;
    chunks then go out through ``stream`` events fired by ``Push``.
    """

    def __bool__(self):
        return False

    def __iter__(self):
        return iter(())

    def close(self):
        """Nothing to release; circuits.web calls this at the end."""


class ChunkedReply:
    """A chunked reply whose chunks are sent when they become available.

    Attributes:
        res: The circuits.web response being written.
        closed: True once ``end`` was called.
    """

    def __init__(self, mgr, res, content_type):
        self._mgr = mgr
        self.res = res
        self.closed = False
        res.stream = True
        res.headers['Content-Type'] = content_type
        res.headers['Cache-Control'] = 'no-cache'
        res.body = _PushedBody()

    def send(self, data):
        """Queues ``data`` (bytes) to be written to the caller."""
        if not self.closed and data:
            self._mgr.fire(web_events.stream(self.res, data), WEB_CHANNEL)

    def end(self):
        """Finishes the reply; later ``send`` calls are dropped."""
        if not self.closed:
            self.closed = True
            self._mgr.fire(web_events.stream(self.res, None), WEB_CHANNEL)


def start_chunked(mgr, res, content_type):
    """Starts a pushed reply; the controller must return ``push.res``."""
    return ChunkedReply(mgr, res, content_type)


class JsonOnly(core.BaseComponent):
    """Makes a server speak JSON only: bodies in, errors out.

    Without it circuits.web answers errors with an HTML page and a traceback,
    which API clients cannot parse and which leaks internals. A
    ``GorsefallError`` raised by a controller keeps its code and status;
    anything else becomes ``internal`` (500) or the HTTP status circuits
    chose (404 for an unknown route).
    """
    channel = WEB_CHANNEL

    def __init__(self):
        super().__init__()
        self._answered = weakref.WeakSet()

    @core.handler('request', priority=10)
    def _on_request(self, event, req, res):
        # Callers forget the content type (curl -d says it is a form), and
        # circuits' form parser fails on some JSON, which gave callers a
        # 500. Every body is JSON here, whatever it is called.
        del event, res
        if req.method == 'POST':
            req.headers['Content-Type'] = JSON_TYPE

    @core.handler('httperror', priority=10)
    def _on_httperror(self, event, req, res, code=None, **kwargs):
        del kwargs
        event.stop()
        if req in self._answered:
            # circuits reports an exception of a controller twice, as
            # 'exception' and as 'request_failure'. Answering both put two
            # replies on the connection, and a caller that kept it took the
            # second for the answer to its next request.
            return
        self._answered.add(req)
        res.stream = False
        # circuits closes after every error; a refusal is no reason to.
        res.close = req.headers.get('Connection', '').lower() == 'close'
        exc = event.error[1] if event.error else None
        if isinstance(exc, errors.GorsefallError):
            error_body(res, exc)
        else:
            status = getattr(event, 'code', None) or code or 500
            name = 'not_found' if status == 404 else 'internal'
            if exc is not None:
                # The caller is told no internals; the operator's log is.
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
    """A reply decided after the controller returned.

    The controller returns ``True``, which circuits.web takes as "answered
    elsewhere"; this object then sends the status and body once known. A
    request waiting in a queue thus gets its real status (200, 429, 503)
    rather than a 200 sent before the outcome was known.

    Attributes:
        res: The circuits.web response.
        started: True once the status line went out.
        push: The ``Push`` of a streamed reply, once opened.
    """

    def __init__(self, mgr, res, closing=False):
        self._mgr = mgr
        self.res = res
        res.close = res.close or closing
        self.started = False
        self.push = None

    def json(self, obj, status=200):
        """Sends a whole JSON reply; ignored after the reply started."""
        if self.started:
            return
        self.started = True
        json_body(self.res, obj, status)
        self._mgr.fire(web_events.response(self.res), WEB_CHANNEL)

    def error(self, exc):
        """Sends the coded error reply of ``exc`` if nothing was sent yet.

        Returns:
            False when the reply had already started (a stream is open).
        """
        if self.started:
            return False
        self.started = True
        error_body(self.res, exc)
        self._mgr.fire(web_events.response(self.res), WEB_CHANNEL)
        return True

    def stream_error(self, exc):
        """Ends a started stream with the coded error of ``exc``.

        The stream then lacks its end mark, so a caller cannot take it for
        a whole answer.
        """
        self.push.send(b'data: ' + msgspec.json.encode(exc.to_json()) + b'\n\n')
        self.push.end()

    def stream(self, content_type):
        """Sends status 200 and headers; returns the ``Push`` for chunks."""
        if self.push is None:
            self.started = True
            self.push = ChunkedReply(self._mgr, self.res, content_type)
            self._mgr.fire(web_events.response(self.res), WEB_CHANNEL)
        return self.push
