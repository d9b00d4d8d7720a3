"""Plain-service calls: repeated only where that is safe."""

import time

from gorsefall import errors
from gorsefall import messages
from gorsefall import replies
from gorsefall.entry import jobs
from gorsefall.net import links

OK_STATUS = 200
SERVER_ERROR = 500


class ServiceJob(jobs.Job):
    """Calls a plain service for one ``jobs.ServiceAsk``."""

    def send(self, rep):
        """See ``jobs.Job.send``."""
        body = messages.ServiceCall(id=self.ask.rid,
                                    entry=self.app.entry_name,
                                    op=self.ask.op,
                                    args=self.ask.args,
                                    key=self.ask.key,
                                    fence=self.fence)
        self.call = links.fetch_json(self.app,
                                     rep.addr,
                                     'POST',
                                     '/call',
                                     body,
                                     done=self._on_end,
                                     idle_s=self.app.cfg.entry.link_idle_s)

    def _on_end(self, status, obj, exc):
        rep = self.rep
        whole = exc is None and obj is not None
        refused = whole and replies.reports_not_run(obj)
        self.attempt_over(reached=self.call is None or self.call.sent,
                          refused=refused)
        if self.done:
            return
        if whole and status < SERVER_ERROR and not refused:
            rep.record_success()
            self._answer(status, obj)
            return
        rep.record_failure(time.monotonic())
        why = str(exc or status)
        self.log.warning('service_attempt_failed',
                         replica=rep.name,
                         status=status,
                         error=str(exc),
                         refused=refused)
        self.retry_or_fail(errors.BackendFailedError(f'service failed: {why}'),
                           why)

    def _answer(self, status, obj):
        self.first_token(time.monotonic())
        self.answered(obj, status)
        self.reply.json(obj, status)
        self.close(jobs.Outcome.OK.value if status ==
                   OK_STATUS else jobs.Outcome.REFUSED.value)
