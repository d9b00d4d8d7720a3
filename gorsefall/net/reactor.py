"""Socket readiness and timers of a process, as a circuits component.

circuits' own poller fires an event for each ready socket and keeps its sockets
in lists, so that removing one takes time linear in their number; its timers
use the wall clock, which may jump. This component calls the handler of a
socket directly, and its timers use the monotonic clock.
"""

import heapq
import itertools
import os
import select
import signal
import time

from circuits import core
from circuits.core import utils

from gorsefall import logs

MAX_WAIT_S = 0.5
"""Longest wait of the loop, s; bounds the delay after a missed wake-up."""

MIN_CANCELLED_TIMERS = 256
"""Cancelled timers that are kept at least; above it, they are dropped once they
are more than half of all."""

_READ = select.EPOLLIN | select.EPOLLRDHUP
_FAILED = select.EPOLLHUP | select.EPOLLERR


class Timer:
    """A callback that is due at a time of the monotonic clock."""
    __slots__ = ('due_at', 'callback', '_on_cancel')

    def __init__(self, due_at, callback, on_cancel):
        self.due_at = due_at
        self.callback = callback
        self._on_cancel = on_cancel

    def cancel(self):
        """Cancels the callback; does nothing once it has run."""
        if self.callback is not None:
            self.callback = None
            self._on_cancel()


class Handler:
    """The owner of a socket; the reactor calls it when the socket is ready."""

    def on_readable(self):
        """Called when bytes, an EOF or an error can be read."""
        raise NotImplementedError

    def on_writable(self):
        """Called when the socket accepts bytes again or has connected."""
        raise NotImplementedError

    def on_handler_error(self):
        """Called after another method of the handler raised an exception."""


def find_reactor(component):
    """Returns the ``Reactor`` of a running component's process."""
    return utils.findcmp(component.root, Reactor)


class Reactor(core.BaseComponent):
    """Polls all sockets of the process and runs its timers.

    Attributes:
        now: Monotonic time of the current pass, s, taken after its wait.
        longest_wait_s: How late a timer has run at most, s, as something else
            ran; whoever reads it may set it back.
    """
    channel = 'reactor'

    def __init__(self):
        super().__init__()
        self._epoll = select.epoll()
        self._socket_handlers = {}
        self._added_fds = set()
        self._timers = []
        self._cancelled_count = 0
        self._sequence = itertools.count()
        self._log = logs.get('reactor')
        self.now = time.monotonic()
        self.longest_wait_s = 0.0
        # A signal handler only queues an event. Without the wake-up pipe the
        # loop would continue to wait, and a shutdown would begin up to
        # MAX_WAIT_S late.
        self._wake_recv, self._wake_send = os.pipe()
        os.set_blocking(self._wake_recv, False)
        os.set_blocking(self._wake_send, False)
        signal.set_wakeup_fd(self._wake_send, warn_on_full_buffer=False)
        self._epoll.register(self._wake_recv, select.EPOLLIN)

    def watch(self, sock, handler, *, read, write):
        """Starts watching ``sock``, or changes the events it is watched for."""
        mask = (_READ if read else 0) | (select.EPOLLOUT if write else 0)
        fd = sock.fileno()
        if fd in self._socket_handlers:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
            self._added_fds.add(fd)
        self._socket_handlers[fd] = handler

    def unwatch(self, sock):
        """Stops watching ``sock``; must be called before closing the socket."""
        fd = sock.fileno()
        if self._socket_handlers.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def call_later(self, delay_s, callback):
        """Calls ``callback()`` after ``delay_s`` seconds; returns a Timer."""
        timer = Timer(time.monotonic() + delay_s, callback, self._on_cancel)
        heapq.heappush(self._timers,
                       (timer.due_at, next(self._sequence), timer))
        return timer

    def call_every(self, period_s, callback):
        """Calls ``callback()`` every ``period_s`` seconds."""

        def run():
            # Scheduled first, so that an exception does not stop the series.
            self.call_later(period_s, run)
            callback()

        self.call_later(period_s, run)

    @core.handler('generate_events', priority=-9)
    def _on_generate_events(self, event):
        event.stop()
        self.step(event.time_left)

    def step(self, time_left):
        """Runs one pass: waits, then runs ready handlers and due timers.

        Args:
            time_left: Longest wait, s; below 0 for ``MAX_WAIT_S``. The wait
                ends early at a ready socket or a due timer.
        """
        self._poll(time_left)
        self._run_timers()

    def _poll(self, time_left):
        wait = MAX_WAIT_S if time_left < 0 else min(time_left, MAX_WAIT_S)
        self._drop_cancelled()
        if self._timers:
            wait = min(wait, max(0.0, self._timers[0][0] - time.monotonic()))
        self._added_fds.clear()
        ready = self._epoll.poll(wait)
        self.now = time.monotonic()
        for fd, mask in ready:
            if fd == self._wake_recv:
                os.read(fd, 512)
                continue
            if fd in self._added_fds:
                # The event is that of a socket which was closed since.
                continue
            handler = self._socket_handlers.get(fd)
            if handler is not None:
                self._dispatch(fd, handler, mask)

    def _dispatch(self, fd, handler, mask):
        try:
            if mask & (_READ | _FAILED):
                handler.on_readable()
            if (mask & select.EPOLLOUT and
                    self._socket_handlers.get(fd) is handler):
                handler.on_writable()
        except Exception:
            # An exception in the handler of one connection must not end the
            # process and with it all other requests. It is logged with its
            # traceback, and the handler closes its connection so that nothing
            # waits for it indefinitely.
            self._log.exception('handler_failed')
            handler.on_handler_error()

    def _on_cancel(self):
        # A peer that has a timer restarted with each byte would fill the
        # memory with those that were cancelled but are not due yet.
        self._cancelled_count += 1
        if self._cancelled_count > max(MIN_CANCELLED_TIMERS,
                                       len(self._timers) // 2):
            self._timers[:] = [
                item for item in self._timers if item[2].callback is not None
            ]
            heapq.heapify(self._timers)
            self._cancelled_count = 0

    def _drop_cancelled(self):
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
            self._cancelled_count -= 1

    def _run_timers(self):
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is None:
                self._cancelled_count -= 1
                continue
            self.longest_wait_s = max(self.longest_wait_s, now - timer.due_at)
            try:
                callback()
            except Exception:
                self._log.exception('timer_failed')
