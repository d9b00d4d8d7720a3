"""Plays the calls to plain replicas: who is asked, refused, and asked again."""

from gorsefall.emulator import plain
from gorsefall.emulator import policies
from gorsefall.policy import budget
from gorsefall.policy import retry_delay
from gorsefall.policy import knowledge
from gorsefall.policy import peerview
from gorsefall.policy import placement
from gorsefall.policy import traffic_share

_SERVICE = 'plain'


class _Desk:
    """What one entry knows of the plain replicas.

    Attributes:
        targets: ``replica name -> knowledge.ReplicaView``.
        service: Its ``placement.ServiceState``.
        budget: Its ``budget.Budget``.
        view: The ``peerview.PeerView`` of the other entries.
    """

    def __init__(self, number, sheet, names):
        self.targets = {
            name:
                knowledge.ReplicaView(name=name,
                                      zone='z',
                                      slots=sheet.slots,
                                      engine=False) for name in names
        }
        self.service = placement.ServiceState()
        self.view = peerview.PeerView(f'entry-{number}', self.targets.get)
        self.budget = budget.Budget(sheet.retries, traffic_share.TrafficShare(),
                                    self._others)
        self._seq = 0

    def _others(self):
        """Returns the others' requests in the retry window, None if alone."""
        members = self.view.members
        return None if members.alone else members.first_attempts(_SERVICE)

    def status(self, now):
        """Returns the ``membership.Status`` that it tells the others."""
        self._seq += 1
        return self.view.build_status(
            0,
            self._seq,
            self.targets.values(),
            now,
            first_attempts={_SERVICE: self.budget.first_attempts(now)})


class CallSimulation:
    """The calls of one play.

    Attributes:
        attempts: Calls that reached a replica, refused ones too.
        retries: Those beyond the first of each.
        max_runs: ``call kind name -> most runs of one call``.
    """

    def __init__(self, site, policy, tally, at, rng):
        """Creates them; ``begin`` lets them come.

        Args:
            site: The ``site.Site``.
            policy: One of ``policies.POLICIES``.
            tally: The ``simulation.Tally``.
            at: Called with ``(at_ms, action, *args)``: has the play call
                ``action(now_ms, *args)`` then.
            rng: Source of all draws.
        """
        self._site = site
        self._policy = policy
        self._tally = tally
        self._at = at
        self._rng = rng
        sheet = site.plain
        names = [f'p{i}' for i in range(sheet.count)]
        self._replicas = {
            name:
                plain.Replica(name, sheet, sheet.speeds[i % len(sheet.speeds)],
                              sheet.failing[i % len(sheet.failing)])
            for i, name in enumerate(names)
        }
        self._desks = [_Desk(i, sheet, names) for i in range(site.entries)]
        self.attempts = self.retries = 0
        self.max_runs = dict.fromkeys((k.name for k in site.calls), 0)

    def schedule(self, seconds):
        """Draws the calls of ``seconds`` of load."""
        if self._site.calls and self._site.exchange_ms:
            for desk in self._desks:
                first_ms = self._rng.uniform(0, self._site.exchange_ms)
                self._at(first_ms, self._speak, desk, seconds * 1000)
        for kind in self._site.calls:
            at_ms = self._rng.expovariate(kind.per_s) * 1000
            while at_ms <= seconds * 1000:
                work_ms = kind.work_ms * self._rng.lognormvariate(
                    -kind.spread**2 / 2, kind.spread)
                run = plain.PendingCall(
                    kind,
                    at_ms,
                    entry=self._rng.randrange(self._site.entries),
                    work_ms=work_ms,
                    always_fails=self._rng.random() < kind.fails)
                self._at(at_ms, self._arrive, run)
                at_ms += self._rng.expovariate(kind.per_s) * 1000

    def _speak(self, now_ms, desk, until_ms):
        status = desk.status(now_ms / 1000)
        for other in self._desks:
            if other is not desk:
                other.view.record_status(status.name, status, now_ms / 1000)
        if now_ms < until_ms:
            self._at(now_ms + self._site.exchange_ms, self._speak, desk,
                     until_ms)

    def _arrive(self, now_ms, run):
        if not run.is_retry:
            self._tally.count_request(run.kind)
        self._desks[run.entry].budget.record_first_attempt(now_ms / 1000)
        self._send(now_ms, run)

    def _send(self, now_ms, run):
        desk = self._desks[run.entry]
        fit = [t for n, t in desk.targets.items() if n not in run.tried]
        desk.view.update_views(fit, now_ms / 1000)
        ask = policies.PlacementRequest(fit, knowledge.RequestProfile(zone='z'),
                                        desk.service, now_ms / 1000, self._rng)
        target = run.target = self._policy(ask).target
        run.tried.add(target.name)
        run.sent_ms = now_ms
        target.record_sent(0)
        target.record_prefilled(0)
        self.attempts += 1
        replica = self._replicas[target.name]
        offer = replica.admit(run)
        if offer is plain.Admission.RUNS:
            self._run(now_ms, replica, run)
        elif offer is plain.Admission.REFUSED:
            target.record_end()
            replica.report_load(target, now_ms)
            self._refused(now_ms, run)

    def _run(self, now_ms, replica, run):
        run.runs += 1
        self.max_runs[run.kind.name] = max(self.max_runs[run.kind.name],
                                           run.runs)
        self._at(now_ms + run.work_ms * replica.slowdown, self._done, replica,
                 run)

    def _done(self, now_ms, replica, run):
        ok = not run.always_fails and self._rng.random() >= replica.failure_rate
        run.target.record_end()
        desk = self._desks[run.entry]
        desk.view.record_response(run.target, ok, now_ms / 1000)
        desk.service.speed.residence.record(now_ms - run.sent_ms)
        following, gone = replica.release_slot(now_ms)
        replica.report_load(run.target, now_ms)
        for other in gone:
            other.target.record_end()
        if following is not None:
            self._run(now_ms, replica, following)
        if run.abandoned(now_ms):
            return
        if ok:
            on_time = now_ms - run.at_ms <= run.kind.aim_ms
            self._tally.count_served(run.kind, on_time=on_time)
        elif run.kind.repeatable:
            self._send_again(now_ms, run)

    def _refused(self, now_ms, run):
        if run.abandoned(now_ms) or self._send_again(now_ms, run):
            return
        if run.is_retry or run.runs:
            self._tally.count_refused(run.kind)
            return
        # Callers return once, to another entry, as a new request.
        run.is_retry = True
        run.tried.clear()
        run.entry = self._rng.randrange(len(self._desks))
        self._at(now_ms + retry_delay.short_delay_s(self._rng) * 1000,
                 self._arrive, run)

    def _send_again(self, now_ms, run):
        """Asks another replica, if one is left and the allowance lets it."""
        if len(run.tried) >= min(run.kind.attempts, len(self._replicas)):
            return False
        if not self._desks[run.entry].budget.acquire(now_ms / 1000):
            return False
        self.retries += 1
        self._send(now_ms, run)
        return True
