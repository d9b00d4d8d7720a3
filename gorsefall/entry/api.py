"""The entry's HTTP routes: OpenAI-compatible, plain services, operators."""

import time

import msgspec
from circuits import web

from gorsefall import errors
from gorsefall import metrics
from gorsefall import replies
from gorsefall.entry import jobs


class ChatBody(msgspec.Struct, kw_only=True):
    """The part of an OpenAI chat request the entry reads."""
    messages: list[dict]
    model: str = 'default'
    max_tokens: int | None = None
    stream: bool = False
    user: str = ''


class CompletionBody(msgspec.Struct, kw_only=True):
    """The part of an OpenAI completion request the entry reads."""
    prompt: str | list[str]
    model: str = 'default'
    max_tokens: int | None = None
    stream: bool = False
    user: str = ''


def _who(req, user):
    """Returns ``(customer, class)`` from headers or ``user="cust/class"``."""
    customer = req.headers.get('X-Customer', '')
    klass = req.headers.get('X-Class', '')
    if (not customer or not klass) and '/' in user:
        customer, _, klass = user.partition('/')
    if not customer or not klass:
        raise errors.BadRequestError('name the customer and class: headers '
                                     'X-Customer and X-Class, or user="c/k"')
    return customer, klass


class _Routes(web.Controller):
    """Shared helpers of the entry's controllers."""

    def __init__(self, entry, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.entry = entry

    def _ask(self, kind, user, **fields):
        req = self.request
        customer, name = _who(req, user)
        klass = self.entry.lookup(customer, name)
        not_rep = req.headers.get('X-Not-Repeatable',
                                  '').lower() in ('1', 'true', 'yes')
        deadline = float('inf')
        if (ms := req.headers.get('X-Deadline-Ms')) is not None:
            try:
                deadline = time.monotonic() + float(ms) / 1000.0
            except ValueError as exc:
                raise errors.BadRequestError(
                    'X-Deadline-Ms: not a number') from exc
        return jobs.Ask(rid=jobs.new_rid(),
                        customer=customer,
                        klass=klass,
                        kind=kind,
                        key=req.headers.get('Idempotency-Key', ''),
                        repeatable=klass.repeatable and not not_rep,
                        deadline=deadline,
                        **fields)

    def _submit(self, ask):
        self.entry.submit(ask, self.request, self.response)
        return True


class V1(_Routes):
    """``/v1``: completions, models and plain services."""
    channel = '/v1'

    def completions(self, *args, **kwargs):
        """POST /v1/completions (OpenAI)."""
        body = replies.read_json(self.request, self.entry.max_body,
                                 CompletionBody)
        prompt = body.prompt if isinstance(body.prompt, str) else '\n'.join(
            body.prompt)
        return self._submit(
            self._ask('completion',
                      body.user,
                      model=body.model,
                      prompt=prompt,
                      max_tokens=body.max_tokens or 256,
                      stream=body.stream))

    def models(self):
        """GET /v1/models: the pools' models, OpenAI-shaped."""
        data = [{
            'id': p,
            'object': 'model',
            'owned_by': 'gorsefall'
        } for p in self.entry.pools]
        return replies.json_body(self.response, {
            'object': 'list',
            'data': data
        })

    def services(self, pool=None, op=None, *args, **kwargs):
        """POST /v1/services/POOL/OP: a plain-service call, JSON args."""
        args_obj = replies.read_json(self.request, self.entry.max_body)
        ask = self._ask('service', '', op=op or '', args=args_obj)
        if ask.klass.pool != pool:
            raise errors.UnknownClassError(f'class {ask.klass.name} is not for '
                                           f'pool {pool}')
        return self._submit(ask)


class Chat(_Routes):
    """``/v1/chat``: chat completions."""
    channel = '/v1/chat'

    def completions(self, *args, **kwargs):
        """POST /v1/chat/completions (OpenAI)."""
        body = replies.read_json(self.request, self.entry.max_body, ChatBody)
        prompt = '\n'.join(str(m.get('content', '')) for m in body.messages)
        return self._submit(
            self._ask('chat',
                      body.user,
                      model=body.model,
                      prompt=prompt,
                      max_tokens=body.max_tokens or 256,
                      stream=body.stream))


class Ops(_Routes):
    """``/``: health, readiness, metrics and the operators' status page."""
    channel = '/'

    def healthz(self):
        """Alive: the process answers."""
        return replies.json_body(self.response, {'ok': True})

    def readyz(self):
        """Ready for new work: 503 while draining or without a catalogue."""
        ok = self.entry.ready()
        return replies.json_body(self.response, {'ready': ok},
                                 200 if ok else 503)

    def metrics(self):
        """Prometheus text format."""
        body, ctype = metrics.render()
        self.response.headers['Content-Type'] = ctype
        return body

    def status(self):
        """What an operator checks first: catalogue, replicas, queues."""
        return replies.json_body(self.response, self.entry.status())
