"""Seats for the tasks of a gang on workers taken in a given order."""

from collections.abc import Iterable

from papayaspar_model import work, workers
from papayaspar_placement import fleet, inventory

Seats = tuple[workers.AcceleratorRange, ...]


def seats_on(
    worker: inventory.WorkerView, job: work.Job, most: int
) -> list[workers.AcceleratorRange]:
    """Return seats for tasks of a job on one worker.

    :param worker: the worker.
    :param job: the job.
    :param most: most seats to return.
    """
    size = job.shape.accelerators_per_task
    if most <= 0 or len(worker.free) < size:
        return []
    numbers = worker.usable(job.team, job.stoppable)
    seats: list[workers.AcceleratorRange] = []
    for start in range(0, len(numbers) - size + 1, size):
        if len(seats) == most:
            break
        chosen = tuple(sorted(numbers[start : start + size]))
        seats.append(workers.AcceleratorRange(worker.name, chosen))
    return seats


def fill(order: Iterable[inventory.WorkerView], job: work.Job) -> Seats | None:
    """Seat a whole gang on workers in a given order.

    :param order: the workers.
    :param job: the job.
    :return: one range a task, or ``None`` if not all tasks fit.
    """
    seats: list[workers.AcceleratorRange] = []
    for worker in order:
        seats.extend(seats_on(worker, job, job.shape.tasks - len(seats)))
        if len(seats) == job.shape.tasks:
            return tuple(seats)
    return None


def placement(
    seats: Seats | None, job: work.Job, view: fleet.FleetView
) -> workers.Placement | None:
    """Return a placement that names the home it stands on, if it is one of the job's team.

    :param seats: one range a task, or ``None``.
    :param job: the job.
    :param view: the fleet.
    :return: the placement, or ``None`` without seats.
    """
    if seats is None:
        return None
    owners: set[inventory.Ownership | None] = set()
    for item in seats:
        worker = view.worker(item.worker)
        if worker is None:
            continue
        owners.update(worker.owners.get(number) for number in item.accelerators)
    if len(owners) != 1:
        return workers.Placement(seats)
    owner = owners.pop()
    if owner is None or owner.team != job.team:
        return workers.Placement(seats)
    return workers.Placement(seats, owner.instance.guarantee, owner.instance.instance)


def slots_in(rack: inventory.RackView, job: work.Job) -> int:
    """Return how many tasks of a job a rack can seat."""
    size = job.shape.accelerators_per_task
    slots = 0
    for worker in rack.workers.values():
        if len(worker.free) >= size:
            slots += len(worker.usable(job.team, job.stoppable)) // size
    return slots


def roomy_racks(view: fleet.FleetView, job: work.Job) -> list[inventory.RackView]:
    """Return the racks that can seat a whole gang, in ascending order of names.

    :param view: the fleet.
    :param job: the job.
    """
    need = job.shape.accelerators
    size = job.shape.accelerators_per_task
    found: list[inventory.RackView] = []
    for rack in view.racks():
        if rack.free < need or rack.most_free < size:
            continue
        if slots_in(rack, job) >= job.shape.tasks:
            found.append(rack)
    return found


def roomy_workers(view: fleet.FleetView, job: work.Job) -> list[inventory.WorkerView]:
    """Return the workers that can seat at least one task, in order of racks and names.

    :param view: the fleet.
    :param job: the job.
    """
    size = job.shape.accelerators_per_task
    found: list[inventory.WorkerView] = []
    for rack in view.racks():
        if rack.most_free < size:
            continue
        for worker in rack.workers.values():
            if len(worker.free) < size:
                continue
            if len(worker.usable(job.team, job.stoppable)) >= size:
                found.append(worker)
    return found
