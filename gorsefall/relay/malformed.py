"""Logs and counts records of the store that cannot be used."""

import time

from gorsefall import errors
from gorsefall import metrics

MAX_LOGGED_FAULTS = 1000
"""Most keys whose last fault is remembered: a few times the number of replicas
of a large deployment, at some 100 bytes each."""

MAX_LINES = 100
LINES_PERIOD_S = 10.0
"""Most lines in a period, s: a writer may put in any number of records, and an
entry that starts reads them all before it is ready."""


class MalformedRecords:
    """Logs records that cannot be used, once for each key and error.

    A faulty writer repeats its record, and a log line for each would bury all
    others.
    """

    def __init__(self, log, topic):
        """Creates the log of a topic.

        Args:
            log: Logger.
            topic: Name of the topic for metrics.
        """
        self._log = log
        self._topic = topic
        self._errors = {}
        self._lines = 0
        self._period_end = float('-inf')

    def record_fault(self, record, exc):
        """Logs that ``record`` could not be used, with the error ``exc``.

        Any error but an ``errors.RecordError`` is a fault here, which is logged
        with its traceback.
        """
        metrics.RECORDS_REJECTED.labels(self._topic).inc()
        if self._errors.get(record.key) == str(exc):
            return
        if len(self._errors) >= MAX_LOGGED_FAULTS:
            self._errors.clear()
        self._errors[record.key] = str(exc)
        if not self._may_log():
            return
        self._log.error(
            'record_spoilt',
            key=record.key,
            offset=record.offset,
            era=record.era,
            error=str(exc),
            exc_info=None if isinstance(exc, errors.RecordError) else exc)

    def _may_log(self):
        now = time.monotonic()
        if now >= self._period_end:
            self._lines, self._period_end = 0, now + LINES_PERIOD_S
        self._lines += 1
        if self._lines == MAX_LINES:
            self._log.error('more_records_spoilt', period_s=LINES_PERIOD_S)
        return self._lines < MAX_LINES

    def record_valid(self, key):
        """Logs that a key's newest record is valid again, or dropped."""
        if self._errors.pop(key, None) is not None:
            self._log.info('record_mended', key=key)
