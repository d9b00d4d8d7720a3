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


class Calls:
    """The calls of one play.

    Attributes:
        arrivals: Calls that reached a replica, refused ones too.
        again: Those beyond the first of each.
        most_runs: ``call kind name -> most runs of one call``.
    """

    def __init__(self, site, policy, tally, at, rng):
        """Creates them; ``begin`` lets them come.

        Args:
            site: The ``site.Site``.
            policy: One of ``policies.POLICIES``.
            tally: The ``play.Tally``.
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
        self.arrivals = self.again = 0
        self.most_runs = dict.fromkeys((k.name for k in site.calls), 0)

    def begin(self, seconds):
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
                run = plain.Run(kind,
                                at_ms,
                                entry=self._rng.randrange(self._site.entries),
                                work_ms=work_ms,
                                hopeless=self._rng.random() < kind.fails)
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
        if not run.returned:
            self._tally.asked(run.kind)
        self._desks[run.entry].budget.record_first_attempt(now_ms / 1000)
        self._send(now_ms, run)

    def _send(self, now_ms, run):
        desk = self._desks[run.entry]
        fit = [t for n, t in desk.targets.items() if n not in run.tried]
        desk.view.update_views(fit, now_ms / 1000)
        ask = policies.Ask(fit, knowledge.RequestProfile(zone='z'),
                           desk.service, now_ms / 1000, self._rng)
        target = run.target = self._policy(ask).target
        run.tried.add(target.name)
        run.sent_ms = now_ms
        target.record_sent(0)
        target.record_prefilled(0)
        self.arrivals += 1
        replica = self._replicas[target.name]
        offer = replica.offer(run)
        if offer is plain.Offer.RUNS:
            self._run(now_ms, replica, run)
        elif offer is plain.Offer.REFUSED:
            target.record_end()
            replica.tell(target, now_ms)
            self._refused(now_ms, run)

    def _run(self, now_ms, replica, run):
        run.runs += 1
        self.most_runs[run.kind.name] = max(self.most_runs[run.kind.name],
                                            run.runs)
        self._at(now_ms + run.work_ms * replica.times, self._done, replica, run)

    def _done(self, now_ms, replica, run):
        ok = not run.hopeless and self._rng.random() >= replica.failing
        run.target.record_end()
        desk = self._desks[run.entry]
        desk.view.record_response(run.target, ok, now_ms / 1000)
        desk.service.speed.residence.record(now_ms - run.sent_ms)
        following, gone = replica.next(now_ms)
        replica.tell(run.target, now_ms)
        for other in gone:
            other.target.record_end()
        if following is not None:
            self._run(now_ms, replica, following)
        if run.left(now_ms):
            return
        if ok:
            on_time = now_ms - run.at_ms <= run.kind.aim_ms
            self._tally.served(run.kind, on_time=on_time)
        elif run.kind.repeatable:
            self._send_again(now_ms, run)

    def _refused(self, now_ms, run):
        if run.left(now_ms) or self._send_again(now_ms, run):
            return
        if run.returned or run.runs:
            self._tally.refused(run.kind)
            return
        # Callers return once, to another entry, as a new request.
        run.returned = True
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
        self.again += 1
        self._send(now_ms, run)
        return True
