"""The other live entries and the last status that each of them sent.

Replicas do not report which entry sent them what, so entries exchange it: each
one periodically sends its complete counts to all others. The next status makes
up for a lost one. There is no leader and no agreement: an entry without a
recent status is left out of the sums, and an entry that receives none uses its
own counts alone.
"""

import collections
import dataclasses
import statistics
import typing

import msgspec

from gorsefall import ids
from gorsefall.policy import prompts

SILENCE_TIMEOUT_S = 1.2
"""Time without a status after which the counts of an entry are left out, s, if
entries send at least two a second. One lost message is tolerated, and the
requests of a killed process have ended by then."""

ADDRESS_TTL_S = 15.0
"""Time without a status after which an address is dropped, s. A VM restarts
within a few seconds, and one that is cut off for longer is found again through
the seeds."""

UNCONFIRMED_ADDRESS_TTL_S = 5.0
"""Time after which an address is dropped that another entry reported and that
has not sent a status itself, s."""

NEW_ADDRESS_S = 6.0
"""Time for which an address counts as new, s. Others receive it at least twice
if entries send a status every 2.4 s."""

REPORT_WINDOW_S = 6.0
"""Time for which an observation is included in status messages, s: each of
hundreds of entries receives it at least twice."""

MAX_MEMBERS = 1024
"""Maximum number of addresses: three times the entries planned in two years."""

MAX_REPLICAS_PER_STATUS = 4096
"""Maximum number of replicas in a status: twice those planned in two years."""

MAX_PROCESSES = 2 * MAX_MEMBERS
"""Maximum number of processes of other entries whose reports are kept: each
entry may restart."""

Count = typing.Annotated[int, msgspec.Meta(ge=0)]
"""A count; a message with a negative one is rejected as malformed."""


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """The work that one entry has in flight at one replica.

    Attributes:
        requests: Requests sent there that have not ended.
        prefill_tokens: Prompt tokens still to be prefilled for them.
        decode_heavy: Those of them that mostly decode.
    """
    requests: Count = 0
    prefill_tokens: Count = 0
    decode_heavy: Count = 0

    def add(self, other, sign=1):
        """Returns the sum with ``other``, or the difference."""
        return InFlight(self.requests + sign * other.requests,
                        self.prefill_tokens + sign * other.prefill_tokens,
                        self.decode_heavy + sign * other.decode_heavy)


NO_REQUESTS = InFlight()


