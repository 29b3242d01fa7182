"""One planning round: decide starts and stops from the waiting and the running units."""

import collections
from collections.abc import Mapping

import attrs

from papayaspar_jobs import durations
from papayaspar_scheduling import (
    claims,
    evictions,
    fleet,
    ordering,
    placement,
    preemption,
    scopes,
    stop_costs,
    stops,
)

# Units claim capacity until this share of the workers is claimed; the rest stays open to all.
CLAIMED_SHARE_MAX = 0.5
# Nothing is claimed while less than this share of the accelerators is used: a job may not wait for
# long beside workers that are mostly free.
CLAIMS_USED_SHARE_MIN = 0.5


@attrs.frozen(eq=False)
class Start:
    """A unit to start.

    :param demand: demand of the unit.
    :param nodes: VM of each member, in order.
    """

    demand: ordering.Demand
    nodes: tuple[str, ...]


@attrs.define
class StartLimit:
    """Limit on the tasks that one round starts; the rest of the demands waits for the next round.

    Thousands of waiting units of one job come before a small job that is as urgent. So a part of
    the limit is kept for jobs that have nothing running.

    :param tasks_left: number of tasks after which no more units are started.
    :param idle_jobs_tasks: the part of it that is kept for jobs that have nothing running.
    """

    tasks_left: int
    idle_jobs_tasks: int = 0
    _started_job_ids: set[str] = attrs.field(factory=set, init=False)

    @property
    def is_reached(self) -> bool:
        """Whether no more units may be started."""
        return self.tasks_left <= 0

    def allows(self, demand: ordering.Demand) -> bool:
        """Return whether a unit may be started, as far as its job is concerned."""
        if self.tasks_left > self.idle_jobs_tasks:
            return True
        job = demand.unit.job
        return not job.is_active and job.spec.job_id not in self._started_job_ids

    def count(self, demand: ordering.Demand) -> None:
        """Count a unit that is started."""
        self.tasks_left -= len(demand.unit.members)
        self._started_job_ids.add(demand.unit.job.spec.job_id)


@attrs.frozen(eq=False)
class Plan:
    """Result of a planning round.

    :param starts: units to start.
    :param stops: units to preempt, each with the demand that needs their resources.
    :param moves: units to stop on draining workers since other workers have capacity for them, or
        will have it after the stops.
    :param gains_core_s: by preempted unit, its share of what the demand gains by the stops, in
        core-seconds.
    """

    starts: tuple[Start, ...]
    stops: tuple[tuple[preemption.Victim, ordering.Demand], ...]
    moves: tuple[ordering.Demand, ...] = ()
    gains_core_s: Mapping[preemption.Victim, float] = attrs.field(factory=dict)


def stop_purpose(plan: Plan, victim: preemption.Victim, demand: ordering.Demand) -> stops.Purpose:
    """Return what a preempted unit of a plan is stopped for.

    :param plan: the plan.
    :param victim: the unit.
    :param demand: the demand that needs its resources.
    """
    is_guaranteed = demand.rank is ordering.Rank.GUARANTEED
    cause = stops.Cause.RECLAIM if is_guaranteed else stops.Cause.PREEMPTION
    gain_core_s = plan.gains_core_s.get(victim, 0.0)
    return stops.Purpose(cause, demand.unit.job.spec.job_id, gain_core_s)


