"""Assignment of the tasks of a gang to accelerators of workers in a given order."""

from collections.abc import Iterable

from papayaspar_model import work, workers
from papayaspar_placement import fleet, inventory

TaskRanges = tuple[workers.AcceleratorRange, ...]


def assign_on_worker(
    worker: inventory.WorkerView, job: work.Job, max_tasks: int
) -> list[workers.AcceleratorRange]:
    """Assign tasks of a job to free accelerators of one worker.

    :param worker: the worker.
    :param job: the job.
    :param max_tasks: maximum number of tasks to assign.
    :return: one range per task.
    """
    size = job.shape.accelerators_per_task
    if max_tasks <= 0 or len(worker.free) < size:
        return []
    numbers = worker.usable(job.team, job.stoppable)
    ranges: list[workers.AcceleratorRange] = []
    for start in range(0, len(numbers) - size + 1, size):
        if len(ranges) == max_tasks:
            break
        chosen = tuple(sorted(numbers[start : start + size]))
        ranges.append(workers.AcceleratorRange(worker.name, chosen))
    return ranges


def assign_in_order(order: Iterable[inventory.WorkerView], job: work.Job) -> TaskRanges | None:
    """Assign a whole gang to workers in a given order.

    :param order: the workers.
    :param job: the job.
    :return: one range per task, or ``None`` if not all tasks fit.
    """
    ranges: list[workers.AcceleratorRange] = []
    for worker in order:
        ranges.extend(assign_on_worker(worker, job, job.shape.tasks - len(ranges)))
        if len(ranges) == job.shape.tasks:
            return tuple(ranges)
    return None


def build_placement(
    ranges: TaskRanges | None, job: work.Job, view: fleet.FleetView
) -> workers.Placement | None:
    """Build a placement; it names its home if all accelerators belong to one home of the team.

    :param ranges: one range per task, or ``None``.
    :param job: the job.
    :param view: the view of the fleet.
    :return: the placement, or ``None`` without ranges.
    """
    if ranges is None:
        return None
    owners: set[inventory.Ownership | None] = set()
    for task_range in ranges:
        worker = view.worker(task_range.worker)
        if worker is None:
            continue
        owners.update(worker.owners.get(number) for number in task_range.accelerators)
    if len(owners) != 1:
        return workers.Placement(ranges)
    owner = owners.pop()
    if owner is None or owner.team != job.team:
        return workers.Placement(ranges)
    return workers.Placement(ranges, owner.instance.guarantee, owner.instance.instance)


def task_capacity(rack: inventory.RackView, job: work.Job) -> int:
    """Return how many tasks of a job fit in a rack."""
    size = job.shape.accelerators_per_task
    task_count = 0
    for worker in rack.workers.values():
        if len(worker.free) >= size:
            task_count += len(worker.usable(job.team, job.stoppable)) // size
    return task_count


def fitting_racks(view: fleet.FleetView, job: work.Job) -> list[inventory.RackView]:
    """Return the racks in which a whole gang fits, in ascending order of names.

    :param view: the view of the fleet.
    :param job: the job.
    """
    need = job.shape.accelerators
    size = job.shape.accelerators_per_task
    racks: list[inventory.RackView] = []
    for rack in view.racks():
        if rack.free < need or rack.most_free < size:
            continue
        if task_capacity(rack, job) >= job.shape.tasks:
            racks.append(rack)
    return racks


def fitting_workers(view: fleet.FleetView, job: work.Job) -> list[inventory.WorkerView]:
    """Return the workers on which at least one task fits, in order of racks and names.

    :param view: the view of the fleet.
    :param job: the job.
    """
    size = job.shape.accelerators_per_task
    fitting: list[inventory.WorkerView] = []
    for rack in view.racks():
        if rack.most_free < size:
            continue
        for worker in rack.workers.values():
            if len(worker.free) < size:
                continue
            if len(worker.usable(job.team, job.stoppable)) >= size:
                fitting.append(worker)
    return fitting