class Response(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of one response of a replica.

    Attributes:
        replica: The replica's id.
        ok: Whether it served the caller's request.
    """
    replica: ids.ReplicaName
    ok: bool


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a replica under a request, or a completed run of the request.

    Attributes:
        digest: The request's digest.
        age_ms: Time since then, ms.
        replica: The id of the crashed replica; '' for a completed run.
        started_at_ms: When that incarnation of the replica started, ms since
            1970.
        weight: The ``suspects.CrashWeight`` of the crash.
    """
    digest: ids.RequestDigest
    age_ms: Count
    replica: ids.ReplicaName = ids.ReplicaName('')
    started_at_ms: Count = 0
    weight: typing.Annotated[int, msgspec.Meta(ge=1, le=2)] = 1


class ReplicaExit(msgspec.Struct, frozen=True, array_like=True):
    """The unannounced exit of one incarnation of a replica.

    Attributes:
        replica: The replica's id.
        started_at_ms: When the incarnation started, ms since 1970; 0 if not
            known.
        age_ms: Time since the exit was detected, ms.
    """
    replica: ids.ReplicaName
    started_at_ms: Count
    age_ms: Count


class LeavingReplica(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a replica that announced its exit in a response.

    Attributes:
        replica: The replica's id.
        started_at_ms: When the incarnation started, ms since 1970; 0 if not
            known.
    """
    replica: ids.ReplicaName
    started_at_ms: Count


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit that a replica announced last.

    Attributes:
        replica: The replica's id.
        started_at_ms: When its incarnation started, ms since 1970; 0 if not
            known.
        age_ms: Time since the announcement, ms.
        per_s: Requests per second from all entries; None for no limit.
    """
    replica: ids.ReplicaName
    started_at_ms: Count
    age_ms: Count
    per_s: typing.Annotated[float, msgspec.Meta(ge=0)] | None = None


class DutiesHeld(msgspec.Struct, frozen=True, array_like=True):
    """The claim of the entry that performs the duties.

    Attributes:
        token: Its fencing token.
        age_ms: Time since the claim was sent, ms.
        decided_through: Number of the last usage window whose counts are
            fixed.
    """
    token: Count
    age_ms: Count
    decided_through: int = 0


class Status(msgspec.Struct, frozen=True, array_like=True, tag='status'):
    """The complete status of an entry.

    Attributes:
        name: Its name.
        started_at_ms: When its process started, ms since 1970; identifies the
            incarnation.
        seq: Sequence number of the message.
        first_attempts: ``service -> number`` of first attempts in the retry
            window.
        in_flight: ``replica -> InFlight``; replicas without requests are left
            out.
        prompt_uses: The ``prompts.Use`` objects of its last requests.
        known_hosts: Hosts of some entries from which it receives a status.
        responses_before: Number of responses before ``responses``.
        responses: Its last ``Response`` objects, in order.
        zone: Its availability zone.
        can_read_store: Whether it can read the store for others.
        run_reports: Its recent ``RunReport`` objects.
        suspects_summary: Its ``suspects.Suspects.summary``.
        limit_reports: The ``LimitReport`` objects that it received recently.
        replica_exits: The ``ReplicaExit`` objects that it detected recently.
        leaving_replicas: The ``LeavingReplica`` objects whose responses it
            received recently.
        clock_ms: Its time of day, ms since 1970; 0 if nobody needs it.
        duties: The ``DutiesHeld`` of the holder, else None.
        decode_engines: ``service -> engines`` that it would use for
            decode-heavy requests.
    """
    name: str
    started_at_ms: int
    seq: int
    first_attempts: dict[ids.ServiceName, Count] = {}
    in_flight: dict[ids.ReplicaName, InFlight] = {}
    prompt_uses: tuple[prompts.Use, ...] = ()
    known_hosts: tuple[str, ...] = ()
    responses_before: Count = 0
    responses: tuple[Response, ...] = ()
    zone: ids.ZoneName = ids.ZoneName('')
    can_read_store: bool = False
    run_reports: tuple[RunReport, ...] = ()
    suspects_summary: Count = 0
    limit_reports: tuple[LimitReport, ...] = ()
    replica_exits: tuple[ReplicaExit, ...] = ()
    leaving_replicas: tuple[LeavingReplica, ...] = ()
    clock_ms: Count = 0
    duties: DutiesHeld | None = None
    decode_engines: dict[ids.ServiceName, Count] = {}

    def without_reports(self):
        """Returns a copy without what may be left out of a message.

        The counts that others add up remain.
        """
        return Status(self.name,
                      self.started_at_ms,
                      self.seq,
                      self.first_attempts,
                      self.in_flight,
                      known_hosts=self.known_hosts,
                      responses_before=self.responses_before +
                      len(self.responses),
                      zone=self.zone,
                      can_read_store=self.can_read_store,
                      suspects_summary=self.suspects_summary,
                      clock_ms=self.clock_ms,
                      duties=self.duties,
                      decode_engines=self.decode_engines)

    def responses_after(self, last):
        """Returns the responses that are not in the status ``last``.

        Args:
            last: An earlier ``Status`` of the same entry, or None.
        """
        if last is None or last.started_at_ms != self.started_at_ms:
            return self.responses
        known = last.responses_before + len(
            last.responses) - self.responses_before
        return self.responses[max(0, known):]


def _is_newer(status, last, *, silent):
    """Returns whether ``status`` was sent after ``last``.

    A later incarnation has a later start time unless the clock of the VM was
    set back. Once the earlier process is silent, any other start time is
    accepted.
    """
    if status.started_at_ms == last.started_at_ms:
        return status.seq > last.seq
    return silent or status.started_at_ms > last.started_at_ms


@dataclasses.dataclass
class _Member:
    """An address and its last status; None if no status has arrived yet.

    Attributes:
        since: When the address was added, s (monotonic).
        received_at: When its last status arrived, s (monotonic).
        status: That ``Status``.
        counted: Whether the status is included in the sums.
    """
    since: float
    received_at: float = float('-inf')
    status: Status | None = None
    counted: bool = False


class Members:
    """The other entries by address, and the sums of their counts.

    Attributes:
        name: This entry's name.
        silent_after_s: Time without a status after which an entry is left out,
            s. It has to be longer than two of the intervals at which entries
            send their status.
    """

    def __init__(self, name):
        self.name = name
        self.silent_after_s = SILENCE_TIMEOUT_S
        self._members = {}
        self._in_flight = collections.defaultdict(lambda: NO_REQUESTS)
        self._first_attempts = collections.Counter()
        self._counted = 0

    # -- addresses -------------------------------------------------------------

    def add_address(self, host, now):
        """Adds the address of a possible entry."""
        if host not in self._members and len(self._members) < MAX_MEMBERS:
            self._members[host] = _Member(since=now)

    def last_status(self, host):
        """Returns the last ``Status`` of an address, or None."""
        member = self._members.get(host)
        return member.status if member is not None else None

    def record_status(self, host, status, now):
        """Records a ``Status`` and updates the sums.

        A stale message is ignored, and so is a message of an earlier process
        at the same address: after a restart it would count requests that no
        longer exist.

        Returns:
            True if the status is newer than the last one of the address.
        """
        if status.name == self.name or len(
                status.in_flight) > MAX_REPLICAS_PER_STATUS:
            return False
        member = self._members.get(host)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return False
            member = self._members[host] = _Member(since=now)
        if member.status is not None and not _is_newer(
                status,
                member.status,
                silent=now - member.received_at > self.silent_after_s):
            return False
        self._remove_counts(member)
        if member.status is not None:
            self._first_attempts.subtract(member.status.first_attempts)
        member.status, member.received_at = status, now
        self._first_attempts.update(status.first_attempts)
        self._add_counts(member)
        return True

    def addresses(self, now):
        """Returns the hosts to send to; drops expired addresses."""
        for host, member in list(self._members.items()):
            since = max(member.since, member.received_at)
            bound = (UNCONFIRMED_ADDRESS_TTL_S
                     if member.status is None else ADDRESS_TTL_S)
            if now - since > bound:
                self._forget(host)
        return list(self._members)

    def _forget(self, host):
        member = self._members.pop(host)
        self._remove_counts(member)
        if member.status is not None:
            self._first_attempts.subtract(member.status.first_attempts)
            self._first_attempts += collections.Counter()

    def live_hosts(self, now):
        """Returns the hosts of entries with a recent status."""
        self.expire(now)
        return [h for h, m in self._members.items() if m.counted]

    def new_hosts(self, now):
        """Returns those of the live hosts whose address is new."""
        return [
            h for h in self.live_hosts(now)
            if now - self._members[h].since < NEW_ADDRESS_S
        ]

    def live_statuses(self, now):
        """Returns ``(host, status)`` of each entry with a recent status."""
        return [
            (host, self._members[host].status) for host in self.live_hosts(now)
        ]

    def probable_names(self, now):
        """Returns the names of the other entries that probably run, a list.

        An entry that has gone silent has usually exited. If most of the known
        entries are silent at once, it is more likely that their messages do
        not arrive here.
        """
        known = [m for m in self._members.values() if m.status is not None]
        if self.hears_most(now):
            known = [m for m in known if m.counted]
        return [m.status.name for m in known]

    def hears_most(self, now):
        """Returns whether half of the known entries or more are live."""
        self.expire(now)
        known = sum(m.status is not None for m in self._members.values())
        return 2 * self._counted >= known

    def known_names(self):
        """Returns the names of all entries heard of, also of silent ones."""
        return [
            m.status.name
            for m in self._members.values()
            if m.status is not None
        ]

    def decode_engines(self, service):
        """Returns the sizes of a decode partition as others report them."""
        return [
            m.status.decode_engines[service]
            for m in self._members.values()
            if m.counted and service in m.status.decode_engines
        ]

    def mean_status_age_s(self, now):
        """Returns the mean age of the recent statuses, s; 0 for none."""
        ages = [
            now - m.received_at for m in self._members.values() if m.counted
        ]
        return statistics.fmean(ages) if ages else 0.0

    def expire(self, now):
        """Leaves entries without a recent status out of the sums."""
        for member in self._members.values():
            if (member.counted and
                    now - member.received_at > self.silent_after_s):
                self._remove_counts(member)

    # -- sums ------------------------------------------------------------------

    @property
    def alone(self):
        """Whether no other entry has sent a recent status."""
        return not self._counted

    def in_flight(self, replica):
        """Returns the ``InFlight`` of all other entries at a replica."""
        return self._in_flight.get(replica, NO_REQUESTS)

    def first_attempts(self, service):
        """Returns the number of first attempts of all other entries.

        An entry without a recent status counts until its address is dropped:
        it may be cut off from this entry alone and still send its share of
        the retries that all entries may send.
        """
        return self._first_attempts[service]

    def _add_counts(self, member):
        member.counted = True
        self._counted += 1
        for replica, work in member.status.in_flight.items():
            self._in_flight[replica] = self._in_flight[replica].add(work)

    def _remove_counts(self, member):
        if not member.counted:
            return
        member.counted = False
        self._counted -= 1
        for replica, work in member.status.in_flight.items():
            remaining = self._in_flight[replica].add(work, -1)
            if remaining == NO_REQUESTS:
                del self._in_flight[replica]
            else:
                self._in_flight[replica] = remaining
