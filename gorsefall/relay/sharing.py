"""Reads of the store that entries share, so that few of them call it.

A few entries, the readers, read the store. The others query them, by datagram,
for the changes that they missed. A response confirms the state as of the time
of the query minus the age that the response names. It was made after the
query, so the confirmation is never dated later than the state that it
confirms, however late the response arrives and whatever clocks or suspended
VMs do meanwhile.
"""

import functools
import random
import typing

from gorsefall import errors
from gorsefall import ids
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import freshness
from gorsefall.policy import membership
from gorsefall.policy import readers
from gorsefall.relay import changes
from gorsefall.relay import lostversions
from gorsefall.relay import messages
from gorsefall.relay import ownreads
from gorsefall.relay import topic
from gorsefall.relay import topicfollower

RESPONSE_TIMEOUT_S = 0.25
"""Longest time for the response of another entry, s: the round trip takes 2 ms,
an entry that is busy on half a core some 100 ms."""

STALE_MARGIN_S = 0.4
"""Age beyond that of a reader's next confirmation from which its response is
rejected, s: that reader waits for a store that does not respond."""

PAUSE_JITTER = (0.8, 1.2)
"""Range of the factor of the pause between queries."""

OUTAGE_READ_PAUSE_S = 4.0
"""Pause between own reads while the store does not respond, s. Readers keep
trying, and the entries that query them learn of the store's return within a
second."""

HINT_SPREAD_S = 0.3
"""Time over which entries spread their queries after a hint, s: the responses
of one entry share its link with its callers' streams."""

HINT_WINDOW_S = 5.0
"""Time after a query in which its sender receives hints, s."""

READ_AFTER_QUERY_S = 2.0
"""Time for which an entry reads the store after it was queried, s: two of the
longest pauses between queries."""

MAX_FAILED_READS = 3
"""Consecutive failed reads after which an entry does not read for others."""

PROBE_PERIOD_S = 10.0
"""Pause between reads that check whether the store is reachable again while
other entries send its changes, s."""


class FollowedTopic(typing.NamedTuple):
    """A topic and how often it is read.

    Attributes:
        follower: Its ``topicfollower.Follower``.
        alone: The ``topic.ReadPace`` while no other entry depends on this one.
        shared: The same while other entries do.
        bound_s: Age up to which its state may be used, s.
    """
    follower: topicfollower.Follower
    alone: topic.ReadPace
    shared: topic.ReadPace
    bound_s: float

    @property
    def max_age_s(self):
        """Age up to which another entry's changes are accepted, s."""
        return self.shared.max_confirmation_age_s + STALE_MARGIN_S


class _Query(typing.NamedTuple):
    """A query that has not received a response yet.

    Attributes:
        query_id: Identifies it.
        sent_at: When it was sent, s (``freshness.clock``).
        hosts: The queried host and those to query next.
    """
    query_id: int
    sent_at: float
    hosts: tuple[str, ...]


