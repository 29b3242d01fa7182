"""Selection of the units to stop for urgent work, by the cost of the work that is lost."""

import abc
from collections.abc import Container, Iterable, Mapping, Sequence

import attrs

from papayaspar_jobs import specs, units
from papayaspar_scheduling import fleet, ordering

# Number of cores that one accelerator counts as in the cost of lost work (prices in the platform's
# rules).
CORES_PER_ACCELERATOR = 8.0
MILLICORES_PER_CORE = 1000.0
MILLISECONDS_PER_SECOND = 1000.0
# Cost of restarting a task in addition to its lost work, in core-seconds: avoids preemptions that
# gain nothing.
RESTART_COST_CORE_S = 4.0


@attrs.frozen(eq=False)
class Victim:
    """A running unit that may be preempted.

    :param unit: the unit.
    :param rank: rank of its job.
    :param cost_core_s: work that is lost when it is stopped, in core-seconds.
    """

    unit: units.Unit
    rank: ordering.Rank
    cost_core_s: float

    @property
    def nodes(self) -> frozenset[str]:
        """VMs on which the unit runs."""
        return frozenset(task.record.node for task in self.unit.members if task.is_assigned)


class VictimIndex:
    """The units of a planning round that may be preempted, by VM.

    :param victims: running units.
    """

    def __init__(self, victims: Iterable[Victim]) -> None:
        self._by_node: dict[str, list[Victim]] = {}
        for victim in sorted(victims, key=lambda victim: (-victim.rank, victim.cost_core_s)):
            for node in victim.nodes:
                self._by_node.setdefault(node, []).append(victim)

    def on_node(self, node: str) -> Sequence[Victim]:
        """Return the units on a VM, the lowest rank first, and then the lowest cost."""
        return self._by_node.get(node, ())

    def remove(self, victim: Victim) -> None:
        """Remove a unit that was chosen to be stopped."""
        for node in victim.nodes:
            self._by_node[node].remove(victim)


# Urgent work beyond its team's guarantee may cause a loss of other work up to this share of its own
# work: with a larger loss, fewer callers are served than if it waits.
URGENT_COST_RATIO_MAX = 0.5
# The same share while the urgent work is late but not about to become worthless: its value does not
# change in this period, so that only units that lose almost no work are stopped for it.
LATE_COST_RATIO_MAX = 0.1


def estimated_work_core_s(unit: units.Unit) -> float:
    """Return the estimated work of a unit, in core-seconds."""
    estimate_s = unit.step.estimate_ms / MILLISECONDS_PER_SECOND
    return _cores(unit.step) * estimate_s * len(unit.members)


def _cores(step: specs.Step) -> float:
    """Return the resources of one task of a step, in cores."""
    cores = step.room.cpu_millicores / MILLICORES_PER_CORE
    return cores + step.room.accelerators * CORES_PER_ACCELERATOR


def is_justified(demand: ordering.Demand, cost_core_s: float, now_s: float) -> bool:
    """Return whether a demand justifies the loss of other work.

    :param demand: demand of the unit that needs the capacity.
    :param cost_core_s: work that would be lost, in core-seconds.
    :param now_s: the lead's clock.
    """
    if demand.rank is ordering.Rank.GUARANTEED:
        return True
    finish_s = now_s + demand.remaining_s
    if finish_s > demand.worthless_s:
        return False
    is_in_time = finish_s <= demand.objective_s
    is_last_chance = finish_s + demand.remaining_s > demand.worthless_s
    ratio_max = URGENT_COST_RATIO_MAX if is_in_time or is_last_chance else LATE_COST_RATIO_MAX
    return cost_core_s <= ratio_max * estimated_work_core_s(demand.unit)


def lost_work_core_s(unit: units.Unit, now_s: float) -> float:
    """Return the cost of stopping a unit, in core-seconds.

    A checkpointed task costs only its restart, since a stop saves its progress.
    """
    cores = _cores(unit.step)
    total = RESTART_COST_CORE_S * len(unit.members)
    if unit.step.is_checkpointed:
        return total
    for task in unit.members:
        if task.is_assigned:
            total += max(0.0, now_s - task.started_s) * cores
    return total


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
    """Free capacity for one member at a time, each on the worker with the lowest cost."""

    def choose(
        self,
        demand: ordering.Demand,
        group: list[fleet.Worker],
        free: fleet.FreeCapacity,
        victims: VictimIndex,
    ) -> tuple[Victim, ...] | None:
        """Return the units that a greedy search for the lowest cost selects."""
        resources = demand.unit.step.counted_resources
        trial = free.copy()
        chosen: dict[Victim, None] = {}
        options: dict[str, _Option | None] = {}
        for worker in group:
            options[worker.node] = self._option(worker.node, demand, trial, victims, chosen)
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
                options[changed_node] = self._option(changed_node, demand, trial, victims, chosen)
        return tuple(chosen)

    def _option(
        self,
        node: str,
        demand: ordering.Demand,
        trial: fleet.FreeCapacity,
        victims: VictimIndex,
        chosen: Container[Victim],
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
            cost_core_s += victim.cost_core_s
            for task in victim.unit.members:
                if task.record.node == node and task.is_assigned:
                    available = available.plus(task.step.counted_resources)
        if not available.holds(resources):
            return None
        return _Option(cost_core_s, tuple(node_victims))


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
