"""Selection of the units to stop for urgent work, by the cost of the work that is lost."""

import abc
from collections.abc import Callable, Container, Iterable, Mapping, Sequence

import attrs

from papayaspar_jobs import durations, units
from papayaspar_scheduling import fleet, ordering, stop_costs

# Urgent work beyond its team's guarantee may cause a loss of other work up to this share of its own
# work: with a larger loss, fewer callers are served than if it waits.
URGENT_COST_RATIO_MAX = 0.5
# The same share while a stop does not change the value of the urgent work, and the loss in seconds
# of its own resources, so that only units that lose little more than their restart are stopped.
UNCHANGED_VALUE_COST_RATIO_MAX = 0.1
UNCHANGED_VALUE_COST_S_MAX = 1.0
# Weight of lost work by the rank of its job: the objective of a higher rank leaves less time for a
# repetition.
RANK_WEIGHTS = {
    ordering.Rank.GUARANTEED: 4.0,
    ordering.Rank.URGENT: 4.0,
    ordering.Rank.NORMAL: 2.0,
    ordering.Rank.BULK: 1.0,
}


@attrs.frozen(eq=False)
class Victim:
    """A running unit that may be preempted.

    :param unit: the unit.
    :param rank: rank of its job.
    :param cost_core_s: cost of stopping it, in core-seconds (`stop_costs.StopCost`).
    """

    unit: units.Unit
    rank: ordering.Rank
    cost_core_s: float

    @property
    def nodes(self) -> frozenset[str]:
        """VMs on which the unit runs."""
        return frozenset(task.record.node for task in self.unit.members if task.is_assigned)

    @property
    def weighed_core_s(self) -> float:
        """Cost by which victims are compared, in core-seconds."""
        return self.cost_core_s * RANK_WEIGHTS[self.rank]

    @property
    def shared_core_s(self) -> float:
        """Cost for each VM on which the unit makes room, in core-seconds."""
        return self.weighed_core_s / max(1, len(self.nodes))


class VictimIndex:
    """The units of a planning round that may be preempted, by VM.

    :param victims: running units.
    """

    def __init__(self, victims: Iterable[Victim]) -> None:
        self._by_node: dict[str, list[Victim]] = {}
        # Whether any unit runs on several VMs.
        self.has_spread_units = False
        for victim in sorted(victims, key=lambda victim: (victim.weighed_core_s, -victim.rank)):
            nodes = victim.nodes
            self.has_spread_units = self.has_spread_units or len(nodes) > 1
            for node in nodes:
                self._by_node.setdefault(node, []).append(victim)

    def on_node(self, node: str) -> Sequence[Victim]:
        """Return the units on a VM, the lowest cost first, and then the lowest rank."""
        return self._by_node.get(node, ())

    def remove(self, victim: Victim) -> None:
        """Remove a unit that was chosen to be stopped."""
        for node in victim.nodes:
            self._by_node[node].remove(victim)


def is_justified(
    demand: ordering.Demand,
    cost_core_s: float,
    now_s: float,
    starts_in_s: float,
    estimates: durations.DurationEstimates,
) -> bool:
    """Return whether a demand justifies the loss of other work.

    A guarantee holds whatever it costs, but nothing is stopped for work that has already begun and
    can't end before it is worthless.

    :param demand: demand of the unit that needs the capacity.
    :param cost_core_s: work that would be lost, in core-seconds.
    :param now_s: the lead's clock.
    :param starts_in_s: time after which the unit would start without any stop, in seconds.
    :param estimates: expected run times.
    """
    is_worthless = stop_costs.value_share(demand, now_s) <= 0.0
    if demand.rank is ordering.Rank.GUARANTEED:
        return not (is_worthless and demand.unit.job.has_started)
    if is_worthless:
        return False
    work_core_s = stop_costs.work_core_s(demand.unit, estimates)
    if stop_costs.gain_core_s(demand, now_s, starts_in_s, estimates) > 0.0:
        return cost_core_s <= URGENT_COST_RATIO_MAX * work_core_s
    demand_cores = stop_costs.cores(demand.unit.step) * len(demand.unit.members)
    return cost_core_s <= min(
        UNCHANGED_VALUE_COST_RATIO_MAX * work_core_s, UNCHANGED_VALUE_COST_S_MAX * demand_cores
    )


class PreemptionPolicy(abc.ABC):
    """Choose the units to preempt."""

    @abc.abstractmethod
    def choose(
        self,
        demand: ordering.Demand,
        group: list[fleet.Worker],
        free: fleet.FreeCapacity,
        victims: VictimIndex,
    ) -> tuple[Victim, ...] | None:
        """Return the units to stop so that a demand fits on a set of workers, or ``None``.

        :param demand: demand of the unit that needs the capacity.
        :param group: workers on which the unit must fit.
        :param free: free capacity, including that of units that are being stopped.
        :param victims: running units, of which those of a lower rank may be stopped.
        """


@attrs.frozen
class _Option:
    """Victims that must be stopped so that one member fits on a worker, and their cost."""

    cost_core_s: float
    victims: tuple[Victim, ...]


