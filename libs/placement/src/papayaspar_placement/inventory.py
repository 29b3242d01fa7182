"""One worker and one rack as an entry sees them."""

import attrs

from papayaspar_model import workers
from papayaspar_placement import homes


@attrs.frozen
class Ownership:
    """Whose home an accelerator is.

    :param team: the team.
    :param instance: the instance of its guarantee.
    """

    team: str
    instance: homes.InstanceName


@attrs.define
class WorkerView:
    """One worker.

    :param report: its newest report.
    :param owners: whose home each of its accelerators is; absent for no one's.
    :param assumed: gangs started by this process that the worker has not reported yet.
    :param jobs: jobs that have a gang here.
    :param is_ejected: whether it is excluded because work fails there.
    :param is_avoided: whether it is chosen only when nothing else fits.
    :param movable: accelerators that are free or held by gangs that checkpoint.
    :param free: accelerators that no gang holds, ascending.
    :param common: those of them that are no one's home, ascending.
    """

    report: workers.WorkerReport
    owners: dict[int, Ownership] = attrs.field(factory=dict)
    assumed: dict[str, workers.GangUse] = attrs.field(factory=dict)
    jobs: set[str] = attrs.field(factory=set)
    is_ejected: bool = False
    is_avoided: bool = False
    movable: int = 0
    free: tuple[int, ...] = ()
    common: tuple[int, ...] = ()

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.report.identity.worker

    @property
    def is_open(self) -> bool:
        """Whether it takes new work."""
        return not (self.is_ejected or self.report.draining)

    @property
    def is_anchored(self) -> bool:
        """Whether a gang here does not checkpoint, so that moves can't empty the worker."""
        return self.movable < self.report.capacity.accelerators

    def refresh(self) -> None:
        """Compute anew what is free and whether the gangs here can be moved."""
        gangs = (*self.report.gangs, *self.assumed.values())
        fixed = {number for gang in gangs if not gang.checkpoint for number in gang.accelerators}
        self.movable = self.report.capacity.accelerators - len(fixed) if self.is_open else 0
        free = set(self.report.free_accelerators)
        for gang in self.assumed.values():
            free.difference_update(gang.accelerators)
        self.free = tuple(sorted(free)) if self.is_open else ()
        self.common = tuple(number for number in self.free if number not in self.owners)

    def may_hold(self, number: int, team: str, stoppable: bool) -> bool:
        """Return whether work may ever run on an accelerator, free or not.

        :param number: number of the accelerator.
        :param team: whose work.
        :param stoppable: whether a reclaim may stop it; if not, homes of others are left out.
        """
        owner = self.owners.get(number)
        return stoppable or owner is None or owner.team == team

    def usable(self, team: str, stoppable: bool) -> tuple[int, ...]:
        """Return free accelerators that work may take: of no one's home, own, then of others.

        :param team: whose work.
        :param stoppable: whether a reclaim may stop it.
        """
        if len(self.common) == len(self.free):
            return self.free
        own = self.own(team)
        if not stoppable:
            return self.common + own
        taken = {*self.common, *own}
        return self.common + own + tuple(one for one in self.free if one not in taken)

    def own(self, team: str) -> tuple[int, ...]:
        """Return free accelerators on homes of a team, ascending.

        :param team: the team.
        """
        found: list[int] = []
        for number in self.free:
            owner = self.owners.get(number)
            if owner is not None and owner.team == team:
                found.append(number)
        return tuple(found)


@attrs.define
class RackView:
    """One rack.

    :param name: its name.
    :param data_centre: its data centre.
    :param workers: its workers by name, in ascending order of names.
    :param free: free accelerators of all its workers.
    :param counts: free accelerators of each worker, in order of names.
    :param most_free: the largest of them.
    :param owners: teams that have homes in the rack.
    :param version: grows with every change of the rack.
    """

    name: str
    data_centre: str
    workers: dict[str, WorkerView] = attrs.field(factory=dict)
    free: int = 0
    counts: tuple[int, ...] = ()
    most_free: int = 0
    owners: frozenset[str] = frozenset()
    version: int = 0

    def add(self, worker: WorkerView) -> None:
        """Add a worker.

        :param worker: the worker.
        """
        self.workers[worker.name] = worker
        self.workers = dict(sorted(self.workers.items()))

    def refresh(self) -> None:
        """Compute the sums anew."""
        self.counts = tuple(len(worker.free) for worker in self.workers.values())
        self.free = sum(self.counts)
        self.most_free = max(self.counts, default=0)
        self.owners = frozenset(
            owner.team for worker in self.workers.values() for owner in worker.owners.values()
        )
        self.version += 1
