"""Room for what is buffered of the response to a request."""

from gorsefall.relay import memory


class AnswerRoom:
    """Has a response wait at its replica until there is room for it."""

    def __init__(self, exchange):
        """Creates the room of an exchange without a response.

        Args:
            exchange: The ``exchange.Exchange``.
        """
        self._exchange = exchange
        self._attempt = None

    @property
    def awaited(self):
        """Whether a response waits for room."""
        return self._attempt is not None

    def reserve(self, attempt, hold, size):
        """Holds room for more of a response, or has its replica wait.

        Args:
            attempt: The ``sending.Attempt`` whose response it is.
            hold: The ``memory.Hold`` of the response.
            size: Number of bytes.
        """
        if hold.grow(size, small=size < memory.LARGE_BODY_BYTES):
            return
        if self.awaited:
            # Received before the replica was made to wait.
            hold.add(size)
            return
        self._attempt = attempt
        hold.grow_later(size, self._on_room)
        if self.awaited:
            self._exchange.silence.stop()
            attempt.pause()

    def _on_room(self, granted):
        attempt, self._attempt = self._attempt, None
        if not granted:
            self._exchange.on_no_room()
        elif attempt.paused:
            attempt.resume()
            self._exchange.silence.await_response()

    def cancel(self):
        """Ends the wait: the attempt has ended."""
        self._attempt = None
