"""Evictions in progress: the capacity of preempted units is reserved for a waiting unit.

Units for which others are stopped later may be more urgent. They don't take that capacity: the
stops would be repeated elsewhere.
"""

import attrs

from papayaspar_jobs import tasks, units
from papayaspar_scheduling import ordering, preemption

# A stop counts as failed when its run has not ended within this time, in seconds: the longest stop
# in the site files takes 0.9 s, and one poll of the worker may get no answer for 0.8 s
# (`worker_control.CALL_TIMEOUT_S`).
STOP_TIMEOUT_S = 2.0


@attrs.frozen(eq=False)
class Eviction:
    """Eviction of preempted units to free capacity for one waiting unit.

    :param nodes: VM that is reserved for each member of the waiting unit.
    :param runs: preempted tasks, each with the number of its run.
    :param begun_s: when the first eviction for the unit began, on the lead's clock.
    :param deadline_s: when stops that are not complete count as failed, on the lead's clock.
    """

    nodes: tuple[str, ...]
    runs: tuple[tuple[units.Task, int], ...]
    begun_s: float
    deadline_s: float

    def is_in_progress(self, now_s: float) -> bool:
        """Return whether a preempted run has not ended yet and the deadline has not passed."""
        if now_s >= self.deadline_s:
            return False
        return any(task.is_stopping and task.record.run == run for task, run in self.runs)


class Evictions:
    """Evictions in progress, by the first task of the unit for which they free capacity."""

    def __init__(self) -> None:
        self._by_task: dict[tasks.TaskKey, Eviction] = {}

    def begin(
        self,
        demand: ordering.Demand,
        nodes: tuple[str, ...],
        victims: tuple[preemption.Victim, ...],
        now_s: float,
    ) -> None:
        """Record an eviction that frees capacity for a demand.

        :param demand: demand of the unit that needs the capacity.
        :param nodes: VM that is reserved for each member of its unit.
        :param victims: units that are stopped.
        :param now_s: the lead's clock.
        """
        runs = tuple(
            (task, task.record.run)
            for victim in victims
            for task in victim.unit.members
            if task.is_assigned
        )
        key = demand.unit.members[0].key
        former = self._by_task.get(key)
        begun_s = former.begun_s if former is not None else now_s
        self._by_task[key] = Eviction(nodes, runs, begun_s, now_s + STOP_TIMEOUT_S)

    def end(self, demand: ordering.Demand) -> None:
        """Remove the eviction for a demand whose unit starts, if there is one."""
        self._by_task.pop(demand.unit.members[0].key, None)

    def begun_s(self, demand: ordering.Demand) -> float:
        """Return when units were first stopped for a demand, on the lead's clock.

        It is ``inf`` if none were, or if their time has passed.
        """
        eviction = self._by_task.get(demand.unit.members[0].key)
        return eviction.begun_s if eviction is not None else float("inf")

    def nodes(self, demand: ordering.Demand, now_s: float) -> tuple[str, ...] | None:
        """Return the VMs reserved for a demand while its eviction is in progress, or ``None``."""
        eviction = self._by_task.get(demand.unit.members[0].key)
        if eviction is None or not eviction.is_in_progress(now_s):
            return None
        return eviction.nodes

    def release_nodes(self, nodes: frozenset[str]) -> None:
        """Remove the evictions that free capacity on any of the given VMs."""
        for key, eviction in list(self._by_task.items()):
            if not nodes.isdisjoint(eviction.nodes):
                del self._by_task[key]

    def prune(self, now_s: float) -> None:
        """Remove the evictions whose deadline has passed."""
        for key, eviction in list(self._by_task.items()):
            if now_s >= eviction.deadline_s:
                del self._by_task[key]
