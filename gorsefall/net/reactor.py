"""Socket readiness and timers of a process, on circuits and a steady clock.

circuits' own poller fires one event per ready socket and keeps its sockets
in lists (removing one is linear in their number); its timers run on the time
of day, which may jump. This component calls the owner of a socket directly
and keeps its timers on the monotonic clock.
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
"""Longest sleep of the loop, s; bounds how late a missed wake-up is seen."""

_READ = select.EPOLLIN | select.EPOLLRDHUP
_FAILED = select.EPOLLHUP | select.EPOLLERR


class Timer:
    """A callback due at one moment of the steady clock; may be cancelled."""
    __slots__ = ('due_at', 'callback')

    def __init__(self, due_at, callback):
        self.due_at = due_at
        self.callback = callback

    def cancel(self):
        """Makes the callback never happen; later calls do nothing."""
        self.callback = None


class Handler:
    """What owns a socket; the reactor calls it when the socket is ready."""

    def on_readable(self):
        """Called when bytes, an end of stream or an error can be read."""
        raise NotImplementedError

    def on_writable(self):
        """Called when the socket takes bytes again, or has connected."""
        raise NotImplementedError

    def on_handler_error(self):
        """Called when one of the other calls raised an exception."""


def find_reactor(component):
    """Returns the ``Reactor`` of a running component's process."""
    return utils.findcmp(component.root, Reactor)


class Reactor(core.BaseComponent):
    """Polls all sockets of the process and runs its timers.

    Attributes:
        now: Time of the current pass, s (monotonic).
    """
    channel = 'reactor'

    def __init__(self):
        super().__init__()
        self._epoll = select.epoll()
        self._watched = {}
        self._due = []
        self._count = itertools.count()
        self._log = logs.get('reactor')
        self.now = time.monotonic()
        # A signal handler only queues an event; without this the loop would
        # sleep on and a shutdown would begin up to MAX_WAIT_S late.
        self._wake_recv, self._wake_send = os.pipe()
        os.set_blocking(self._wake_recv, False)
        os.set_blocking(self._wake_send, False)
        signal.set_wakeup_fd(self._wake_send, warn_on_full_buffer=False)
        self._epoll.register(self._wake_recv, select.EPOLLIN)

    def watch(self, sock, handler, *, read, write):
        """Starts watching ``sock``, or changes what it is watched for."""
        mask = (_READ if read else 0) | (select.EPOLLOUT if write else 0)
        fd = sock.fileno()
        if fd in self._watched:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
        self._watched[fd] = handler

    def unwatch(self, sock):
        """Stops watching ``sock``; call it before closing the socket."""
        fd = sock.fileno()
        if self._watched.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def call_later(self, delay_s, callback):
        """Calls ``callback()`` after ``delay_s`` seconds; returns a Timer."""
        timer = Timer(time.monotonic() + delay_s, callback)
        heapq.heappush(self._due, (timer.due_at, next(self._count), timer))
        return timer

    def call_every(self, period_s, callback):
        """Calls ``callback()`` every ``period_s`` seconds from now on."""

        def due():
            # Set first, so that a call that fails is not the last one.
            self.call_later(period_s, due)
            callback()

        self.call_later(period_s, due)

    @core.handler('generate_events', priority=-9)
    def _on_generate_events(self, event):
        event.stop()
        self.step(event.time_left)

    def step(self, time_left):
        """Waits up to ``time_left`` s (below 0: as long as need be), once.

        Then calls the handlers of ready sockets and the timers due.
        """
        self._poll(time_left)
        self._run_timers()

    def _poll(self, time_left):
        wait = MAX_WAIT_S if time_left < 0 else min(time_left, MAX_WAIT_S)
        self._drop_cancelled()
        if self._due:
            wait = min(wait, max(0.0, self._due[0][0] - time.monotonic()))
        ready = self._epoll.poll(wait)
        self.now = time.monotonic()
        for fd, mask in ready:
            if fd == self._wake_recv:
                os.read(fd, 512)
                continue
            handler = self._watched.get(fd)
            if handler is not None:
                self._dispatch(fd, handler, mask)

    def _dispatch(self, fd, handler, mask):
        try:
            if mask & (_READ | _FAILED):
                handler.on_readable()
            if (mask & select.EPOLLOUT and self._watched.get(fd) is handler):
                handler.on_writable()
        except Exception:
            # One connection's fault must not end the process and with it
            # every other request; it is logged with its traceback, and the
            # connection ends so that nobody waits on it in vain.
            self._log.exception('handler_failed')
            handler.on_handler_error()

    def _drop_cancelled(self):
        while self._due and self._due[0][2].callback is None:
            heapq.heappop(self._due)

    def _run_timers(self):
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            timer = heapq.heappop(self._due)[2]
            callback, timer.callback = timer.callback, None
            if callback is None:
                continue
            try:
                callback()
            except Exception:
                self._log.exception('timer_failed')
