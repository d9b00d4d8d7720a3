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

from gorsefall.policy import entrystatus

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

MAX_MEMBERS = 1024
"""Maximum number of addresses: three times the entries planned in two years."""

MAX_REPLICAS_PER_STATUS = 4096
"""Maximum number of replicas in a status: twice those planned in two years."""

MAX_PROCESSES = 2 * MAX_MEMBERS
"""Maximum number of processes of other entries whose reports are kept: each
entry may restart."""


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
        status: That ``entrystatus.Status``.
        counted: Whether the status is included in the sums.
    """
    since: float
    received_at: float = float('-inf')
    status: entrystatus.Status | None = None
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
        self._in_flight = collections.defaultdict(
            lambda: entrystatus.NO_REQUESTS)
        self._first_attempts = collections.Counter()
        self._counted = 0
        self._heard_at = {}

    # -- addresses -------------------------------------------------------------

    def add_address(self, host, now):
        """Adds the address of a possible entry."""
        if host not in self._members and len(self._members) < MAX_MEMBERS:
            self._members[host] = _Member(since=now)

    def last_status(self, host):
        """Returns the last ``entrystatus.Status`` of an address, or None."""
        member = self._members.get(host)
        return member.status if member is not None else None

    def record_status(self, host, status, now):
        """Records an ``entrystatus.Status`` and updates the sums.

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
        self._heard_at[host] = now
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

    def heard_since(self, at):
        """Returns the hosts of all entries heard since a time, s.

        Those that were last heard before it are forgotten.
        """
        self._heard_at = {h: t for h, t in self._heard_at.items() if t >= at}
        return list(self._heard_at)

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

    def host_of(self, name, now):
        """Returns the host of a live entry by its name, or None."""
        hosts = (h for h, s in self.live_statuses(now) if s.name == name)
        return next(hosts, None)

    def oldest_host(self, now):
        """Returns the host of the live entry that has run longest, or None."""
        statuses = self.live_statuses(now)
        if not statuses:
            return None
        host, _ = min(statuses, key=lambda pair: pair[1].started_at_ms)
        return host

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
        """Returns the ``entrystatus.InFlight`` of all others at a replica."""
        return self._in_flight.get(replica, entrystatus.NO_REQUESTS)

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
            if remaining == entrystatus.NO_REQUESTS:
                del self._in_flight[replica]
            else:
                self._in_flight[replica] = remaining
