"""Simulates replicas that announce limits to entries on small links.

Each entry has its own ``relay.replicalimits.LimitTracker`` and
``membership.Members``. Status messages, configurations, requests, responses and
the cancels of requests whose callers left share the entry's link in each
direction. The simulation records what each replica receives and how long a
cancel waits.
"""

import dataclasses
import random
import types

from gorsefall.emulator import clock
from gorsefall.emulator import links
from gorsefall.policy import announced_limits
from gorsefall.policy import entrystatus
from gorsefall.policy import membership
from gorsefall.relay import demands
from gorsefall.relay import messages
from gorsefall.relay import peers
from gorsefall.relay import replicalimits

SERVICE = 's'
"""Name of the service of all replicas."""

ONE_WAY_DELAY_S = 0.001
"""Delay of a link besides its queue, s."""

REQUEST_BYTES = 800
RESPONSE_BYTES = 2000
CANCEL_BYTES = 60
HEADER_BYTES = 28
"""Bytes of a datagram besides its content."""

SERVICE_RANGE_S = (0.02, 0.6)
"""Range of the time until the first byte of a response, s."""

WINDOW_S = 4.0
TOLERATED_FACTOR, TOLERATED_REQUESTS = 1.5, 5
"""What a replica tolerates in any ``WINDOW_S`` beyond its limit."""

TOLD_S = 0.5
"""Time after a response with a limit from which requests of the entry that
received it count, s."""


@dataclasses.dataclass(eq=False)
class Replica:
    """A replica and the requests that it received.

    Attributes:
        record: Its id and start time.
        limit_per_s: The limit that its responses announce; None for none.
        first_limited_at: When it first announced one, s; None before.
        arrivals: ``(time, entry, limit at that time)`` of each request, s.
        told_at: ``entry -> time`` of the first response that announced the
            current limit to an entry, s.
    """
    record: object
    limit_per_s: float | None = None
    first_limited_at: float | None = None
    arrivals: list = dataclasses.field(default_factory=list)
    told_at: dict = dataclasses.field(default_factory=dict)

    def set_limit(self, per_s, now):
        """Announces a limit from now on; None withdraws it."""
        if per_s is None:
            self.told_at.clear()
            self.first_limited_at = None
        elif self.limit_per_s is None:
            self.first_limited_at = now
        self.limit_per_s = per_s


class Entry:
    """An entry; it is also the fleet of its ``LimitTracker``."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.name = f'edge-{number}'
        self.inbound = links.Link(site.loop, site.bytes_per_s, ONE_WAY_DELAY_S)
        self.outbound = links.Link(site.loop, site.bytes_per_s, ONE_WAY_DELAY_S)
        self._seq = 0
        self._frozen_until = 0.0
        self.start()

    def start(self):
        """Starts a new process, without any state."""
        site = self.site
        self.members = membership.Members(self.name)
        self.members.silent_after_s = (peers.SILENT_HEARTBEATS *
                                       site.heartbeat_s)
        self.replicas = {
            r.record.id:
                types.SimpleNamespace(record=r.record,
                                      limit=announced_limits.AnnouncedLimit())
            for r in site.replicas
        }
        self.demand = demands.DemandTracker(self.members, lambda: site.loop.now)
        self.tracker = replicalimits.LimitTracker(site.loop, self, self.members,
                                                  self.demand)
        self.demand.heartbeat_s = lambda: site.heartbeat_s
        self.tracker.start()

    def find(self, report):
        """See ``fleet.Fleet``; the replicas never restart."""
        return self.replicas.get(report.replica)

    def freeze(self, for_s):
        """Stops the process for a while; what arrives then waits for it."""
        self._frozen_until = self.site.loop.now + for_s

    def _run(self, callback):
        """Calls ``callback()`` now, or after a freeze."""
        wait_s = self._frozen_until - self.site.loop.now
        if wait_s > 0:
            self.site.loop.call_later(wait_s, lambda: self._run(callback))
        else:
            callback()

    def broadcast_status(self):
        """Sends the status to all other entries; schedules the next one."""
        self._seq += 1
        status = entrystatus.Status(
            self.name,
            1,
            self._seq,
            first_attempts={'s': 1234},
            in_flight={
                f'i-7a0079f9{i:02}': entrystatus.InFlight(2, 3000, 1)
                for i in range(8)
            },
            limit_reports=self.tracker.recent_reports(self.site.loop.now),
            demand_per_s=self.demand.report(self.tracker.limited_services()))
        size = len(messages.encode(status)) + HEADER_BYTES
        for other in self.site.entries:
            if other is not self:
                self._send_datagram(
                    other, size,
                    lambda entry: entry.handle_status(self.number, status))
        jitter = self.site.rng.uniform(*peers.PAUSE_JITTER)
        self.site.loop.call_later(self.site.heartbeat_s * jitter,
                                  self.broadcast_status)

    def _send_datagram(self, other, size, deliver):
        if self.site.rng.random() < self.site.loss:
            return
        self.outbound.send(
            size,
            lambda: other.inbound.send(
                size, lambda: other._run(lambda: deliver(other)
                                        ), datagram=True),
            datagram=True)

    def handle_status(self, number, status):
        """Handles the status of another entry."""
        now = self.site.loop.now
        if self.members.record_status(f'10.0.0.{number}', status, now):
            self.demand.handle_status(status)
            self.tracker.handle_status(status)
        self.members.addresses(now)

    def submit(self):
        """Sends a caller's request to a replica that may receive it."""
        now = self.site.loop.now
        if now < self._frozen_until:
            return
        self.demand.record_arrival(SERVICE)
        allowed = [r for r in self.site.replicas if self._allows(r, now)]
        if not allowed:
            self.site.refused += 1
            return
        replica = self.site.rng.choice(allowed)
        self.replicas[replica.record.id].limit.record_sent(now)
        self.outbound.send(REQUEST_BYTES,
                           lambda: self._on_request(replica, now))

    def _allows(self, replica, now):
        return self.replicas[replica.record.id].limit.allows(now)

    def _on_request(self, replica, sent_at):
        replica.arrivals.append((self.site.loop.now, self, replica.limit_per_s))
        self.site.loop.call_later(self.site.rng.uniform(*SERVICE_RANGE_S),
                                  lambda: self._respond(replica, sent_at))

    def _respond(self, replica, sent_at):
        per_s = replica.limit_per_s
        self.inbound.send(
            RESPONSE_BYTES, lambda: self._run(lambda: self._on_response(
                replica, per_s, sent_at)))

    def _on_response(self, replica, per_s, sent_at):
        if per_s is not None:
            replica.told_at.setdefault(self, self.site.loop.now)
        self.tracker.record_response(self.replicas[replica.record.id], per_s,
                                     sent_at)

    def cancel(self):
        """Cancels a request whose caller left; records how long it takes."""
        left_at = self.site.loop.now
        self.outbound.send(
            CANCEL_BYTES, lambda: self.site.cancel_waits_s.append(
                self.site.loop.now - left_at))


