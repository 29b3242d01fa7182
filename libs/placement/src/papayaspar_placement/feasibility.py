"""Whether a job could ever run, whatever else runs now."""

from papayaspar_model import errors, rulesets, work


def check(
    job: work.Job,
    racks: tuple[rulesets.RackInventory, ...],
    homes: tuple[rulesets.Home, ...],
    quota: rulesets.Quota | None = None,
) -> None:
    """Refuse a job that no worker or rack could hold even if the fleet were empty.

    :param job: the job.
    :param racks: the known racks.
    :param homes: homes of all guarantees.
    :param quota: the ceiling of the job's team, if there is one.
    :raises UnplaceableError: with the reason.
    """
    shape = job.shape
    if shape.tasks < 1 or shape.accelerators_per_task < 1:
        raise errors.UnplaceableError(
            "a job needs at least one task and one accelerator a task", field="tasks"
        )
    if quota is not None and quota.accelerators is not None:
        if shape.accelerators > quota.accelerators:
            raise errors.UnplaceableError(
                f"the job needs {shape.accelerators} accelerators and quota {quota.name} "
                f"allows team {job.team} {quota.accelerators}",
                field="tasks",
            )
    if not racks:
        return
    usable = _usable(job, racks, homes)
    most = max((count for rack in usable for count in rack), default=0)
    if shape.accelerators_per_task > most:
        raise errors.UnplaceableError(
            f"a task needs {shape.accelerators_per_task} accelerators and no worker offers "
            f"{job.team} more than {most}",
            field="accelerators_per_task",
        )
    slots = [sum(count // shape.accelerators_per_task for count in rack) for rack in usable]
    if shape.adjacency is work.Adjacency.RACK and shape.tasks > max(slots):
        raise errors.UnplaceableError(
            f"the gang needs {shape.tasks} tasks in one rack and no rack offers {job.team} "
            f"more than {max(slots)} of this size",
            field="adjacency",
        )
    if shape.tasks > sum(slots):
        raise errors.UnplaceableError(
            f"the gang needs {shape.tasks} tasks and the fleet offers {job.team} {sum(slots)} "
            "of this size",
            field="tasks",
        )


def _usable(
    job: work.Job,
    racks: tuple[rulesets.RackInventory, ...],
    homes: tuple[rulesets.Home, ...],
) -> list[list[int]]:
    """Return, by rack, how many accelerators of each worker the job may use."""
    foreign: dict[str, int] = {}
    for home in homes:
        if job.stoppable or home.team == job.team:
            continue
        for item in home.tasks:
            foreign[item.worker] = foreign.get(item.worker, 0) + len(item.accelerators)
    return [
        [len(item.accelerators) - foreign.get(item.worker, 0) for item in rack.workers]
        for rack in racks
    ]
