"""Which other entries are there, and what each said last of its work.

Replicas do not say what others sent them, so entries tell each other: each
sends all others its own counts, whole, again and again. A lost message is
made good by the next. Nobody decides for others and nothing is agreed: who is
not heard is left out of the sums, and an entry that hears nobody goes by its
own counts.
"""

import collections
import dataclasses
import statistics
import typing

import msgspec

from gorsefall import ids
from gorsefall.policy import prompts

SILENCE_TIMEOUT_S = 1.2
"""After this time without a word an entry's counts are left out, s, where
entries speak twice a second at least: one lost message does not matter, and a
process that was killed has lost its requests by then."""

ADDRESS_TTL_S = 15.0
"""After this time without a word an address is not tried any more, s: a VM
that starts again does so within a few seconds, and one that is cut off for
longer comes back by the seeds."""

UNCONFIRMED_ADDRESS_TTL_S = 5.0
"""The same for an address that was only told of."""

NEW_ADDRESS_S = 6.0
"""Time for which an address is new, s: others are told of it twice and more
where entries speak every 2.4 s."""

MAX_MEMBERS = 1024
"""Addresses kept at most: three times the entries of two years hence."""

MAX_REPLICAS_PER_STATUS = 4096
"""Replicas that one entry may tell of: twice those of two years hence."""

Count = typing.Annotated[int, msgspec.Meta(ge=0)]
"""A number of things; a message that tells of less than none is no message."""


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has under way at one replica.

    Attributes:
        requests: Requests sent there and not ended.
        tokens: Prompt tokens that are to be read for those.
        writing: Requests there that spend their time writing.
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
    """What one answer told of its replica.

    Attributes:
        replica: The replica's id.
        ok: Whether it was what the caller needed.
    """
    replica: ids.ReplicaName
    ok: bool


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """That a replica crashed under a request, or that a run of it ended well.

    Attributes:
        digest: The request's digest.
        age_ms: How long ago that was, ms.
        replica: The replica's id; '' where the run came to its end.
        born: When that start of the replica began, ms since 1970.
        weight: The ``suspects.CrashWeight`` of the crash.
    """
    digest: ids.RequestDigest
    age_ms: Count
    replica: ids.ReplicaName = ids.ReplicaName('')
    started_at_ms: Count = 0
    weight: typing.Annotated[int, msgspec.Meta(ge=1, le=2)] = 1


class ReplicaExit(msgspec.Struct, frozen=True, array_like=True):
    """That one start of a replica has ended, unannounced.

    Attributes:
        replica: The replica's id.
        born: When that start began, ms since 1970; 0 where it is not told.
        age_ms: How long ago that was found, ms.
    """
    replica: ids.ReplicaName
    started_at_ms: Count
    age_ms: Count


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a replica announced as its limit, or that it has none any more.

    Attributes:
        replica: The replica's id.
        born: When its start began, ms since 1970; 0 where it is not told.
        age_ms: How long ago it said so, ms.
        per_s: Requests a second from all entries; None for no limit.
    """
    replica: ids.ReplicaName
    started_at_ms: Count
    age_ms: Count
    per_s: typing.Annotated[float, msgspec.Meta(ge=0)] | None = None


class Status(msgspec.Struct, frozen=True, array_like=True, tag='status'):
    """What an entry says of itself, whole.

    Attributes:
        name: Its name.
        boot: When its process started, ms since 1970; tells starts apart.
        seq: Counts its messages.
        firsts: ``service -> requests`` it sent a first time in the retry
            window.
        rows: ``replica -> Row``; replicas without requests are left out.
        uses: The ``prompts.Use`` of its last requests.
        hosts: Some of the entries that it hears.
        answered: Answers that it had before ``answers``, their number.
        answers: Its last ``Answer`` objects, in order.
        zone: Its availability zone.
        reads: Whether it can read the store for others.
        sightings: The ``Sighting`` objects that it had of late.
        suspects: The ``suspects.Suspects.summary`` of all that it knows.
        limits: The ``Limit`` objects that it heard of late.
        ended: The ``Ended`` objects that it found of late.
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

    def responses_after(self, last):
        """Returns the answers that ``last``, or None, did not tell of."""
        if last is None or last.started_at_ms != self.started_at_ms:
            return self.responses
        known = last.responses_before + len(
            last.responses) - self.responses_before
        return self.responses[max(0, known):]


def _follows(status, last, *, silent):
    """Whether ``status`` was said after ``last``.

    A later start tells a later time, unless the VM's clock was set back; once
    its earlier process is silent, any other start is believed.
    """
    if status.started_at_ms == last.started_at_ms:
        return status.seq > last.seq
    return silent or status.started_at_ms > last.started_at_ms


