"""Orders of replicas: what is planned, what the platform has accepted."""

import collections

from gorsefall import logs
from gorsefall import metrics
from gorsefall.duties import changebudget
from gorsefall.duties import demand
from gorsefall.duties import kinds
from gorsefall.duties import scaling

PLAN_PERIOD_S = 0.5
"""Pause between two plans, s."""

OBSERVE_S = 6.0
"""Time for which a new holder observes before it judges the demand, s: the
reports of all entries, and the window of a rate."""

REPEAT_MARGIN_S = 4.0
"""Time beyond a boot after which an accepted order is repeated if replicas are
missing, s."""


class Scaler:
    """Plans and tracks the orders of all services that can be scaled."""

    def __init__(self, node, tuning, tracker):
        """Creates a scaler.

        Args:
            node: The ``node.Node``.
            tuning: The ``scaling.Tuning``.
            tracker: The ``demand.DemandTracker``.
        """
        self._node = node
        self._tuning = tuning
        self._tracker = tracker
        self._log = logs.get('scaling')
        self._planners = {}
        self._accepted = {}
        self._refused_at = {}
        self._budget = changebudget.ChangeBudget(node.loop.now)
        self._plan_at = float('-inf')
        self._held_since = float('-inf')

    def reset(self):
        """Called when this entry becomes the holder.

        An order of the last holder may not have been carried out, so all of
        them are repeated with the new token.
        """
        self._accepted.clear()
        self._refused_at.clear()
        self._held_since = self._node.loop.now

    # -- planning --------------------------------------------------------------

    def plan(self, claim):
        """Returns the orders to change, ``kinds.Pool -> number``.

        Args:
            claim: The ``claims.Claim`` with the orders in force.
        """
        now = self._node.loop.now
        if now < self._plan_at or not self._sees_enough(now):
            return {}
        self._plan_at = now + PLAN_PERIOD_S
        ordered = {o.pool: o.count for o in claim.orders}
        current, target = {}, {}
        for name, service in self._node.table.services.items():
            if service.scaling is not None:
                seen = self._observe(name, ordered, now)
                current |= seen.ready | seen.ordered
                target |= self._plan_service(name, service.scaling, seen)
        changes = self._budget.limit(current, target, now)
        if changes:
            self._log.info('replicas_planned',
                           needed={
                               name: round(p.needed, 1)
                               for name, p in self._planners.items()
                           },
                           ready=sum(current.values()),
                           changes=[(*p, n) for p, n in changes.items()],
                           ordering=not self._tuning.observe_only)
        return {} if self._tuning.observe_only else changes

    def _sees_enough(self, now):
        """Returns whether replicas and most other entries are observed."""
        node = self._node
        return (node.table is not None and node.replicas_known and
                not node.fleet.store_lost and
                node.work.peer_view.members.hears_most(now))

    def _plan_service(self, name, terms, seen):
        """Returns the plan of one service, and updates its gauges."""
        planner = self._planners.setdefault(name,
                                            scaling.Planner(name, self._tuning))
        plan = planner.plan(terms, seen)
        metrics.REPLICAS_NEEDED.labels(name).set(planner.needed)
        for pool, count in plan.items():
            metrics.REPLICAS_ORDERED.labels(*_labels(pool)).set(count)
            metrics.REPLICAS_READY.labels(*_labels(pool)).set(
                seen.ready.get(pool, 0))
        return plan

    def _observe(self, name, ordered, now):
        reps = self._node.fleet.of_service(name)
        slots = [rep.record.slots for rep in reps]
        speed = scaling.EngineSpeed(
            self._node.work.service_state(name).speed.prefill_ms_per_token,
            sum(slots) / len(slots) if slots else 1.0)
        return scaling.Observation(now, self._demand(
            name, reps, now), speed, self._count_ready(name, now), {
                p: n for p, n in ordered.items() if p.service == name
            })

    def _demand(self, name, reps, now):
        """Returns the ``demand.Demand``, None while it is not known."""
        if now - self._held_since < OBSERVE_S:
            return None
        members = self._node.work.peer_view.members
        requests, tokens = self._tracker.rates(name, now)
        return demand.Demand(
            requests_per_s=requests,
            prefill_tokens_per_s=tokens,
            decode_heavy=sum(rep.view.decode_heavy +
                             members.in_flight(rep.record.id).decode_heavy
                             for rep in reps))

    # -- orders ----------------------------------------------------------------

    def undelivered(self, claim):
        """Returns the ``claims.Order`` objects to send, a list."""
        now = self._node.loop.now
        return [o for o in claim.orders if self._is_due(o, now)]

    def _is_due(self, order, now):
        service = self._node.table and self._node.table.services.get(
            order.service)
        if (service is None or service.scaling is None or
                order.zone not in service.scaling.zone_prices):
            # The configuration has no such service or zone any more.
            return False
        if self._exceeds_maximum(order, service.scaling):
            return False
        refused_at = self._refused_at.get(order.pool, float('-inf'))
        if now - refused_at < scaling.UNAVAILABLE_S:
            return False
        count, accepted_at = self._accepted.get(order.pool, (None, 0.0))
        if count != order.count:
            return True
        return (now - accepted_at > service.scaling.boot_s + REPEAT_MARGIN_S and
                self._count_ready(order.service, now)[order.pool] < order.count)

    def _exceeds_maximum(self, order, terms):
        """Returns whether replicas of the other kind have to leave first.

        Both orders of a zone change in one claim, and the platform rejects one
        that exceeds the maximum together with the order before it.
        """
        sibling = order.pool._replace(spot=not order.spot)
        count, _ = self._accepted.get(sibling, (0, 0.0))
        return order.count + count > terms.max

    def _count_ready(self, service, now):
        """Returns ``kinds.Pool -> replicas`` that serve."""
        return collections.Counter(
            kinds.Pool(service, rep.record.zone, rep.record.spot)
            for rep in self._node.fleet.of_service(service)
            if not (
                rep.is_leaving or rep.record_malformed or rep.is_doubtful(now)))

    def record_answer(self, order, answer):
        """Records the platform's ``kinds.Answer`` to an order."""
        now = self._node.loop.now
        if answer is kinds.Answer.ACCEPTED:
            self._accepted[order.pool] = order.count, now
            self._refused_at.pop(order.pool, None)
        elif answer is kinds.Answer.REJECTED:
            self._refused_at[order.pool] = now
        elif answer is kinds.Answer.CONFLICT:
            self._refused_at[order.pool] = now
            planner = self._planners.get(order.service)
            if planner is not None:
                planner.record_refusal(order.pool, now)


def _labels(pool):
    return pool.service, pool.zone, 'spot' if pool.spot else 'regular'
