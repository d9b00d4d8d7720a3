"""Finds out from other entries which versions the store may have lost.

After the store came back from an older copy its answers prove less than those
before. An entry that starts, or reads the copy itself, therefore asks several
others which versions they know before it confirms anything. A version that it
lacks is then queried from the entry that knows it.
"""

from gorsefall import errors
from gorsefall import logs

INQUIRY_HOSTS = 6
"""Most entries that are asked at once: some of them may have started just now,
and others may be gone or have been suspended."""

INQUIRY_TIMEOUT_S = 0.3
"""Longest time for their answers, s: an entry that starts serves nothing until
then, and entries that start together have nothing to wait for. An entry that is
busy on half a core takes 0.1 s."""

REPEAT_AFTER_S = 0.12
"""Time after which those that have not answered are asked once more, s: a
datagram may have been lost."""

ENOUGH_ANSWERS = 3
"""Answers of entries with a configuration after which no other is awaited."""

QUERY_DELAY_RANGE_S = (0.3, 0.6)
"""Range of the time after which an entry that has an older version than another
one queries it, s; a hint and a query take less."""


class _Inquiry:
    """Queries to several entries at once.

    Attributes:
        query_id: Identifies it.
        unanswered: Hosts whose answers are missing, a list.
        answers: Answers so far of entries that have a configuration.
    """

    def __init__(self, query_id, hosts):
        self.query_id = query_id
        self.unanswered = list(hosts)
        self.answers = 0

    @property
    def complete(self):
        """Whether no further answer is awaited."""
        return not self.unanswered or self.answers >= ENOUGH_ANSWERS


class LostVersions:
    """What one entry finds out of versions that others know.

    Attributes:
        followers: ``name of a topic -> topicfollower.Follower``.
    """

    def __init__(self, loop, rng, known_hosts, send_ask, query):
        """Creates it; ``inquire`` asks.

        Args:
            loop: The ``reactor.Reactor``.
            rng: A ``random.Random``.
            known_hosts: Returns the hosts of entries that may be live, also
                such as have not sent anything yet.
            send_ask: Called with ``(query_id, host)`` to ask an entry.
            query: Called with the host of an entry that knows a newer version.
        """
        self._loop = loop
        self._rng = rng
        self._known_hosts = known_hosts
        self._send_ask = send_ask
        self._query = query
        self._log = logs.get('sharing')
        self._inquiry = None
        self._query_pending = False
        self._ahead_host = None
        self.followers = {}

    def inquire(self):
        """Asks several entries at once; nothing is confirmed until then."""
        hosts = list(self._known_hosts())
        hosts = self._rng.sample(hosts, min(INQUIRY_HOSTS, len(hosts)))
        if not hosts:
            return
        query_id = self._rng.getrandbits(63)
        self._inquiry = _Inquiry(query_id, hosts)
        for follower in self.followers.values():
            follower.listener.hold_confirmations()
        self._ask_unanswered(query_id)
        self._loop.call_later(REPEAT_AFTER_S,
                              lambda: self._ask_unanswered(query_id))
        self._loop.call_later(INQUIRY_TIMEOUT_S, lambda: self._end(query_id))

    def _ask_unanswered(self, query_id):
        if self._inquiry is not None and self._inquiry.query_id == query_id:
            for host in self._inquiry.unanswered:
                self._send_ask(query_id, host)

    def is_answer(self, message, host):
        """Returns whether a ``messages.Told`` belongs to the inquiry."""
        return (self._inquiry is not None and
                message.query_id == self._inquiry.query_id and
                host in self._inquiry.unanswered)

    def handle_answer(self, message, host):
        """Handles an answer to the inquiry.

        Args:
            message: The ``messages.Told``.
            host: Its sender.
        """
        self._inquiry.unanswered.remove(host)
        if any(c.version for c in message.topic_changes.values()):
            self._inquiry.answers += 1
        for name, change_set in message.topic_changes.items():
            if name in self.followers:
                self.learn(self.followers[name], change_set, host)
        if self._inquiry.complete:
            self._end(message.query_id)

    def _end(self, query_id):
        if self._inquiry is None or self._inquiry.query_id != query_id:
            return
        self._log.info('inquiry_ended',
                       answers=self._inquiry.answers,
                       unanswered=len(self._inquiry.unanswered))
        self._inquiry = None
        for follower in self.followers.values():
            follower.listener.release_confirmations()
        self.query_ahead()

    def learn(self, follower, change_set, host):
        """Learns another entry's version; returns whether it was readable.

        Args:
            follower: The ``topicfollower.Follower`` of the topic.
            change_set: The other entry's ``changes.ChangeSet``.
            host: Its host.
        """
        try:
            follower.learn(change_set)
        except errors.RecordError as exc:
            self._log.error('news_spoilt', host=host, error=str(exc))
            return False
        if change_set.version > follower.listener.version:
            self._ahead_host = host
        elif self._ahead_host == host and change_set.version:
            self._ahead_host = None
        return True

    def handle_versions(self, versions, host):
        """Handles the versions that another entry states to know.

        Only a response to a query is believed: it says that both read the same
        store.

        Args:
            versions: ``name of a topic -> version``.
            host: Its host.
        """
        if not self._query_pending and self._is_behind(versions):
            self._query_pending = True
            self._loop.call_later(self._rng.uniform(*QUERY_DELAY_RANGE_S),
                                  lambda: self._query_if_behind(versions, host))

    def _is_behind(self, versions):
        return any(name in self.followers and
                   version > self.followers[name].listener.version
                   for name, version in versions.items())

    def _query_if_behind(self, versions, host):
        self._query_pending = False
        if self._is_behind(versions):
            self._ahead_host = host
            self.query_ahead()

    def query_ahead(self):
        """Queries the entry that knows a newer version, if there is one."""
        if self._ahead_host is not None:
            self._query(self._ahead_host)

    def forget_ahead(self):
        """Called when that entry does not respond."""
        self._ahead_host = None
