"""Log lines of relay entries, decoded into typed events."""

import dataclasses
import datetime
import pathlib
import re

import msgspec

from gorsefall import errors
from gorsefall import ids

_PREFIX = re.compile(r'\s*(?:(-?\d+(?:\.\d+)?)\s+)?(\S+)\s+')
"""What a collector may put before a line: a time, s, and the VM's name."""


class Event(msgspec.Struct, tag_field='event', kw_only=True):
    """One log line.

    Attributes:
        timestamp: Time of day at the process, ISO 8601.
    """
    timestamp: str = ''


class RequestEvent(Event):
    """A line about one request.

    Attributes:
        rid: The request's id.
    """
    rid: ids.RequestId


class Sent(RequestEvent, tag='sent'):
    """The request was sent to a replica; see ``docs/OPERATIONS.md``."""
    replica: str
    digest: str = ''
    service: str = ''
    attempt: int = 1
    priority: int = 0
    outstanding: int = 0
    others: int = 0
    queue_ms: float = 0.0
    tokens: int = 0
    ahead: int = 0
    version: int | None = None
    proof_age_s: float | None = None


class AttemptFailed(RequestEvent, tag='attempt_failed'):
    """A send ended without a whole answer."""
    replica: str
    reason: str
    sent: bool
    after_ms: float = 0.0


class NotRun(RequestEvent, tag='not_run'):
    """The replica said that it did not run the request."""
    replica: str
    status: int


class Retry(RequestEvent, tag='retry'):
    """The request is sent once more."""
    reason: str


class Parked(RequestEvent, tag='parked'):
    """The request waits for another run of the same request to end."""
    digest: str = ''


class Restored(RequestEvent, tag='restored'):
    """A stream goes on from a copy of its run."""
    gone: str
    replica: str
    after: str


class Answered(RequestEvent, tag='answered'):
    """The final answer."""
    outcome: str
    code: str | None = None
    error: str | None = None
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
    retry_after_s: float | None = None
    version: int | None = None
    proof_age_s: float | None = None


class ObservedState(Event):
    """A line about what a process believes or whether it runs."""


class Configuration(ObservedState, tag='configuration'):
    """A configuration is in force."""
    version: int
    before: int | None = None


class ProofLost(ObservedState, tag='proof_lost'):
    """The configuration was not confirmed lately."""
    age_s: float


class ProofRegained(ObservedState, tag='proof_regained'):
    """The configuration is confirmed again."""
    age_s: float


class StoreLost(ObservedState, tag='store_lost'):
    """The store does not answer."""
    topic: str
    error: str


class StoreRegained(ObservedState, tag='store_regained'):
    """The store answers again."""
    topic: str


class ReplicaSeen(ObservedState, tag='replica_seen'):
    """A replica's record is new or its status changed."""
    replica: str
    status: str


class ReplicaDoubtful(ObservedState, tag='replica_doubtful'):
    """A replica's record lapsed beside a store outage."""
    replica: str


class ReplicaGone(ObservedState, tag='replica_gone'):
    """A replica gets no more work."""
    replica: str
    reason: str


class Started(ObservedState, tag='started'):
    """The process started."""


class Stopping(ObservedState, tag='stopping'):
    """The process was told to stop."""


class Stopped(ObservedState, tag='stopped'):
    """The process ended by itself."""


_KNOWN = (Sent | AttemptFailed | NotRun | Retry | Parked | Restored | Answered |
          Configuration | ProofLost | ProofRegained | StoreLost |
          StoreRegained | ReplicaSeen | ReplicaDoubtful | ReplicaGone |
          Started | Stopping | Stopped)
_decoder = msgspec.json.Decoder(_KNOWN)


@dataclasses.dataclass(frozen=True)
class Line:
    """One decoded line and where it comes from.

    Attributes:
        process: The VM's name before the line, else the file's name.
        at_s: The collector's time, s, else the process's time of day, s.
        event: The ``Event``.
    """
    process: str
    at_s: float
    event: Event


@dataclasses.dataclass
class Log:
    """The lines of some files.

    Attributes:
        lines: ``Line`` objects in the order of each file.
        spoilt: How many lines look like log lines but cannot be read.
    """
    lines: list
    malformed: int = 0


def _seconds(timestamp):
    try:
        return datetime.datetime.fromisoformat(timestamp).timestamp()
    except ValueError:
        return 0.0


def _decode(text, process):
    start = text.index('{')
    prefix = _PREFIX.fullmatch(text[:start])
    event = _decoder.decode(text[start:])
    at_s = _seconds(event.timestamp)
    if prefix:
        process = prefix[2]
        if prefix[1]:
            at_s = float(prefix[1])
    return Line(process, at_s, event)


def _unread(text):
    """Whether a line that is none of the known events is spoilt."""
    try:
        return not isinstance(msgspec.json.decode(text[text.index('{'):]), dict)
    except msgspec.DecodeError:
        return True


def read_files(paths):
    """Reads log files into a ``Log``.

    Lines without an object are not log lines and are passed over, as are
    events that tell nothing of a request. What is cut or garbled is counted.

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
                log.malformed += _unread(row)
    return log
