"""Applies the current configuration to a request: route, account, replica."""

import dataclasses
import time

from gorsefall import directory
from gorsefall import errors
from gorsefall import ids
from gorsefall import metrics
from gorsefall.policy import attempts
from gorsefall.policy import knowledge
from gorsefall.policy import overload
from gorsefall.policy import placement
from gorsefall.policy import retry_delay
from gorsefall.relay import model
from gorsefall.relay import routes


@dataclasses.dataclass(frozen=True)
class Terms:
    """What a configuration says of a request.

    Attributes:
        route: The ``model.Route``; None until one was found.
        account: The ``model.Account``; None on public routes.
        service: Name of the service that the request is sent to.
        admission_rank: Rank for admission at this entry, 0 is the most urgent.
        replica_rank: Rank in the queue of its replica, 0 is the most urgent.
    """
    route: model.Route | None = None
    account: model.Account | None = None
    service: ids.ServiceName | None = None
    admission_rank: int = 0
    replica_rank: int = 0


class Grant:
    """A request's ``Terms``, checked again before each attempt.

    Whether the request may run again, and how often it may be sent, follow from
    all terms that it ever had: they are set in one place, ``terms``.

    Attributes:
        profile: The ``knowledge.RequestProfile`` that the last replica was
            chosen for.
    """

    def __init__(self, node, req, terms=None):
        """Creates the grant of a request.

        Args:
            node: The ``node.Node``.
            req: The ``model.CallerRequest``.
            terms: The ``Terms`` by which room for its body was found; None if
                it has none yet.
        """
        self._node = node
        self._req = req
        self._repeatable = True
        self._max_attempts = None
        self.terms = terms or Terms()
        self.profile = knowledge.RequestProfile(zone=node.cfg.zone)

    @property
    def terms(self):
        """The ``Terms`` of the last attempt."""
        return self._terms

    @terms.setter
    def terms(self, terms):
        self._terms = terms
        route = terms.route
        if route is None:
            return
        self._repeatable = self._repeatable and route.repeatable
        if self._max_attempts is None:
            self._max_attempts = route.max_attempts
        self._max_attempts = min(self._max_attempts, route.max_attempts)

    @property
    def retry_terms(self):
        """The ``attempts.RetryTerms``, the strictest of all its routes."""
        return attempts.RetryTerms(repeatable=self._repeatable,
                                   max_attempts=self._max_attempts or 0)

    @property
    def route(self):
        """See ``Terms``."""
        return self.terms.route

    @property
    def account(self):
        """See ``Terms``."""
        return self.terms.account

    @property
    def service(self):
        """See ``Terms``."""
        return self.terms.service

    def renew(self, *, begun=False):
        """Looks up route and account in the current configuration.

        Args:
            begun: Whether the caller has part of a response. Only replicas of
                the same service can complete it, so the request keeps its
                route, as a run that goes on does.

        Raises:
            errors.NoCatalogueError: No configuration was read yet.
            errors.BadRequestError: No route matches, or the key is invalid.
            errors.UnconfirmedError: The key may have been revoked, or the route
                added, since the configuration was last confirmed.
        """
        table, route, account = self._look_up(begun)
        if account is not None and not self._node.confirmation.is_current():
            self._handle_unconfirmed(table)
        if begun:
            self.terms = dataclasses.replace(self.terms, account=account)
            return
        service = self.service
        if service is None or self.route != route:
            service = routes.pick_service(route)
        self.terms = Terms(route,
                           account,
                           service,
                           admission_rank=table.admission_rank(account, route),
                           replica_rank=table.replica_rank(account, route))

    def draw_service(self):
        """Draws the service of a request that is not checked yet.

        Raises:
            errors.NoCatalogueError: No configuration was read yet.
            errors.BadRequestError: No route matches, or the key is invalid.
        """
        _, route, account = self._look_up(False)
        self.terms = Terms(route, account, routes.pick_service(route))

    def bind_service(self, service):
        """Has the request go to a service of its route, not one drawn."""
        self.terms = dataclasses.replace(self.terms, service=service)

    def permits_another(self, *, begun):
        """Returns whether another attempt is allowed now; see ``renew``."""
        try:
            _, _, account = self._look_up(begun)
        except errors.GorsefallError:
            # Not a failure: the attempt under way goes on.
            return False
        return (account is None or not self._node.cfg.strict_revocation or
                self._node.confirmation.is_current())

    def _look_up(self, begun):
        """Returns the current ``(table, route, account)``; see ``renew``."""
        table = directory.require_loaded(self._node.table)
        route = self.route if begun else self._match(table)
        if self.route is None:
            # The log names the route of a request whose key is refused.
            self.terms = Terms(route)
        return table, route, table.account(self._req, route)

    def _match(self, table):
        """Returns the request's route in a table; see ``renew``."""
        try:
            return table.match(self._req)
        except errors.NoRouteError:
            if self._node.confirmation.is_current():
                raise
            # It may have been added since, as at an entry that was suspended.
            raise self._unconfirmed_error(table) from None

    def _unconfirmed_error(self, table):
        age_s = self._node.confirmation.age_s()
        return errors.UnconfirmedError(
            f'configuration {table.version} was last confirmed {age_s:.2f} s '
            'ago',
            retry_after=retry_delay.short_delay_s())

    def _handle_unconfirmed(self, table):
        """Handles a key that may have been revoked in the meantime.

        With strict revocation the request is refused. Otherwise it is served,
        which is better for a caller with a known key than being refused while
        the store is unreachable.
        """
        if self._node.cfg.strict_revocation:
            raise self._unconfirmed_error(table)
        metrics.UNCONFIRMED_REQUESTS.inc()

    @property
    def streams(self):
        """Whether the response is an event stream."""
        return self.route.kind is model.RouteKind.STREAM

    def _build_profile(self):
        """Returns the request's current ``knowledge.RequestProfile``."""
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
                                            self.terms.admission_rank,
                                            self._target_ms),
                                        gap_ms=self.route.gap_target_s * 1000)

    @property
    def needs_backup(self):
        """Whether its run should be backed up to another replica."""
        service = self._node.table.services.get(self.service)
        return (service is not None and service.kv_backups and self.streams and
                self.profile.decode_heavy)

    @property
    def _target_ms(self):
        return self.route.target_s * 1000

    def record_arrival(self):
        """Counts the request for its service and rank."""
        self._node.work.ranks(self.service).record_request(
            self.terms.admission_rank, self._target_ms)
        self._node.announcements.demand.record_arrival(self.service)

    def attempt_options(self, record, *, time_left_s, backup, from_backup,
                        resume_after, source):
        """Returns the ``model.AttemptOptions`` of an attempt.

        Args:
            record: The ``model.ReplicaRecord`` of the replica.
            time_left_s: How long the replica may work on the request, s.
            backup: Address of the replica that receives the KV backup, or
                None.
            from_backup: Whether the replica continues from its KV backup of
                the run.
            resume_after: Id of the last event forwarded, or None.
            source: The ``knowledge.ReplicaView`` of the replica to fetch cached
                prompt parts from, or None.
        """
        return model.AttemptOptions(
            replica=record.id,
            time_left_s=time_left_s,
            account=self.account.name if self.account else None,
            priority=self.terms.replica_rank,
            backup_to=backup,
            restore_from=record.addr if from_backup else None,
            resume_after=resume_after,
            fetch_from=self._node.work.replica_addr(source))

    def choose_replica(self, tried, *, may_shed, least_loaded=False):
        """Chooses the replica for the next attempt.

        Args:
            tried: Ids of the replicas that the request was sent to.
            may_shed: Whether the request may be refused if it would miss its
                latency target.
            least_loaded: Whether to choose among the replicas with the fewest
                requests, because this request may crash its replica.

        Returns:
            The ``placement.Choice``, or None if no replica is available, also
            once a stream that is not read has yielded its place.

        Raises:
            errors.ShedError: The queue of the best replica is too long.
        """
        unread = self._node.unread_streams
        try:
            choice = self._choose(tried, may_shed, least_loaded)
        except errors.ShedError:
            if not unread.yield_place(self.service):
                raise
        else:
            if choice is not None or not unread.yield_place(self.service):
                return choice
        return self._choose(tried, may_shed, least_loaded)

    def _choose(self, tried, may_shed, least_loaded):
        """Chooses among the replicas as they are; see ``choose_replica``."""
        work = self._node.work
        self.profile = self._build_profile()
        urgent = work.ranks(self.service).is_most_urgent(
            self.terms.admission_rank)
        candidates = work.candidate_views(self.service, tried, urgent=urgent)
        if least_loaded:
            candidates = placement.with_fewest_requests(candidates)
        choice = placement.choose(candidates,
                                  self.profile,
                                  work.service_state(self.service),
                                  time.monotonic(),
                                  sources=work.leaving_views(self.service))
        if choice is None:
            return None
        metrics.QUEUE_MS.labels(self.service).set(choice.queue_ms)
        if may_shed:
            self._shed_if_late(choice)
        return choice

    def _shed_if_late(self, choice):
        limit_ms = self.profile.queue_limit_ms
        wait_s = overload.retry_after_s(choice, limit_ms)
        if wait_s is not None:
            self._node.duties.record_demand(self.service,
                                            self.profile.own_tokens)
            raise errors.ShedError(
                f'{choice.queue_ms:.0f} ms of work wait at '
                f'{choice.target.name}, the best replica; {limit_ms:.0f} ms '
                'are its limit',
                retry_after=wait_s)
