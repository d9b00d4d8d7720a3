"""The entry's HTTP routes: OpenAI API, plain services, operations."""

import math
import time

import msgspec
from circuits import web

from gorsefall import errors
from gorsefall import metrics
from gorsefall import replies
from gorsefall.entry import jobs

DEFAULT_MAX_TOKENS = 256
MAX_IDEMPOTENCY_KEY_CHARS = 200
TRUE_VALUES = ('1', 'true', 'yes')


class ChatBody(msgspec.Struct, kw_only=True):
    """The fields of an OpenAI chat request that the entry uses."""
    messages: list[dict]
    model: str = 'default'
    max_tokens: int | None = None
    stream: bool = False
    user: str = ''


class CompletionBody(msgspec.Struct, kw_only=True):
    """The fields of an OpenAI completion request that the entry uses."""
    prompt: str | list[str]
    model: str = 'default'
    max_tokens: int | None = None
    stream: bool = False
    user: str = ''


def _customer_and_class(req, user):
    """Returns ``(customer, class)`` of a request.

    Args:
        req: The circuits.web request.
        user: The body's ``user`` field; ``CUSTOMER/CLASS`` is used if the
            headers ``X-Customer`` and ``X-Class`` are not both set.

    Raises:
        errors.BadRequestError: The customer or the class is missing.
    """
    customer = req.headers.get('X-Customer', '')
    klass = req.headers.get('X-Class', '')
    if (not customer or not klass) and '/' in user:
        customer, _, klass = user.partition('/')
    if not customer or not klass:
        raise errors.BadRequestError(
            'name the customer and class: headers X-Customer and X-Class, '
            'or user="c/k"')
    return customer, klass


def _deadline(req):
    """Returns the caller's deadline, s (monotonic); infinity without one."""
    text = req.headers.get('X-Deadline-Ms')
    if text is None:
        return math.inf
    try:
        left_ms = float(text)
    except ValueError as exc:
        raise errors.BadRequestError('X-Deadline-Ms: not a number') from exc
    if not 0 < left_ms < math.inf:
        raise errors.BadRequestError('X-Deadline-Ms: must be over 0')
    return time.monotonic() + left_ms / 1000.0


class _EntryController(web.Controller):
    """Base class of the entry's controllers."""

    def __init__(self, entry, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.entry = entry

    def _build_request(self, kind, user='', **fields):
        req = self.request
        customer, name = _customer_and_class(req, user)
        klass = self.entry.lookup_class(customer, name)
        key = req.headers.get('Idempotency-Key', '')
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise errors.BadRequestError(
                'Idempotency-Key: over '
                f'{MAX_IDEMPOTENCY_KEY_CHARS} characters')
        non_repeatable = req.headers.get('X-Not-Repeatable',
                                         '').lower() in TRUE_VALUES
        return kind(
            rid=jobs.new_rid(),
            customer=customer,
            klass=klass,
            # The customer is part of the key: two customers may choose the
            # same key for different requests.
            key=f'{customer}/{key}' if key else '',
            repeatable=klass.repeatable and not non_repeatable,
            deadline=_deadline(req),
            **fields)

    def _submit_text(self, kind, body, prompt):
        if body.max_tokens is not None and body.max_tokens < 1:
            raise errors.BadRequestError('max_tokens: must be at least 1')
        return self._submit(
            self._build_request(kind,
                                body.user,
                                model=body.model,
                                prompt=prompt,
                                max_tokens=body.max_tokens or
                                DEFAULT_MAX_TOKENS,
                                stream=body.stream))

    def _submit(self, caller_request):
        self.entry.submit(caller_request, self.request, self.response)
        return True


class V1(_EntryController):
    """``/v1``: completions, models and plain services."""
    channel = '/v1'

    def completions(self, *args, **kwargs):
        """POST /v1/completions (OpenAI)."""
        body = replies.read_json(self.request, self.entry.max_body_bytes,
                                 CompletionBody)
        prompt = body.prompt
        if not isinstance(prompt, str):
            prompt = '\n'.join(prompt)
        return self._submit_text(jobs.CompletionRequest, body, prompt)

    def models(self):
        """GET /v1/models: the pools as models, in OpenAI format."""
        data = [{
            'id': p,
            'object': 'model',
            'owned_by': 'gorsefall'
        } for p in self.entry.fleet.pools]
        return replies.json_body(self.response, {
            'object': 'list',
            'data': data
        })

    def services(self, pool=None, op=None, *args, **kwargs):
        """POST /v1/services/POOL/OP: a service call with JSON arguments."""
        call_args = replies.read_json(self.request, self.entry.max_body_bytes)
        caller_request = self._build_request(jobs.ServiceRequest,
                                             op=op or '',
                                             args=call_args)
        if caller_request.klass.pool != pool:
            raise errors.UnknownClassError(
                f'class {caller_request.klass.name} is not for '
                f'pool {pool}')
        return self._submit(caller_request)


class Chat(_EntryController):
    """``/v1/chat``: chat completions."""
    channel = '/v1/chat'

    def completions(self, *args, **kwargs):
        """POST /v1/chat/completions (OpenAI)."""
        body = replies.read_json(self.request, self.entry.max_body_bytes,
                                 ChatBody)
        prompt = '\n'.join(str(m.get('content', '')) for m in body.messages)
        return self._submit_text(jobs.ChatRequest, body, prompt)


class Peer(_EntryController):
    """``/peer``: requests of the other entries."""
    channel = '/peer'

    def usage(self):
        """GET /peer/usage: this entry's usage of the shared limits."""
        return replies.json_body(self.response, self.entry.usage())


class Ops(_EntryController):
    """``/``: health, readiness, metrics and the status page."""
    channel = '/'

    def healthz(self):
        """GET /healthz: 200 while the process responds."""
        return replies.json_body(self.response, {'ok': True})

    def readyz(self):
        """GET /readyz: 503 while draining or without a catalogue."""
        ok = self.entry.is_ready()
        return replies.json_body(self.response, {'ready': ok},
                                 200 if ok else 503)

    def metrics(self):
        """GET /metrics: metrics in Prometheus text format."""
        body, ctype = metrics.render()
        self.response.headers['Content-Type'] = ctype
        return body

    def status(self):
        """GET /status: catalogue, replicas and queues, for operators."""
        return replies.json_body(self.response, self.entry.status())
