"""What each entry tells all others about itself, in one message."""

import typing

import msgspec

from gorsefall import ids
from gorsefall.policy import placeloans
from gorsefall.policy import prompts

REPORT_WINDOW_S = 6.0
"""Time for which an observation is included in status messages, s: each of
hundreds of entries receives it at least twice."""

Count = typing.Annotated[int, msgspec.Meta(ge=0)]
"""A count; a message with a negative one is rejected as malformed."""

NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
"""A quantity; a message with a negative one is rejected as malformed."""


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


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """A part of the prompt of a request under which a replica crashed.

    Attributes:
        digest: The part's digest.
        survived_before: Whether runs with it went on shortly before.
    """
    digest: ids.PartDigest
    survived_before: bool = False


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a replica under a request, or a run that clears a suspect.

    Attributes:
        digest: The request's digest, or of what was cleared.
        age_ms: Time since then, ms.
        replica: The id of the crashed replica; '' for a run that clears.
        started_at_ms: When that incarnation of the replica started, ms since
            1970.
        weight: The ``crashrecords.CrashWeight`` of the crash.
        parts: The ``PartReport`` objects of the request's prompt that count
            for the crash.
        burst: Number of replicas that exited at that moment, as far as the
            sender knows.
    """
    digest: ids.RequestDigest
    age_ms: Count
    replica: ids.ReplicaName = ids.ReplicaName('')
    started_at_ms: Count = 0
    weight: typing.Annotated[int, msgspec.Meta(ge=1, le=2)] = 1
    parts: tuple[PartReport, ...] = ()
    burst: Count = 1


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
        asks_calls: Whether it asks which windows others have reported, as the
            store has lost claims.
    """
    token: Count
    age_ms: Count
    decided_through: int = 0
    asks_calls: bool = False


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
        unreachable_services: Services whose replicas it does not reach itself.
        demand_per_s: ``service -> requests per second`` that arrive at it, for
            services whose replicas announce limits.
        wanted_places: ``service -> places`` of others at brittle replicas that
            it wants.
        place_loans: The ``placeloans.Loan`` objects that it grants.
        configuration_version: Version of its configuration; 0 for none.
        newest_claim: One more than the newest token of the duties that it
            knows; 0 for none.
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
    unreachable_services: tuple[ids.ServiceName, ...] = ()
    demand_per_s: dict[ids.ServiceName, NonNegative] = {}
    wanted_places: dict[ids.ServiceName, Count] = {}
    place_loans: tuple[placeloans.Loan, ...] = ()
    configuration_version: Count = 0
    newest_claim: Count = 0

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
                      decode_engines=self.decode_engines,
                      unreachable_services=self.unreachable_services,
                      demand_per_s=self.demand_per_s,
                      wanted_places=self.wanted_places,
                      place_loans=self.place_loans,
                      configuration_version=self.configuration_version,
                      newest_claim=self.newest_claim)

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
