"""One planning round: decide starts and stops from the waiting and the running units."""

import attrs

from papayaspar_jobs import units
from papayaspar_scheduling import claims, evictions, fleet, health, ordering, placement, preemption

# A unit may use remote racks, which make it slow, once it has waited this multiple of its estimate;
# also workers that are not trusted, if it would not fit on the others even when they are idle.
REMOTE_AFTER_ESTIMATES = 1.0
MILLISECONDS_PER_SECOND = 1000.0
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
    :param moves: units to stop on draining workers since other workers have capacity for them.
    """

    starts: tuple[Start, ...]
    stops: tuple[tuple[preemption.Victim, ordering.Demand], ...]
    moves: tuple[ordering.Demand, ...] = ()


class Planner:
    """Plan starts and stops with interchangeable policies.

    :param ordering_policy: order of the waiting units.
    :param placement_policy: choice of workers for a unit.
    :param preemption_policy: choice of the units to stop for urgent work.
    """

    def __init__(
        self,
        ordering_policy: ordering.Ordering | None = None,
        placement_policy: placement.PlacementPolicy | None = None,
        preemption_policy: preemption.PreemptionPolicy | None = None,
    ) -> None:
        self._ordering_policy = ordering_policy or ordering.ByNextValueLoss()
        self._placement_policy = placement_policy or placement.PackedPlacement()
        self._preemption_policy = preemption_policy or preemption.LowestCostPreemption()
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
            such a unit is stopped only when other workers have capacity for it.
        :param start_limit: limit on the tasks that are started; changed by the planning. ``None``
            for no limit.
        """
        self._is_reconnect_expected = is_reconnect_expected
        starts: list[Start] = []
        stops: list[tuple[preemption.Victim, ordering.Demand]] = []
        preemptible = preemption.VictimIndex(victims)
        unplaceable, unplaceable_after_stops = _UnplaceableKeys(), _UnplaceableKeys()
        self._evictions.prune(now_s)
        releases = claims.Releases(victims, now_s)
        moves: list[ordering.Demand] = []
        deferred_demands = frozenset(deferred or ())
        all_demands = [*demands, *deferred_demands]
        for demand in sorted(
            all_demands, key=lambda demand: self._ordering_policy.key(demand, now_s)
        ):
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
                    if start_limit is not None:
                        start_limit.count(demand)
                continue
            if demand in deferred_demands:
                continue
            # The reservation of an eviction in progress is kept while its worker briefly does not
            # answer; otherwise more units would be preempted elsewhere.
            reserved = self._evictions.nodes(demand, now_s)
            if reserved is None:
                reserved = self._choose_nodes(
                    demand, free_after_stops, free_after_stops, unplaceable_after_stops
                )
            if reserved is None:
                chosen_victims, reserved = self._plan_eviction(
                    demand, free_after_stops, preemptible, now_s
                )
                for victim in chosen_victims:
                    preemptible.remove(victim)
                    stops.append((victim, demand))
                    _release(victim, free_after_stops)
                    unplaceable_after_stops.clear()
                if reserved is not None:
                    self._evictions.begin(demand, reserved, chosen_victims, now_s)
            if reserved is None:
                self._claim(demand, free, free_after_stops, releases, now_s)
                continue
            _reserve(demand, reserved, free)
            _reserve(demand, reserved, free_after_stops)
        return Plan(tuple(starts), tuple(stops), tuple(moves))

    def _choose_nodes(
        self,
        demand: ordering.Demand,
        free: fleet.FreeCapacity,
        free_after_stops: fleet.FreeCapacity,
        unplaceable: "_UnplaceableKeys",
    ) -> tuple[str, ...] | None:
        if unplaceable.contains(demand):
            return None
        for scope in self._scopes(demand, free_after_stops):
            nodes = self._placement_policy.choose(demand, free, scope)
            if nodes is not None:
                return nodes
        unplaceable.add(demand)
        return None

    def _plan_eviction(
        self,
        demand: ordering.Demand,
        free_after_stops: fleet.FreeCapacity,
        victims: preemption.VictimIndex,
        now_s: float,
    ) -> tuple[tuple[preemption.Victim, ...], tuple[str, ...] | None]:
        """Return the units to preempt for a demand, and the VMs that it gets.

        No unit is preempted unless the demand can be placed afterwards: its capacity would go to
        other units, and the demand would preempt again in the next round.
        """
        chosen_victims = self._choose_victims(demand, free_after_stops, victims, now_s)
        if not chosen_victims:
            return (), None
        free = free_after_stops.copy()
        for victim in chosen_victims:
            _release(victim, free)
        nodes = self._choose_nodes(demand, free, free, _UnplaceableKeys())
        if nodes is None:
            return (), None
        return chosen_victims, nodes

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
        for scope in self._scopes(demand, free_after_stops):
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
        now_s: float,
    ) -> tuple[preemption.Victim, ...]:
        if demand.rank > ordering.Rank.URGENT:
            return ()
        best: tuple[preemption.Victim, ...] | None = None
        best_cost = 0.0
        for scope in self._scopes(demand, free_after_stops):
            for group in placement.candidate_groups(demand, free_after_stops, scope):
                chosen = self._preemption_policy.choose(demand, group, free_after_stops, victims)
                if chosen is None:
                    continue
                cost = sum(victim.cost_core_s for victim in chosen)
                if not preemption.is_justified(demand, cost, now_s):
                    continue
                if best is None or cost < best_cost:
                    best, best_cost = chosen, cost
            if best is not None:
                return best
        return ()

    def _scopes(
        self, demand: ordering.Demand, free_after_stops: fleet.FreeCapacity
    ) -> list[placement.PlacementScope]:
        """Return the scopes in which a demand may be placed, narrowest first."""
        narrowest = placement.PlacementScope()
        step = demand.unit.step
        scopes = [narrowest]
        has_waited_long = _has_waited_long(demand)
        if step.data_rack or step.is_same_rack:
            fits = any(
                placement.can_hold_when_empty(demand, group)
                for group in placement.candidate_groups(demand, free_after_stops, narrowest)
            )
            if has_waited_long or not (fits or self._is_reconnect_expected):
                scopes.append(placement.PlacementScope(is_remote_allowed=True))
        if _may_repeat(demand) and not _fits_trusted(demand, free_after_stops):
            # Tasks that last have no attempts that an ejected worker could use up.
            is_lasting = step.is_lasting
            scopes.append(
                placement.PlacementScope(
                    is_repeat_allowed=not is_lasting, is_untrusted_allowed=is_lasting
                )
            )
        if has_waited_long and not _fits_trusted(demand, free_after_stops):
            scopes.append(
                placement.PlacementScope(is_remote_allowed=True, is_untrusted_allowed=True)
            )
        return scopes