class Planner:
    """Plan starts and stops with interchangeable policies.

    :param ordering_policy: order of the waiting units.
    :param placement_policy: choice of workers for a unit.
    :param preemption_policy: choice of the units to stop for urgent work.
    :param estimates: expected run times.
    """

    def __init__(
        self,
        ordering_policy: ordering.Ordering | None = None,
        placement_policy: placement.PlacementPolicy | None = None,
        preemption_policy: preemption.PreemptionPolicy | None = None,
        estimates: durations.DurationEstimates | None = None,
    ) -> None:
        self._ordering_policy = ordering_policy or ordering.ByNextValueLoss()
        self._placement_policy = placement_policy or placement.PackedPlacement()
        self._preemption_policy = preemption_policy or preemption.LowestCostPreemption()
        self._estimates = estimates or durations.DeclaredDurations()
        self._evictions = evictions.Evictions()
        self._is_reconnect_expected = False

    def release_nodes(self, nodes: frozenset[str]) -> None:
        """Give up the capacity that is being freed on VMs on which nothing may start."""
        self._evictions.release_nodes(nodes)

    def plan(
        self,
        demands: list[ordering.Demand],
        free: fleet.FreeCapacity,
        free_after_stops: fleet.FreeCapacity,
        victims: list[preemption.Victim],
        now_s: float,
        is_reconnect_expected: bool = False,
        deferred: list[ordering.Demand] | None = None,
        start_limit: StartLimit | None = None,
    ) -> Plan:
        """Plan one round.

        :param demands: demands of the waiting units.
        :param free: free capacity; changed by the planning.
        :param free_after_stops: free capacity once all units that are being stopped have ended;
            changed by the planning.
        :param victims: running units that may be preempted.
        :param now_s: the lead's clock.
        :param is_reconnect_expected: whether workers are expected to reconnect soon; meanwhile no
            unit is placed on remote racks only because workers on its own rack are disconnected.
        :param deferred: demands that units running on draining workers would have if stopped;
            such a unit is stopped only when other workers have capacity for it, or when it
            justifies the preemption of others.
        :param start_limit: limit on the tasks that are started; changed by the planning. ``None``
            for no limit.
        """
        self._is_reconnect_expected = is_reconnect_expected
        starts: list[Start] = []
        preempted: list[tuple[preemption.Victim, ordering.Demand]] = []
        gains_core_s: dict[preemption.Victim, float] = {}
        preemptible = preemption.VictimIndex(victims)
        unplaceable, unplaceable_after_stops = _UnplaceableKeys(), _UnplaceableKeys()
        self._evictions.prune(now_s)
        releases = claims.Releases(victims, now_s)
        # A run that should have ended by now may take any time.
        dependable_releases = claims.Releases(
            [victim for victim in victims if not _is_overdue(victim, now_s)], now_s
        )
        moves: list[ordering.Demand] = []
        deferred_demands = frozenset(deferred or ())
        all_demands = [*demands, *deferred_demands]
        for demand in sorted(all_demands, key=lambda demand: self._order_key(demand, now_s)):
            if start_limit is not None and start_limit.is_reached:
                break
            if start_limit is not None and not start_limit.allows(demand):
                continue
            nodes = self._choose_nodes(demand, free, free_after_stops, unplaceable)
            if nodes is not None:
                _reserve(demand, nodes, free)
                _reserve(demand, nodes, free_after_stops)
                if demand in deferred_demands:
                    moves.append(demand)
                else:
                    starts.append(Start(demand, nodes))
                    self._evictions.end(demand)
                    if start_limit is not None:
                        start_limit.count(demand)
                continue
            is_deferred = demand in deferred_demands
            if is_deferred and demand.rank > ordering.Rank.URGENT:
                continue
            # The reservation of an eviction in progress is kept while its worker briefly does not
            # answer; otherwise more units would be preempted elsewhere.
            reserved = self._evictions.nodes(demand, now_s)
            if reserved is not None and not _can_hold(demand, reserved, free_after_stops):
                # Work of a higher rank has taken part of the room that is being freed.
                reserved = None
            if reserved is None:
                reserved = self._choose_nodes(
                    demand, free_after_stops, free_after_stops, unplaceable_after_stops
                )
            if reserved is None:
                eviction = self._plan_eviction(
                    demand, free, free_after_stops, preemptible, dependable_releases, now_s
                )
                reserved = eviction.nodes
                for victim in eviction.victims:
                    preemptible.remove(victim)
                    preempted.append((victim, demand))
                    gains_core_s[victim] = eviction.gain_core_s / len(eviction.victims)
                    _release(victim, free_after_stops)
                    unplaceable_after_stops.clear()
                if reserved is not None:
                    self._evictions.begin(demand, reserved, eviction.victims, now_s)
                if reserved is not None and is_deferred:
                    moves.append(demand)
            if reserved is None:
                if not is_deferred:
                    self._claim(demand, free, free_after_stops, releases, now_s)
                continue
            _reserve(demand, reserved, free)
            _reserve(demand, reserved, free_after_stops)
        return Plan(tuple(starts), tuple(preempted), tuple(moves), gains_core_s)

    def _order_key(self, demand: ordering.Demand, now_s: float) -> tuple[float, ...]:
        """Return the sort key of a demand.

        Within a rank, units for which others were stopped come first, in the order of these stops:
        another one would take the room as it becomes free, and the stops would be repeated.
        """
        key = self._ordering_policy.key(demand, now_s)
        return (demand.rank, self._evictions.begun_s(demand), *key)

    def _choose_nodes(
        self,
        demand: ordering.Demand,
        free: fleet.FreeCapacity,
        free_after_stops: fleet.FreeCapacity,
        unplaceable: "_UnplaceableKeys",
    ) -> tuple[str, ...] | None:
        if unplaceable.contains(demand):
            return None
        for scope in scopes.permitted(demand, free_after_stops, self._is_reconnect_expected):
            nodes = self._placement_policy.choose(demand, free, scope)
            if nodes is not None:
                return nodes
        unplaceable.add(demand)
        return None

    def _plan_eviction(
        self,
        demand: ordering.Demand,
        free: fleet.FreeCapacity,
        free_after_stops: fleet.FreeCapacity,
        victims: preemption.VictimIndex,
        releases: claims.Releases,
        now_s: float,
    ) -> "_PlannedEviction":
        """Return the units to preempt for a demand, and the VMs that it gets.

        No unit is preempted unless the demand can be placed afterwards: its capacity would go to
        other units, and the demand would preempt again in the next round.
        """
        if demand.rank > ordering.Rank.URGENT:
            return _PlannedEviction()
        starts_in_s: float | None = None
        for scope in scopes.permitted(demand, free_after_stops, self._is_reconnect_expected):
            chosen = self._choose_victims(demand, free_after_stops, victims, scope)
            if chosen is None:
                continue
            if not chosen:
                break
            if starts_in_s is None:
                starts_in_s = self._starts_in_s(demand, free, free_after_stops, releases)
            cost_core_s = sum(victim.cost_core_s for victim in chosen)
            if not preemption.is_justified(
                demand, cost_core_s, now_s, starts_in_s, self._estimates
            ):
                continue
            after = free_after_stops.copy()
            for victim in chosen:
                _release(victim, after)
            nodes = self._choose_nodes(demand, after, after, _UnplaceableKeys())
            if nodes is None:
                return _PlannedEviction()
            gain_core_s = stop_costs.gain_core_s(demand, now_s, starts_in_s, self._estimates)
            return _PlannedEviction(chosen, nodes, gain_core_s)
        return _PlannedEviction()

    def _starts_in_s(
        self,
        demand: ordering.Demand,
        free: fleet.FreeCapacity,
        free_after_stops: fleet.FreeCapacity,
        releases: claims.Releases,
    ) -> float:
        """Return when a unit would start if nothing were stopped for it, in seconds.

        It is ``inf`` if the unit fits on no workers that it may use.
        """
        for scope in scopes.permitted(demand, free_after_stops, self._is_reconnect_expected):
            groups = placement.candidate_groups(demand, free, scope)
            claim = claims.earliest(demand, groups, free, releases)
            if claim is not None:
                return claim.starts_in_s
        return float("inf")

    def _claim(
        self,
        demand: ordering.Demand,
        free: fleet.FreeCapacity,
        free_after_stops: fleet.FreeCapacity,
        releases: claims.Releases,
        now_s: float,
    ) -> None:
        """Claim capacity for a unit that does not fit, unless it would be worthless by then."""
        if demand.rank is ordering.Rank.BULK or claims.used_share(free) < CLAIMS_USED_SHARE_MIN:
            return
        if claims.claimed_share(free) >= CLAIMED_SHARE_MAX:
            return
        for scope in scopes.permitted(demand, free_after_stops, self._is_reconnect_expected):
            groups = placement.candidate_groups(demand, free, scope)
            claim = claims.earliest(demand, groups, free, releases)
            if claim is None:
                continue
            if now_s + claim.starts_in_s + demand.remaining_s <= demand.worthless_s:
                claims.begin(claim, demand, (free, free_after_stops))
            return

    def _choose_victims(
        self,
        demand: ordering.Demand,
        free_after_stops: fleet.FreeCapacity,
        victims: preemption.VictimIndex,
        scope: placement.PlacementScope,
    ) -> tuple[preemption.Victim, ...] | None:
        """Return the units that cost least to preempt over all groups of workers of a scope."""
        best: tuple[preemption.Victim, ...] | None = None
        for group in placement.candidate_groups(demand, free_after_stops, scope):
            chosen = self._preemption_policy.choose(demand, group, free_after_stops, victims)
            if chosen is None:
                continue
            if best is None or preemption.weighed_cost(chosen) < preemption.weighed_cost(best):
                best = chosen
        return best


