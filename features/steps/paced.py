"""Sends requests at a fixed rate, each in a thread of its own."""

import concurrent.futures
import time


class PacedCalls:
    """Calls that begin on time, whether earlier ones have ended or not."""

    def __init__(self, threads):
        """Creates an empty series.

        Args:
            threads: Calls that can be in progress at once.
        """
        self._pool = concurrent.futures.ThreadPoolExecutor(threads)
        self._futs = []

    def submit(self, call, *args):
        """Begins a call now."""
        self._futs.append(self._pool.submit(call, *args))

    def run(self, due):
        """Begins calls at their times.

        Args:
            due: ``(time from now in s, action)`` pairs; an action begins a
                call.
        """
        begin = time.monotonic()
        for at_s, action in sorted(due, key=lambda pair: pair[0]):
            time.sleep(max(0.0, begin + at_s - time.monotonic()))
            action()

    def results(self):
        """Returns what all calls returned, once they have ended."""
        self._pool.shutdown(wait=True)
        return [fut.result() for fut in self._futs]
