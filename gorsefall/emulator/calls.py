"""Simulates the calls to plain replicas, with refusals and retries."""

from gorsefall.emulator import plain
from gorsefall.emulator import policies
from gorsefall.policy import budget
from gorsefall.policy import knowledge
from gorsefall.policy import peerview
from gorsefall.policy import placement
from gorsefall.policy import retry_delay
from gorsefall.policy import traffic_share

_SERVICE = 'plain'


class _EntryState:
    """The state of one entry for the calls to plain replicas.

    Attributes:
        targets: ``replica name -> knowledge.ReplicaView``.
        service: The ``placement.ServiceState``.
        budget: The ``budget.Budget`` of retries.
        view: The ``peerview.PeerView`` of the other entries.
    """

    def __init__(self, number, spec, names):
        self.targets = {
            name:
                knowledge.ReplicaView(name=name,
                                      zone='z',
                                      slots=spec.slots,
                                      engine=False) for name in names
        }
        self.service = placement.ServiceState()
        self.view = peerview.PeerView(f'entry-{number}', self.targets.get)
        self.budget = budget.Budget(spec.retries, traffic_share.TrafficShare(),
                                    self._other_first_attempts)
        self._seq = 0

    def _other_first_attempts(self):
        """Returns the first attempts of the other entries in the retry window.

        None if there is no other entry.
        """
        members = self.view.members
        return None if members.alone else members.first_attempts(_SERVICE)

    def status(self, now):
        """Returns the ``entrystatus.Status`` to send to the other entries."""
        self._seq += 1
        return self.view.build_status(
            0,
            self._seq,
            self.targets.values(),
            now,
            first_attempts={_SERVICE: self.budget.first_attempts(now)})


class CallSimulation:
    """The calls of one simulation.

    Attributes:
        attempts: Number of attempts that reached a replica, including refused
            ones.
        retries: Number of attempts after the first one of a call.
        max_runs: ``call kind name -> maximum number of runs of a call``.
    """

    def __init__(self, site, policy, tally, at, rng):
        """Creates the replicas and entries; ``schedule`` adds the calls.

        Args:
            site: The ``site.Site``.
            policy: One of ``policies.POLICIES``.
            tally: The ``simulation.Tally``.
            at: Called with ``(at_ms, action, *args)``; schedules a call of
                ``action(now_ms, *args)`` at that time.
            rng: Random generator.
        """
        self._site = site
        self._policy = policy
        self._tally = tally
        self._at = at
        self._rng = rng
        spec = site.plain
        names = [f'p{i}' for i in range(spec.count)]
        self._replicas = {
            name:
                plain.Replica(name, spec, spec.speeds[i % len(spec.speeds)],
                              spec.failing[i % len(spec.failing)])
            for i, name in enumerate(names)
        }
        self._entries = [
            _EntryState(i, spec, names) for i in range(site.entries)
        ]
        self.attempts = self.retries = 0
        self.max_runs = dict.fromkeys((k.name for k in site.calls), 0)

    def schedule(self, seconds):
        """Schedules random calls for ``seconds`` of load."""
        if self._site.calls and self._site.exchange_ms:
            for entry in self._entries:
                first_ms = self._rng.uniform(0, self._site.exchange_ms)
                self._at(first_ms, self._send_status, entry, seconds * 1000)
        for kind in self._site.calls:
            at_ms = self._rng.expovariate(kind.per_s) * 1000
            while at_ms <= seconds * 1000:
                work_ms = kind.work_ms * self._rng.lognormvariate(
                    -kind.spread**2 / 2, kind.spread)
                call = plain.PendingCall(
                    kind,
                    at_ms,
                    entry=self._rng.randrange(self._site.entries),
                    work_ms=work_ms,
                    always_fails=self._rng.random() < kind.fails)
                self._at(at_ms, self._arrive, call)
                at_ms += self._rng.expovariate(kind.per_s) * 1000

    def _send_status(self, now_ms, entry, until_ms):
        status = entry.status(now_ms / 1000)
        for other in self._entries:
            if other is not entry:
                other.view.record_status(status.name, status, now_ms / 1000)
        if now_ms < until_ms:
            self._at(now_ms + self._site.exchange_ms, self._send_status, entry,
                     until_ms)

    def _arrive(self, now_ms, call):
        if not call.is_retry:
            self._tally.count_request(call.kind)
        self._entries[call.entry].budget.record_first_attempt(now_ms / 1000)
        self._send(now_ms, call)

    def _send(self, now_ms, call):
        entry = self._entries[call.entry]
        candidates = [
            t for n, t in entry.targets.items() if n not in call.tried
        ]
        entry.view.update_views(candidates, now_ms / 1000)
        request = policies.PlacementRequest(candidates,
                                            knowledge.RequestProfile(zone='z'),
                                            entry.service, now_ms / 1000,
                                            self._rng)
        target = call.target = self._policy(request).target
        call.tried.add(target.name)
        call.sent_ms = now_ms
        target.record_sent(0)
        target.record_prefilled(0)
        self.attempts += 1
        replica = self._replicas[target.name]
        admission = replica.admit(call)
        if admission is plain.Admission.RUNS:
            self._start(now_ms, replica, call)
        elif admission is plain.Admission.REFUSED:
            target.record_end()
            replica.report_load(target, now_ms)
            self._handle_refusal(now_ms, call)

    def _start(self, now_ms, replica, call):
        call.runs += 1
        self.max_runs[call.kind.name] = max(self.max_runs[call.kind.name],
                                            call.runs)
        self._at(now_ms + call.work_ms * replica.slowdown, self._finish,
                 replica, call)

    def _finish(self, now_ms, replica, call):
        ok = not call.always_fails and self._rng.random(
        ) >= replica.failure_rate
        call.target.record_end()
        entry = self._entries[call.entry]
        entry.view.record_response(call.target, ok, now_ms / 1000)
        entry.service.speed.residence.record(now_ms - call.sent_ms)
        next_call, abandoned = replica.release_slot(now_ms)
        replica.report_load(call.target, now_ms)
        for other in abandoned:
            other.target.record_end()
        if next_call is not None:
            self._start(now_ms, replica, next_call)
        if call.abandoned(now_ms):
            return
        if ok:
            on_time = now_ms - call.at_ms <= call.kind.aim_ms
            self._tally.count_served(call.kind, on_time=on_time)
        elif call.kind.repeatable:
            self._retry(now_ms, call)

    def _handle_refusal(self, now_ms, call):
        if call.abandoned(now_ms) or self._retry(now_ms, call):
            return
        if call.is_retry or call.runs:
            self._tally.count_refused(call.kind)
            return
        # A caller retries once, with a new request to another entry.
        call.is_retry = True
        call.tried.clear()
        call.entry = self._rng.randrange(len(self._entries))
        self._at(now_ms + retry_delay.short_delay_s(self._rng) * 1000,
                 self._arrive, call)

    def _retry(self, now_ms, call):
        """Retries at another replica, if one is left and the budget allows it.

        Returns whether it did.
        """
        if len(call.tried) >= min(call.kind.attempts, len(self._replicas)):
            return False
        if not self._entries[call.entry].budget.acquire(now_ms / 1000):
            return False
        self.retries += 1
        self._send(now_ms, call)
        return True