class SharedReads:
    """Has followers read the store, or apply the changes of other entries.

    Attributes:
        is_reader: Whether this entry reads the store itself.
        source_host: Host of the entry that last sent changes; None after an
            own read.
    """

    def __init__(self,
                 loop,
                 own,
                 others,
                 send,
                 rng=random,
                 *,
                 known_hosts=lambda: ()):
        """Creates the shared reads of one entry; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            own: This entry's ``readers.Candidate``.
            others: Returns the ``readers.Candidate`` objects of live entries.
            send: Called with ``(message, host)``.
            rng: A ``random.Random``.
            known_hosts: Returns the hosts of entries that may be live, also
                such as have not sent anything yet.
        """
        self._loop = loop
        self._others = others
        self._send = send
        self._rng = rng
        self._lost = lostversions.LostVersions(loop, rng, known_hosts,
                                               self._send_ask, self._query_host)
        self._lost.names_era = self._names_era
        self._selector = readers.ReaderSelector(own, rng)
        self._topics = {}
        self._store = ''
        self._query_pause_s = 0.0
        self._open_query = None
        self._query_times = {}
        self._no_current_response = False
        self._hint_pending = False
        self._response_missing = False
        self._own_reads = ownreads.OwnReads(
            loop,
            rng,
            query=self._query_readers,
            query_overdue=self._query_others,
            retry_pause_s=self._own_read_pause_s,
            on_read=self._on_own_read)
        self._probed_at = float('-inf')
        self._log = logs.get('sharing')
        self.is_reader = False
        self.source_host = None

    def start(self):
        """Begins to query after other entries had time to send a message."""
        self._loop.call_later(
            self._query_pause_s * self._rng.uniform(*PAUSE_JITTER),
            self._run_round)

    def set_followers(self, topics, store, query_pause_s):
        """Sets the followers of a store, which have not begun to read.

        What other entries know and the store may have lost is asked for at
        once.

        Args:
            topics: ``name -> FollowedTopic``.
            store: ``host:port`` of the store.
            query_pause_s: Pause between queries, s.
        """
        if store != self._store:
            self._lost.forget_proof()
        self._topics, self._store, self._query_pause_s = (topics, store,
                                                          query_pause_s)
        self._open_query = None
        self._lost.followers = {n: t.follower for n, t in topics.items()}
        for followed in topics.values():
            followed.follower.pace = followed.alone
            followed.follower.on_own_era_change = self._lost.inquire
            followed.follower.set_continuous(self.is_reader)
        self._own_reads.watch(topics.values())
        self._lost.inquire()

    def reaches_store(self):
        """Returns False if several reads of the store failed in a row."""
        return all(t.follower.failed_reads < MAX_FAILED_READS
                   for t in self._topics.values())

    def _names_era(self):
        followers = [t.follower for t in self._topics.values()]
        return not all(
            f.has_snapshot and f.position.era == ids.NO_ERA for f in followers)

    def handle_versions(self, versions, host):
        """See ``lostversions.LostVersions``."""
        self._lost.handle_versions(versions, host)

    # -- whether to read -------------------------------------------------------

    def _run_round(self):
        self._loop.call_later(
            self._query_pause_s * self._rng.uniform(*PAUSE_JITTER),
            self._run_round)
        others = readers.with_store_access(self._others())
        # If no entry reaches the store, the entries that would be readers
        # keep trying.
        may_read = self.reaches_store() or not any(c.can_read for c in others)
        self._set_reader(not others or (may_read and self._should_read(others)))
        if self.is_reader:
            self._set_paces(others)
            self._lost.query_ahead()
        else:
            self._probe_store()
            self._query_readers()

    def _should_read(self, others):
        # Entries whose sets of known entries differ choose different readers.
        # An entry that others query therefore reads too; otherwise they would
        # receive stale data. Without the store it has nothing better to send:
        # during an outage entries query ever others, and all would read.
        return (self._selector.is_reader(others) or
                (self.reaches_store() and
                 bool(self._recent_queriers(READ_AFTER_QUERY_S))))

    def _recent_queriers(self, for_s):
        """Returns the hosts that sent a query within ``for_s``, a list."""
        since = self._loop.now - for_s
        return [h for h, at in self._query_times.items() if at > since]

    def _set_reader(self, is_reader):
        if is_reader != self.is_reader:
            self._log.info('reads_store',
                           leads=is_reader,
                           able=self.reaches_store())
        self.is_reader = is_reader
        metrics.READS_STORE.set(is_reader)
        for followed in self._topics.values():
            followed.follower.set_continuous(is_reader)

    def _set_paces(self, others):
        self.source_host = None
        depended_on = self._selector.has_dependents(others)
        for followed in self._topics.values():
            followed.follower.pace = (followed.shared
                                      if depended_on else followed.alone)

    def _probe_store(self):
        if (self.reaches_store() or
                self._loop.now - self._probed_at < PROBE_PERIOD_S):
            return
        self._probed_at = self._loop.now
        for followed in self._topics.values():
            followed.follower.read_once()

    # -- queries ---------------------------------------------------------------

    def _query_readers(self):
        """Queries the readers, unless some are being queried."""
        if self.is_reader or self._open_query is not None:
            # Begun anew before all of them had time to respond, the queries
            # would never come to an end.
            return
        self._query_others()

    def _query_others(self):
        """Queries the others that read the store, one after the other."""
        if self._open_query is not None:
            return
        self._response_missing = False
        self._query(
            self._selector.query_order(
                readers.with_store_access(self._others()), self._loop.now))

    def _query(self, hosts):
        if not any(t.follower.has_snapshot for t in self._topics.values()):
            return
        if not hosts:
            self._fall_back()
            return
        query_id = self._rng.getrandbits(63)
        self._open_query = _Query(query_id, freshness.clock(), tuple(hosts))
        self._loop.call_later(RESPONSE_TIMEOUT_S,
                              functools.partial(self._on_timeout, query_id))
        self._send_ask(query_id, hosts[0])

    def _send_ask(self, query_id, host):
        positions = {
            name: t.follower.position
            for name, t in self._topics.items()
            if t.follower.has_snapshot
        }
        versions = {
            name: t.follower.listener.version
            for name, t in self._topics.items()
            if t.follower.listener.version
        }
        unreachable = any(
            t.follower.failed_reads for t in self._topics.values())
        self._send(
            messages.Ask(query_id, self._store, positions, unreachable,
                         versions), host)

    def _on_timeout(self, query_id):
        if self._open_query is None or self._open_query.query_id != query_id:
            return
        metrics.PEER_READS.labels('unanswered').inc()
        self._response_missing = True
        host, *rest = self._open_query.hosts
        if self.is_reader and not rest:
            # Asked only for what the store has lost, or the last one.
            self._open_query = None
            self._lost.forget_ahead()
            return
        self._selector.record_no_response(host, self._loop.now)
        self._query(rest)

    def _fall_back(self):
        self._open_query = None
        if not self._no_current_response:
            self._no_current_response = True
            self._log.warning('asked_in_vain',
                              answered=not self._response_missing)

    def _on_own_read(self):
        self.source_host = None
        self._probed_at = self._loop.now

    def _own_read_pause_s(self):
        pause_s = (self._query_pause_s
                   if self.reaches_store() else OUTAGE_READ_PAUSE_S)
        return pause_s * self._rng.uniform(*PAUSE_JITTER)

    # -- messages --------------------------------------------------------------

    @functools.singledispatchmethod
    def handle_message(self, message, host):
        """Handles a message of another entry.

        Args:
            message: One of ``messages``.
            host: Its sender.
        """
        raise TypeError(f'{type(message).__name__} from {host}')

    @handle_message.register
    def _(self, message: messages.Ask, host):
        if message.store != self._store:
            return
        self._record_querier(host)
        max_bytes = (changes.MAX_SENT_BYTES_CUT_OFF
                     if message.store_unreachable else changes.MAX_SENT_BYTES)
        found = {
            name:
                followed.follower.changes_since(message.positions.get(name),
                                                max_bytes,
                                                message.versions.get(name, 0))
            for name, followed in self._topics.items()
            if followed.follower.has_snapshot
        }
        self._send(
            messages.Told(message.query_id, found,
                          bool(found) and self._lost.is_independent), host)

    @handle_message.register
    def _(self, message: messages.Told, host):
        if self._lost.is_answer(message, host):
            self._lost.handle_answer(message,
                                     host,
                                     independent=message.independent)
            return
        query = self._open_query
        if (query is None or message.query_id != query.query_id or
                host != query.hosts[0]):
            # Late, repeated, or a response to an earlier process.
            return
        self._open_query = None
        stale = [
            name for name, followed in self._topics.items()
            if not self._apply(followed, query, message.topic_changes.get(name))
        ]
        if self.is_reader:
            return
        metrics.PEER_READS.labels('stale' if stale else 'told').inc()
        if stale:
            self._query(query.hosts[1:])
            return
        self.source_host = host
        self._selector.record_response(host)
        if self._no_current_response:
            self._no_current_response = False
            self._log.info('told_again', by=host)

    def _apply(self, followed, query, change_set):
        """Applies changes of a topic; returns whether they are current."""
        if change_set is None:
            return not followed.follower.has_snapshot
        if (not self._lost.learn(followed.follower, change_set, query.hosts[0])
                or change_set.end.era < followed.follower.position.era):
            return False
        if self.is_reader and (not change_set.complete or
                               not self._is_newer(followed, query, change_set)):
            return True
        if not change_set.complete:
            followed.follower.read_once(change_set.end)
            return True
        try:
            followed.follower.apply_changes(query.sent_at - change_set.age_s,
                                            change_set)
        except errors.RecordError as exc:
            self._log.error('news_spoilt', host=query.hosts[0], error=str(exc))
            return False
        return change_set.age_s <= followed.max_age_s

    @staticmethod
    def _is_newer(followed, query, change_set):
        """Returns whether changes confirm more than the last own read."""
        return (query.sent_at - change_set.age_s
                > followed.follower.confirmed_at)

    @handle_message.register
    def _(self, message: messages.Hint, host):
        if self.is_reader or message.store != self._store:
            return
        missed = any(
            name in self._topics and end > self._topics[name].follower.position
            for name, end in message.ends.items())
        if missed and not self._hint_pending:
            self._hint_pending = True
            self._loop.call_later(
                self._rng.uniform(0.0, HINT_SPREAD_S),
                functools.partial(self._query_after_hint, host))

    def _query_after_hint(self, host):
        self._hint_pending = False
        self._query_first(host)

    def _query_host(self, host):
        """Queries an entry that knows what the store has lost."""
        if self._open_query is None:
            if self.is_reader:
                self._query([host])
            else:
                self._query_first(host)

    def _query_first(self, host):
        """Queries ``host``, and others if it does not respond."""
        hosts = self._selector.query_order(
            readers.with_store_access(self._others()), self._loop.now)
        self._query([host, *(h for h in hosts if h != host)])

    def _record_querier(self, host):
        if len(self._query_times) >= membership.MAX_MEMBERS:
            recent = self._recent_queriers(HINT_WINDOW_S)
            self._query_times = {h: self._query_times[h] for h in recent}
        if len(self._query_times) < membership.MAX_MEMBERS:
            self._query_times[host] = self._loop.now

    def send_hints(self):
        """Sends entries that queried recently a hint that topics changed."""
        if not self.is_reader:
            return
        since = self._loop.now - HINT_WINDOW_S
        hint = messages.Hint(
            self._store, {
                name: max(t.follower.position, t.follower.known_end)
                for name, t in self._topics.items()
            })
        for host, at in self._query_times.items():
            if at > since:
                self._send(hint, host)
