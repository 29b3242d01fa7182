"""Reservation of racks for the oldest large gang in the queue."""

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import completions, entitlements, fleet, inventory, preemptions


@attrs.frozen
class RackReservation:
    """Racks reserved for one waiting gang.

    :param job_id: the job of the gang.
    :param racks: names of the racks.
    :param ready_s: time, on the view's clock in seconds, at which the gang is expected to fit.
    """

    job_id: str
    racks: tuple[str, ...]
    ready_s: float


@attrs.frozen(order=True)
class _RackEstimate:
    """Expected time in seconds at which a gang fits in a rack."""

    ready_s: float
    rack: str


def choose(
    job: work.Job, view: fleet.FleetView, estimator: completions.CompletionEstimator
) -> RackReservation | None:
    """Reserve the racks in which a gang is expected to fit first.

    :param job: the job of the gang.
    :param view: the view of the fleet.
    :param estimator: estimates how long running gangs take.
    :return: the reservation, or ``None`` if the gang could not fit in the present racks.
    """
    estimates: list[_RackEstimate] = []
    task_counts: dict[str, int] = {}
    for rack in view.all_racks():
        ready_times_s = _task_ready_times_s(rack, job, view, estimator)
        if not ready_times_s:
            continue
        task_counts[rack.name] = len(ready_times_s)
        needed = min(job.shape.tasks, len(ready_times_s))
        estimates.append(_RackEstimate(ready_times_s[needed - 1], rack.name))
    sufficient = [
        estimate for estimate in estimates if task_counts[estimate.rack] >= job.shape.tasks
    ]
    if sufficient:
        earliest = min(sufficient)
        return RackReservation(job.job_id, (earliest.rack,), earliest.ready_s)
    if job.shape.adjacency is work.Adjacency.RACK:
        return None
    reserved_racks: list[str] = []
    missing = job.shape.tasks
    for estimate in sorted(estimates):
        reserved_racks.append(estimate.rack)
        missing -= task_counts[estimate.rack]
        if missing <= 0:
            return RackReservation(job.job_id, tuple(reserved_racks), estimate.ready_s)
    return None


def plan_preemption(
    job: work.Job, reservation: RackReservation, backfilled: frozenset[str], view: fleet.FleetView
) -> preemptions.PreemptionPlan | None:
    """Plan to place a gang on its reserved racks by stopping only backfilled work.

    :param job: the job of the gang.
    :param reservation: its reservation.
    :param backfilled: jobs that were started on the reserved racks and can be stopped.
    :param view: the view of the fleet.
    :return: the plan, or ``None`` while other work blocks it.
    """
    racks = [rack for rack in map(view.rack, reservation.racks) if rack is not None]
    ranges: list[workers.AcceleratorRange] = []
    victims: dict[str, preemptions.Victim] = {}
    for worker in [worker for rack in racks for worker in rack.workers.values()]:
        holders = {
            number: gangs
            for number, gangs in view.holders(worker).items()
            if all(gang.stoppable and gang.name.job_id in backfilled for gang in gangs)
            and worker.may_hold(number, job.team, job.stoppable)
        }
        for task_range in _assign_on_worker(worker, job, holders)[: job.shape.tasks - len(ranges)]:
            ranges.append(task_range)
            for number in holders.keys() & set(task_range.accelerators):
                for gang in holders[number]:
                    victims[gang.name.job_id] = preemptions.build_victim(gang, view.now_s)
    if len(ranges) < job.shape.tasks:
        return None
    ordered = sorted(victims.values(), key=lambda victim: (victim.lost_work_s, victim.gang))
    return preemptions.PreemptionPlan(workers.Placement(tuple(ranges)), tuple(ordered))


def _assign_on_worker(
    worker: inventory.WorkerView,
    job: work.Job,
    holders: dict[int, tuple[entitlements.RunningGang, ...]],
) -> list[workers.AcceleratorRange]:
    if not worker.accepts_work:
        return []
    size = job.shape.accelerators_per_task
    numbers = [*worker.usable(job.team, job.stoppable), *holders]
    ranges: list[workers.AcceleratorRange] = []
    for start in range(0, len(numbers) - size + 1, size):
        chosen = tuple(sorted(numbers[start : start + size]))
        ranges.append(workers.AcceleratorRange(worker.name, chosen))
    return ranges


def _task_ready_times_s(
    rack: inventory.RackView,
    job: work.Job,
    view: fleet.FleetView,
    estimator: completions.CompletionEstimator,
) -> list[float]:
    """Return the times at which each task of a gang is expected to fit in a rack, ascending."""
    size = job.shape.accelerators_per_task
    ready_times_s: list[float] = []
    for worker in rack.workers.values():
        if not worker.accepts_work:
            continue
        accelerator_times_s = _accelerator_ready_times_s(worker, job, view, estimator)
        ready_times_s.extend(accelerator_times_s[size - 1 :: size])
    return sorted(ready_times_s)


def _accelerator_ready_times_s(
    worker: inventory.WorkerView,
    job: work.Job,
    view: fleet.FleetView,
    estimator: completions.CompletionEstimator,
) -> list[float]:
    numbers = range(worker.report.capacity.accelerators)
    usable = [number for number in numbers if worker.may_hold(number, job.team, job.stoppable)]
    ready_s_by_number = dict.fromkeys(usable, view.now_s)
    for number, gangs in view.holders(worker).items():
        if number in ready_s_by_number:
            remaining_s = max(estimator.remaining_s(gang, view.now_s) for gang in gangs)
            ready_s_by_number[number] = view.now_s + remaining_s
    return sorted(ready_s_by_number.values())
