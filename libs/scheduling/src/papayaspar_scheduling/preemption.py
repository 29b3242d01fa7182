"""Selection of the units to stop for urgent work, by the cost of the work that is lost."""

import abc

import attrs

from papayaspar_jobs import progress, specs
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

    unit: progress.Unit
    rank: ordering.Rank
    cost_core_s: float


# Urgent work beyond its team's guarantee may cause a loss of other work up to this share of its own
# work: with a larger loss, fewer callers are served than if it waits.
URGENT_COST_RATIO_MAX = 0.5
# The same share while the urgent work is late but not about to become worthless: its value does not
# change in this period, so that only units that lose almost no work are stopped for it.
LATE_COST_RATIO_MAX = 0.1


def estimated_work_core_s(unit: progress.Unit) -> float:
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


def lost_work_core_s(unit: progress.Unit, now_s: float) -> float:
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
        victims: list[Victim],
    ) -> tuple[Victim, ...] | None:
        """Return the units to stop so that a demand fits on a set of workers, or ``None``.

        :param demand: demand of the unit that needs the capacity.
        :param group: workers on which the unit must fit.
        :param free: free capacity, including that of units that are being stopped.
        :param victims: units that may be stopped.
        """


class LowestCostPreemption(PreemptionPolicy):
    """Free capacity for one member at a time, each on the worker with the lowest cost."""

    def choose(
        self,
        demand: ordering.Demand,
        group: list[fleet.Worker],
        free: fleet.FreeCapacity,
        victims: list[Victim],
    ) -> tuple[Victim, ...] | None:
        """Return the units that a greedy search for the lowest cost selects."""
        resources = demand.unit.step.counted_resources
        trial = free.copy()
        by_node = _victims_by_node(victims)
        chosen: list[Victim] = []
        for _ in demand.unit.members:
            best = self._lowest_cost_worker(resources, group, trial, by_node, chosen)
            if best is None:
                return None
            node, node_victims = best
            for victim in node_victims:
                chosen.append(victim)
                _release(victim, trial)
            trial.reserve(node, resources)
        return tuple(chosen)

    def _lowest_cost_worker(
        self,
        resources: specs.Resources,
        group: list[fleet.Worker],
        trial: fleet.FreeCapacity,
        by_node: dict[str, list[Victim]],
        chosen: list[Victim],
    ) -> tuple[str, list[Victim]] | None:
        best: tuple[str, list[Victim]] | None = None
        best_cost = 0.0
        for worker in group:
            available = trial.free(worker.node)
            node_victims: list[Victim] = []
            cost = 0.0
            for victim in by_node.get(worker.node, ()):
                if available.holds(resources):
                    break
                if victim in chosen:
                    continue
                node_victims.append(victim)
                cost += victim.cost_core_s
                for task in victim.unit.members:
                    if task.record.node == worker.node and task.is_assigned:
                        available = available.plus(task.step.counted_resources)
            if not available.holds(resources):
                continue
            if best is None or cost < best_cost:
                best, best_cost = (worker.node, node_victims), cost
        return best


def _victims_by_node(victims: list[Victim]) -> dict[str, list[Victim]]:
    """Return the victims on each VM, sorted by urgency and then by cost, lowest first."""
    by_node: dict[str, list[Victim]] = {}
    for victim in sorted(victims, key=lambda victim: (-victim.rank, victim.cost_core_s)):
        for node in {task.record.node for task in victim.unit.members if task.is_assigned}:
            by_node.setdefault(node, []).append(victim)
    return by_node


def _release(victim: Victim, trial: fleet.FreeCapacity) -> None:
    for task in victim.unit.members:
        if task.is_assigned:
            trial.release(task.record.node, task.step.counted_resources)
