"""State of the fleet as seen by one entry: newest reports, homes and gangs it started."""

import copy
from collections.abc import Iterable, Iterator

from papayaspar_model import rulesets, work, workers
from papayaspar_placement import entitlements, homes, inventory, ledger


class FleetView:
    """Workers by rack, their free accelerators, and each team's current use.

    The view may be stale; the agents make the final decision on each start. All of its state can
    be rebuilt from reports, except for gangs that this process has started and the agents have not
    reported yet.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._workers: dict[str, inventory.WorkerView] = {}
        self._racks: dict[str, inventory.RackView] = {}
        self._ledger = ledger.GangLedger()
        self._assumed: dict[str, set[str]] = {}
        # Newest attempt of each assumed job that was reported before the job was assumed.
        self._previous_attempts: dict[str, int] = {}
        self._homes: tuple[rulesets.Home, ...] = ()
        self._homes_by_team: dict[str, tuple[rulesets.Home, ...]] = {}
        self._owners: dict[str, dict[int, inventory.Ownership]] = {}
        self._shapes: tuple[work.Shape, ...] = ()
        self._entitlements: dict[str, entitlements.Entitlement] = {}
        self._ejected: frozenset[str] = frozenset()
        self._avoided: frozenset[str] = frozenset()
        self._excluded_racks: frozenset[str] = frozenset()

    def advance(self, now_s: float) -> None:
        """Advance the time at which remaining run times are estimated.

        :param now_s: current time of the process in seconds.
        """
        self.now_s = max(self.now_s, now_s)

    def observe(self, report: workers.WorkerReport, now_s: float) -> bool:
        """Apply a report, unless a newer report of the worker was applied before.

        :param report: the report of an agent on its worker.
        :param now_s: time of receipt on the process's clock, in seconds.
        :return: whether the report was applied.
        """
        self.advance(now_s)
        name = report.identity.worker
        worker_view = self._workers.get(name)
        if worker_view is None:
            worker_view = inventory.WorkerView(report, owners=self._owners.get(name, {}))
            worker_view.is_ejected = name in self._ejected
            worker_view.is_avoided = name in self._avoided
            self._workers[name] = worker_view
            self._add_to_rack(worker_view)
        elif _version(report) <= _version(worker_view.report):
            return False
        elif report.identity != worker_view.report.identity:
            self._remove_from_rack(worker_view)
            worker_view.report = report
            self._add_to_rack(worker_view)
        worker_view.report = report
        for gang in report.gangs:
            if gang.attempt <= self._previous_attempts.get(gang.job_id, 0):
                continue
            if worker_view.assumed.pop(gang.job_id, None) is not None:
                self._confirm_start(gang.job_id, name)
        self._refresh(worker_view)
        return True

    def remove_worker(self, worker: str) -> None:
        """Remove a worker that is lost.

        :param worker: its name.
        """
        worker_view = self._workers.pop(worker, None)
        if worker_view is None:
            return
        self._remove_from_rack(worker_view)
        for job_id in sorted(worker_view.jobs):
            self._confirm_start(job_id, worker)
            self._set_use(job_id, worker, ())

    def set_homes(self, all_homes: tuple[rulesets.Home, ...]) -> None:
        """Replace the homes.

        :param all_homes: homes of all guarantees.
        """
        self._homes = all_homes
        self._homes_by_team = {}
        self._owners = {}
        self._entitlements = {}
        self._shapes = _distinct_shapes(all_homes)
        for home in all_homes:
            self._homes_by_team[home.team] = (*self._homes_by_team.get(home.team, ()), home)
            name = homes.InstanceName(home.guarantee, home.instance)
            for task_range in home.tasks:
                owners = self._owners.setdefault(task_range.worker, {})
                for number in task_range.accelerators:
                    owners[number] = inventory.Ownership(home.team, name)
        for worker in self._workers.values():
            worker.owners = self._owners.get(worker.name, {})
            worker.refresh()
        for rack in self._racks.values():
            rack.refresh()

    def set_ejected(self, names: Iterable[str]) -> None:
        """Set the workers that are excluded from placement because they are ejected or lost.

        :param names: names of all excluded workers.
        """
        changed = self._ejected.symmetric_difference(names)
        self._ejected = frozenset(names)
        for name in sorted(changed):
            worker = self._workers.get(name)
            if worker is None:
                continue
            worker.is_ejected = name in self._ejected
            self._refresh(worker)

    def set_avoided(self, names: Iterable[str]) -> None:
        """Set the workers that are chosen only when nothing else fits.

        :param names: names of all such workers.
        """
        self._avoided = frozenset(names)
        for worker in self._workers.values():
            if worker.is_avoided != (worker.name in self._avoided):
                worker.is_avoided = not worker.is_avoided
                self._racks[worker.report.identity.rack].refresh()

    def assume(self, job: work.Job, placement: workers.Placement) -> None:
        """Count a starting gang as running until its workers report it or it is released.

        :param job: the job.
        :param placement: its placement.
        """
        numbers: dict[str, list[int]] = {}
        for task_range in placement.tasks:
            numbers.setdefault(task_range.worker, []).extend(task_range.accelerators)
        self._assumed.setdefault(job.job_id, set()).update(numbers)
        previous = self._ledger.gang(job.job_id)
        if previous is not None:
            self._previous_attempts[job.job_id] = previous.name.attempt
        for name, held in numbers.items():
            worker = self._workers.get(name)
            if worker is None:
                continue
            worker.assumed[job.job_id] = workers.GangUse(
                job_id=job.job_id,
                attempt=0,
                team=job.team,
                accelerators=tuple(sorted(held)),
                stoppable=job.stoppable,
                checkpoint=job.checkpoint,
                elapsed_s=0.0,
                remaining_s=job.run_time_s,
                lead_worker=placement.tasks[0].worker,
            )
            self._refresh(worker)

    def expect_attempt(self, job_id: str, attempt: int) -> None:
        """Let only reports of an attempt, or of a later one, confirm the start of an assumed gang.

        :param job_id: the job.
        :param attempt: number of the attempt that is launched.
        """
        if job_id in self._assumed:
            self._previous_attempts[job_id] = attempt - 1

    def release(self, job_id: str) -> None:
        """Stop counting an assumed gang that failed to start or has ended.

        :param job_id: the job.
        """
        self._previous_attempts.pop(job_id, None)
        for name in sorted(self._assumed.pop(job_id, ())):
            worker = self._workers.get(name)
            if worker is None or worker.assumed.pop(job_id, None) is None:
                continue
            self._refresh(worker)

    def is_assumed(self, job_id: str) -> bool:
        """Return whether a job is being started and not yet reported by all its workers."""
        return job_id in self._assumed

    def without_racks(self, racks: Iterable[str]) -> "FleetView":
        """Return a view that excludes some racks; it is valid until this view changes.

        :param racks: names of the racks to exclude.
        """
        view = copy.copy(self)
        view._excluded_racks = self._excluded_racks.union(racks)
        return view

    def racks(self) -> Iterator[inventory.RackView]:
        """Return racks with a free accelerator that are not excluded, in order of names."""
        for rack in self._racks.values():
            if rack.free and rack.name not in self._excluded_racks:
                yield rack

    def all_racks(self) -> tuple[inventory.RackView, ...]:
        """Return all racks, in ascending order of names."""
        return tuple(self._racks.values())

    def rack(self, name: str) -> inventory.RackView | None:
        """Return a rack by name, or ``None``."""
        return self._racks.get(name)

    def worker(self, name: str) -> inventory.WorkerView | None:
        """Return a worker by name, or ``None``."""
        return self._workers.get(name)

    def is_excluded(self, worker: inventory.WorkerView) -> bool:
        """Return whether the rack of a worker is excluded."""
        return worker.report.identity.rack in self._excluded_racks

    def gangs(self) -> Iterator[entitlements.RunningGang]:
        """Return all gangs."""
        yield from self._ledger.gangs()

    def gang(self, job_id: str) -> entitlements.RunningGang | None:
        """Return a gang by its job, or ``None``."""
        return self._ledger.gang(job_id)

    def holders(
        self, worker: inventory.WorkerView
    ) -> dict[int, tuple[entitlements.RunningGang, ...]]:
        """Return the gangs that hold each used accelerator of a worker, by its number.

        :param worker: the worker.
        """
        return self._ledger.holders(worker.name, worker.jobs)

    def team_accelerators(self, team: str) -> int:
        """Return how many accelerators a team holds."""
        return self._ledger.accelerators_of(team)

    def all_homes(self) -> tuple[rulesets.Home, ...]:
        """Return the homes of all guarantees."""
        return self._homes

    def homes_of(self, team: str) -> tuple[rulesets.Home, ...]:
        """Return the homes of a team."""
        return self._homes_by_team.get(team, ())

    def entitlement(self, team: str) -> entitlements.Entitlement:
        """Return a team's current use of its guarantees.

        :param team: the team.
        """
        entitlement = self._entitlements.get(team)
        if entitlement is not None:
            return entitlement
        entitlement = entitlements.split(self._ledger.gangs_of(team), self.homes_of(team))
        self._entitlements[team] = entitlement
        return entitlement

    def guaranteed_shapes(self) -> tuple[work.Shape, ...]:
        """Return the distinct shapes of the homes, the largest first."""
        return self._shapes

    def is_guaranteed(self, job: work.Job) -> bool:
        """Return whether a waiting job fits in the unused part of its team's guarantees."""
        if not self.homes_of(job.team):
            return False
        return any(unused.fits(job.shape) for unused in self.entitlement(job.team).unused_instances)

    def known_racks(self) -> tuple[rulesets.RackInventory, ...]:
        """Return the known racks as input for packing homes."""
        inventories: list[rulesets.RackInventory] = []
        for rack in self._racks.values():
            ranges = tuple(
                workers.AcceleratorRange(name, tuple(range(worker.report.capacity.accelerators)))
                for name, worker in rack.workers.items()
            )
            inventories.append(rulesets.RackInventory(rack.name, rack.data_centre, ranges))
        return tuple(inventories)

    def packable_racks(self) -> tuple[rulesets.RackInventory, ...]:
        """Return the racks in which new homes may be packed.

        Workers that accept no new work are excluded. Accelerators held by work that can't be
        stopped are excluded too, unless they belong to a home of the work's team whose workers all
        accept work.
        """
        intact = self._intact_homes()
        inventories: list[rulesets.RackInventory] = []
        for rack in self._racks.values():
            ranges = tuple(
                workers.AcceleratorRange(worker.name, self._packable(worker, intact))
                for worker in rack.workers.values()
                if worker.accepts_work
            )
            if ranges:
                inventories.append(rulesets.RackInventory(rack.name, rack.data_centre, ranges))
        return tuple(inventories)

    def _packable(
        self, worker: inventory.WorkerView, intact: set[homes.InstanceName]
    ) -> tuple[int, ...]:
        numbers = set(range(worker.report.capacity.accelerators))
        for number, gangs in self.holders(worker).items():
            owner = worker.owners.get(number)
            for gang in gangs:
                if gang.stoppable:
                    continue
                if owner is None or owner.team != gang.team or owner.instance not in intact:
                    numbers.discard(number)
        return tuple(sorted(numbers))

    def _intact_homes(self) -> set[homes.InstanceName]:
        intact: set[homes.InstanceName] = set()
        for home in self._homes:
            home_workers = [self._workers.get(task_range.worker) for task_range in home.tasks]
            if all(worker is not None and worker.accepts_work for worker in home_workers):
                intact.add(homes.InstanceName(home.guarantee, home.instance))
        return intact

    def _add_to_rack(self, worker: inventory.WorkerView) -> None:
        identity = worker.report.identity
        rack = self._racks.get(identity.rack)
        if rack is None:
            rack = inventory.RackView(identity.rack, identity.data_centre)
            self._racks[identity.rack] = rack
            self._racks = dict(sorted(self._racks.items()))
        rack.add(worker)

    def _remove_from_rack(self, worker: inventory.WorkerView) -> None:
        rack = self._racks[worker.report.identity.rack]
        del rack.workers[worker.name]
        rack.refresh()
        if not rack.workers:
            del self._racks[rack.name]

    def _confirm_start(self, job_id: str, worker: str) -> None:
        unconfirmed = self._assumed.get(job_id)
        if unconfirmed is None:
            return
        unconfirmed.discard(worker)
        if not unconfirmed:
            del self._assumed[job_id]
            self._previous_attempts.pop(job_id, None)

    def _refresh(self, worker: inventory.WorkerView) -> None:
        worker.refresh()
        self._racks[worker.report.identity.rack].refresh()
        self._count_gangs(worker)

    def _count_gangs(self, worker: inventory.WorkerView) -> None:
        uses_by_job: dict[str, list[workers.GangUse]] = {}
        for use in (*worker.report.gangs, *worker.assumed.values()):
            uses_by_job.setdefault(use.job_id, []).append(use)
        for job_id in sorted(worker.jobs.difference(uses_by_job)):
            self._set_use(job_id, worker.name, ())
        for job_id, uses in uses_by_job.items():
            self._set_use(job_id, worker.name, tuple(uses))
        worker.jobs = set(uses_by_job)

    def _set_use(self, job_id: str, worker: str, uses: tuple[workers.GangUse, ...]) -> None:
        team = self._ledger.set_use(job_id, worker, uses, self.now_s)
        if team is not None:
            self._entitlements.pop(team, None)


def _distinct_shapes(all_homes: tuple[rulesets.Home, ...]) -> tuple[work.Shape, ...]:
    shapes = {work.Shape(len(home.tasks), len(home.tasks[0].accelerators)) for home in all_homes}
    return tuple(sorted(shapes, key=_size, reverse=True))


def _size(shape: work.Shape) -> tuple[int, int]:
    return (shape.accelerators, shape.accelerators_per_task)


def _version(report: workers.WorkerReport) -> tuple[int, int]:
    return (report.identity.incarnation, report.sequence)
