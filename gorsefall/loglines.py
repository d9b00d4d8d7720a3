"""Decodes the JSON log lines of relay entries into typed events."""

import dataclasses
import datetime
import pathlib
import re

import msgspec

from gorsefall import errors
from gorsefall import ids

_PREFIX = re.compile(r'\s*(?:(-?\d+(?:\.\d+)?)\s+)?(\S+)\s+')
"""Optional prefix added by a log collector: a time, s, and the VM name."""


class Event(msgspec.Struct, tag_field='event', kw_only=True):
    """One log line.

    Attributes:
        timestamp: Wall-clock time of the process, ISO 8601.
    """
    timestamp: str = ''


class RequestEvent(Event):
    """A line about one request.

    Attributes:
        rid: Request ID.
    """
    rid: ids.RequestId


class Sent(RequestEvent, tag='sent'):
    """The request was sent to a replica; see ``docs/OPERATIONS.md``."""
    replica: str
    digest: str = ''
    service: str = ''
    software: str = ''
    began_as: str | None = None
    attempt: int = 1
    priority: int = 0
    outstanding: int = 0
    others: int = 0
    queue_ms: float = 0.0
    tokens: int = 0
    ahead: int = 0
    version: int | None = None
    via: str | None = None
    proof_age_s: float | None = None
    replicas_age_s: float | None = None
    told_by: str | None = None
    lapsed: bool = False
    repeatable: bool | None = None
    max_attempts: int | None = None


class AttemptFailed(RequestEvent, tag='attempt_failed'):
    """An attempt ended without a complete response."""
    replica: str
    reason: str
    sent: bool
    after_ms: float = 0.0
    via: str | None = None


class Forwarded(RequestEvent, tag='forwarded'):
    """This entry forwarded the request of another one to a replica."""
    replica: str = ''
    entry: str = ''
    outcome: str = ''
    ms: float | None = None


class NotRun(RequestEvent, tag='not_run'):
    """The replica reported that it did not run the request."""
    replica: str
    status: int


class Retry(RequestEvent, tag='retry'):
    """The request is sent again."""
    reason: str


class Parked(RequestEvent, tag='parked'):
    """The request waits until another run of the same request ends."""
    digest: str = ''


class AwaitsReplicas(RequestEvent, tag='awaits_replicas'):
    """The request waits until the records of the replicas were read."""


class Withheld(RequestEvent, tag='withheld'):
    """The request did not leave for the replica that was chosen."""
    replica: str
    listed: bool
    replicas_age_s: float | None = None


class Restored(RequestEvent, tag='restored'):
    """A stream continues at another replica, from a KV backup."""
    gone: str
    replica: str
    after: str


class StreamTakenUp(RequestEvent, tag='stream_taken_up'):
    """Where a stream may go on that the request takes up."""
    reason: str
    began_as: str | None = None
    software: str | None = None
    answers: int = 0
    entry_age_s: float | None = None
    ms: float | None = None


class NotTakenOver(RequestEvent, tag='not_taken_over'):
    """No other replica takes the request of a silent attempt."""
    code: str
    error: str


class Kept(RequestEvent, tag='kept'):
    """A silent attempt goes on, instead of one at another replica."""
    replica: str
    by: str


class Answered(RequestEvent, tag='answered'):
    """The final response was sent, or the caller left."""
    outcome: str
    code: str | None = None
    error: str | None = None
    cause: str | None = None
    disconnect: str | None = None
    route: str | None = None
    kind: str | None = None
    account: str | None = None
    digest: str = ''
    attempts: list[str] = []
    first_ms: float | None = None
    ms: float | None = None
    pause_ms: float | None = None
    late: str | None = None
    last_event: str | None = None
    ending: str | None = None
    stream_end: str | None = None
    retry_after_s: float | None = None
    version: int | None = None
    proof_age_s: float | None = None


class ObservedState(Event):
    """A change of the state that a process observes, or of its own state."""


class Configuration(ObservedState, tag='configuration'):
    """A configuration became active."""
    version: int
    before: int | None = None


class ProofLost(ObservedState, tag='proof_lost'):
    """The last confirmation of the configuration is too old."""
    age_s: float


class ProofRegained(ObservedState, tag='proof_regained'):
    """The configuration is confirmed again."""
    age_s: float


class StoreLost(ObservedState, tag='store_lost'):
    """The store does not respond."""
    topic: str
    error: str


class StoreRegained(ObservedState, tag='store_regained'):
    """The store responds again."""
    topic: str


class StoreRestored(ObservedState, tag='store_restored'):
    """The store came back from an older copy, in a new era."""
    topic: str
    era: int
    before: int = 0
    end: int = 0
    offset: int = 0


class StoreIsBehind(ObservedState, tag='store_is_behind'):
    """The store holds an older version than the active one."""
    version: int
    stored: int


class ConfirmationWithheld(ObservedState, tag='confirmation_withheld'):
    """The store may have lost a version that another entry knows."""
    version: int
    told: int


class LostVersionTold(ObservedState, tag='lost_version_told'):
    """Another entry sent a version that the store has lost."""
    version: int
    stored: int


class ReplicaSeen(ObservedState, tag='replica_seen'):
    """A replica has a new record, or its status changed."""
    replica: str
    status: str


class ReplicaDoubtful(ObservedState, tag='replica_doubtful'):
    """A replica's record expired during a store outage."""
    replica: str


class ReplicaGone(ObservedState, tag='replica_gone'):
    """A replica receives no more requests."""
    replica: str
    reason: str