@dataclasses.dataclass
class _Member:
    """An address, and its last word; None where it was only told of."""
    since: float
    heard: float = float('-inf')
    status: Status | None = None
    counted: bool = False


class Members:
    """The other entries by address, and the sums of what they say.

    Attributes:
        name: This entry's name.
        silent_s: Time without a word after which an entry is left out, s; it
            has to be longer than two of the pauses in which entries speak.
    """

    def __init__(self, name):
        self.name = name
        self.silent_after_s = SILENCE_TIMEOUT_S
        self._members = {}
        self._rows = collections.defaultdict(lambda: NO_REQUESTS)
        self._firsts = collections.Counter()
        self._counted = 0

    # -- who is there ----------------------------------------------------------

    def add_address(self, host, now):
        """Notes that an entry may be at ``host``."""
        if host not in self._members and len(self._members) < MAX_MEMBERS:
            self._members[host] = _Member(since=now)

    def last_status(self, host):
        """Returns the last ``Status`` of an address, or None."""
        member = self._members.get(host)
        return member.status if member is not None else None

    def record_status(self, host, status, now):
        """Takes in a ``Status``; returns whether it says something new.

        A message that was overtaken is passed over, and so is one of a
        process before the one that speaks there now: after a restart it would
        bring back requests that are gone.
        """
        if status.name == self.name or len(
                status.in_flight) > MAX_REPLICAS_PER_STATUS:
            return False
        member = self._members.get(host)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return False
            member = self._members[host] = _Member(since=now)
        if member.status is not None and not _follows(status,
                                                      member.status,
                                                      silent=now - member.heard
                                                      > self.silent_after_s):
            return False
        self._leave_out(member)
        if member.status is not None:
            self._firsts.subtract(member.status.first_attempts)
        member.status, member.heard = status, now
        self._firsts.update(status.first_attempts)
        self._count_in(member)
        return True

    def addresses(self, now):
        """Returns the hosts to speak to; forgets those long silent."""
        for host, member in list(self._members.items()):
            since = max(member.since, member.heard)
            bound = (UNCONFIRMED_ADDRESS_TTL_S
                     if member.status is None else ADDRESS_TTL_S)
            if now - since > bound:
                self._forget(host)
        return list(self._members)

    def _forget(self, host):
        member = self._members.pop(host)
        self._leave_out(member)
        if member.status is not None:
            self._firsts.subtract(member.status.first_attempts)
            self._firsts += collections.Counter()

    def live_hosts(self, now):
        """Returns the hosts that spoke of late."""
        self.expire(now)
        return [h for h, m in self._members.items() if m.counted]

    def new_hosts(self, now):
        """Returns the hosts that spoke of late and were not known before."""
        return [
            h for h in self.live_hosts(now)
            if now - self._members[h].since < NEW_ADDRESS_S
        ]

    def live_statuses(self, now):
        """Returns ``(host, status)`` of each entry that spoke of late."""
        return [
            (host, self._members[host].status) for host in self.live_hosts(now)
        ]

    def mean_status_age_s(self, now):
        """Returns the mean age of what the others said last, s."""
        ages = [now - m.heard for m in self._members.values() if m.counted]
        return statistics.fmean(ages) if ages else 0.0

    def expire(self, now):
        """Leaves out who is silent."""
        for member in self._members.values():
            if member.counted and now - member.heard > self.silent_after_s:
                self._leave_out(member)

    # -- what they say ---------------------------------------------------------

    @property
    def alone(self):
        """Whether nobody else is heard."""
        return not self._counted

    def in_flight(self, replica):
        """Returns the ``Row`` of all others together at a replica."""
        return self._rows.get(replica, NO_REQUESTS)

    def first_attempts(self, service):
        """Returns the requests that all others sent a first time.

        Who fell silent counts until it is forgotten: it may be cut off from
        here alone, and go on taking its part of what all may take.
        """
        return self._firsts[service]

    def _count_in(self, member):
        member.counted = True
        self._counted += 1
        for replica, row in member.status.in_flight.items():
            self._rows[replica] = self._rows[replica].add(row)

    def _leave_out(self, member):
        if not member.counted:
            return
        member.counted = False
        self._counted -= 1
        for replica, row in member.status.in_flight.items():
            left = self._rows[replica].add(row, -1)
            if left == NO_REQUESTS:
                del self._rows[replica]
            else:
                self._rows[replica] = left
