"""What the configuration in force grants a request: route, account, place."""

import time

from gorsefall import directory
from gorsefall import errors
from gorsefall import metrics
from gorsefall.policy import knowledge
from gorsefall.policy import overload
from gorsefall.policy import placement
from gorsefall.policy import retry_delay
from gorsefall.relay import model
from gorsefall.relay import routes


class Grant:
    """A request's route and account, renewed before each send.

    Attributes:
        route: The ``model.Route``; None until one was found.
        account: The ``model.Account``; None on public routes.
        service: Name of the service it goes to.
        once: Whether any route it had forbids a second run.
        want: The ``knowledge.RequestProfile`` that its last place was
            chosen for.
    """

    def __init__(self, node, req):
        self._node = node
        self._req = req
        self.route = None
        self.account = None
        self.service = None
        self.non_repeatable = False
        self.profile = knowledge.RequestProfile(zone=node.cfg.zone)

    def renew(self):
        """Finds route and account in the configuration in force now.

        Raises:
            errors.NoCatalogueError: No configuration is known yet.
            errors.BadRequestError: No route, or no valid key.
            errors.UnconfirmedError: The key might be revoked by now.
        """
        table = directory.require_loaded(self._node.table)
        route = table.match(self._req)
        if self.route != route:
            self.route = route
            self.service = routes.pick_service(route)
            self.non_repeatable = self.non_repeatable or not route.repeatable
        account = table.account(self._req, route)
        if account is not None and not self._node.confirmation.is_current():
            self._unproven(table)
        self.account = account

    def _unproven(self, table):
        """Refuses a key that may be revoked by now, or lets it go on.

        Where revocation need not hold while the store is away, a caller with
        a known key is better served than refused.
        """
        if self._node.cfg.strict_revocation:
            raise errors.UnconfirmedError(
                f'configuration {table.version} was last confirmed '
                f'{self._node.confirmation.age_s():.2f} s ago',
                retry_after=retry_delay.short_delay_s())
        metrics.UNCONFIRMED_REQUESTS.inc()

    @property
    def streams(self):
        """Whether its answer is a stream of events."""
        return self.route.kind is model.RouteKind.STREAM

    @property
    def rank(self):
        """How urgent it is among all that ask, 0 the most."""
        return self._node.table.admission_rank(self.account, self.route)

    @property
    def urgency(self):
        """How urgent it is at its replica, 0 the most."""
        return self._node.table.replica_rank(self.account, self.route)

    def _see(self):
        """Returns its ``knowledge.RequestProfile`` on the terms granted now."""
        zone = self._node.cfg.zone
        prompt = self._req.prompt
        if prompt is None:
            return knowledge.RequestProfile(zone=zone)
        ranks = self._node.work.ranks(self.service)
        return knowledge.RequestProfile(zone=zone,
                                        parts=prompt.shared,
                                        tokens=prompt.tokens_in,
                                        tokens_out=prompt.tokens_out,
                                        queue_limit_ms=ranks.queue_limit_ms(
                                            self.rank, self._target_ms),
                                        gap_ms=self.route.gap_target_s * 1000)

    @property
    def needs_backup(self):
        """Whether another replica had better copy its run as it grows."""
        service = self._node.table.services.get(self.service)
        return (service is not None and service.kv_backups and self.streams and
                self.profile.decode_heavy)

    @property
    def _target_ms(self):
        return self.route.target_s * 1000

    def record_arrival(self):
        """Notes the request among those for its service."""
        self._node.work.ranks(self.service).record_request(
            self.rank, self._target_ms)

    def attempt_options(self, record, *, time_left_s, backup, from_copy,
                        resume_after, source):
        """Returns the ``model.AttemptOptions`` for a send.

        Args:
            record: The ``model.ReplicaRecord`` of the replica.
            time_left_s: How long it may work on the request, s.
            backup: Address of the replica that copies the run, or None.
            from_copy: Whether it goes on from a copy that it keeps.
            resume_after: Id of the last event delivered, or None.
            source: The ``knowledge.ReplicaView`` to fetch cached parts from, or
                None.
        """
        return model.AttemptOptions(
            replica=record.id,
            time_left_s=time_left_s,
            account=self.account.name if self.account else None,
            priority=self.urgency,
            backup_to=backup,
            restore_from=record.addr if from_copy else None,
            resume_after=resume_after,
            fetch_from=self._node.work.replica_addr(source))

    def choose_replica(self, tried, *, refuse, emptiest=False):
        """Chooses where it goes.

        Args:
            tried: Ids of the replicas it was sent to.
            refuse: Whether it may be refused when it would only come late.
            emptiest: Whether it goes where the fewest requests are, as it may
                end those there.

        Returns:
            The ``placement.Choice``, or None when no replica is left.

        Raises:
            errors.ShedError: It would only come late.
        """
        work = self._node.work
        self.profile = self._see()
        urgent = work.ranks(self.service).is_most_urgent(self.rank)
        targets = work.candidate_views(self.service, tried, urgent=urgent)
        if emptiest:
            targets = placement.with_fewest_requests(targets)
        choice = placement.choose(targets,
                                  self.profile,
                                  work.service_state(self.service),
                                  time.monotonic(),
                                  sources=work.draining_views(self.service))
        if choice is None:
            return None
        metrics.QUEUE_MS.labels(self.service).set(choice.queue_ms)
        if refuse:
            self._refuse_late(choice)
        return choice

    def _refuse_late(self, choice):
        limit_ms = self.profile.queue_limit_ms
        wait_s = overload.retry_after_s(choice, limit_ms)
        if wait_s is not None:
            raise errors.ShedError(
                f'{choice.queue_ms:.0f} ms of work wait at '
                f'{choice.target.name}, the best replica; {limit_ms:.0f} ms '
                'are its limit',
                retry_after=wait_s)
