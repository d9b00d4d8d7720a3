"""Finds out from other entries which versions the store may have lost.

After the store came back from an older copy its answers prove less than those
before. An entry that starts, or reads the copy itself, therefore asks several
others which versions they know before it confirms anything. A version that it
lacks is then queried from the entry that knows it.

Entries that have read nothing but the same copy all say the same, and together
prove no more than the copy. An answer counts as independent if its sender

- has itself had an independent answer, or has run for ``SETTLED_S`` since it
  asked: it knows what was confirmed before the store went away, or has heard
  from whoever does, and
- knows of no newer version than its own.
"""

from gorsefall import errors
from gorsefall import logs

INQUIRY_HOSTS = 6
"""Most entries that are asked at once: some of them may have started just now,
and others may be gone or have been suspended."""

INQUIRY_TIMEOUT_S = 0.3
"""Longest time for their answers once one is independent, s: an entry that
starts serves nothing until then. An entry that is busy on half a core takes
0.1 s."""

UNPROVEN_WAIT_S = 1.0
"""Time after which an entry without an independent answer takes the store's
word, s: two of the longest pauses between statuses of up to forty entries. The
more entries there are, the more of them send a status in that time."""

SETTLED_S = 6.0
"""Time after such an end from which this entry's answers are independent, s:
each of hundreds of entries has sent it two statuses, which name its version."""

MAX_FURTHER_HOSTS = 12
"""Most entries that are asked beside the first because they sent a status
meanwhile: few of the first may have run for long."""

STATED_HOLD_S = 1.2
"""Time for which a version that a status names holds confirmations back, s: the
pause before the query for it and two timeouts. An entry of another store, or
one that is gone, may name it for good."""

CHECK_PERIOD_S = 0.02
"""Pause between looks at whether an inquiry may end, s."""

REPEAT_AFTER_S = 0.12
"""Time after which those that have not answered are asked once more, s: a
datagram may have been lost."""

ENOUGH_ANSWERS = 3
"""Independent answers after which no other is awaited."""

QUERY_DELAY_RANGE_S = (0.3, 0.6)
"""Range of the time after which an entry that has an older version than another
one queries it, s; a hint and a query take less."""


class _Inquiry:
    """Queries to several entries at once.

    Attributes:
        query_id: Identifies it.
        asked: All hosts that were asked, a set.
        unanswered: Those whose answers are missing, a list.
        answers: Independent answers so far.
        timed_out: Whether ``INQUIRY_TIMEOUT_S`` is over.
    """

    def __init__(self, query_id, hosts):
        self.query_id = query_id
        self.asked = set(hosts)
        self.unanswered = list(hosts)
        self.answers = 0
        self.timed_out = False

    @property
    def complete(self):
        """Whether no further answer is awaited."""
        return (self.answers >= ENOUGH_ANSWERS or self.answers > 0 and
                (self.timed_out or not self.unanswered))