class ReplicaLeaving(ObservedState, tag='replica_leaving'):
    """A replica announced its exit in a response."""
    replica: str


class ReplicaPaused(ObservedState, tag='replica_paused'):
    """A replica refused a request and asked for a pause."""
    replica: str
    for_s: float


class LimitAnnounced(ObservedState, tag='limit_announced'):
    """A replica announced another limit, or none any more."""
    replica: str
    per_s: float | None = None


class LimitPartChanged(ObservedState, tag='limit_part_changed'):
    """This entry may use another part of a limit, as the demand has moved."""
    replica: str
    part: float = 0.0


class PlacesBorrowed(ObservedState, tag='places_borrowed'):
    """Others lend this entry places at brittle replicas, or no more."""
    service: str
    places: int = 0


class PathsLost(ObservedState, tag='paths_lost'):
    """This entry does not reach the replicas of a service itself."""
    service: str = ''
    not_reached: list[str] = []
    reached: str = ''
    by: str = ''


class PathsRegained(ObservedState, tag='paths_regained'):
    """This entry reaches the replicas of a service again."""
    service: str = ''
    after_s: float = 0.0


class Started(ObservedState, tag='started'):
    """The process started."""


class Stopping(ObservedState, tag='stopping'):
    """The process received a signal to stop."""


class Stopped(ObservedState, tag='stopped'):
    """The process exited normally."""


class DutyEvent(Event):
    """A line about the duties that one entry performs for all."""


class WindowEvent(DutyEvent):
    """A line about the usage report of one window.

    Attributes:
        window: Its number.
    """
    window: int


class UsageCounted(WindowEvent, tag='usage_counted'):
    """The counts of a window were fixed."""
    requests: int
    accounts: int
    after_s: float


class UsageReported(WindowEvent, tag='usage_reported'):
    """The platform answered a report, or did not."""
    answer: str


class UsageMissed(WindowEvent, tag='usage_missed'):
    """No report of a window was accepted in time."""
    overdue_s: float


class Claimed(DutyEvent, tag='claimed'):
    """A claim was confirmed; ``before`` is None at a takeover."""
    token: int
    before: int | None = None


class DutiesLost(DutyEvent, tag='duties_lost'):
    """The process no longer holds the duties."""
    reason: str


class ClaimFailed(DutyEvent, tag='claim_failed'):
    """A claim has an unknown outcome."""
    error: str


class ClaimNotRead(DutyEvent, tag='claim_not_read'):
    """The last claim could not be read."""
    error: str


class PlatformCallFailed(DutyEvent, tag='platform_call_failed'):
    """A call to the platform failed, or got no answer."""
    path: str
    error: str


_EventType = (Sent | AttemptFailed | Forwarded | PathsLost | PathsRegained |
              NotRun | Retry | Parked | AwaitsReplicas | Withheld | Restored |
              StreamTakenUp | NotTakenOver | Kept | Answered | Configuration |
              ProofLost | ProofRegained | StoreLost | StoreRegained |
              StoreRestored | StoreIsBehind | ConfirmationWithheld |
              LostVersionTold | ReplicaSeen | ReplicaDoubtful | ReplicaGone |
              ReplicaLeaving | ReplicaPaused | LimitAnnounced |
              LimitPartChanged | PlacesBorrowed | Started | Stopping | Stopped |
              UsageCounted | UsageReported | UsageMissed | Claimed |
              DutiesLost | ClaimFailed | ClaimNotRead | PlatformCallFailed)
_decoder = msgspec.json.Decoder(_EventType)


@dataclasses.dataclass(frozen=True)
class Line:
    """One decoded line and its origin.

    Attributes:
        process: VM name from the collector's prefix, else the file name.
        at_s: Time from the collector's prefix, else the timestamp, s (epoch).
        event: The ``Event``.
    """
    process: str
    at_s: float
    event: Event


@dataclasses.dataclass
class Log:
    """The decoded lines of a set of files.

    Attributes:
        lines: ``Line`` objects; those of one file are in file order.
        malformed: Number of lines that look like log lines but cannot be
            decoded.
    """
    lines: list
    malformed: int = 0


def _epoch_s(timestamp):
    try:
        return datetime.datetime.fromisoformat(timestamp).timestamp()
    except ValueError:
        return 0.0


def _decode(text, process):
    start = text.index('{')
    prefix = _PREFIX.fullmatch(text[:start])
    event = _decoder.decode(text[start:])
    at_s = _epoch_s(event.timestamp)
    if prefix:
        process = prefix[2]
        if prefix[1]:
            at_s = float(prefix[1])
    return Line(process, at_s, event)


def _is_malformed(text):
    """Returns whether a line that is not a known event is malformed."""
    try:
        return not isinstance(msgspec.json.decode(text[text.index('{'):]), dict)
    except msgspec.DecodeError:
        return True


def read_files(paths):
    """Reads log files into a ``Log``.

    Lines that contain no JSON object and events of other kinds are skipped.
    Truncated or garbled lines are counted as malformed.

    Raises:
        errors.LogFileError: A file cannot be read.
    """
    log = Log([])
    for path in map(pathlib.Path, paths):
        try:
            text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as exc:
            raise errors.LogFileError(f'{path}: {exc.strerror}') from exc
        for row in text.splitlines():
            if '{"' not in row:
                continue
            try:
                log.lines.append(_decode(row, path.stem))
            except msgspec.DecodeError:
                log.malformed += _is_malformed(row)
    return log
