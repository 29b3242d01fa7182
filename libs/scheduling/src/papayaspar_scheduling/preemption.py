"""What is stopped to make room for urgent work: the units that are cheapest to lose."""

import abc

import attrs

from papayaspar_jobs import progress, specs
from papayaspar_scheduling import fleet, ordering

# An accelerator counts as so many cores when work is thrown away (rules page, prices).
CORES_PER_ACCELERATOR = 8.0
MILLICORES_PER_CORE = 1000.0
MILLISECONDS_PER_SECOND = 1000.0
# Cost of a restart besides the work that is lost, in core-seconds: keeps idle choices stable.
RESTART_CORE_S = 4.0


@attrs.frozen(eq=False)
class Victim:
    """A running unit that may be stopped.

    :param unit: the unit.
    :param rank: its class.
    :param cost_core_s: work that is lost with it, in core-seconds.
    """

    unit: progress.Unit
    rank: ordering.Rank
    cost_core_s: float


# Urgent work beyond a guarantee may cost others at most this share of its own work: throwing away
# more than that serves fewer callers than letting it wait.
URGENT_COST_RATIO = 0.5
# The same while it is late and not about to become useless: what it is worth does not change then,
# so that only work that loses next to nothing is stopped.
LATE_COST_RATIO = 0.1


def own_work_core_s(unit: progress.Unit) -> float:
    """Return the estimated work of a unit, in core-seconds."""
    seconds = unit.step.estimate_ms / MILLISECONDS_PER_SECOND
    return _cores(unit.step) * seconds * len(unit.members)


def _cores(step: specs.Step) -> float:
    cores = step.room.cpu_millicores / MILLICORES_PER_CORE
    return cores + step.room.accelerators * CORES_PER_ACCELERATOR


def is_worth(demand: ordering.Demand, cost_core_s: float, now_s: float) -> bool:
    """Return whether work may be thrown away for a demand.

    :param demand: what needs room.
    :param cost_core_s: work that is lost.
    :param now_s: the lead's clock.
    """
    if demand.rank is ordering.Rank.GUARANTEED:
        return True
    finish_s = now_s + demand.remaining_s
    if finish_s > demand.lost_s:
        return False
    is_in_time = finish_s <= demand.objective_s
    is_last_chance = finish_s + demand.remaining_s > demand.lost_s
    ratio = URGENT_COST_RATIO if is_in_time or is_last_chance else LATE_COST_RATIO
    return cost_core_s <= ratio * own_work_core_s(demand.unit)


def lost_work_core_s(unit: progress.Unit, now_s: float) -> float:
    """Return the work that stopping a unit throws away, in core-seconds.

    A checkpointed task loses next to nothing, since a stop saves its progress.
    """
    cores = _cores(unit.step)
    total = RESTART_CORE_S * len(unit.members)
    if unit.step.is_checkpointed:
        return total
    for task in unit.members:
        if task.is_assigned:
            total += max(0.0, now_s - task.started_s) * cores
    return total


class PreemptionPolicy(abc.ABC):
    """Chooses what to stop."""

    @abc.abstractmethod
    def choose(
        self,
        demand: ordering.Demand,
        group: list[fleet.Worker],
        free: fleet.FreeRoom,
        victims: list[Victim],
    ) -> tuple[Victim, ...] | None:
        """Return the units whose end makes room on a set of workers, or ``None``.

        :param demand: what needs room.
        :param group: workers within which it must fit.
        :param free: room that is left, with what is being stopped given back.
        :param victims: what may be stopped.
        """


class CheapestUnits(PreemptionPolicy):
    """Frees one place after the other, each time where it costs least."""

    def choose(
        self,
        demand: ordering.Demand,
        group: list[fleet.Worker],
        free: fleet.FreeRoom,
        victims: list[Victim],
    ) -> tuple[Victim, ...] | None:
        """Return the cheapest units found by taking places greedily."""
        room = demand.unit.step.counted_room
        trial = free.copy()
        by_node = _by_node(victims)
        chosen: list[Victim] = []
        for _ in demand.unit.members:
            best = self._cheapest_place(room, group, trial, by_node, chosen)
            if best is None:
                return None
            node, stopped = best
            for victim in stopped:
                chosen.append(victim)
                _release(victim, trial)
            trial.take(node, room)
        return tuple(chosen)

    def _cheapest_place(
        self,
        room: specs.Room,
        group: list[fleet.Worker],
        trial: fleet.FreeRoom,
        by_node: dict[str, list[Victim]],
        chosen: list[Victim],
    ) -> tuple[str, list[Victim]] | None:
        best: tuple[str, list[Victim]] | None = None
        best_cost = 0.0
        for worker in group:
            left = trial.free(worker.node)
            stopped: list[Victim] = []
            cost = 0.0
            for victim in by_node.get(worker.node, ()):
                if left.holds(room):
                    break
                if victim in chosen:
                    continue
                stopped.append(victim)
                cost += victim.cost_core_s
                for task in victim.unit.members:
                    if task.record.node == worker.node and task.is_assigned:
                        left = left.plus(task.step.counted_room)
            if not left.holds(room):
                continue
            if best is None or cost < best_cost:
                best, best_cost = (worker.node, stopped), cost
        return best


def _by_node(victims: list[Victim]) -> dict[str, list[Victim]]:
    found: dict[str, list[Victim]] = {}
    for victim in sorted(victims, key=lambda each: (-each.rank, each.cost_core_s)):
        for node in {task.record.node for task in victim.unit.members if task.is_assigned}:
            found.setdefault(node, []).append(victim)
    return found


def _release(victim: Victim, trial: fleet.FreeRoom) -> None:
    for task in victim.unit.members:
        if task.is_assigned:
            trial.give_back(task.record.node, task.step.counted_room)
