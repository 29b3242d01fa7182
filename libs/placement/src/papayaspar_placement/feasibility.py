"""Checks whether a job could run on an empty fleet."""

from papayaspar_model import errors, rulesets, work


def check(
    job: work.Job,
    racks: tuple[rulesets.RackInventory, ...],
    homes: tuple[rulesets.Home, ...],
    quota: rulesets.Quota | None = None,
) -> None:
    """Reject a job that could not be placed even if the fleet were empty.

    :param job: the job.
    :param racks: the known racks; if empty, only the shape and the quota are checked.
    :param homes: homes of all guarantees.
    :param quota: the quota of the job's team, if it has one.
    :raises UnplaceableError: if the job can never be placed; the error states the reason.
    """
    shape = job.shape
    if shape.tasks < 1 or shape.accelerators_per_task < 1:
        raise errors.UnplaceableError(
            "a job needs at least one task and one accelerator per task", field="tasks"
        )
    if quota is not None and quota.accelerators is not None:
        if shape.accelerators > quota.accelerators:
            raise errors.UnplaceableError(
                f"the job needs {shape.accelerators} accelerators, but quota {quota.name} "
                f"limits team {job.team} to {quota.accelerators}",
                field="tasks",
            )
    if not racks:
        return
    usable = _usable_counts(job, racks, homes)
    largest = max((count for rack in usable for count in rack), default=0)
    if shape.accelerators_per_task > largest:
        raise errors.UnplaceableError(
            f"a task needs {shape.accelerators_per_task} accelerators, but team {job.team} can "
            f"use at most {largest} on any worker",
            field="accelerators_per_task",
        )
    task_counts = [sum(count // shape.accelerators_per_task for count in rack) for rack in usable]
    if shape.adjacency is work.Adjacency.RACK and shape.tasks > max(task_counts):
        raise errors.UnplaceableError(
            f"the gang needs {shape.tasks} tasks in one rack, but for team {job.team} at "
            f"most {max(task_counts)} tasks of this size fit in any rack",
            field="adjacency",
        )
    if shape.tasks > sum(task_counts):
        raise errors.UnplaceableError(
            f"the gang needs {shape.tasks} tasks, but for team {job.team} only "
            f"{sum(task_counts)} tasks of this size fit in the fleet",
            field="tasks",
        )


def _usable_counts(
    job: work.Job,
    racks: tuple[rulesets.RackInventory, ...],
    homes: tuple[rulesets.Home, ...],
) -> list[list[int]]:
    """Return, for each rack, how many accelerators of each worker the job may use."""
    reserved: dict[str, int] = {}
    for home in homes:
        if job.stoppable or home.team == job.team:
            continue
        for task_range in home.tasks:
            reserved[task_range.worker] = reserved.get(task_range.worker, 0) + len(
                task_range.accelerators
            )
    return [
        [
            len(worker_range.accelerators) - reserved.get(worker_range.worker, 0)
            for worker_range in rack.workers
        ]
        for rack in racks
    ]
