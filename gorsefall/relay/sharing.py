"""Reads of the store that entries share: its calls do not grow with them.

A few entries read; the others ask them, by datagram, what they missed. Whoever
is told takes it as confirmed at the moment it asked less the age that the
answer names: the answer was made after the question, so that is never younger
than the truth, however late it comes and whatever clocks or suspended VMs do
in between.
"""

import functools
import random
import typing

from gorsefall import errors
from gorsefall import logs
from gorsefall import metrics
from gorsefall.policy import freshness
from gorsefall.policy import membership
from gorsefall.policy import readers
from gorsefall.relay import changes
from gorsefall.relay import messages
from gorsefall.relay import topic

RESPONSE_TIMEOUT_S = 0.25
"""Time for an answer of another entry, s; the way there and back takes 2 ms,
a busy entry of half a core some 100."""

STALE_MARGIN_S = 0.4
"""Age beyond that of a reader's next read from which on its answer does not
do, s: it waits for a store that does not answer."""

PAUSE_JITTER = (0.8, 1.2)
"""Range of the pause between questions, in times of itself."""

FALLBACK_SPREAD_S = 0.3
"""Time over which own reads are spread where nobody answers, s."""

OUTAGE_SPREAD_S = 2.0
"""The same where everybody asked answers and nobody knows more, s."""

OUTAGE_READ_PAUSE_S = 4.0
"""Pause between own reads while the store does not answer, s: those that read
try on, and whoever asks them hears within a second that it is back."""

HINT_SPREAD_S = 0.3
"""Time over which those who were hinted of news ask for it, s: the answers of
one entry share its link with its callers' streams."""

HINT_WINDOW_S = 5.0
"""Time after a question in which its asker is told of news, s."""

READ_AFTER_QUERY_S = 2.0
"""Time for which an entry that was asked reads, s: two questions."""

MAX_FAILED_READS = 3
"""Own reads failed in a row after which an entry does not read for others."""

PROBE_PERIOD_S = 10.0
"""Pause between reads that show whether the store is reached again, s, while
others tell what it holds."""


class FollowedTopic(typing.NamedTuple):
    """A topic that is followed.

    Attributes:
        follower: Its ``topic.Follower``.
        alone: The ``topic.ReadPace`` of an entry that nobody asks.
        shared: The same where others depend on it.
    """
    follower: topic.Follower
    alone: topic.ReadPace
    shared: topic.ReadPace

    @property
    def max_age_s(self):
        """Age from which on another entry's news does not do, s."""
        return self.shared.max_confirmation_age_s + STALE_MARGIN_S


class _Question(typing.NamedTuple):
    """An open question.

    Attributes:
        number: Names it.
        asked_at: When it was asked, s (``freshness.clock``).
        hosts: Who was asked, and who may be next.
    """
    number: int
    asked_at: float
    hosts: tuple[str, ...]


