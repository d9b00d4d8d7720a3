"""Room for what is buffered of the response to a request."""

from gorsefall.relay import delivery


class AnswerRoom:
    """Has a response wait at its replica until there is room for it."""

    def __init__(self, exchange, answers):
        """Creates the room of an exchange without a response.

        Args:
            exchange: The ``exchange.Exchange``.
            answers: Its ``delivery.Delivery``.
        """
        self._exchange = exchange
        self._delivery = answers
        self._awaiting = None

    def add(self, attempt, data):
        """Buffers a piece of a response; returns whether more is read now.

        Args:
            attempt: The ``sending.Attempt`` whose response it is.
            data: The piece.
        """
        self._delivery.buffer(data)
        part = self._delivery.part
        self.reserve(attempt, max(0, part.size - part.hold.size))
        return self._exchange.attempt is attempt and self._awaiting is None

    def reserve(self, attempt, size):
        """Holds room for more of a response, or has its replica wait.

        Args:
            attempt: The ``sending.Attempt`` whose response it is.
            size: Number of bytes.
        """
        hold = self._delivery.part.hold
        if hold.size + size > delivery.MAX_BUFFERED_BYTES:
            self._exchange.give_up(
                attempt, f'answer over {delivery.MAX_BUFFERED_BYTES}')
        elif not size or hold.grow_by_piece(size):
            return
        elif self._awaiting is not None:
            # Received before the replica was made to wait.
            hold.add(size)
        else:
            self._await(attempt, hold, size)

    def _await(self, attempt, hold, size):
        self._awaiting = attempt
        hold.grow_later(size, self._on_room)
        if self._awaiting is not None:
            self._exchange.silence.stop()
            attempt.pause()

    def _on_room(self, granted):
        attempt, self._awaiting = self._awaiting, None
        if not granted:
            self._exchange.on_no_room()
        elif attempt.paused:
            attempt.resume()
            self._exchange.silence.await_response()

    def cancel(self):
        """Ends the wait: the attempt has ended."""
        self._awaiting = None
