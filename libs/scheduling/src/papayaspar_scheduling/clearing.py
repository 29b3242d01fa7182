"""Room that is made by stopping work, held for the unit that it was made for."""

import attrs

from papayaspar_jobs import progress, tasks
from papayaspar_scheduling import ordering, preemption

# A stop has failed when its run has not ended after so long, in seconds: the longest stop of the
# site files takes 0.9 s, and one look at the worker may get no answer for 0.8 s
# (`keeper.CALL_TIMEOUT_S`).
STOP_MAX_S = 2.0


@attrs.frozen(eq=False)
class Clearing:
    """Work that was told to stop for one unit.

    :param nodes: machine of each member of the unit.
    :param runs: tasks that were told to stop, with their run.
    :param until_s: when stops that have not ended have failed, on the lead's clock.
    """

    nodes: tuple[str, ...]
    runs: tuple[tuple[progress.Task, int], ...]
    until_s: float

    def is_under_way(self, now_s: float) -> bool:
        """Return whether a run is still being stopped."""
        if now_s >= self.until_s:
            return False
        return any(task.is_stopping and task.record.run == run for task, run in self.runs)


class Clearings:
    """What is being cleared, by the first task of the unit that it is for."""

    def __init__(self) -> None:
        self._by_task: dict[tasks.TaskKey, Clearing] = {}

    def begin(
        self,
        demand: ordering.Demand,
        nodes: tuple[str, ...],
        victims: tuple[preemption.Victim, ...],
        now_s: float,
    ) -> None:
        """Note that victims are told to stop for a demand.

        :param demand: what needs room.
        :param nodes: machine of each member of its unit.
        :param victims: what is stopped.
        :param now_s: the lead's clock.
        """
        runs = tuple(
            (task, task.record.run)
            for victim in victims
            for task in victim.unit.members
            if task.is_assigned
        )
        self._by_task[demand.unit.members[0].key] = Clearing(nodes, runs, now_s + STOP_MAX_S)

    def nodes(self, demand: ordering.Demand, now_s: float) -> tuple[str, ...] | None:
        """Return the machines that are being cleared for a demand, or ``None``."""
        clearing = self._by_task.get(demand.unit.members[0].key)
        if clearing is None or not clearing.is_under_way(now_s):
            return None
        return clearing.nodes

    def prune(self, now_s: float) -> None:
        """Forget clearings that have come to an end."""
        for key, clearing in list(self._by_task.items()):
            if now_s >= clearing.until_s:
                del self._by_task[key]
