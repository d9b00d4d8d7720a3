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
    """Generates text for one ``jobs.TextRequest``.

    Generation changes nothing outside the engine, so an attempt that is cut
    goes on at another replica, after the tokens already delivered: the
    caller receives each token exactly once.
    """

    def __init__(self, app, request, ticket, reply):
        super().__init__(app, request, ticket, reply)
        self._text = []
        self._buf = b''
        self._status = None
        self._last = None
        self._event_at = None

    def send(self, replica):
        """See ``jobs.Job.send``."""
        order = messages.GenerateOrder(id=self.request.rid,
                                       entry=self.app.entry_name,
                                       model=self.request.model,
                                       prompt=self.request.prompt,
                                       max_tokens=self.request.max_tokens,
                                       priority=self.ticket.priority,
                                       preempt=not self.ticket.promoted,
                                       resume_from=self.tokens,
                                       prior=''.join(self._text))
        self._buf = b''
        self._status = None
        self._last = None
        self._event_at = None
        self.call = links.call(self.app,
                               replica.addr,
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
            self.wasted_tokens += event.n
        else:
            # Tokens are missing, or only some of these are new: relaying
            # would give the caller another text than any engine made.
            self._misfit(event)

    def _misfit(self, event):
        self.log.error('engine_out_of_step',
                       replica=self.replica.name,
                       at=event.i,
                       n=event.n,
                       delivered=self.tokens)
        self.call.cancel()
        self.stop_backend(self.replica)
        self._on_end(errors.LinkError(f'{self.replica.name} out of step'))

    def _deliver(self, event):
        now = time.monotonic()
        if self.first_byte_at is None:
            self.record_first_token(now)
        else:
            metrics.TBT.labels(*self.labels).observe(
                (now - self.last_progress_at) / event.n)
        if self._event_at is not None:
            self.replica.observe_gap((now - self._event_at) / event.n)
        self._event_at = self.last_progress_at = now
        first = self.tokens == 0
        self.tokens += event.n
        self._text.append(event.t)
        if self.request.stream:
            self._sse(openai.chunk(self.request, event.t, first=first))

    def _on_end(self, exc):
        replica = self.replica
        self.end_attempt(reached=self.call is None or self.call.sent,
                         refused=self._status not in (None, OK_STATUS))
        if self.done:
            return
        if self._last is not None and self._last.n == self.tokens:
            replica.record_success()
            self._finish(self._last.reason)
            return
        replica.record_failure(time.monotonic())
        self.log.warning('engine_attempt_failed',
                         replica=replica.name,
                         status=self._status,
                         error=str(exc),
                         tokens=self.tokens)
        self.retry_or_fail(
            errors.BackendFailedError(
                f'{len(self.attempts.replicas)} engines failed; '
                f'{self.tokens} tokens were delivered'), str(exc))

    def _finish(self, reason):
        if self.request.stream:
            self._sse(openai.chunk(self.request, None, reason=reason))
            self.reply.push.send(b'data: [DONE]\n\n')
            self.reply.push.end()
        else:
            body = openai.full_response(self.request, ''.join(self._text),
                                        reason, self.tokens)
            self.record_response(body, OK_STATUS)
            self.reply.json(body)
        self.close(jobs.Outcome.OK.value)

    def _sse(self, obj):
        push = self.reply.stream(openai.SSE_CONTENT_TYPE)
        push.send(b'data: ' + msgspec.json.encode(obj) + b'\n\n')

    def can_replay(self):
        """See ``jobs.Job.can_replay``."""
        return not self.request.stream

    def stop_backend(self, replica):
        """See ``jobs.Job.stop_backend``."""
        self._tell(replica, '/cancel', {'id': self.request.rid})

    def raise_priority(self):
        """See ``jobs.Job.raise_priority``."""
        if self.call is not None:
            self._tell(self.replica, '/priority', {
                'id': self.request.rid,
                'priority': self.ticket.priority
            })

    def _tell(self, replica, path, body):
        # Best effort: if it is lost, the engine notices the closed stream,
        # and a promotion is merely late.
        links.fetch_json(self.app,
                         replica.addr,
                         'POST',
                         path,
                         body,
                         done=lambda *reply: None)
