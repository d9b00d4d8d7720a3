"""Logs records of the store that cannot be decoded."""

MAX_LOGGED_FAULTS = 1000
"""Most keys whose last fault is remembered: a few times the number of replicas
of a large deployment, at some 100 bytes each."""


class MalformedRecords:
    """Logs records that cannot be decoded, once for each key and error.

    A faulty writer repeats its record, and a log line for each would bury all
    others.
    """

    def __init__(self, log):
        self._log = log
        self._errors = {}

    def record_fault(self, record, exc):
        """Logs that ``record`` could not be decoded, with the error ``exc``."""
        if self._errors.get(record.key) == str(exc):
            return
        if len(self._errors) >= MAX_LOGGED_FAULTS:
            self._errors.clear()
        self._errors[record.key] = str(exc)
        self._log.error('record_spoilt',
                        key=record.key,
                        offset=record.offset,
                        era=record.era,
                        error=str(exc))

    def record_valid(self, key):
        """Logs that a key's newest record is valid again, or dropped."""
        if self._errors.pop(key, None) is not None:
            self._log.info('record_mended', key=key)
