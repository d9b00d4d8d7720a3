"""A machine of little memory for one process."""

import os
import pathlib
import signal
import threading

POLL_S = 0.002

_MIB = 1 << 20
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Machine:
    """Kills a process as soon as it takes more memory than the machine has.

    Attributes:
        peak_mb: Most memory that it took, MB.
        peak_fds: Most descriptors that it had open.
    """

    def __init__(self, pid, memory_mb):
        self._folder = pathlib.Path('/proc') / str(pid)
        self._pid = pid
        self._memory_mb = memory_mb
        self.peak_mb = 0.0
        self.peak_fds = 0
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while not self._over.wait(POLL_S):
            try:
                pages = (self._folder / 'statm').read_text().split()[1]
                self.peak_fds = max(self.peak_fds, self.descriptors())
            except OSError:
                return
            self.peak_mb = max(self.peak_mb, int(pages) * _PAGE_BYTES / _MIB)
            if self.peak_mb > self._memory_mb:
                os.kill(self._pid, signal.SIGKILL)
                return

    def descriptors(self):
        """Returns the number of descriptors that the process has open."""
        return len(os.listdir(self._folder / 'fd'))

    def close(self):
        """Ends the watch; call it before the process is waited for."""
        self._over.set()
        self._thread.join()
