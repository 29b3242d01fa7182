"""A simulated fleet of workers that run gangs, fail and send reports."""

import attrs

from papayaspar_model import errors, work, workers

WORKERS_PER_RACK = 3
DATA_CENTRES = 3


class FleetConflictError(errors.PapayasparError):
    """A gang was started on accelerators that are held or on a worker that is down."""

    code = "fleet_conflict"
    title = "The accelerators are not free"


@attrs.frozen
class RunningJob:
    """A gang that runs on the simulated fleet.

    :param job: job of the gang.
    :param attempt: number of the run, from 1.
    :param placement: accelerators that the gang holds.
    :param started_s: virtual time of its start, in seconds.
    """

    job: work.Job
    attempt: int
    placement: workers.Placement
    started_s: float


@attrs.define
class FakeWorker:
    """One simulated worker.

    :param identity: name, incarnation, rack, data centre and region.
    :param capacity: resources of the worker.
    :param holders: job ID by accelerator number, for accelerators in use.
    :param sequence: sequence number of the last report.
    :param is_up: whether the worker is running.
    """

    identity: workers.WorkerIdentity
    capacity: workers.Capacity = attrs.field(factory=workers.Capacity)
    holders: dict[int, str] = attrs.field(factory=dict)
    sequence: int = 0
    is_up: bool = True

    @property
    def free(self) -> int:
        """Number of accelerators that no gang holds; 0 while the worker is down."""
        return self.capacity.accelerators - len(self.holders) if self.is_up else 0


class FakeFleet:
    """A fleet with three workers per rack and racks spread over three data centres.

    :param count: number of workers.
    """

    def __init__(self, count: int) -> None:
        self.workers: dict[str, FakeWorker] = {}
        self.racks: dict[str, list[FakeWorker]] = {}
        self.running: dict[str, RunningJob] = {}
        for number in range(count):
            rack_number = number // WORKERS_PER_RACK
            rack = f"rack-{rack_number:03d}"
            identity = workers.WorkerIdentity(
                worker=f"worker-{number:03d}",
                incarnation=1,
                rack=rack,
                data_centre=f"dc-{rack_number % DATA_CENTRES}",
                region="region-1",
            )
            worker = FakeWorker(identity)
            self.workers[identity.worker] = worker
            self.racks.setdefault(rack, []).append(worker)

    def start(
        self, job: work.Job, attempt: int, placement: workers.Placement, now_s: float
    ) -> None:
        """Start all tasks of a gang.

        :param job: job of the gang.
        :param attempt: number of the run, from 1.
        :param placement: accelerators to use.
        :param now_s: virtual time, in seconds.
        :raises FleetConflictError: if any accelerator is not free; then no task starts.
        """
        for task_range in placement.tasks:
            worker = self.workers[task_range.worker]
            if not worker.is_up or not worker.holders.keys().isdisjoint(task_range.accelerators):
                raise FleetConflictError(
                    f"{task_range.worker} is down or its accelerators for {job.job_id} are held"
                )
        for task_range in placement.tasks:
            holders = self.workers[task_range.worker].holders
            holders.update(dict.fromkeys(task_range.accelerators, job.job_id))
        self.running[job.job_id] = RunningJob(job, attempt, placement, now_s)

    def stop(self, job_id: str) -> RunningJob | None:
        """Stop all tasks of a gang.

        :param job_id: job of the gang.
        :return: the gang that was stopped, or ``None`` if it was not running.
        """
        running = self.running.pop(job_id, None)
        if running is None:
            return None
        for task_range in running.placement.tasks:
            holders = self.workers[task_range.worker].holders
            for number in task_range.accelerators:
                holders.pop(number, None)
        return running

    def fail(self, name: str) -> tuple[RunningJob, ...]:
        """Fail a worker, which stops all tasks of every gang that uses it.

        :param name: name of the worker.
        :return: the gangs that stopped.
        """
        worker = self.workers[name]
        worker.is_up = False
        stopped = [self.stop(job_id) for job_id in sorted(set(worker.holders.values()))]
        return tuple(running for running in stopped if running is not None)

    def repair(self, name: str) -> None:
        """Start a failed worker again, as a new incarnation.

        :param name: name of the worker.
        """
        worker = self.workers[name]
        identity = attrs.evolve(worker.identity, incarnation=worker.identity.incarnation + 1)
        worker.identity = identity
        worker.sequence = 0
        worker.is_up = True

    def report(self, name: str, now_s: float) -> workers.WorkerReport:
        """Return the next report of a worker's agent.

        :param name: name of the worker.
        :param now_s: virtual time, in seconds.
        """
        worker = self.workers[name]
        worker.sequence += 1
        numbers_by_job: dict[str, list[int]] = {}
        for number, job_id in worker.holders.items():
            numbers_by_job.setdefault(job_id, []).append(number)
        gangs = tuple(
            self._gang_use(job_id, numbers_by_job[job_id], now_s)
            for job_id in sorted(numbers_by_job)
        )
        return workers.WorkerReport(
            worker.identity, worker.capacity, worker.sequence, 0, False, gangs
        )

    def _gang_use(self, job_id: str, numbers: list[int], now_s: float) -> workers.GangUse:
        running = self.running[job_id]
        elapsed_s = now_s - running.started_s
        return workers.GangUse(
            job_id=job_id,
            attempt=running.attempt,
            team=running.job.team,
            accelerators=tuple(sorted(numbers)),
            stoppable=running.job.stoppable,
            checkpoint=running.job.checkpoint,
            elapsed_s=elapsed_s,
            remaining_s=max(0.0, running.job.run_time_s - elapsed_s),
            lead_worker=running.placement.tasks[0].worker,
        )
