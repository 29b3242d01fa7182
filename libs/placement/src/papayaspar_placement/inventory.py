"""State of workers and racks as seen by one entry."""

import attrs

from papayaspar_model import workers
from papayaspar_placement import homes


@attrs.frozen
class Ownership:
    """The reservation of an accelerator.

    :param team: the team it is reserved for.
    :param instance: the instance of the team's guarantee.
    """

    team: str
    instance: homes.InstanceName


@attrs.define
class WorkerView:
    """State of one worker.

    :param report: its newest report.
    :param owners: the reservation of each accelerator that belongs to a home.
    :param assumed: gangs started by this process that the worker has not reported yet.
    :param jobs: jobs that have a gang on this worker.
    :param is_ejected: whether it is ejected or lost, and so excluded from placement.
    :param is_avoided: whether it is chosen only when nothing else fits.
    :param movable: number of accelerators that are free or held by gangs that checkpoint.
    :param free: accelerators that no gang holds, ascending.
    :param unreserved: free accelerators that belong to no home, ascending.
    """

    report: workers.WorkerReport
    owners: dict[int, Ownership] = attrs.field(factory=dict)
    assumed: dict[str, workers.GangUse] = attrs.field(factory=dict)
    jobs: set[str] = attrs.field(factory=set)
    is_ejected: bool = False
    is_avoided: bool = False
    movable: int = 0
    free: tuple[int, ...] = ()
    unreserved: tuple[int, ...] = ()

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.report.identity.worker

    @property
    def accepts_work(self) -> bool:
        """Whether it accepts new work."""
        return not (self.is_ejected or self.report.draining)

    @property
    def is_pinned(self) -> bool:
        """Whether a gang on it does not checkpoint, so that moves can't empty the worker."""
        return self.movable < self.report.capacity.accelerators

    def refresh(self) -> None:
        """Recompute the free, unreserved and movable accelerators."""
        gangs = (*self.report.gangs, *self.assumed.values())
        fixed = {number for gang in gangs if not gang.checkpoint for number in gang.accelerators}
        self.movable = self.report.capacity.accelerators - len(fixed) if self.accepts_work else 0
        free = set(self.report.free_accelerators)
        for gang in self.assumed.values():
            free.difference_update(gang.accelerators)
        self.free = tuple(sorted(free)) if self.accepts_work else ()
        self.unreserved = tuple(number for number in self.free if number not in self.owners)

    def may_hold(self, number: int, team: str, stoppable: bool) -> bool:
        """Return whether work is allowed on an accelerator, whether or not it is free.

        :param number: number of the accelerator.
        :param team: team of the work.
        :param stoppable: whether the work may be preempted; if not, it may not use homes of other
            teams.
        """
        owner = self.owners.get(number)
        return stoppable or owner is None or owner.team == team

    def usable(self, team: str, stoppable: bool) -> tuple[int, ...]:
        """Return free accelerators that work may use, in order of preference.

        Unreserved accelerators come first, then the team's own homes, then homes of other teams.

        :param team: team of the work.
        :param stoppable: whether the work may be preempted.
        """
        if len(self.unreserved) == len(self.free):
            return self.free
        reserved = self.reserved_for(team)
        if not stoppable:
            return self.unreserved + reserved
        preferred = {*self.unreserved, *reserved}
        return (
            self.unreserved
            + reserved
            + tuple(number for number in self.free if number not in preferred)
        )

    def reserved_for(self, team: str) -> tuple[int, ...]:
        """Return the free accelerators of a team's homes, ascending.

        :param team: the team.
        """
        reserved: list[int] = []
        for number in self.free:
            owner = self.owners.get(number)
            if owner is not None and owner.team == team:
                reserved.append(number)
        return tuple(reserved)


@attrs.define
class RackView:
    """State of one rack.

    :param name: its name.
    :param data_centre: its data centre.
    :param workers: its workers by name, in ascending order of names.
    :param free: number of free accelerators of all its workers.
    :param free_counts: number of free accelerators of each worker, in order of names.
    :param most_free: the largest of these counts.
    :param teams_with_homes: teams that have homes in the rack.
    :param version: incremented by every change of the rack.
    """

    name: str
    data_centre: str
    workers: dict[str, WorkerView] = attrs.field(factory=dict)
    free: int = 0
    free_counts: tuple[int, ...] = ()
    most_free: int = 0
    teams_with_homes: frozenset[str] = frozenset()
    version: int = 0

    def add(self, worker: WorkerView) -> None:
        """Add a worker.

        :param worker: the worker.
        """
        self.workers[worker.name] = worker
        self.workers = dict(sorted(self.workers.items()))

    def refresh(self) -> None:
        """Recompute the totals."""
        self.free_counts = tuple(len(worker.free) for worker in self.workers.values())
        self.free = sum(self.free_counts)
        self.most_free = max(self.free_counts, default=0)
        self.teams_with_homes = frozenset(
            owner.team for worker in self.workers.values() for owner in worker.owners.values()
        )
        self.version += 1
