"""Has requests that may crash replicas run one at a time at this entry."""

import collections


class SerializedRuns:
    """The exchanges that run alone, and those parked behind them."""

    def __init__(self, loop):
        """Creates the state without runs.

        Args:
            loop: The ``reactor.Reactor``.
        """
        self._loop = loop
        self._held = {}
        self._parked = collections.defaultdict(list)

    def try_begin(self, digests, exchange):
        """Returns whether an exchange may run now; parks it if not.

        Args:
            digests: Digests for which the request runs alone, a set.
            exchange: The ``exchange.Exchange``; its ``dispatch`` is called when
                the run in its way is over.
        """
        for owner, held in self._held.items():
            if owner is not exchange and not held.isdisjoint(digests):
                self._parked[owner].append(exchange)
                return False
        self._held.setdefault(exchange, set()).update(digests)
        return True

    def end(self, exchange):
        """Lets those go on that an exchange was in the way of."""
        self._held.pop(exchange, None)
        self._dispatch(self._parked.pop(exchange, ()))

    def dispatch_all(self):
        """Has all parked exchanges try again."""
        for owner in list(self._parked):
            self._dispatch(self._parked.pop(owner))

    def _dispatch(self, exchanges):
        for waiting in exchanges:
            self._loop.call_later(0, waiting.dispatch)
