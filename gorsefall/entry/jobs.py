"""One caller request as the entry runs it: dispatch, stream, retry, finish."""

import dataclasses
import enum
import time
import uuid

import msgspec

from gorsefall import errors
from gorsefall import links
from gorsefall import logs
from gorsefall import messages
from gorsefall import metrics
from gorsefall.policy import routing

MAX_ATTEMPTS = 3
SSE_TYPE = 'text/event-stream'


class Phase(enum.Enum):
    """Where a job stands."""
    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'


@dataclasses.dataclass
class Ask:
    """What the caller asked, decoded.

    Attributes:
        rid: Request id.
        customer: Customer name.
        klass: The catalogue ``Klass``.
        kind: ``chat``, ``completion`` or ``service``.
        model: Model name.
        prompt: Prompt text (chat messages joined).
        max_tokens: Token cap.
        stream: Whether the caller wants server-sent events.
        op: Plain-service operation.
        args: Plain-service arguments.
        key: Idempotency key, or empty.
        repeatable: False when the request must run at most once.
        deadline: Monotonic time after which starting is useless, s.
    """
    rid: str
    customer: str
    klass: object
    kind: str
    model: str = 'default'
    prompt: str = ''
    max_tokens: int = 256
    stream: bool = False
    op: str = ''
    args: dict = dataclasses.field(default_factory=dict)
    key: str = ''
    repeatable: bool = True
    deadline: float = float('inf')


def new_rid():
    """Returns a fresh request id."""
    return 'req-' + uuid.uuid4().hex[:16]