class SharedReads:
    """Has this entry's followers read, or be told by others.

    Attributes:
        leads: Whether this entry reads by itself.
        told_by: Host of the entry that told last; None after an own read.
    """

    def __init__(self, loop, own, others, send, rng=random):
        """Creates the sharing of one entry; ``start`` begins.

        Args:
            loop: The ``reactor.Reactor``.
            own: This entry's ``readers.Candidate``.
            others: Returns the ``readers.Candidate`` objects heard.
            send: Called with ``(message, host)``.
            rng: A ``random.Random``.
        """
        self._loop = loop
        self._others = others
        self._send = send
        self._rng = rng
        self._choice = readers.ReaderSelector(own, rng)
        self._topics = {}
        self._store = ''
        self._ask_s = 0.0
        self._open = None
        self._askers = {}
        self._in_vain = False
        self._hinted = False
        self._unheard = False
        self._own_read_due = False
        self._probed_at = float('-inf')
        self._log = logs.get('sharing')
        self.is_reader = False
        self.source_host = None

    def start(self):
        """Begins to ask once the others had time to speak."""
        self._loop.call_later(self._ask_s * self._rng.uniform(*PAUSE_JITTER),
                              self._round)

    def set_followers(self, topics, store, ask_s):
        """Adopts the followers of a store.

        Args:
            topics: ``name -> Topic``.
            store: ``host:port`` of the store.
            ask_s: Pause between questions, s.
        """
        self._topics, self._store, self._ask_s = topics, store, ask_s
        self._open = None
        for followed in topics.values():
            followed.follower.pace = followed.alone
            followed.follower.set_continuous(self.is_reader)

    def reaches_store(self):
        """Returns whether the store is reached from here, as far as known."""
        return all(t.follower.failed_reads < MAX_FAILED_READS
                   for t in self._topics.values())

    # -- whether to read -------------------------------------------------------

    def _round(self):
        self._loop.call_later(self._ask_s * self._rng.uniform(*PAUSE_JITTER),
                              self._round)
        others = readers.with_store_access(self._others())
        # Where nobody reaches the store, those try who would read.
        contends = self.reaches_store() or not any(c.can_read for c in others)
        self._lead(not others or (contends and self._is_due(others)))
        if self.is_reader:
            self._lead_for(others)
        else:
            self._probe()
            self._unheard = False
            self._ask(self._choice.query_order(others, self._loop.now))

    def _is_due(self, others):
        # Where entries have not all heard of each other they choose others
        # to read; whoever is asked reads, or all would be told old news.
        return (self._choice.is_reader(others) or
                bool(self._asked_of_late(READ_AFTER_QUERY_S)))

    def _asked_of_late(self, for_s):
        """Returns the hosts that asked within ``for_s``, a list."""
        since = self._loop.now - for_s
        return [h for h, asked_at in self._askers.items() if asked_at > since]

    def _lead(self, leads):
        if leads != self.is_reader:
            self._log.info('reads_store',
                           leads=leads,
                           able=self.reaches_store())
        self.is_reader = leads
        metrics.READS_STORE.set(leads)
        for followed in self._topics.values():
            followed.follower.set_continuous(leads)

    def _lead_for(self, others):
        self.source_host = None
        depended_on = self._choice.has_dependents(others)
        for followed in self._topics.values():
            followed.follower.pace = (followed.shared
                                      if depended_on else followed.alone)

    def _probe(self):
        if self.reaches_store(
        ) or self._loop.now - self._probed_at < PROBE_PERIOD_S:
            return
        self._probed_at = self._loop.now
        for followed in self._topics.values():
            followed.follower.read_once()

    # -- asking ----------------------------------------------------------------

    def _ask(self, hosts):
        offsets = {
            name: t.follower.offset
            for name, t in self._topics.items()
            if t.follower.has_snapshot
        }
        if not offsets:
            return
        if not hosts:
            self._fall_back()
            return
        number = self._rng.getrandbits(63)
        self._open = _Question(number, freshness.clock(), tuple(hosts))
        self._loop.call_later(RESPONSE_TIMEOUT_S,
                              functools.partial(self._unanswered, number))
        cut_off = any(t.follower.failed_reads for t in self._topics.values())
        self._send(messages.Ask(number, self._store, offsets, cut_off),
                   hosts[0])

    def _unanswered(self, number):
        if self._open is None or self._open.number != number:
            return
        metrics.PEER_READS.labels('unanswered').inc()
        self._unheard = True
        host, *rest = self._open.hosts
        self._choice.record_no_response(host, self._loop.now)
        self._ask(rest)

    def _fall_back(self):
        self._open = None
        if not self._in_vain:
            self._in_vain = True
            self._log.warning('asked_in_vain', answered=not self._unheard)
        if self._own_read_due:
            return
        # Spread, as many come here together. Where all who were asked
        # answered, it is the store that is away, and time does not press.
        self._own_read_due = True
        within_s = FALLBACK_SPREAD_S if self._unheard else OUTAGE_SPREAD_S
        self._loop.call_later(self._rng.uniform(0.0, within_s), self._read_old)

    def _read_old(self):
        if self.is_reader or not self._in_vain:
            self._own_read_due = False
            return
        metrics.PEER_READS.labels('read').inc()
        self.source_host = None
        for followed in self._topics.values():
            if followed.follower.age_s() > self._ask_s:
                followed.follower.read_once()
        pause_s = self._ask_s if self.reaches_store() else OUTAGE_READ_PAUSE_S
        self._loop.call_later(pause_s * self._rng.uniform(*PAUSE_JITTER),
                              self._may_read_again)

    def _may_read_again(self):
        self._own_read_due = False

    # -- messages --------------------------------------------------------------

    @functools.singledispatchmethod
    def handle_message(self, message, host):
        """Takes in a message of another entry.

        Args:
            message: One of ``messages``.
            host: Who sent it.
        """
        raise TypeError(f'{type(message).__name__} from {host}')

    @handle_message.register
    def _(self, message: messages.Ask, host):
        if message.store != self._store:
            return
        self._note_asker(host)
        most_bytes = (changes.MAX_SENT_BYTES_CUT_OFF
                      if message.store_unreachable else changes.MAX_SENT_BYTES)
        news = {
            name:
                followed.follower.changes_since(message.offsets[name],
                                                most_bytes)
            for name, followed in self._topics.items()
            if name in message.offsets and followed.follower.has_snapshot
        }
        self._send(messages.Told(message.query_id, news), host)

    @handle_message.register
    def _(self, message: messages.Told, host):
        question = self._open
        if (question is None or message.query_id != question.number or
                host != question.hosts[0]):
            # Late, repeated, or to a process that was here before.
            return
        self._open = None
        stale = [
            name for name, followed in self._topics.items() if
            not self._take(followed, question, message.topic_changes.get(name))
        ]
        metrics.PEER_READS.labels('stale' if stale else 'told').inc()
        if stale:
            self._ask(question.hosts[1:])
            return
        self.source_host = host
        self._choice.record_response(host)
        if self._in_vain:
            self._in_vain = False
            self._log.info('told_again', by=host)

    def _take(self, followed, question, news):
        """Takes in what is known of a topic; returns whether it will do."""
        if news is None:
            return not followed.follower.has_snapshot
        if not news.complete:
            followed.follower.read_once()
            return True
        try:
            followed.follower.apply_changes(question.asked_at - news.age_s,
                                            news)
        except errors.RecordError as exc:
            self._log.error('news_spoilt',
                            host=question.hosts[0],
                            error=str(exc))
            return False
        return news.age_s <= followed.max_age_s

    @handle_message.register
    def _(self, message: messages.Hint, host):
        if self.is_reader or message.store != self._store:
            return
        missed = any(
            name in self._topics and end > self._topics[name].follower.offset
            for name, end in message.end_offsets.items())
        if missed and not self._hinted:
            self._hinted = True
            self._loop.call_later(self._rng.uniform(0.0, HINT_SPREAD_S),
                                  functools.partial(self._follow_hint, host))

    def _follow_hint(self, host):
        self._hinted = False
        hosts = self._choice.query_order(
            readers.with_store_access(self._others()), self._loop.now)
        self._ask([host, *(h for h in hosts if h != host)])

    def _note_asker(self, host):
        if len(self._askers) >= membership.MAX_MEMBERS:
            late = self._asked_of_late(HINT_WINDOW_S)
            self._askers = {h: self._askers[h] for h in late}
        if len(self._askers) < membership.MAX_MEMBERS:
            self._askers[host] = self._loop.now

    def send_hints(self):
        """Tells those who asked of late that there is news."""
        if not self.is_reader:
            return
        since = self._loop.now - HINT_WINDOW_S
        hint = messages.Hint(self._store, {
            name: t.follower.offset for name, t in self._topics.items()
        })
        for host, asked_at in self._askers.items():
            if asked_at > since:
                self._send(hint, host)