class LowestCostPreemption(PreemptionPolicy):
    """Free capacity for one member at a time, each on the worker with the lowest cost.

    To stop a gang may cost more than any single task and still make room for several members. So
    the search is repeated with the cost of each unit shared by the VMs on which it makes room, and
    the cheaper choice counts.
    """

    def choose(
        self,
        demand: ordering.Demand,
        group: list[fleet.Worker],
        free: fleet.FreeCapacity,
        victims: VictimIndex,
    ) -> tuple[Victim, ...] | None:
        """Return the units that the cheaper of two greedy searches selects."""
        best: tuple[Victim, ...] | None = None
        for cost_of in (_weighed_cost, _shared_cost):
            chosen = self._search(demand, group, free, victims, cost_of)
            if chosen is None:
                continue
            chosen = _without_unneeded(chosen, demand, group, free)
            if best is None or weighed_cost(chosen) < weighed_cost(best):
                best = chosen
            if len(demand.unit.members) == 1 or not victims.has_spread_units:
                break
        return best

    def _search(
        self,
        demand: ordering.Demand,
        group: list[fleet.Worker],
        free: fleet.FreeCapacity,
        victims: VictimIndex,
        cost_of: Callable[[Victim], float],
    ) -> tuple[Victim, ...] | None:
        resources = demand.unit.step.counted_resources
        trial = free.copy()
        chosen: dict[Victim, None] = {}
        options: dict[str, _Option | None] = {}

        def find_option(node: str) -> _Option | None:
            return self._option(node, demand, trial, victims, chosen, cost_of)

        for worker in group:
            options[worker.node] = find_option(worker.node)
        for _ in demand.unit.members:
            node = _cheapest_node(options)
            if node is None:
                return None
            option = options[node]
            assert option is not None
            changed_nodes = {node}
            for victim in option.victims:
                chosen[victim] = None
                _release(victim, trial)
                changed_nodes |= victim.nodes
            trial.reserve(node, resources)
            for changed_node in changed_nodes:
                if changed_node not in options:
                    continue
                options[changed_node] = find_option(changed_node)
        return tuple(chosen)

    def _option(
        self,
        node: str,
        demand: ordering.Demand,
        trial: fleet.FreeCapacity,
        victims: VictimIndex,
        chosen: Container[Victim],
        cost_of: Callable[[Victim], float],
    ) -> _Option | None:
        """Return the cheapest way to fit one member on a worker, or ``None`` if there is none."""
        resources = demand.unit.step.counted_resources
        available = trial.free(node)
        node_victims: list[Victim] = []
        cost_core_s = 0.0
        for victim in victims.on_node(node):
            if available.holds(resources):
                break
            if victim.rank <= demand.rank or victim in chosen:
                continue
            node_victims.append(victim)
            cost_core_s += cost_of(victim)
            for task in victim.unit.members:
                if task.record.node == node and task.is_assigned:
                    available = available.plus(task.step.counted_resources)
        if not available.holds(resources):
            return None
        return _Option(cost_core_s, tuple(node_victims))


def weighed_cost(chosen: Iterable[Victim]) -> float:
    """Return the cost by which sets of victims are compared, in core-seconds."""
    return sum(victim.weighed_core_s for victim in chosen)


def _weighed_cost(victim: Victim) -> float:
    return victim.weighed_core_s


def _shared_cost(victim: Victim) -> float:
    return victim.shared_core_s


def _without_unneeded(
    chosen: tuple[Victim, ...],
    demand: ordering.Demand,
    group: list[fleet.Worker],
    free: fleet.FreeCapacity,
) -> tuple[Victim, ...]:
    """Return the victims without those for whose room the others make up, the dearest first.

    A gang that was chosen late may make room on the VM of a unit that was chosen before.
    """
    needed = list(chosen)
    if len(needed) < 2:
        return chosen
    trial = free.copy()
    for victim in needed:
        _release(victim, trial)
    for victim in sorted(chosen, key=_weighed_cost, reverse=True):
        _reserve(victim, trial)
        if _fits(demand, group, trial):
            needed.remove(victim)
            continue
        _release(victim, trial)
    return tuple(needed)


def _fits(demand: ordering.Demand, group: list[fleet.Worker], free: fleet.FreeCapacity) -> bool:
    """Return whether all members of a unit fit on a set of workers."""
    step = demand.unit.step
    step_name = fleet.step_name(demand.unit.members[0].key)
    missing_count = len(demand.unit.members)
    for worker in group:
        remaining = free.free(worker.node)
        step_count = free.count(worker.node, step_name)
        while missing_count and remaining.holds(step.counted_resources):
            if step.per_worker_max and step_count >= step.per_worker_max:
                break
            remaining = remaining.minus(step.counted_resources)
            step_count += 1
            missing_count -= 1
        if not missing_count:
            return True
    return False


def _cheapest_node(options: Mapping[str, _Option | None]) -> str | None:
    """Return the first node with the lowest cost, or ``None`` if no node has an option."""
    best: str | None = None
    best_cost = 0.0
    for node, option in options.items():
        if option is None:
            continue
        if best is None or option.cost_core_s < best_cost:
            best, best_cost = node, option.cost_core_s
    return best


def _release(victim: Victim, trial: fleet.FreeCapacity) -> None:
    for task in victim.unit.members:
        if task.is_assigned:
            trial.release(task.record.node, task.step.counted_resources)


def _reserve(victim: Victim, trial: fleet.FreeCapacity) -> None:
    for task in victim.unit.members:
        if task.is_assigned:
            trial.reserve(task.record.node, task.step.counted_resources)