class Job:
    """Runs one ``Ask`` through a pool's replicas; owns its reply.

    Attributes:
        phase: A ``Phase``.
        tokens: Tokens delivered to the caller.
        wasted: Tokens generated and thrown away (attempts cut mid-answer
            beyond what was delivered, or answers the caller left).
    """

    def __init__(self, app, ask, reply):
        self.app = app
        self.ask = ask
        self.reply = reply
        self.phase = Phase.QUEUED
        self.arrived = time.monotonic()
        self.first_at = None
        self.last_at = None
        self.tokens = 0
        self.text = []
        self.wasted = 0
        self.attempts = 0
        self.refusals = 0
        self.tried = set()
        self.call = None
        self.fence = 0
        k = ask.klass
        self.labels = (ask.customer, k.name, str(k.tier))
        self.log = logs.get('job').bind(rid=ask.rid,
                                        customer=ask.customer,
                                        klass=k.name)

    # -- lifecycle -------------------------------------------------------

    def start(self):
        """Leaves the queue and dispatches (after a ledger claim if needed)."""
        self.phase = Phase.RUNNING
        if not self.ask.repeatable:
            key = self.ask.key or self.ask.rid
            self.app.ledger.claim(key, self.ask.rid, self._claimed)
            return
        self._dispatch()

    def _claimed(self, fence, exc):
        if exc is not None:
            self.fail(exc)
            return
        self.fence = fence
        self._dispatch()

    def _dispatch(self):
        if self.phase is Phase.DONE:
            return
        pool = self.app.pools.get(self.ask.klass.pool, {})
        rep = routing.choose(pool.values(), self.ask.prompt, time.time(),
                             self.app.cfg.entry.load_max_age_s, self.tried)
        if rep is None:
            self.fail(
                errors.NoReplicaError(f'no replica for {self.ask.klass.pool}')
                if self.tokens == 0 and not self._maybe_ran() else errors.
                OutcomeUnknownError('no replica left to finish the answer'))
            return
        self.attempts += 1
        self.tried.add(rep.name)
        rep.inflight += 1
        self.rep = rep
        if self.ask.kind == 'service':
            self._call_service(rep)
        else:
            self._call_engine(rep)

    def _maybe_ran(self):
        return self.call is not None and self.call.sent and \
            not self.ask.repeatable

    def cancel(self):
        """The caller went away: stop the back end and count the waste."""
        if self.phase is Phase.DONE:
            return
        if self.call is not None:
            self.call.cancel()
            links.fetch_json(self.app,
                             self.rep.addr,
                             'POST',
                             '/cancel', {'id': self.ask.rid},
                             done=lambda *a: None)
        self._close('cancelled')

    # -- engines ---------------------------------------------------------

    def _call_engine(self, rep):
        order = messages.GenerateOrder(id=self.ask.rid,
                                       model=self.ask.model,
                                       prompt=self.ask.prompt,
                                       max_tokens=self.ask.max_tokens,
                                       priority=self.ask.klass.tier,
                                       resume_from=self.tokens)
        self._buf = b''
        self._done_line = None
        self._status = None
        self.call = links.call(self.app,
                               rep.addr,
                               'POST',
                               '/generate',
                               order,
                               on_head=self._engine_head,
                               on_data=self._engine_data,
                               on_end=self._engine_end,
                               idle_s=self.app.idle_s)

    def _engine_head(self, status, headers):
        del headers
        self._status = status

    def _engine_data(self, data):
        if self._status != 200:
            return
        self._buf += data
        *lines, self._buf = self._buf.split(b'\n')
        for line in lines:
            if not line:
                continue
            tok = msgspec.json.decode(line, type=messages.Token)
            if tok.done:
                self._done_line = tok
            elif tok.i == self.tokens:
                self._deliver(tok.t)
            elif tok.i < self.tokens:
                self.wasted += 1

    def _deliver(self, text):
        now = time.monotonic()
        if self.first_at is None:
            self.first_at = now
            metrics.TTFT.labels(*self.labels).observe(now - self.arrived)
        else:
            metrics.TBT.labels(*self.labels).observe(now - self.last_at)
        self.last_at = now
        self.tokens += 1
        if self.ask.stream:
            self._sse(self._chunk(text, None))
        else:
            self.text.append(text)

    def _engine_end(self, exc):
        self.rep.inflight -= 1
        self.call = None
        if self.phase is Phase.DONE:
            return
        if self._done_line is not None:
            self.rep.failures = 0
            self._finish_engine(self._done_line.reason)
            return
        self.rep.failures += 1
        self.log.warning('engine_attempt_failed',
                         replica=self.rep.name,
                         status=self._status,
                         error=str(exc),
                         tokens=self.tokens)
        if self._status is not None and self._status != 200:
            # A replica that refused (outage, overload) generated nothing.
            # Counting refusals against MAX_ATTEMPTS failed requests while
            # a healthy replica was left (symptom: backend_failed with one
            # of five engines up, before load reports showed the outage),
            # so each replica may refuse once without using the budget.
            self.refusals += 1
        if self.attempts < MAX_ATTEMPTS + self.refusals:
            # Safe to re-run: generation changes nothing outside the engine.
            # The new attempt resumes after the tokens already delivered, so
            # the caller receives each token exactly once.
            self._dispatch()
            return
        self.fail(
            errors.BackendFailedError(
                f'engines failed {self.attempts} times; {self.tokens} tokens '
                'were delivered'))

    def _finish_engine(self, reason):
        if self.ask.stream:
            self._sse(self._chunk(None, reason))
            self.reply.push.send(b'data: [DONE]\n\n')
            self.reply.push.end()
        else:
            self.reply.json(self._whole(reason))
        self._close('ok')

    def _chunk(self, text, reason):
        if self.ask.kind == 'chat':
            delta = {} if text is None else {'content': text}
            if text is not None and self.tokens == 1:
                delta['role'] = 'assistant'
            choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
            obj = 'chat.completion.chunk'
        else:
            choice = {'index': 0, 'text': text or '', 'finish_reason': reason}
            obj = 'text_completion'
        return {
            'id': self.ask.rid,
            'object': obj,
            'created': int(time.time()),
            'model': self.ask.model,
            'choices': [choice]
        }

    def _whole(self, reason):
        text = ''.join(self.text)
        if self.ask.kind == 'chat':
            choice = {
                'index': 0,
                'message': {
                    'role': 'assistant',
                    'content': text
                },
                'finish_reason': reason
            }
            obj = 'chat.completion'
        else:
            choice = {'index': 0, 'text': text, 'finish_reason': reason}
            obj = 'text_completion'
        return {
            'id': self.ask.rid,
            'object': obj,
            'created': int(time.time()),
            'model': self.ask.model,
            'choices': [choice],
            'usage': {
                'prompt_tokens': len(self.ask.prompt.split()),
                'completion_tokens': self.tokens,
                'total_tokens': len(self.ask.prompt.split()) + self.tokens
            }
        }

    def _sse(self, obj):
        push = self.reply.stream(SSE_TYPE)
        push.send(b'data: ' + msgspec.json.encode(obj) + b'\n\n')

    # -- plain services --------------------------------------------------

    def _call_service(self, rep):
        body = messages.ServiceCall(id=self.ask.rid,
                                    op=self.ask.op,
                                    args=self.ask.args,
                                    key=self.ask.key,
                                    fence=self.fence)
        self.call = links.fetch_json(self.app,
                                     rep.addr,
                                     'POST',
                                     '/call',
                                     body,
                                     done=self._service_end,
                                     idle_s=self.app.idle_s)

    def _service_end(self, status, obj, exc):
        self.rep.inflight -= 1
        sent = self.call.sent if self.call is not None else True
        self.call = None
        if self.phase is Phase.DONE:
            return
        if exc is None and status == 200:
            self.first_at = time.monotonic()
            metrics.TTFT.labels(*self.labels).observe(self.first_at -
                                                      self.arrived)
            self.reply.json(obj)
            self._close('ok')
            return
        if exc is None and status is not None and status < 500:
            self.reply.json(obj or {'error': {
                'code': 'backend_refused'
            }}, status)
            self._close('refused')
            return
        if not self.ask.repeatable and sent:
            # The request reached the back end and its reply is lost: it
            # may have run. Running it again could charge twice, and
            # saying "not run" could be false, so say exactly this.
            self.fail(
                errors.OutcomeUnknownError(
                    f'{self.rep.name} may have run it: {exc or status}'))
            return
        if self.attempts < MAX_ATTEMPTS:
            self._dispatch()
            return
        self.fail(errors.BackendFailedError(f'service failed: {exc or status}'))

    # -- endings ---------------------------------------------------------

    def fail(self, exc):
        """Gives the caller the final answer ``exc`` now and finishes."""
        if self.phase is Phase.DONE:
            return
        self.log.info('job_failed', code=exc.code, error=str(exc))
        if not self.reply.error(exc):
            push = self.reply.push
            push.send(b'data: ' + msgspec.json.encode(exc.to_json()) + b'\n\n')
            push.end()
        self._close(exc.code)

    def _close(self, outcome):
        if self.phase is Phase.DONE:
            return
        was_running = self.phase is Phase.RUNNING
        self.phase = Phase.DONE
        now = time.monotonic()
        e2e = now - self.arrived
        k = self.ask.klass
        metrics.OUTCOMES.labels(*self.labels, outcome).inc()
        if outcome == 'ok':
            metrics.E2E.labels(*self.labels).observe(e2e)
            ttft = (self.first_at or now) - self.arrived
            if ttft * 1000 <= k.ttft_ms and e2e * 1000 <= k.e2e_ms:
                metrics.ATTAINED.labels(*self.labels).inc()
                metrics.GOODPUT.labels(*self.labels).inc(self.tokens)
        if self.wasted:
            metrics.WASTED.labels(*self.labels).inc(self.wasted)
        self.log.info('job_done',
                      outcome=outcome,
                      tokens=self.tokens,
                      e2e_ms=round(e2e * 1000, 1),
                      attempts=self.attempts)
        self.app.job_done(self, served_s=e2e if was_running else None)
