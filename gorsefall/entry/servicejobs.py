"""Calls of plain services, retried only where a second run is safe."""

import time

from gorsefall import errors
from gorsefall import messages
from gorsefall import replies
from gorsefall.entry import jobs
from gorsefall.net import links

OK_STATUS = 200
MIN_SERVER_ERROR_STATUS = 500


class ServiceJob(jobs.Job):
    """Executes one ``jobs.ServiceRequest``."""

    def send(self, replica):
        """See ``jobs.Job.send``."""
        body = messages.ServiceCall(id=self.request.rid,
                                    entry=self.app.entry_name,
                                    op=self.request.op,
                                    args=self.request.args,
                                    key=self.request.key,
                                    fence=self.fence)
        self.call = links.fetch_json(self.app,
                                     replica.addr,
                                     'POST',
                                     '/call',
                                     body,
                                     done=self._on_end,
                                     idle_s=self.app.cfg.entry.link_idle_s)

    def _on_end(self, status, obj, exc):
        replica = self.replica
        complete = exc is None and obj is not None
        refused = complete and replies.reports_not_run(obj)
        self.end_attempt(reached=self.call is None or self.call.sent,
                         refused=refused)
        if self.done:
            return
        if complete and status < MIN_SERVER_ERROR_STATUS and not refused:
            replica.record_success()
            self._send_response(status, obj)
            return
        replica.record_failure(time.monotonic())
        reason = str(exc or status)
        self.log.warning('service_attempt_failed',
                         replica=replica.name,
                         status=status,
                         error=str(exc),
                         refused=refused)
        self.retry_or_fail(
            errors.BackendFailedError(f'service failed: {reason}'), reason)

    def _send_response(self, status, obj):
        self.record_first_token(time.monotonic())
        self.record_response(obj, status)
        self.reply.json(obj, status)
        self.close(jobs.Outcome.OK.value if status ==
                   OK_STATUS else jobs.Outcome.REFUSED.value)
