"""Counts of a unit's members by phase, and of what its runs have come to."""

import attrs

from papayaspar_jobs import tasks


@attrs.define(eq=False)
class PhaseCounts:
    """Number of members of a unit in each phase.

    :param waiting: members that wait to be started.
    :param assigned: members that are assigned to a worker.
    :param done: members that have completed successfully.
    """

    waiting: int = 0
    assigned: int = 0
    done: int = 0

    def change(self, phase: tasks.TaskPhase, difference: int) -> None:
        """Change the count of a phase by a difference."""
        if phase is tasks.TaskPhase.WAITING:
            self.waiting += difference
        elif phase is tasks.TaskPhase.ASSIGNED:
            self.assigned += difference
        elif phase is tasks.TaskPhase.DONE:
            self.done += difference


@attrs.define(eq=False)
class StopHistory:
    """Stops of a unit under this lead; a run counts once, however many members are stopped.

    :param newest_run: number of the newest run whose stop was counted, or 0.
    :param lost_core_s: work that the stops have lost, in core-seconds.
    """

    newest_run: int = 0
    lost_core_s: float = 0.0

    def count(self, run: int, lost_core_s: float) -> bool:
        """Count the stop of a run; return whether it was not counted before.

        :param run: number of the run.
        :param lost_core_s: work that the stop loses, in core-seconds.
        """
        if run <= self.newest_run:
            return False
        self.newest_run = run
        self.lost_core_s += lost_core_s
        return True


@attrs.define(eq=False)
class FailedNodes:
    """VMs on which members of the newest failed run of a unit have failed.

    :param run: number of the run, or 0.
    :param nodes: the VMs, as far as this lead was told of the failures.
    :param stored_nodes: the VMs of members whose failure a former lead stored.
    :param former_nodes: VMs on which earlier runs failed under this lead.
    """

    run: int = 0
    nodes: set[str] = attrs.field(factory=set)
    stored_nodes: set[str] = attrs.field(factory=set)
    former_nodes: set[str] = attrs.field(factory=set)

    @property
    def count(self) -> int:
        """Number of VMs on which the run failed."""
        return len(self.nodes | self.stored_nodes)

    def note(self, run: int, node: str) -> bool:
        """Note on which VM a member of a run failed; return whether it is the first one there.

        :param run: number of the run.
        :param node: VM of the member.
        """
        self._begin(run)
        is_first = node not in self.nodes
        self.nodes.add(node)
        return is_first

    def note_stored(self, run: int, node: str) -> None:
        """Note on which VM a member of a run failed, as its record shows."""
        if run >= self.run:
            self._begin(run)
            self.stored_nodes.add(node)

    def _begin(self, run: int) -> None:
        if run == self.run:
            return
        self.run = run
        self.former_nodes |= self.nodes
        self.nodes.clear()
        self.stored_nodes.clear()
