"""Evictions in progress: the capacity of preempted units is reserved for a waiting unit.

The reservation holds until the unit starts, a stop fails, or the room does not come in time. The
room of a stopped run is not free as soon as its end is known, since its worker lists it a little
longer; and units for which others are stopped later may be more urgent. Either would have the stops
repeated elsewhere.
"""

import attrs

from papayaspar_jobs import tasks, units
from papayaspar_scheduling import ordering, preemption

# A stop counts as failed when its run has not ended within this time, in seconds: the longest stop
# in the site files takes 0.9 s, and one poll of the worker may get no answer for 0.8 s
# (`worker_control.CALL_TIMEOUT_S`).
STOP_TIMEOUT_S = 2.0
# Time from the end of the last stopped run until its worker's list must show the room, in seconds;
# then the unit looks for room elsewhere. A polled worker is asked again at once after an end.
ROOM_TIMEOUT_S = 0.5


@attrs.define(eq=False)
class Eviction:
    """Eviction of preempted units to free capacity for one waiting unit.

    :param nodes: VM that is reserved for each member of the waiting unit.
    :param runs: preempted tasks, each with the number of its run.
    :param begun_s: when the first eviction for the unit began, on the lead's clock.
    :param deadline_s: when stops that are not complete count as failed, on the lead's clock.
    :param ended_s: when all preempted runs were seen to have ended, on the lead's clock, or
        ``None``.
    """

    nodes: tuple[str, ...]
    runs: tuple[tuple[units.Task, int], ...]
    begun_s: float
    deadline_s: float
    ended_s: float | None = None

    def note_ends(self, now_s: float) -> None:
        """Note when all preempted runs have ended; to be called in each planning round."""
        if self.ended_s is None and not self._running():
            self.ended_s = now_s

    def is_in_progress(self, now_s: float) -> bool:
        """Return whether the capacity is being freed, or was freed a moment ago.

        It is not if runs have not ended and none of them is being stopped: their stops failed.
        """
        if now_s >= self.deadline_s:
            return False
        if self.ended_s is not None:
            return now_s < self.ended_s + ROOM_TIMEOUT_S
        return any(task.is_stopping for task in self._running())

    def _running(self) -> list[units.Task]:
        """Return the preempted tasks whose runs have not ended."""
        return [task for task, run in self.runs if task.is_assigned and task.record.run == run]


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
        """Note the ends of preempted runs, and remove the evictions whose deadline has passed."""
        for key, eviction in list(self._by_task.items()):
            eviction.note_ends(now_s)
            if now_s >= eviction.deadline_s:
                del self._by_task[key]