class Site:
    """Entries and replicas.

    Attributes:
        cancel_waits_s: Time from a caller's leave to the end of the run, s.
        refused: Requests for which no replica had room.
        heartbeat_s: Pause between the status messages of an entry, s.
    """

    def __init__(self, entries, replicas, seed, *, mbit_s=5.0, loss=0.01):
        """Creates a site; all entries have heard of each other.

        Args:
            entries: Number of entries.
            replicas: Number of replicas.
            seed: Seed of all random draws.
            mbit_s: Bandwidth of each entry's link in each direction.
            loss: Share of the datagrams that are lost.
        """
        self.loop = clock.Loop()
        self.rng = random.Random(seed)
        self.bytes_per_s = mbit_s * 1e6 / 8
        self.loss = loss
        self.heartbeat_s = max(peers.MAX_PAUSE_S,
                               entries / peers.MAX_MESSAGES_PER_S)
        self.cancel_waits_s = []
        self.refused = 0
        self.replicas = [
            Replica(
                types.SimpleNamespace(id=f'i-7a0079f9{i:02}',
                                      service=SERVICE,
                                      started_at_ms=1764773806123))
            for i in range(replicas)
        ]
        self.entries = [Entry(self, i) for i in range(entries)]
        for entry in self.entries:
            self.loop.call_later(self.rng.uniform(0, self.heartbeat_s),
                                 entry.broadcast_status)

    def submit_at_random(self, per_s, until_s):
        """Schedules requests of callers, some of whom leave, at random."""
        at = self.loop.now
        while (at := at + self.rng.expovariate(per_s)) < until_s:
            entry = self.rng.choice(self.entries)
            self.loop.call_later(at - self.loop.now, entry.submit)
            self.loop.call_later(at + 0.3 - self.loop.now, entry.cancel)

    def grow_configuration(self, size):
        """Has each entry receive a configuration of ``size`` bytes."""
        for entry in self.entries:
            entry.inbound.send(size, lambda: None)

    def worst_excess(self, settle_s):
        """Returns the most requests beyond what a replica tolerates.

        Only requests of entries that a response had told of the limit count,
        in windows that end ``settle_s`` or more after the replica first
        announced it.
        """
        return max(_excess(r, settle_s) for r in self.replicas)


def _excess(replica, settle_s):
    if replica.first_limited_at is None:
        return 0.0
    told = [
        (at, per_s)
        for at, entry, per_s in replica.arrivals
        if per_s is not None and at > replica.told_at.get(entry, at) + TOLD_S
    ]
    return max((sum(end - WINDOW_S < at <= end
                    for at, _ in told) - TOLERATED_FACTOR * WINDOW_S * per_s -
                TOLERATED_REQUESTS
                for end, per_s in told
                if end > replica.first_limited_at + settle_s),
               default=0.0)
