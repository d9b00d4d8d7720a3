"""Requests for generated text: relays an engine's stream to the caller."""

import time

import msgspec

from gorsefall import errors
from gorsefall import messages
from gorsefall import metrics
from gorsefall.entry import jobs
from gorsefall.entry import openai
from gorsefall.net import links

OK_STATUS = 200


class TextJob(jobs.Job):
    """Generates text for one ``jobs.TextAsk``.

    Generation changes nothing outside the engine, so an attempt that is cut
    goes on at another replica, after the tokens already delivered: the
    caller receives each token exactly once.
    """

    def __init__(self, app, ask, ticket, reply):
        super().__init__(app, ask, ticket, reply)
        self._text = []
        self._buf = b''
        self._status = None
        self._last = None
        self._event_at = None

    def send(self, rep):
        """See ``jobs.Job.send``."""
        order = messages.GenerateOrder(id=self.ask.rid,
                                       entry=self.app.entry_name,
                                       model=self.ask.model,
                                       prompt=self.ask.prompt,
                                       max_tokens=self.ask.max_tokens,
                                       priority=self.ticket.priority,
                                       preempt=not self.ticket.promoted,
                                       resume_from=self.tokens,
                                       prior=''.join(self._text))
        self._buf = b''
        self._status = None
        self._last = None
        self._event_at = None
        self.call = links.call(self.app,
                               rep.addr,
                               'POST',
                               '/generate',
                               order,
                               on_head=self._on_head,
                               on_data=self._on_data,
                               on_end=self._on_end,
                               idle_s=self.app.cfg.entry.stream_idle_s)

    def _on_head(self, status):
        self._status = status

    def _on_data(self, data):
        if self._status != OK_STATUS:
            return
        self._buf += data
        *lines, self._buf = self._buf.split(b'\n')
        for line in lines:
            if line:
                self._on_event(msgspec.json.decode(line, type=messages.Event))

    def _on_event(self, event):
        if event.done:
            self._last = event
        elif event.n == 0:
            return
        elif event.i == self.tokens:
            self._deliver(event)
        elif event.i + event.n <= self.tokens:
            self.wasted += event.n
        else:
            # Tokens are missing, or only some of these are new: relaying
            # would give the caller another text than any engine made.
            self._misfit(event)

    def _misfit(self, event):
        self.log.error('engine_out_of_step',
                       replica=self.rep.name,
                       at=event.i,
                       n=event.n,
                       delivered=self.tokens)
        self.call.cancel()
        self.stop_backend(self.rep)
        self._on_end(errors.LinkError(f'{self.rep.name} out of step'))

    def _deliver(self, event):
        now = time.monotonic()
        if self.first_byte_at is None:
            self.first_token(now)
        else:
            metrics.TBT.labels(*self.labels).observe(
                (now - self.served_at) / event.n)
        if self._event_at is not None:
            self.rep.observe_gap((now - self._event_at) / event.n)
        self._event_at = self.served_at = now
        first = self.tokens == 0
        self.tokens += event.n
        self._text.append(event.t)
        if self.ask.stream:
            self._sse(openai.chunk(self.ask, event.t, first=first))

    def _on_end(self, exc):
        rep = self.rep
        self.attempt_over(reached=self.call is None or self.call.sent,
                          refused=self._status not in (None, OK_STATUS))
        if self.done:
            return
        if self._last is not None and self._last.n == self.tokens:
            rep.record_success()
            self._finish(self._last.reason)
            return
        rep.record_failure(time.monotonic())
        self.log.warning('engine_attempt_failed',
                         replica=rep.name,
                         status=self._status,
                         error=str(exc),
                         tokens=self.tokens)
        self.retry_or_fail(
            errors.BackendFailedError(
                f'{len(self.attempts.replicas)} engines failed; '
                f'{self.tokens} tokens were delivered'), str(exc))

    def _finish(self, reason):
        if self.ask.stream:
            self._sse(openai.chunk(self.ask, None, reason=reason))
            self.reply.push.send(b'data: [DONE]\n\n')
            self.reply.push.end()
        else:
            body = openai.whole(self.ask, ''.join(self._text), reason,
                                self.tokens)
            self.answered(body, OK_STATUS)
            self.reply.json(body)
        self.close(jobs.Outcome.OK.value)

    def _sse(self, obj):
        push = self.reply.stream(openai.SSE_TYPE)
        push.send(b'data: ' + msgspec.json.encode(obj) + b'\n\n')

    def can_replay(self):
        """See ``jobs.Job.can_replay``."""
        return not self.ask.stream

    def stop_backend(self, rep):
        """See ``jobs.Job.stop_backend``."""
        self._tell(rep, '/cancel', {'id': self.ask.rid})

    def raise_priority(self):
        """See ``jobs.Job.raise_priority``."""
        if self.call is not None:
            self._tell(self.rep, '/priority', {
                'id': self.ask.rid,
                'priority': self.ticket.priority
            })

    def _tell(self, rep, path, body):
        # Best effort: if it is lost, the engine notices the closed stream,
        # and a promotion is merely late.
        links.fetch_json(self.app,
                         rep.addr,
                         'POST',
                         path,
                         body,
                         done=lambda *reply: None)