class LostVersions:
    """What one entry finds out of versions that others know.

    Attributes:
        followers: ``name of a topic -> topicfollower.Follower``.
        names_era: Returns whether the store may have come back from an older
            copy: it names an era, or was not read yet.
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
        self._proven_from = float('inf')
        self._stated = {}
        self._disbelieved = None
        self.followers = {}
        self.names_era = lambda: True

    @property
    def is_independent(self):
        """Whether this entry's answers prove more than a copy of the store."""
        return (self._loop.now >= self._proven_from and
                not self._is_behind(self._stated))

    def forget_proof(self):
        """Called when another store is followed."""
        self._proven_from = float('inf')

    def inquire(self):
        """Asks several entries at once; nothing is confirmed until then."""
        hosts = list(self._known_hosts())
        hosts = self._rng.sample(hosts, min(INQUIRY_HOSTS, len(hosts)))
        if not hosts:
            self._settle_from(self._loop.now + SETTLED_S)
            return
        query_id = self._rng.getrandbits(63)
        self._inquiry = _Inquiry(query_id, hosts)
        for follower in self.followers.values():
            follower.listener.hold_confirmations()
        self._ask_unanswered(query_id)
        self._loop.call_later(REPEAT_AFTER_S,
                              lambda: self._ask_unanswered(query_id))
        self._loop.call_later(INQUIRY_TIMEOUT_S,
                              lambda: self._on_timeout(query_id))
        self._loop.call_later(UNPROVEN_WAIT_S, lambda: self._end(query_id))
        self._check(query_id)

    def _check(self, query_id):
        """Ends an inquiry without evidence if the store can have lost nothing.

        Otherwise entries that were all killed would serve nothing for longer.
        """
        inquiry = self._inquiry
        if inquiry is None or inquiry.query_id != query_id:
            return
        heard = inquiry.timed_out or not inquiry.unanswered
        if heard and not self.names_era():
            self._end(query_id)
            return
        self._loop.call_later(CHECK_PERIOD_S, lambda: self._check(query_id))

    def _settle_from(self, at):
        self._proven_from = min(self._proven_from, at)

    def _on_timeout(self, query_id):
        if self._inquiry is not None and self._inquiry.query_id == query_id:
            self._inquiry.timed_out = True
            if self._inquiry.complete:
                self._end(query_id)

    def _ask_further(self, host):
        """Asks an entry that has a configuration and has sent a status."""
        inquiry = self._inquiry
        if (host not in inquiry.asked and
                len(inquiry.asked) < INQUIRY_HOSTS + MAX_FURTHER_HOSTS):
            inquiry.asked.add(host)
            inquiry.unanswered.append(host)
            self._send_ask(inquiry.query_id, host)

    def _ask_unanswered(self, query_id):
        if self._inquiry is not None and self._inquiry.query_id == query_id:
            for host in self._inquiry.unanswered:
                self._send_ask(query_id, host)

    def is_answer(self, message, host):
        """Returns whether a ``messages.Told`` belongs to the inquiry."""
        return (self._inquiry is not None and
                message.query_id == self._inquiry.query_id and
                host in self._inquiry.unanswered)

    def handle_answer(self, message, host, *, independent=False):
        """Handles an answer to the inquiry.

        Args:
            message: The ``messages.Told``.
            host: Its sender.
            independent: Whether its sender says that it is.
        """
        self._inquiry.unanswered.remove(host)
        for name, change_set in message.topic_changes.items():
            if name in self.followers:
                follower = self.followers[name]
                # What is newer than what was read here is from elsewhere.
                known = follower.listener.version
                independent |= change_set.version > known > 0
                self.learn(follower, change_set, host)
        self._inquiry.answers += independent
        if self._inquiry.complete:
            self._end(message.query_id)

    def _end(self, query_id):
        if self._inquiry is None or self._inquiry.query_id != query_id:
            return
        self._log.info('inquiry_ended',
                       answers=self._inquiry.answers,
                       unanswered=len(self._inquiry.unanswered))
        self._settle_from(self._loop.now +
                          (0.0 if self._inquiry.answers else SETTLED_S))
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

        Only a response to a query is believed for good: it says that both read
        the same store. Until then nothing older is confirmed for a moment.

        Args:
            versions: ``name of a topic -> version``.
            host: Its host.
        """
        if self._inquiry is not None and any(versions.values()):
            self._ask_further(host)
        if not self._is_behind(versions):
            return
        if (not self._is_behind(self._stated) and
                versions != self._disbelieved):
            self._hold_stated(versions)
        if not self._query_pending:
            self._query_pending = True
            self._loop.call_later(self._rng.uniform(*QUERY_DELAY_RANGE_S),
                                  lambda: self._query_if_behind(versions, host))

    def _hold_stated(self, versions):
        self._state(versions)
        self._loop.call_later(STATED_HOLD_S,
                              lambda: self._give_up_stated(versions))

    def _give_up_stated(self, versions):
        if self._stated is versions:
            if self._is_behind(versions):
                self._disbelieved = versions
            self._state({})

    def _state(self, versions):
        self._stated = versions
        for name, follower in self.followers.items():
            follower.listener.on_version_stated(versions.get(name, 0))

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