def _fits_trusted(demand: ordering.Demand, free: fleet.FreeCapacity) -> bool:
    """Return whether a unit would fit on the trusted workers of all racks if they were idle."""
    scope = placement.PlacementScope(is_remote_allowed=True)
    return any(
        placement.can_hold_when_empty(demand, group)
        for group in placement.candidate_groups(demand, free, scope)
    )


class _UnplaceableKeys:
    """Placement keys of the units that do not fit into the free capacity, which only shrinks.

    Thousands of equal tasks may wait for the same resources: placement is attempted only for one.
    """

    def __init__(self) -> None:
        self._keys: set[tuple[object, ...]] = set()

    def contains(self, demand: ordering.Demand) -> bool:
        """Return whether a unit with the same placement key did not fit."""
        return bool(self._keys) and _placement_key(demand) in self._keys

    def add(self, demand: ordering.Demand) -> None:
        """Record that a unit does not fit."""
        self._keys.add(_placement_key(demand))

    def clear(self) -> None:
        """Remove all keys, after capacity was released."""
        self._keys.clear()


def _placement_key(demand: ordering.Demand) -> tuple[object, ...]:
    """Return all properties of a unit on which its placement depends."""
    step = demand.unit.step
    limited_step = fleet.step_name(demand.unit.members[0].key) if step.per_worker_max else ""
    return (
        step.counted_resources,
        step.required_label,
        step.data_rack,
        step.is_same_rack,
        step.is_lasting,
        len(demand.unit.members),
        demand.unit.failed_nodes,
        demand.unit.failures > 0,
        # Work that ends before a claim begins fits where longer work does not.
        step.estimate_ms,
        _has_waited_long(demand),
        _may_repeat(demand),
        limited_step,
    )


def _has_waited_long(demand: ordering.Demand) -> bool:
    estimate_s = demand.unit.step.estimate_ms / MILLISECONDS_PER_SECOND
    return demand.waited_s >= REMOTE_AFTER_ESTIMATES * estimate_s


def _may_repeat(demand: ordering.Demand) -> bool:
    """Return whether a unit may run where it failed or was refused, if no other worker can hold it.

    A refused start costs no attempt, and tasks that last have no limit of attempts. Members of a
    gang that fail on several workers in one run most likely failed by the gang's own fault, so that
    waiting for other workers would not help.
    """
    unit = demand.unit
    if not unit.failed_nodes:
        return False
    if unit.failures > 0 and not unit.step.is_lasting and not unit.has_failed_widely:
        return False
    return demand.waited_s >= _repeat_pause_s(unit)


def _repeat_pause_s(unit: units.Unit) -> float:
    """Return the pause before a unit may run where it failed or was refused, in seconds.

    Workers may fail all they start for some seconds. The last attempt waits for as long as a worker
    is ejected, so that a unit does not use up all its attempts within such a time.
    """
    has_attempts_to_save = unit.failures > 0 and not unit.step.is_lasting
    is_last_attempt = unit.failures + 1 >= unit.job.attempts
    has_newest_run_failed = unit.failed_run == unit.next_run - 1
    if has_attempts_to_save and is_last_attempt and has_newest_run_failed:
        return health.EJECTION_S
    return health.repeat_pause_s(unit.next_run - 1)


def _reserve(demand: ordering.Demand, nodes: tuple[str, ...], free: fleet.FreeCapacity) -> None:
    for task, node in zip(demand.unit.members, nodes, strict=True):
        free.reserve(node, task.step.counted_resources, fleet.step_name(task.key))
        free.begin_trial(node, placement.unit_name(demand))


def _release(victim: preemption.Victim, free: fleet.FreeCapacity) -> None:
    for task in victim.unit.members:
        if task.is_assigned:
            free.release(task.record.node, task.step.counted_resources, fleet.step_name(task.key))