@attrs.frozen
class _PlannedEviction:
    """Units to preempt for a demand, the VMs that it gets, or ``None``, and what it gains."""

    victims: tuple[preemption.Victim, ...] = ()
    nodes: tuple[str, ...] | None = None
    gain_core_s: float = 0.0


class _UnplaceableKeys:
    """Placement keys of the units that do not fit into the free capacity, which only shrinks.

    Thousands of equal tasks may wait for the same resources: placement is attempted only for one.
    """

    def __init__(self) -> None:
        self._keys: set[tuple[object, ...]] = set()

    def contains(self, demand: ordering.Demand) -> bool:
        """Return whether a unit with the same placement key did not fit."""
        return bool(self._keys) and scopes.placement_key(demand) in self._keys

    def add(self, demand: ordering.Demand) -> None:
        """Record that a unit does not fit."""
        self._keys.add(scopes.placement_key(demand))

    def clear(self) -> None:
        """Remove all keys, after capacity was released."""
        self._keys.clear()


def _is_overdue(victim: preemption.Victim, now_s: float) -> bool:
    """Return whether a unit runs longer than expected."""
    members = [task for task in victim.unit.members if task.is_assigned]
    return max((task.remaining_s(now_s) for task in members), default=0.0) <= 0.0


def _can_hold(demand: ordering.Demand, nodes: tuple[str, ...], free: fleet.FreeCapacity) -> bool:
    """Return whether VMs hold the members of a unit, as far as their workers are known."""
    resources = demand.unit.step.counted_resources
    for node, count in collections.Counter(nodes).items():
        if node in free and not free.free(node).holds(resources.times(count)):
            return False
    return True


def _reserve(demand: ordering.Demand, nodes: tuple[str, ...], free: fleet.FreeCapacity) -> None:
    for task, node in zip(demand.unit.members, nodes, strict=True):
        free.reserve(node, task.step.counted_resources, fleet.step_name(task.key))
        free.begin_trial(node, placement.unit_name(demand))


def _release(victim: preemption.Victim, free: fleet.FreeCapacity) -> None:
    for task in victim.unit.members:
        if task.is_assigned:
            free.release(task.record.node, task.step.counted_resources, fleet.step_name(task.key))
